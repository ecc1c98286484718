// Tells from the latencies of one class whether the target is congested.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <optional>

namespace balsamwheel {

/// What a window of latencies shows against the uncongested baseline.
struct LatencyVerdict {
  /// Mean of the window over the baseline.
  double m_Ratio = 1;
  /// Clearly above the baseline, noise considered.
  bool m_Congested = false;
  /// Close to the baseline, noise considered.
  bool m_Healthy = true;
};

/// Compares means of short windows with a baseline that falls fast and rises
/// slowly.
class LatencyTrend {
public:
  /// Adds one latency.
  ///
  /// \param WindowSize samples that a window has at least.
  /// \returns a verdict when the window closed.
  std::optional<LatencyVerdict> add(Duration Latency, std::uint32_t WindowSize,
                                    TimePoint Now);
  /// Drops the samples of the open window.
  void restartWindow();
  /// The target became slower for another reason than congestion.
  void scaleBaseline(double Factor);

  /// Typical uncongested latency; 0 before the first window closed.
  Duration baseline() const;
  /// Typical latency now, for estimates of waiting time.
  Duration recentMean() const;
  /// Mean absolute deviation of single latencies.
  Duration deviation() const;

private:
  LatencyVerdict closeWindow();
  bool unhealthyForLong() const;
  bool surelyCongested(std::uint32_t WindowSize) const;
  double congestedMean(std::uint32_t Count) const;
  double healthyMean(std::uint32_t Count) const;
  double noise(std::uint32_t Count) const;
  void moveBaseline(double Mean);

  // All in microseconds; 0 while nothing is known.
  double m_Baseline = 0;
  double m_RecentMean = 0;
  double m_Deviation = 0;
  double m_WindowSum = 0;
  double m_WindowDeviation = 0;
  std::uint32_t m_WindowCount = 0;
  TimePoint m_WindowStart;
  // Windows since the last healthy one, and the sum of their means.
  std::uint32_t m_UnhealthyInRow = 0;
  double m_UnhealthySum = 0;
};

} // namespace balsamwheel
