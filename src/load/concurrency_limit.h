// Adapts the number of concurrent requests to one target to their results.
#pragma once

#include "balsamwheel/detail/load/admission.h"
#include "load/latency_trend.h"

#include <array>

namespace balsamwheel {

/// Additive increase, multiplicative decrease, and a bounded ramp after a cold
/// start.
///
/// Invariant: limit() stays within [1, m_Slots].
class ConcurrencyLimit {
public:
  ConcurrencyLimit(const AdmissionOptions &Options, TimePoint Now);

  std::uint32_t limit() const { return m_Limit; }
  /// Records that the limit is in use to the full. The limit rises only after
  /// this was called since its last change.
  void markSaturated() { m_Saturated = true; }
  /// Records the start of a request; reduces the limit after an idle period.
  void recordStart(TimePoint Now);
  /// Adapts the limit to the result of a request.
  void onResult(Urgency Class, const OrderResult &Result, TimePoint Now);
  /// Reduces the limit to the cold limit and starts the cold ramp, which bounds
  /// its rise.
  void enterCold(TimePoint Now);

  /// After consecutive errors, no request is to be started before this time.
  TimePoint pausedUntil() const { return m_PausedUntil; }

  const LatencyTrend &trend(Urgency Class) const;

private:
  void onFailure(TimePoint Now);
  void pause(TimePoint Now);
  void onShed(TimePoint Now);
  void onVerdict(const LatencyVerdict &Verdict, TimePoint Now);
  void onCongested(const LatencyVerdict &Verdict, TimePoint Now);
  void onCongestedAtColdLimit(double Ratio);
  void increase(TimePoint Now);
  void decrease(double Factor, TimePoint Now);
  void startRamp(std::uint32_t From, TimePoint Now);
  std::uint32_t rampCeiling(TimePoint Now) const;
  std::uint32_t coldLimit() const;
  void restartWindows();

  AdmissionOptions m_Options;
  std::uint32_t m_Limit;
  std::array<LatencyTrend, UrgencyCount> m_Trends;
  bool m_Saturated = false;
  // Results of requests that started before this are ignored: they reflect the
  // old limit.
  TimePoint m_LastDecrease;
  TimePoint m_LastIncrease;
  TimePoint m_LastActivity;
  TimePoint m_LastError;
  std::uint32_t m_FailuresInRow = 0;
  std::uint32_t m_ShedsInRow = 0;
  // Pauses since the last success; determines the length of the next one.
  std::uint32_t m_PausesInRow = 0;
  TimePoint m_PausedUntil;
  // While set, the limit is bounded by a ramp that rises from m_RampFrom at
  // m_RampStart to m_Slots.
  bool m_Ramping = false;
  // The ramp was started by errors, a restart or at construction, not by
  // latency alone.
  bool m_RampAfterErrors = false;
  std::uint32_t m_CongestedAtColdLimit = 0;
  std::uint32_t m_RampFrom = 1;
  TimePoint m_RampStart;
};

} // namespace balsamwheel
