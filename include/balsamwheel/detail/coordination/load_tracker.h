// What load this session's shards carry, smoothed.
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
  /// An order for a shard started.
  void count(const ShardRef &Shard) { ++m_Shards[Shard].m_Count; }
  /// Ends a period: folds its counts into the rates.
  void endPeriod(TimePoint Now);
  /// The shards with the highest rates, highest first.
  std::vector<OwnerReport::Load> hottest(std::size_t Most) const;
  /// Requests a second over all shards.
  double total() const;
  void clear() { m_Shards.clear(); }

private:
  struct Load {
    std::uint64_t m_Count = 0;
    double m_Rate = 0;
  };

  TimePoint m_PeriodBegin{};
  std::unordered_map<ShardRef, Load> m_Shards;
};

} // namespace balsamwheel
