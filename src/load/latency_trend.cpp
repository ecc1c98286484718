// Compares windowed mean latencies with a slowly rising baseline.
#include "load/latency_trend.h"

#include <algorithm>
#include <cmath>

namespace balsamwheel {

namespace {

/// Smoothing factors: weight of one sample in the recent mean, and of one
/// window in the deviation.
constexpr double SampleWeight = 1.0 / 16;
constexpr double DeviationWeight = 1.0 / 8;
/// Smoothing factors of the baseline: weight of a window whose mean is below or
/// above it.
constexpr double FallWeight = 1.0 / 8;
constexpr double RiseWeight = 1.0 / 64;
/// Thresholds of a window's mean, each the sum of a multiple of the baseline
/// (ratio) and a multiple of the mean's standard error (noise).
constexpr double HealthyRatio = 1.25;
constexpr double HealthyNoise = 1.5;
constexpr double CongestedRatio = 1.6;
constexpr double CongestedNoise = 3;
/// Consecutive unhealthy windows that count as congestion if their mean exceeds
/// CongestedRatio times the baseline.
constexpr std::uint32_t UnhealthyWindows = 3;
/// Minimum time from the first to the last sample of a window.
constexpr Duration MinWindowTime = std::chrono::milliseconds(50);
/// Minimum number of samples for a verdict.
constexpr std::uint32_t MinSamples = 2;

Duration toDuration(double Microseconds) {
  return Duration(static_cast<Duration::rep>(Microseconds));
}

} // namespace

std::optional<LatencyVerdict>
LatencyTrend::add(Duration Latency, std::uint32_t WindowSize, TimePoint Now) {
  const auto Sample =
      static_cast<double>(std::max<Duration::rep>(Latency.count(), 1));
  if (m_RecentMean == 0)
    m_RecentMean = Sample;
  m_RecentMean += (Sample - m_RecentMean) * SampleWeight;
  if (m_WindowCount == 0)
    m_WindowStart = Now;
  m_WindowSum += Sample;
  m_WindowDeviation += std::abs(Sample - m_RecentMean);
  ++m_WindowCount;
  const bool Full =
      m_WindowCount >= WindowSize && Now - m_WindowStart >= MinWindowTime;
  if (!Full && !certainlyCongested(WindowSize))
    return std::nullopt;

  const LatencyVerdict Result = closeWindow();
  m_WindowSum = 0;
  m_WindowDeviation = 0;
  m_WindowCount = 0;
  return Result;
}

LatencyVerdict LatencyTrend::closeWindow() {
  const double Mean = m_WindowSum / m_WindowCount;
  const double Deviation = m_WindowDeviation / m_WindowCount;
  if (m_Baseline == 0) {
    m_Baseline = Mean;
    m_Deviation = Deviation;
  }
  const bool Healthy = Mean <= healthyMean(m_WindowCount);
  m_UnhealthyInRow = Healthy ? 0 : m_UnhealthyInRow + 1;
  m_UnhealthySum = Healthy ? 0 : m_UnhealthySum + Mean;
  const LatencyVerdict Result{.m_Ratio = Mean / m_Baseline,
                              .m_Congested =
                                  Mean > congestedMean(m_WindowCount) ||
                                  persistentlyUnhealthy(),
                              .m_Healthy = Healthy};
  // A jump of the latency must not increase the deviation that it is compared
  // with.
  if (Healthy)
    m_Deviation += (Deviation - m_Deviation) * DeviationWeight;
  moveBaseline(Mean);
  return Result;
}

void LatencyTrend::restartWindow() {
  m_WindowSum = 0;
  m_WindowDeviation = 0;
  m_WindowCount = 0;
  m_UnhealthyInRow = 0;
  m_UnhealthySum = 0;
}

void LatencyTrend::scaleBaseline(double Factor) {
  m_Baseline *= Factor;
  m_Deviation *= Factor;
  restartWindow();
}

Duration LatencyTrend::baseline() const { return toDuration(m_Baseline); }

Duration LatencyTrend::recentMean() const { return toDuration(m_RecentMean); }

Duration LatencyTrend::deviation() const { return toDuration(m_Deviation); }

// The samples so far are so slow that the rest of the window can't change the
// verdict.
bool LatencyTrend::certainlyCongested(std::uint32_t WindowSize) const {
  return m_Baseline > 0 && m_WindowCount >= MinSamples &&
         m_WindowSum >
             congestedMean(m_WindowCount) * std::max(WindowSize, m_WindowCount);
}

bool LatencyTrend::persistentlyUnhealthy() const {
  return m_UnhealthyInRow >= UnhealthyWindows &&
         m_UnhealthySum > m_Baseline * CongestedRatio * m_UnhealthyInRow;
}

double LatencyTrend::congestedMean(std::uint32_t Count) const {
  return m_Baseline * CongestedRatio + noise(Count) * CongestedNoise;
}

double LatencyTrend::healthyMean(std::uint32_t Count) const {
  return m_Baseline * HealthyRatio + noise(Count) * HealthyNoise;
}

double LatencyTrend::noise(std::uint32_t Count) const {
  return m_Deviation / std::sqrt(static_cast<double>(Count));
}

void LatencyTrend::moveBaseline(double Mean) {
  if (Mean < m_Baseline / 2)
    m_Baseline = Mean;
  const double Weight = Mean < m_Baseline ? FallWeight : RiseWeight;
  m_Baseline += (Mean - m_Baseline) * Weight;
}

} // namespace balsamwheel
