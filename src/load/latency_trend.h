// Detects congestion of a target from the latencies of one request class.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <optional>

namespace balsamwheel {

/// Result of comparing a window of latencies with the uncongested baseline.
struct LatencyVerdict {
  /// Mean of the window divided by the baseline.
  double m_Ratio = 1;
  /// The mean is clearly above the baseline, noise considered.
  bool m_Congested = false;
  /// The mean is close to the baseline, noise considered.
  bool m_Healthy = true;
};

/// Compares means of short windows with a baseline that falls fast and rises
/// slowly.
class LatencyTrend {
public:
  /// Adds one latency.
  ///
  /// \param WindowSize minimum number of samples in a window.
  /// \returns a verdict when this sample completed the window.
  std::optional<LatencyVerdict> add(Duration Latency, std::uint32_t WindowSize,
                                    TimePoint Now);
  /// Drops the samples of the current window.
  void restartWindow();
  /// Adapts the baseline when the target became slower for a reason other than
  /// congestion.
  void scaleBaseline(double Factor);

  /// Typical uncongested latency; 0 before the first window is complete.
  Duration baseline() const;
  /// Moving average of the latency, for estimates of waiting time.
  Duration recentMean() const;
  /// Mean absolute deviation of individual latencies.
  Duration deviation() const;

private:
  LatencyVerdict closeWindow();
  bool persistentlyUnhealthy() const;
  bool certainlyCongested(std::uint32_t WindowSize) const;
  double congestedMean(std::uint32_t Count) const;
  double healthyMean(std::uint32_t Count) const;
  double noise(std::uint32_t Count) const;
  void moveBaseline(double Mean);

  // All in microseconds; 0 while unknown.
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
