// Latency, failure and ejection state of one target.
#include "load/target_record.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace balsamwheel {

namespace {

/// Smoothing factor: weight of the newest sample in the mean latency.
constexpr double SampleWeight = 1.0 / 8;
/// Time constant in microseconds: the distance of the peak from the mean decays
/// by a factor of e in it.
constexpr double PeakDecayMicros = 2'000'000;
/// A failure counts as a latency of this many times its own or the mean one,
/// whichever is larger.
constexpr double FailureCost = 4;
/// Delay of the first probe after an ejection; it doubles with each further
/// one.
constexpr Duration FirstProbeDelay = std::chrono::seconds(1);
constexpr std::uint32_t MaxProbeDoublings = 4;

} // namespace

void TargetRecord::started(TimePoint Now) { m_Starts.insert(Now); }

void TargetRecord::finished(Duration Latency, bool Failed, TimePoint Now) {
  removeStart(Now - Latency);
  const auto Microseconds = static_cast<double>(Latency.count());
  if (Failed) {
    ++m_FailuresInRow;
    observe(std::max(Microseconds, m_Mean) * FailureCost, Now);
    return;
  }
  m_FailuresInRow = 0;
  m_Latencies.add(Latency);
  observe(Microseconds, Now);
}

void TargetRecord::abandoned(Duration Waited, TimePoint Now) {
  removeStart(Now - Waited);
  const auto Microseconds = static_cast<double>(Waited.count());
  if (Microseconds <= m_Mean)
    return;
  // The full latency is unknown. If latencies are memoryless, the expected
  // remainder is the mean.
  const double Estimate = Microseconds + m_Mean;
  m_Latencies.add(Duration(static_cast<Duration::rep>(Estimate)));
  observe(Estimate, Now);
}

double TargetRecord::cost(TimePoint Now, double DefaultLatency) const {
  const auto Since = static_cast<double>((Now - m_LastSample).count());
  double Latency = m_Samples == 0 ? DefaultLatency : m_Mean;
  if (m_Peak > m_Mean)
    Latency += (m_Peak - m_Mean) * std::exp(-Since / PeakDecayMicros);
  if (!m_Starts.empty()) {
    const Duration Oldest = Now - *m_Starts.begin();
    Latency = std::max(Latency, static_cast<double>(Oldest.count()));
  }
  return Latency * static_cast<double>(m_Starts.size() + 1);
}

double TargetRecord::meanLatency(TimePoint Now) const {
  if (m_Starts.empty())
    return m_Mean;
  // The median of the ages of the unanswered requests is used, as a single long
  // request is no evidence of a slow target.
  const auto Middle = std::next(
      m_Starts.begin(), static_cast<std::ptrdiff_t>(m_Starts.size() / 2));
  return std::max(m_Mean, static_cast<double>((Now - *Middle).count()));
}

void TargetRecord::eject(TimePoint Now) {
  m_Ejected = true;
  m_ProbeAt =
      Now + FirstProbeDelay * (1U << std::min(m_Ejections, MaxProbeDoublings));
  ++m_Ejections;
}

bool TargetRecord::probeDue(TimePoint Now) const {
  return m_Ejected && Now >= m_ProbeAt && m_Starts.empty();
}

void TargetRecord::restore(Duration Latency) {
  m_Ejected = false;
  m_Ejections = 0;
  m_FailuresInRow = 0;
  m_Mean = static_cast<double>(Latency.count());
  m_Peak = m_Mean;
}

void TargetRecord::observe(double Microseconds, TimePoint Now) {
  const auto Since = static_cast<double>((Now - m_LastSample).count());
  m_Peak =
      std::max(Microseconds,
               m_Mean + (m_Peak - m_Mean) * std::exp(-Since / PeakDecayMicros));
  m_Mean = m_Samples == 0 ? Microseconds
                          : m_Mean + (Microseconds - m_Mean) * SampleWeight;
  m_LastSample = Now;
  ++m_Samples;
}

void TargetRecord::removeStart(TimePoint Start) {
  if (m_Starts.empty())
    return;
  auto Closest = m_Starts.lower_bound(Start);
  if (Closest == m_Starts.end())
    --Closest;
  m_Starts.erase(Closest);
}

} // namespace balsamwheel
