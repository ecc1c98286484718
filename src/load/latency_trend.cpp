// Windowed comparison of latencies with a slowly rising baseline.
#include "load/latency_trend.h"

#include <algorithm>
#include <cmath>

namespace balsamwheel {

namespace {

/// Weight of one sample in the recent mean and the deviation.
constexpr double SampleWeight = 1.0 / 16;
/// Weight of one window in the baseline when it is below or above it.
constexpr double FallWeight = 1.0 / 8;
constexpr double RiseWeight = 1.0 / 64;
/// Ratios to the baseline, and multiples of the window mean's noise.
constexpr double HealthyRatio = 1.25;
constexpr double HealthyNoise = 1.5;
constexpr double CongestedRatio = 1.6;
constexpr double CongestedNoise = 3;

Duration toDuration(double Microseconds) {
  return Duration(static_cast<Duration::rep>(Microseconds));
}

} // namespace

std::optional<LatencyVerdict> LatencyTrend::add(Duration Latency,
                                                std::uint32_t WindowSize) {
  const auto Sample =
      static_cast<double>(std::max<Duration::rep>(Latency.count(), 1));
  if (m_RecentMean == 0)
    m_RecentMean = Sample;
  m_Deviation += (std::abs(Sample - m_RecentMean) - m_Deviation) * SampleWeight;
  m_RecentMean += (Sample - m_RecentMean) * SampleWeight;
  m_WindowSum += Sample;
  ++m_WindowCount;
  if (m_WindowCount < WindowSize)
    return std::nullopt;

  const double Mean = m_WindowSum / m_WindowCount;
  if (m_Baseline == 0)
    m_Baseline = Mean;
  const LatencyVerdict Result = judge(Mean);
  moveBaseline(Mean);
  m_LastWindowMean = Mean;
  restartWindow();
  return Result;
}

void LatencyTrend::restartWindow() {
  m_WindowSum = 0;
  m_WindowCount = 0;
}

void LatencyTrend::rebase() { m_Baseline = m_LastWindowMean; }

Duration LatencyTrend::baseline() const { return toDuration(m_Baseline); }

Duration LatencyTrend::recentMean() const { return toDuration(m_RecentMean); }

Duration LatencyTrend::deviation() const { return toDuration(m_Deviation); }

LatencyVerdict LatencyTrend::judge(double Mean) const {
  // The deviation may stem from the very jump that is judged.
  const double Noise = std::min(m_Deviation, m_Baseline) /
                       std::sqrt(static_cast<double>(m_WindowCount));
  return {.m_Ratio = Mean / m_Baseline,
          .m_Congested =
              Mean > m_Baseline * CongestedRatio + Noise * CongestedNoise,
          .m_Healthy =
              Mean <= m_Baseline * HealthyRatio + Noise * HealthyNoise};
}

void LatencyTrend::moveBaseline(double Mean) {
  const double Weight = Mean < m_Baseline ? FallWeight : RiseWeight;
  m_Baseline += (Mean - m_Baseline) * Weight;
}

} // namespace balsamwheel
