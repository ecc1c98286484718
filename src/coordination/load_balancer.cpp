// Bounded moves of hot shards, with hysteresis.
#include "balsamwheel/detail/coordination/load_balancer.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Peak over mean that starts moves, below the bound of 1.25.
constexpr double PeakLimit = 1.20;
/// A move must lower the peak by this share of the mean.
constexpr double LeastGain = 0.10;
/// Less load than this in requests a second is noise.
constexpr double LeastMean = 5;
/// The load must be uneven for so long before the first move.
constexpr Duration Patience = std::chrono::seconds(4);
/// Rates follow a move only after this time.
constexpr Duration Cooldown = std::chrono::seconds(6);
constexpr Duration BudgetPeriod = std::chrono::seconds(60);
constexpr std::size_t MostMovesAtOnce = 4;

/// The hot shard whose move lowers the peak most, if that is enough.
const OwnerReport::Load *bestShard(const std::vector<OwnerReport::Load> &Shards,
                                   double Peak, double Least, double Gain) {
  const OwnerReport::Load *Best = nullptr;
  double BestPeak = Peak - Gain;
  for (const OwnerReport::Load &Shard : Shards) {
    const double Next = std::max(Peak - Shard.m_Rate, Least + Shard.m_Rate);
    if (Next >= BestPeak)
      continue;
    Best = &Shard;
    BestPeak = Next;
  }
  return Best;
}

} // namespace

void LoadBalancer::onReport(const OwnerReport &Report, TimePoint Now) {
  m_Reports[Report.m_From] = {.m_Report = Report, .m_At = Now};
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
      if (Report == m_Reports.end() || Now - Report->second.m_At > MaxAge)
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
  Budget &Spent = m_Budgets[Service];
  std::erase_if(Spent.m_Moves,
                [Now](TimePoint At) { return Now - At >= BudgetPeriod; });
  if (Owners.size() < 2)
    return;
  double Mean = 0;
  for (const Owner &Value : Owners)
    Mean += Value.m_Rate / static_cast<double>(Owners.size());
  const auto Peak = std::ranges::max_element(Owners, {}, &Owner::m_Rate);
  if (Mean < LeastMean || Peak->m_Rate <= PeakLimit * Mean) {
    Spent.m_UnevenSince.reset();
    return;
  }
  if (!Spent.m_UnevenSince)
    Spent.m_UnevenSince = Now;
  if (Now - *Spent.m_UnevenSince < Patience || Now < Spent.m_NotBefore)
    return;
  const std::size_t PerMinute =
      std::max<std::size_t>(1, View.shardCount(Service) / 100);
  for (std::size_t Moves = 0;
       Moves < MostMovesAtOnce && Spent.m_Moves.size() < PerMinute; ++Moves) {
    const auto From = std::ranges::max_element(Owners, {}, &Owner::m_Rate);
    const auto To = std::ranges::min_element(Owners, {}, &Owner::m_Rate);
    const OwnerReport::Load *Shard =
        bestShard(From->m_Hottest, From->m_Rate, To->m_Rate, LeastGain * Mean);
    if (!Shard || From->m_Rate <= PeakLimit * Mean)
      break;
    const OwnerReport::Load Moved = *Shard;
    Result.push_back({.m_Shard = Moved.m_Shard,
                      .m_From = From->m_Session,
                      .m_To = To->m_Session});
    From->m_Rate -= Moved.m_Rate;
    To->m_Rate += Moved.m_Rate;
    std::erase_if(From->m_Hottest, [&Moved](const OwnerReport::Load &Value) {
      return Value.m_Shard == Moved.m_Shard;
    });
    Spent.m_Moves.push_back(Now);
    Spent.m_NotBefore = Now + Cooldown;
  }
}

} // namespace balsamwheel
