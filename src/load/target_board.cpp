// Least expected completion over the targets of a service.
#include "balsamwheel/detail/load/target_board.h"

#include <algorithm>
#include <cmath>

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

std::optional<InstanceName>
TargetBoard::choose(std::span<const Candidate> Candidates, bool LargeAnswer,
                    std::uint64_t Random, TimePoint Now) const {
  const Candidate *Best = nullptr;
  double BestCost = 0;
  const std::size_t Offset =
      Candidates.empty() ? 0 : Random % Candidates.size();
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const Candidate &Each = Candidates[(Index + Offset) % Candidates.size()];
    const auto Completion = expectedCompletion(Each.m_Target, Now);
    if (!Completion)
      continue;
    auto Cost = static_cast<double>(Completion->count());
    if (LargeAnswer && !Each.m_Local)
      Cost += static_cast<double>(
          m_Entries.at(Each.m_Target).m_Report.m_LinkWait.count());
    if (LargeAnswer && !Each.m_SameDomain)
      Cost += m_Options.m_RemoteDownloadPenalty *
              static_cast<double>(
                  m_Entries.at(Each.m_Target).m_Report.m_Service.count());
    if (!Best || Cost < BestCost) {
      Best = &Each;
      BestCost = Cost;
    }
  }
  return Best ? std::optional(Best->m_Target) : std::nullopt;
}

} // namespace balsamwheel
