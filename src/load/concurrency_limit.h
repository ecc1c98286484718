// How many orders a target bears at the same time, learned from their results.
#pragma once

#include "balsamwheel/detail/load/admission.h"
#include "load/latency_trend.h"

#include <array>

namespace balsamwheel {

/// Additive increase, multiplicative decrease, and slow start from cold.
///
/// Invariant: limit() stays within [1, m_Slots].
class ConcurrencyLimit {
public:
  ConcurrencyLimit(const AdmissionOptions &Options, TimePoint Now);

  std::uint32_t limit() const { return m_Limit; }
  /// The limit held an order back since the last rise or decrease.
  void noteSaturated() { m_Saturated = true; }
  /// An order starts; a limit that was not used for long is reduced.
  void noteStart(TimePoint Now);
  void onResult(Urgency Class, const OrderResult &Result, TimePoint Now);
  /// Falls back to the cold limit and rises no faster than the cold ramp.
  void enterCold(TimePoint Now);

  /// After errors in a row, no order starts before this.
  TimePoint pausedUntil() const { return m_PausedUntil; }

  const LatencyTrend &trend(Urgency Class) const;

private:
  void onFailure(TimePoint Now);
  void pause(TimePoint Now);
  void onShed(TimePoint Now);
  void onVerdict(const LatencyVerdict &Verdict, TimePoint Now);
  void onCongested(const LatencyVerdict &Verdict, TimePoint Now);
  void onCongestedAtColdLimit(double Ratio);
  void raise(TimePoint Now);
  void decrease(double Factor, TimePoint Now);
  void startRamp(std::uint32_t From, TimePoint Now);
  std::uint32_t rampCeiling(TimePoint Now) const;
  std::uint32_t coldLimit() const;
  void restartWindows();

  AdmissionOptions m_Options;
  std::uint32_t m_Limit;
  std::array<LatencyTrend, UrgencyCount> m_Trends;
  bool m_Saturated = false;
  // Results of orders that started before this teach nothing.
  TimePoint m_LastDecrease;
  TimePoint m_LastRise;
  TimePoint m_LastActivity;
  TimePoint m_LastTrouble;
  std::uint32_t m_FailuresInRow = 0;
  std::uint32_t m_ShedsInRow = 0;
  // Pauses since the last success; each is longer than the one before.
  std::uint32_t m_PausesInRow = 0;
  TimePoint m_PausedUntil;
  // The ramp that caps the limit: from m_RampFrom at m_RampStart to m_Slots.
  bool m_Ramping = false;
  // The ramp started with errors or at the beginning, not by latency alone.
  bool m_RampAfterErrors = false;
  std::uint32_t m_CongestedAtColdLimit = 0;
  std::uint32_t m_RampFrom = 1;
  TimePoint m_RampStart;
};

} // namespace balsamwheel
