// Expected service times of the routes at one target.
//
// Load pattern: a route that nothing is known of, or whose requests were slow
// for a while, at a target that has room. An estimate which refuses requests
// gets no samples that could correct it, so it has to lose its force by itself.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <map>
#include <set>
#include <string>

namespace balsamwheel {

struct ServiceTimesOptions {
  /// Smoothing factor: weight of the newest service time in the mean.
  double m_Weight = 0.1;
  /// Mean over all routes before the first sample.
  Duration m_Initial = std::chrono::milliseconds(200);
  /// While a route gets no sample, one request in this time may be sent that
  /// its expected service time would refuse or put behind others.
  Duration m_TrialInterval = std::chrono::seconds(1);
};

/// Reads no clock; not thread-safe.
class ServiceTimes {
public:
  explicit ServiceTimes(ServiceTimesOptions Options) : m_Options(Options) {}

  /// Records the service time of a request that was served.
  void add(const std::string &Route, Duration Service);
  /// Expected service time of a route; zero while it has no sample: what isn't
  /// known refuses nothing.
  Duration known(const std::string &Route) const;
  /// The same; while the route has no sample, that over all routes. For
  /// estimates of load.
  Duration expected(const std::string &Route) const;
  /// Over all routes.
  Duration mean() const;
  bool hasSamples() const { return m_Mean > 0; }
  /// Whether a request that known() would refuse may be sent as a trial. To be
  /// called for each such request; the trials are counted.
  bool takeTrial(const std::string &Route, TimePoint Now);
  /// Forgets all routes but these.
  void keepOnly(const std::set<std::string> &Routes);

private:
  struct Estimate {
    /// In microseconds.
    double m_Mean = 0;
    /// There was a sample since the last call of takeTrial().
    bool m_Sampled = true;
    /// Of the last trial, or of the first request refused since the last
    /// sample.
    TimePoint m_WithoutSampleSince;
    /// The result of a trial replaces a longer mean.
    bool m_OnTrial = false;
  };

  ServiceTimesOptions m_Options;
  std::map<std::string, Estimate> m_Routes;
  /// Over all routes, in microseconds; 0 before the first sample.
  double m_Mean = 0;
};

} // namespace balsamwheel
