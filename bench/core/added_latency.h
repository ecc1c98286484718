// Measures the latency that a daemon adds: requests through the daemon compared
// with requests sent directly to a target.
#pragma once

#include "bench/core/experiment.h"

namespace balsamwheel::bench {

/// One run, either through the daemon or directly, at one request rate.
struct LatencyRun {
  /// Requests per second.
  double m_Rate = 0;
  bool m_Direct = false;
  /// Share of all requests that ended with the answer Done.
  double m_DoneShare = 0;
  double m_P50Ms = 0;
  double m_P99Ms = 0;
  /// Processor time of the daemon per second of wall-clock time, in cores;
  /// about 0 for direct runs.
  double m_DaemonCores = 0;
};

/// Alternates direct runs and runs through the daemon at 500 and 4,500
/// requests/s, each against one target with a service time of 0.
std::vector<LatencyRun> runAddedLatency(const ExperimentOptions &Options,
                                        std::ostream &Out);

nlohmann::json toJson(const std::vector<LatencyRun> &Runs);

} // namespace balsamwheel::bench
