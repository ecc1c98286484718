// What this daemon saw of one target of a service not divided by key.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "load/latency_histogram.h"

#include <cstdint>
#include <set>

namespace balsamwheel {

/// Observed latency, failures and requests in flight of one target, and
/// whether it is ejected as an outlier.
class TargetRecord {
public:
  void started(TimePoint Now);
  void finished(Duration Latency, bool Failed, TimePoint Now);
  /// The answer was not awaited; it would have taken longer than \p Waited.
  void abandoned(Duration Waited, TimePoint Now);

  /// Expected cost of one more request; lower is better. An unanswered request
  /// counts with the time it has waited so far.
  ///
  /// \param Unknown latency assumed before the first sample, microseconds.
  double cost(TimePoint Now, double Unknown) const;
  /// Smoothed latency in microseconds, 0 if unknown.
  double meanLatency(TimePoint Now) const;
  std::size_t inFlight() const { return m_Starts.size(); }
  const LatencyHistogram &latencies() const { return m_Latencies; }
  std::uint32_t samples() const { return m_Samples; }
  std::uint32_t failuresInRow() const { return m_FailuresInRow; }

  /// Takes the target out; a probe is due after a growing delay.
  void eject(TimePoint Now);
  bool ejected() const { return m_Ejected; }
  /// An ejected target may get one request to see how it does.
  bool probeDue(TimePoint Now) const;
  /// Takes the target back with the latency of a good probe.
  void restore(Duration Latency);
  TimePoint lastSample() const { return m_LastSample; }

private:
  void observe(double Microseconds, TimePoint Now);
  void forgetStart(TimePoint Start);

  LatencyHistogram m_Latencies;
  // Start times of the requests in flight.
  std::multiset<TimePoint> m_Starts;
  double m_Mean = 0;
  double m_Peak = 0;
  TimePoint m_LastSample;
  std::uint32_t m_Samples = 0;
  std::uint32_t m_FailuresInRow = 0;
  bool m_Ejected = false;
  std::uint32_t m_Ejections = 0;
  TimePoint m_ProbeAt;
};

} // namespace balsamwheel
