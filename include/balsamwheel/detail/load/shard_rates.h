// Request rates of the shards and hot keys of one owner.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/load/sketch.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

struct ShardRatesOptions {
  /// Time in which an old request's weight falls by a factor e.
  Duration m_Decay = std::chrono::seconds(5);
  /// Keys that are followed one by one.
  std::size_t m_Keys = 256;
};

struct ShardRate {
  ShardRef m_Shard;
  /// Requests a second, smoothed.
  double m_Rate = 0;
};

struct KeyRate {
  KeyHash m_Key;
  /// Requests a second, smoothed; an upper bound.
  double m_Rate = 0;
  /// How much of the rate may belong to other keys.
  double m_Error = 0;
};

/// Exponentially decaying request rates. Pure; not thread-safe.
class ShardRates {
public:
  explicit ShardRates(ShardRatesOptions Options = {});

  /// Counts one request. Complexity: logarithmic in the followed keys.
  void record(const ShardRef &Shard, KeyHash Key, TimePoint Now);
  /// Forgets a shard that left this owner.
  void forget(const ShardRef &Shard);

  /// Returns up to \p Count shards, the hottest first.
  ///
  /// Complexity: linear in the shards with requests.
  std::vector<ShardRate> hottestShards(std::size_t Count, TimePoint Now) const;
  /// Returns up to \p Count keys, the hottest first, as of the last request.
  std::vector<KeyRate> hottestKeys(std::size_t Count) const;
  /// Requests a second over all shards.
  double totalRate(TimePoint Now) const;

private:
  double weightAt(TimePoint Now) const;
  double rateOf(double Weight, TimePoint Now) const;
  void rescale(TimePoint Now);

  ShardRatesOptions m_Options;
  // Requests weigh more the later they come; rates divide by the weight of the
  // present, so that nothing has to be decayed one by one.
  TimePoint m_Landmark;
  TimePoint m_LastRecord;
  bool m_Started = false;
  double m_Total = 0;
  std::unordered_map<ShardRef, double> m_Shards;
  HeavyHitters<KeyHash> m_Keys;
};

} // namespace balsamwheel
