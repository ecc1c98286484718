// Statistics of this daemon on one target of a service that is not divided by
// key.
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
  /// Records a request that was given up after \p Waited without an answer.
  void abandoned(Duration Waited, TimePoint Now);

  /// Expected cost of sending one more request; lower is better. The latency is
  /// taken to be at least the age of the oldest unanswered request.
  ///
  /// \param DefaultLatency latency assumed before the first sample, in
  /// microseconds.
  double cost(TimePoint Now, double DefaultLatency) const;
  /// Moving average of the latency in microseconds; 0 if unknown. At least the
  /// median age of the unanswered requests.
  double meanLatency(TimePoint Now) const;
  std::size_t inFlight() const { return m_Starts.size(); }
  const LatencyHistogram &latencies() const { return m_Latencies; }
  std::uint32_t samples() const { return m_Samples; }
  std::uint32_t failuresInRow() const { return m_FailuresInRow; }

  /// Ejects the target, or renews its ejection; a probe is due after a delay
  /// that doubles each time.
  void eject(TimePoint Now);
  bool ejected() const { return m_Ejected; }
  /// Whether the target is ejected and may now get one request as a probe.
  bool probeDue(TimePoint Now) const;
  /// Ends the ejection, with the latency of the successful probe as the mean.
  void restore(Duration Latency);
  TimePoint lastSample() const { return m_LastSample; }

private:
  void observe(double Microseconds, TimePoint Now);
  void removeStart(TimePoint Start);

  LatencyHistogram m_Latencies;
  // Start times of the requests in flight.
  std::multiset<TimePoint> m_Starts;
  /// Moving average of the latency, in microseconds.
  double m_Mean = 0;
  /// Peak latency that decays towards the mean, in microseconds.
  double m_Peak = 0;
  TimePoint m_LastSample;
  std::uint32_t m_Samples = 0;
  std::uint32_t m_FailuresInRow = 0;
  bool m_Ejected = false;
  std::uint32_t m_Ejections = 0;
  TimePoint m_ProbeAt;
};

} // namespace balsamwheel
