// Least expected completion over the targets of a service.
#include "balsamwheel/detail/load/target_board.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include <pcg_random.hpp>

namespace balsamwheel {

void TargetBoard::report(const InstanceName &Target, const GateReport &Report) {
  Entry &Known = m_Entries[Target];
  Known.m_Report = Report;
  Known.m_SentSince = 0;
}

void TargetBoard::forget(const InstanceName &Target) {
  m_Entries.erase(Target);
}

void TargetBoard::sent(const InstanceName &Target) {
  ++m_Entries[Target].m_SentSince;
}

double TargetBoard::failureShare(const Entry &Of, TimePoint Now) const {
  const double HalfLives =
      static_cast<double>((Now - Of.m_FailureAt).count()) /
      static_cast<double>(m_Options.m_FailureHalfLife.count());
  return Of.m_FailureShare * std::exp2(-std::max(0.0, HalfLives));
}

void TargetBoard::done(const InstanceName &Target, bool Failed, TimePoint Now) {
  auto Found = m_Entries.find(Target);
  if (Found == m_Entries.end())
    return;
  Entry &Known = Found->second;
  const double Share = failureShare(Known, Now);
  Known.m_FailureShare =
      Share + m_Options.m_FailureWeight * ((Failed ? 1.0 : 0.0) - Share);
  Known.m_FailureAt = Now;
}

std::optional<Duration>
TargetBoard::expectedCompletion(const InstanceName &Target,
                                TimePoint Now) const {
  auto Found = m_Entries.find(Target);
  if (Found == m_Entries.end() || Found->second.m_Report.m_Slots == 0)
    return std::nullopt;
  const Entry &Known = Found->second;
  const GateReport &Report = Known.m_Report;
  const double Service =
      std::max(1.0, static_cast<double>(Report.m_Service.count()));
  const double Load = Report.m_Running + Report.m_Waiting + Known.m_SentSince;
  double Total = Service * (1 + Load / Report.m_Slots);
  if (Report.m_RateLimit > 0)
    Total += (Report.m_Waiting + Known.m_SentSince) / Report.m_RateLimit * 1e6;
  Total *= 1 + m_Options.m_FailureFactor * failureShare(Known, Now);
  return Duration(static_cast<Duration::rep>(Total));
}

double TargetBoard::cost(const Candidate &Of, bool LargeAnswer,
                         Duration Completion) const {
  auto Cost = static_cast<double>(Completion.count());
  const GateReport &Report = m_Entries.at(Of.m_Target).m_Report;
  if (LargeAnswer && !Of.m_Local)
    Cost += static_cast<double>(Report.m_LinkWait.count());
  if (LargeAnswer && !Of.m_SameDomain)
    Cost += m_Options.m_RemoteDownloadPenalty *
            static_cast<double>(Report.m_Service.count());
  return Cost;
}

std::optional<InstanceName>
TargetBoard::choose(std::span<const Candidate> Candidates, bool LargeAnswer,
                    std::uint64_t Random, TimePoint Now) const {
  struct Open {
    const Candidate *m_Candidate;
    double m_Cost;
  };
  std::vector<Open> Choices;
  Choices.reserve(Candidates.size());
  for (const Candidate &Each : Candidates)
    if (const auto Completion = expectedCompletion(Each.m_Target, Now))
      Choices.push_back({&Each, cost(Each, LargeAnswer, *Completion)});
  if (Choices.empty())
    return std::nullopt;
  // A partial shuffle draws the sample.
  const std::size_t Sample = std::min(m_Options.m_Sample, Choices.size());
  pcg32 Draw(Random);
  for (std::size_t Index = 0; Index < Sample; ++Index)
    std::swap(Choices[Index], Choices[Index + Draw(static_cast<std::uint32_t>(
                                                  Choices.size() - Index))]);
  const auto Best = std::min_element(
      Choices.begin(), Choices.begin() + static_cast<std::ptrdiff_t>(Sample),
      [](const Open &Left, const Open &Right) {
        return Left.m_Cost < Right.m_Cost;
      });
  return Best->m_Candidate->m_Target;
}

} // namespace balsamwheel
