// Latencies of one target in logarithmic buckets that forget old samples.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace balsamwheel {

/// Complexity: constant per sample, linear in the buckets per quantile.
class LatencyHistogram {
public:
  void add(Duration Latency);
  /// Upper bound of the bucket that holds the quantile; none without samples.
  std::optional<Duration> quantile(double Share) const;
  /// Samples counted, old ones with less weight.
  double weight() const { return m_Total; }

private:
  // Four buckets per doubling from 64 microseconds on.
  static constexpr std::size_t BucketCount = 96;

  static std::size_t bucketOf(Duration Latency);

  std::array<double, BucketCount> m_Buckets{};
  double m_Total = 0;
};

} // namespace balsamwheel
