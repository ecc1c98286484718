// What a daemon adds to a request: through it against straight to the target.
#pragma once

#include "bench/core/experiment.h"

namespace balsamwheel::bench {

/// One way at one rate.
struct LatencyRun {
  double m_Rate = 0;
  bool m_Direct = false;
  double m_DoneShare = 0;
  double m_P50Ms = 0;
  double m_P99Ms = 0;
  /// Processor time of the daemon per second; 0 for direct runs.
  double m_DaemonCores = 0;
};

/// Alternates both ways at 500 and 4,500 requests/s, to one target that
/// answers at once.
std::vector<LatencyRun> runAddedLatency(const ExperimentOptions &Options,
                                        std::ostream &Out);

nlohmann::json toJson(const std::vector<LatencyRun> &Runs);

} // namespace balsamwheel::bench
