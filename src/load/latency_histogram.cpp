// Logarithmic histogram whose counts decay.
#include "load/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace balsamwheel {

namespace {

/// Upper bound of the first bucket, in microseconds.
constexpr double FirstBoundMicros = 64;
constexpr double BucketsPerDoubling = 4;
/// All counts are halved when their sum reaches this.
constexpr double MaxTotalWeight = 1000;

} // namespace

void LatencyHistogram::add(Duration Latency) {
  m_Buckets.at(bucketOf(Latency)) += 1;
  m_Total += 1;
  if (m_Total < MaxTotalWeight)
    return;
  for (double &Count : m_Buckets)
    Count /= 2;
  m_Total /= 2;
}

std::optional<Duration> LatencyHistogram::quantile(double Share) const {
  if (m_Total == 0)
    return std::nullopt;
  double Left = m_Total * Share;
  std::size_t Bucket = 0;
  while (Bucket + 1 < BucketCount && Left > m_Buckets.at(Bucket))
    Left -= m_Buckets.at(Bucket++);
  return Duration(static_cast<Duration::rep>(
      FirstBoundMicros *
      std::exp2(static_cast<double>(Bucket) / BucketsPerDoubling)));
}

std::size_t LatencyHistogram::bucketOf(Duration Latency) {
  const auto Microseconds = static_cast<double>(Latency.count());
  if (Microseconds <= FirstBoundMicros)
    return 0;
  const double Position = std::ceil(std::log2(Microseconds / FirstBoundMicros) *
                                    BucketsPerDoubling);
  return std::min(static_cast<std::size_t>(Position), BucketCount - 1);
}

} // namespace balsamwheel
