// Latencies of one target in logarithmic buckets; older samples have less
// weight.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace balsamwheel {

/// Complexity: amortized constant per sample, linear in the number of buckets
/// per quantile.
class LatencyHistogram {
public:
  void add(Duration Latency);
  /// Upper bound of the bucket that contains the quantile; std::nullopt without
  /// samples.
  ///
  /// \param Share the quantile, within [0, 1].
  std::optional<Duration> quantile(double Share) const;
  /// Number of samples, older ones counted with less weight.
  double weight() const { return m_Total; }

private:
  // Four buckets per doubling of the latency, starting at 64 microseconds.
  static constexpr std::size_t BucketCount = 96;

  static std::size_t bucketOf(Duration Latency);

  std::array<double, BucketCount> m_Buckets{};
  double m_Total = 0;
};

} // namespace balsamwheel
