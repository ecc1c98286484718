// Chooses the target of a service with the least expected completion time.
#include "balsamwheel/detail/load/target_selector.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include <pcg_random.hpp>

namespace balsamwheel {

namespace {

/// The estimate of an idle target stays valid for this long.
constexpr Duration ServiceTimeLifetime = std::chrono::seconds(1);
/// Half-life of the estimate after that.
constexpr Duration ServiceTimeHalfLife = std::chrono::milliseconds(500);
constexpr double MaxHalfLives = 2;

} // namespace

Duration idleServiceTime(Duration Mean, Duration Idle) {
  if (Idle <= ServiceTimeLifetime)
    return Mean;
  const double HalfLives =
      static_cast<double>((Idle - ServiceTimeLifetime).count()) /
      static_cast<double>(ServiceTimeHalfLife.count());
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Mean.count()) *
      std::exp2(-std::min(HalfLives, MaxHalfLives))));
}

void TargetSelector::report(const InstanceName &Target,
                            const GateReport &Report) {
  Entry &Known = m_Entries[Target];
  Known.m_Report = Report;
  Known.m_SentSinceReport = 0;
}

void TargetSelector::forget(const InstanceName &Target) {
  m_Entries.erase(Target);
}

void TargetSelector::sent(const InstanceName &Target) {
  ++m_Entries[Target].m_SentSinceReport;
}

double TargetSelector::failureRate(const Entry &Target, TimePoint Now) const {
  const double HalfLives =
      static_cast<double>((Now - Target.m_FailureRateAt).count()) /
      static_cast<double>(m_Options.m_FailureHalfLife.count());
  return Target.m_FailureRate * std::exp2(-std::max(0.0, HalfLives));
}

void TargetSelector::done(const InstanceName &Target, bool Failed,
                          TimePoint Now) {
  auto Found = m_Entries.find(Target);
  if (Found == m_Entries.end())
    return;
  Entry &Known = Found->second;
  const double Rate = failureRate(Known, Now);
  Known.m_FailureRate =
      Rate + m_Options.m_FailureWeight * ((Failed ? 1.0 : 0.0) - Rate);
  Known.m_FailureRateAt = Now;
}

std::optional<Duration>
TargetSelector::expectedCompletion(const InstanceName &Target, TimePoint Now,
                                   Duration TypicalService) const {
  auto Found = m_Entries.find(Target);
  if (Found == m_Entries.end() || Found->second.m_Report.m_Slots == 0)
    return std::nullopt;
  const Entry &Known = Found->second;
  const GateReport &Report = Known.m_Report;
  const Duration Mean =
      Report.m_Service > Duration::zero() ? Report.m_Service : TypicalService;
  const double Service = std::max(1.0, static_cast<double>(Mean.count()));
  const double Load =
      Report.m_Running + Report.m_Waiting + Known.m_SentSinceReport;
  double Total = Service * (1 + Load / Report.m_Slots);
  if (Report.m_RateLimit > 0)
    Total += std::max(0.0, 1 + Known.m_SentSinceReport - Report.m_SpareTokens) /
             Report.m_RateLimit * 1e6;
  Total *= 1 + m_Options.m_FailureFactor * failureRate(Known, Now);
  return Duration(static_cast<Duration::rep>(Total));
}

Duration
TargetSelector::typicalService(std::span<const Candidate> Candidates) const {
  Duration Sum{0};
  Duration::rep Known = 0;
  for (const Candidate &Each : Candidates) {
    const auto Found = m_Entries.find(Each.m_Target);
    if (Found == m_Entries.end() ||
        Found->second.m_Report.m_Service <= Duration::zero())
      continue;
    Sum += Found->second.m_Report.m_Service;
    ++Known;
  }
  return Known > 0 ? Sum / Known : AssumedServiceTime;
}

double TargetSelector::cost(const Candidate &Option, bool LargeAnswer,
                            Duration Completion) const {
  auto Cost = static_cast<double>(Completion.count());
  const GateReport &Report = m_Entries.at(Option.m_Target).m_Report;
  if (LargeAnswer && !Option.m_Local)
    Cost += static_cast<double>(Report.m_LinkWait.count());
  if (LargeAnswer && !Option.m_SameDomain)
    Cost += m_Options.m_RemoteDownloadPenalty *
            static_cast<double>(Report.m_Service.count());
  return Cost;
}

std::optional<InstanceName>
TargetSelector::choose(std::span<const Candidate> Candidates, bool LargeAnswer,
                       std::uint64_t Random, TimePoint Now) const {
  struct OpenCandidate {
    const Candidate *m_Candidate;
    double m_Cost;
  };
  std::vector<OpenCandidate> Choices;
  Choices.reserve(Candidates.size());
  const Duration Typical = typicalService(Candidates);
  for (const Candidate &Each : Candidates)
    if (const auto Completion = expectedCompletion(Each.m_Target, Now, Typical))
      Choices.push_back({&Each, cost(Each, LargeAnswer, *Completion)});
  if (Choices.empty())
    return std::nullopt;
  // Draws the sample with a partial Fisher-Yates shuffle.
  const std::size_t Sample = std::min(m_Options.m_SampleSize, Choices.size());
  pcg32 Generator(Random);
  for (std::size_t Index = 0; Index < Sample; ++Index)
    std::swap(Choices[Index],
              Choices[Index + Generator(static_cast<std::uint32_t>(
                                  Choices.size() - Index))]);
  const auto Best = std::min_element(
      Choices.begin(), Choices.begin() + static_cast<std::ptrdiff_t>(Sample),
      [](const OpenCandidate &Left, const OpenCandidate &Right) {
        return Left.m_Cost < Right.m_Cost;
      });
  return Best->m_Candidate->m_Target;
}

} // namespace balsamwheel
