// Bounded moves of hot shards, with hysteresis.
#include "balsamwheel/detail/coordination/load_balancer.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Shards are moved when the highest load of an owner exceeds this multiple of
/// the mean load. Lower than 1.25, the highest ratio that is acceptable.
constexpr double MaxPeakToMean = 1.20;
/// A move must lower the highest load by at least this fraction of the mean.
constexpr double MinPeakReduction = 0.10;
/// A mean load per owner below this, in requests per second, is treated as
/// noise.
constexpr double MinMeanRate = 5;
/// The load must be imbalanced for this long before the first move.
constexpr Duration MinImbalanceTime = std::chrono::seconds(4);
/// No further moves within this time, because the reported rates reflect a move
/// only after it.
constexpr Duration Cooldown = std::chrono::seconds(6);
/// The bound on the number of moves applies to any period of this length.
constexpr Duration BudgetPeriod = std::chrono::seconds(60);
constexpr std::size_t MaxMovesPerRound = 4;

/// The shard whose move from the most to the least loaded owner leaves the
/// lowest maximum of the two; null if no move lowers it by more than
/// MinReduction.
const OwnerReport::Load *bestShard(const std::vector<OwnerReport::Load> &Shards,
                                   double HighestRate, double LowestRate,
                                   double MinReduction) {
  const OwnerReport::Load *Best = nullptr;
  double BestPeak = HighestRate - MinReduction;
  for (const OwnerReport::Load &Shard : Shards) {
    const double NewPeak =
        std::max(HighestRate - Shard.m_Rate, LowestRate + Shard.m_Rate);
    if (NewPeak >= BestPeak)
      continue;
    Best = &Shard;
    BestPeak = NewPeak;
  }
  return Best;
}

} // namespace

void LoadBalancer::onReport(const OwnerReport &Report, TimePoint Now) {
  m_Reports[Report.m_From] = {.m_Report = Report, .m_ReceivedAt = Now};
}

std::vector<LoadBalancer::Owner>
LoadBalancer::freshOwners(const ClusterView &View, const ServiceName &Service,
                          Duration MaxAge, TimePoint Now) const {
  std::vector<Owner> Result;
  for (const auto &[Number, Group] : View.groups())
    for (const GroupMember &Entry : Group.m_Members) {
      const Member &Value = Entry.m_Member;
      if (Value.m_Service != Service || View.isLeaving(Value))
        continue;
      const auto Report = m_Reports.find(Value.m_Session);
      if (Report == m_Reports.end() ||
          Now - Report->second.m_ReceivedAt > MaxAge)
        return {};
      Result.push_back({.m_Session = Value.m_Session,
                        .m_Rate = Report->second.m_Report.m_TotalRate,
                        .m_Hottest = Report->second.m_Report.m_Hottest});
    }
  return Result;
}

std::vector<LoadMove> LoadBalancer::takeMoves(const ClusterView &View,
                                              Duration MaxAge, TimePoint Now) {
  std::vector<LoadMove> Result;
  std::erase_if(m_Reports,
                [&View](const auto &Item) { return !View.isLive(Item.first); });
  const std::shared_ptr<const Config> Current = View.config();
  if (!Current)
    return Result;
  for (const Service &Candidate : Current->m_Manifest.m_Services)
    if (Candidate.m_DividedByKey)
      planService(View, Candidate.m_Name,
                  freshOwners(View, Candidate.m_Name, MaxAge, Now), Now,
                  Result);
  return Result;
}

void LoadBalancer::planService(const ClusterView &View,
                               const ServiceName &Service,
                               std::vector<Owner> Owners, TimePoint Now,
                               std::vector<LoadMove> &Result) {
  ServiceState &State = m_ServiceStates[Service];
  std::erase_if(State.m_MoveTimes, [Now](TimePoint MovedAt) {
    return Now - MovedAt >= BudgetPeriod;
  });
  if (Owners.size() < 2)
    return;
  double Mean = 0;
  for (const Owner &Value : Owners)
    Mean += Value.m_Rate / static_cast<double>(Owners.size());
  const auto Peak = std::ranges::max_element(Owners, {}, &Owner::m_Rate);
  if (Mean < MinMeanRate || Peak->m_Rate <= MaxPeakToMean * Mean) {
    State.m_ImbalancedSince.reset();
    return;
  }
  if (!State.m_ImbalancedSince)
    State.m_ImbalancedSince = Now;
  if (Now - *State.m_ImbalancedSince < MinImbalanceTime ||
      Now < State.m_CooldownEnd)
    return;
  const std::size_t MovesPerPeriod =
      std::max<std::size_t>(1, View.shardCount(Service) / 100);
  for (std::size_t Moves = 0;
       Moves < MaxMovesPerRound && State.m_MoveTimes.size() < MovesPerPeriod;
       ++Moves) {
    const auto MostLoaded =
        std::ranges::max_element(Owners, {}, &Owner::m_Rate);
    const auto LeastLoaded =
        std::ranges::min_element(Owners, {}, &Owner::m_Rate);
    const OwnerReport::Load *Shard =
        bestShard(MostLoaded->m_Hottest, MostLoaded->m_Rate,
                  LeastLoaded->m_Rate, MinPeakReduction * Mean);
    if (!Shard || MostLoaded->m_Rate <= MaxPeakToMean * Mean)
      break;
    const OwnerReport::Load Moved = *Shard;
    Result.push_back({.m_Shard = Moved.m_Shard,
                      .m_OldOwner = MostLoaded->m_Session,
                      .m_NewOwner = LeastLoaded->m_Session});
    MostLoaded->m_Rate -= Moved.m_Rate;
    LeastLoaded->m_Rate += Moved.m_Rate;
    std::erase_if(MostLoaded->m_Hottest,
                  [&Moved](const OwnerReport::Load &Value) {
                    return Value.m_Shard == Moved.m_Shard;
                  });
    State.m_MoveTimes.push_back(Now);
    State.m_CooldownEnd = Now + Cooldown;
  }
}

} // namespace balsamwheel
