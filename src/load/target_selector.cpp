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

/// Mean service time in microseconds; positive.
double serviceMicros(const GateReport &Report, Duration Typical) {
  const Duration Mean =
      Report.m_Service > Duration::zero() ? Report.m_Service : Typical;
  return std::max(1.0, static_cast<double>(Mean.count()));
}

double decayed(double Rate, Duration Age, Duration HalfLife) {
  const double HalfLives =
      static_cast<double>(Age.count()) / static_cast<double>(HalfLife.count());
  return Rate * std::exp2(-std::max(0.0, HalfLives));
}

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
  return decayed(Target.m_FailureRate, Now - Target.m_FailureRateAt,
                 m_Options.m_FailureHalfLife);
}

double TargetSelector::rejectionRate(const Entry &Target, TimePoint Now) const {
  return decayed(Target.m_RejectionRate, Now - Target.m_RejectionRateAt,
                 m_Options.m_RejectionHalfLife);
}

void TargetSelector::done(const InstanceName &Target, AttemptEnd End,
                          TimePoint Now) {
  auto Found = m_Entries.find(Target);
  if (Found == m_Entries.end())
    return;
  Entry &Known = Found->second;
  const auto Observe = [&](double Rate, double Weight, AttemptEnd Counted) {
    return Rate + Weight * ((End == Counted ? 1.0 : 0.0) - Rate);
  };
  Known.m_FailureRate = Observe(failureRate(Known, Now),
                                m_Options.m_FailureWeight, AttemptEnd::Failed);
  Known.m_FailureRateAt = Now;
  Known.m_RejectionRate =
      Observe(rejectionRate(Known, Now), m_Options.m_RejectionWeight,
              AttemptEnd::Rejected);
  Known.m_RejectionRateAt = Now;
}

std::optional<Duration>
TargetSelector::expectedCompletion(const InstanceName &Target, TimePoint Now,
                                   Duration TypicalService) const {
  auto Found = m_Entries.find(Target);
  if (Found == m_Entries.end() || Found->second.m_Report.m_Slots == 0)
    return std::nullopt;
  const Entry &Known = Found->second;
  const GateReport &Report = Known.m_Report;
  const double Service = serviceMicros(Report, TypicalService);
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

double TargetSelector::room(const OpenCandidate &Option, double Within) const {
  const GateReport &Report =
      m_Entries.at(Option.m_Candidate->m_Target).m_Report;
  return Report.m_Slots * std::max(0.0, Within - Option.m_Cost) /
         Option.m_Service;
}

/// The random part of one choice.
class TargetSelector::Draw {
public:
  Draw(const TargetSelector &Selector, std::uint64_t Random, TimePoint Now)
      : m_Selector(Selector), m_Generator(Random), m_Now(Now) {}

  /// Within [0, 1).
  double uniform() {
    return static_cast<double>(m_Generator()) /
           (static_cast<double>(pcg32::max()) + 1);
  }

  /// Returns the candidate with the lowest cost out of a sample, in which each
  /// target is left out with the probability that it would reject the request.
  const OpenCandidate &best(std::span<OpenCandidate> Choices) {
    const OpenCandidate *Best = nullptr;
    std::size_t Taken = 0;
    // Draws the sample with a partial Fisher-Yates shuffle.
    for (std::size_t Index = 0;
         Index < Choices.size() && Taken < m_Selector.m_Options.m_SampleSize;
         ++Index) {
      std::swap(Choices[Index],
                Choices[Index + m_Generator(static_cast<std::uint32_t>(
                                    Choices.size() - Index))]);
      if (!accepts(Choices[Index]))
        continue;
      ++Taken;
      if (!Best || Choices[Index].m_Cost < Best->m_Cost)
        Best = &Choices[Index];
    }
    return Best ? *Best : Choices.front();
  }

  /// Returns a candidate with a probability in proportion to its room; null
  /// when none has any.
  const OpenCandidate *byRoom(std::span<const OpenCandidate> Choices,
                              double Within) {
    double Sum = 0;
    const OpenCandidate *Chosen = nullptr;
    for (const OpenCandidate &Each : Choices) {
      const double Room =
          m_Selector.room(Each, Within) * (1 - rejectionOf(Each));
      Sum += Room;
      if (Room > 0 && uniform() * Sum < Room)
        Chosen = &Each;
    }
    return Chosen;
  }

private:
  double rejectionOf(const OpenCandidate &Each) const {
    return std::min(
        m_Selector.rejectionRate(
            m_Selector.m_Entries.at(Each.m_Candidate->m_Target), m_Now),
        1 - m_Selector.m_Options.m_MinAcceptance);
  }
  bool accepts(const OpenCandidate &Each) {
    const double Rejection = rejectionOf(Each);
    return Rejection <= 0 || uniform() >= Rejection;
  }

  const TargetSelector &m_Selector;
  pcg32 m_Generator;
  TimePoint m_Now;
};

std::optional<InstanceName>
TargetSelector::choose(std::span<const Candidate> Candidates, bool LargeAnswer,
                       std::uint64_t Random, TimePoint Now,
                       Duration TimeLeft) const {
  std::vector<OpenCandidate> Choices;
  Choices.reserve(Candidates.size());
  const Duration Typical = typicalService(Candidates);
  for (const Candidate &Each : Candidates)
    if (const auto Completion = expectedCompletion(Each.m_Target, Now, Typical))
      Choices.push_back({.m_Candidate = &Each,
                         .m_Cost = cost(Each, LargeAnswer, *Completion),
                         .m_Service = serviceMicros(
                             m_Entries.at(Each.m_Target).m_Report, Typical)});
  if (Choices.empty())
    return std::nullopt;
  Draw Draw(*this, Random, Now);
  const auto Elsewhere = std::partition(
      Choices.begin(), Choices.end(),
      [](const OpenCandidate &Each) { return Each.m_Candidate->m_SameDomain; });
  const std::span<OpenCandidate> Home(Choices.begin(), Elsewhere);
  const std::span<OpenCandidate> Others(Elsewhere, Choices.end());
  if (LargeAnswer || TimeLeft <= Duration::zero() || Home.empty() ||
      Others.empty())
    return Draw.best(Choices).m_Candidate->m_Target;
  const auto Left = static_cast<double>(TimeLeft.count());
  const OpenCandidate &Best = Draw.best(Home);
  const double Pressure = (Best.m_Cost / Left - m_Options.m_HomeShare) /
                          (m_Options.m_SpillShare - m_Options.m_HomeShare);
  if (Draw.uniform() >= Pressure)
    return Best.m_Candidate->m_Target;
  // Elsewhere requests aren't served better if the whole service is full, or if
  // the time left is short for any target.
  const auto *Spilled = Draw.byRoom(Others, m_Options.m_SpillShare * Left);
  if (Spilled)
    return (Spilled->m_Cost < Best.m_Cost ? *Spilled : Best)
        .m_Candidate->m_Target;
  return Draw.best(Choices).m_Candidate->m_Target;
}

} // namespace balsamwheel
