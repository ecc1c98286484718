// Exponentially smoothed request rates of shards.
#include "balsamwheel/detail/coordination/load_tracker.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Weight of the newest period in the smoothed rate, between 0 and 1.
constexpr double SmoothingFactor = 0.4;
/// Shards with a lower rate, in requests per second, are no longer tracked.
constexpr double MinTrackedRate = 0.01;

} // namespace

void LoadTracker::endPeriod(TimePoint Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - m_PeriodBegin).count();
  m_PeriodBegin = Now;
  for (auto &[Shard, Value] : m_Shards) {
    const double PeriodRate = static_cast<double>(Value.m_Count) / Seconds;
    Value.m_Rate += SmoothingFactor * (PeriodRate - Value.m_Rate);
    Value.m_Count = 0;
  }
  std::erase_if(m_Shards, [](const auto &Item) {
    return Item.second.m_Rate < MinTrackedRate;
  });
}

std::vector<OwnerReport::Load>
LoadTracker::hottest(std::size_t MaxShards) const {
  std::vector<OwnerReport::Load> Result;
  Result.reserve(m_Shards.size());
  for (const auto &[Shard, Value] : m_Shards)
    Result.push_back({.m_Shard = Shard, .m_Rate = Value.m_Rate});
  std::ranges::sort(Result, std::greater<>(), &OwnerReport::Load::m_Rate);
  Result.resize(std::min(Result.size(), MaxShards));
  return Result;
}

double LoadTracker::totalRate() const {
  double Result = 0;
  for (const auto &[Shard, Value] : m_Shards)
    Result += Value.m_Rate;
  return Result;
}

} // namespace balsamwheel
