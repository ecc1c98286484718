// Request rates of one owner's shards and of its most requested keys.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/load/sketch.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

struct ShardRatesOptions {
  /// Time constant: the weight of a request decays by a factor of e in it.
  Duration m_Decay = std::chrono::seconds(5);
  /// Number of keys with a counter of their own.
  std::size_t m_Keys = 256;
};

struct ShardRate {
  ShardRef m_Shard;
  /// Requests per second, smoothed.
  double m_Rate = 0;
};

struct KeyRate {
  KeyHash m_Key;
  /// Requests per second, smoothed; an upper bound.
  double m_Rate = 0;
  /// Maximum part of m_Rate that may belong to other keys.
  double m_Error = 0;
};

/// Exponentially decaying request rates. Performs no I/O and reads no clock;
/// not thread-safe.
class ShardRates {
public:
  explicit ShardRates(ShardRatesOptions Options = {});

  /// Counts one request. Complexity: logarithmic in m_Keys.
  void record(const ShardRef &Shard, KeyHash Key, TimePoint Now);
  /// Drops the counter of a shard that this owner gave up.
  void forget(const ShardRef &Shard);

  /// Returns up to \p Count shards in descending order of rate.
  ///
  /// Complexity: linear in the number of shards with requests.
  std::vector<ShardRate> hottestShards(std::size_t Count, TimePoint Now) const;
  /// Returns up to \p Count keys in descending order of rate, as of the last
  /// request.
  std::vector<KeyRate> hottestKeys(std::size_t Count) const;
  /// Requests per second over all shards.
  double totalRate(TimePoint Now) const;

private:
  double weightAt(TimePoint Now) const;
  double rateOf(double Weight, TimePoint Now) const;
  void rescale(TimePoint Now);

  ShardRatesOptions m_Options;
  // Forward decay: the weight of a request grows exponentially with its time
  // since the landmark, and rates are divided by the weight at the time of the
  // query, so that the counters need not be decayed individually.
  TimePoint m_Landmark;
  TimePoint m_LastRecord;
  bool m_Started = false;
  double m_Total = 0;
  std::unordered_map<ShardRef, double> m_Shards;
  HeavyHitters<KeyHash> m_Keys;
};

} // namespace balsamwheel
