// Smoothed request rates of this session's shards.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/wire/control.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

class LoadTracker {
public:
  /// Records that an order for a shard started.
  void countOrder(const ShardRef &Shard) { ++m_Shards[Shard].m_Count; }
  /// Ends a measuring period and updates the smoothed rates with its counts.
  void endPeriod(TimePoint Now);
  /// The shards with the highest rates, highest first.
  std::vector<OwnerReport::Load> hottest(std::size_t MaxShards) const;
  /// Requests per second over all shards.
  double totalRate() const;
  void clear() { m_Shards.clear(); }

private:
  struct Load {
    /// Orders started in the current period.
    std::uint64_t m_Count = 0;
    /// Requests per second, smoothed.
    double m_Rate = 0;
  };

  TimePoint m_PeriodBegin;
  std::unordered_map<ShardRef, Load> m_Shards;
};

} // namespace balsamwheel
