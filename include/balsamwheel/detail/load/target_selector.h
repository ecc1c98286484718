// Chooses a target for a request whose service is not divided by key.
//
// Load pattern: targets of one service differ in speed, and some become slow or
// fail for a while even though their health checks pass. Out of a few targets
// drawn at random, the entrance chooses the one with the least expected
// completion time, based on the reports of the gates and on what it has sent
// since those reports.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace balsamwheel {

struct TargetSelectorOptions {
  /// Number of targets drawn at random, of which the best is chosen. All
  /// entrances see the same reports, which are some tenths of a second old:
  /// without sampling they would all send to the same target until the next
  /// report.
  std::size_t m_SampleSize = 3;
  /// Cost added to a target in another failure domain for a request with a
  /// large answer, as a multiple of the target's service time.
  double m_RemoteDownloadPenalty = 1.0;
  /// Smoothing factor: weight of the newest outcome in a target's failure rate.
  double m_FailureWeight = 0.15;
  /// The expected completion time of a target is multiplied by 1 plus this
  /// factor times its failure rate, see expectedCompletion().
  double m_FailureFactor = 8;
  /// Half-life of the failure rate.
  Duration m_FailureHalfLife = std::chrono::seconds(3);
};

/// Service time assumed while no target of a service has a measured one.
inline constexpr Duration AssumedServiceTime = std::chrono::milliseconds(200);

/// State of a gate as it reports it to other instances.
struct GateReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  /// 0 means that the gate is closed.
  std::uint32_t m_Slots = 0;
  /// Mean service time; 0 while it isn't known.
  Duration m_Service{0};
  /// Requests per second that the target gets at most; 0 means no limit.
  double m_RateLimit = 0;
  /// With a limit: requests that it allows at once, see
  /// RequestGate::spareTokens().
  double m_SpareTokens = 0;
  /// Expected wait of a large answer for the link of the target's machine.
  Duration m_LinkWait{0};

  bool operator==(const GateReport &) const = default;
};

/// Service time to report for a target that has been idle for \p Idle.
///
/// A target that was slow while it was cold is expensive to choose, gets no
/// requests and would keep its estimate for good. The estimate of an idle
/// target therefore falls, to a quarter at least, until the target is tried
/// again.
Duration idleServiceTime(Duration Mean, Duration Idle);

/// Performs no I/O and reads no clock; not thread-safe.
class TargetSelector {
public:
  explicit TargetSelector(TargetSelectorOptions Options) : m_Options(Options) {}

  void report(const InstanceName &Target, const GateReport &Report);
  void forget(const InstanceName &Target);
  /// Records that a request was forwarded to the target's gate.
  void sent(const InstanceName &Target);
  /// Records the end of a forwarded request.
  ///
  /// \param Failed whether the target caused it to fail.
  void done(const InstanceName &Target, bool Failed, TimePoint Now);

  struct Candidate {
    InstanceName m_Target;
    bool m_SameDomain = false;
    /// On the caller's machine: the answer needs no network link.
    bool m_Local = false;
  };

  /// Draws a sample of the candidates whose gates are open and returns the one
  /// with the lowest cost; std::nullopt when no gate is open.
  ///
  /// \param Random seed of the sample.
  std::optional<InstanceName> choose(std::span<const Candidate> Candidates,
                                     bool LargeAnswer, std::uint64_t Random,
                                     TimePoint Now) const;
  /// Expected time until one more request would be complete, increased by the
  /// target's failure rate; std::nullopt when its gate is closed or unknown.
  ///
  /// \param TypicalService assumed while the target's service time isn't known.
  std::optional<Duration>
  expectedCompletion(const InstanceName &Target, TimePoint Now,
                     Duration TypicalService = AssumedServiceTime) const;

private:
  struct Entry {
    GateReport m_Report;
    /// Requests forwarded since the last report.
    std::uint32_t m_SentSinceReport = 0;
    /// Failure rate as of m_FailureRateAt, within [0, 1].
    double m_FailureRate = 0;
    TimePoint m_FailureRateAt;
  };

  /// Mean of the known service times: a target that has just started is taken
  /// for a usual one, so that it gets its first requests.
  Duration typicalService(std::span<const Candidate> Candidates) const;
  double cost(const Candidate &Option, bool LargeAnswer,
              Duration Completion) const;
  double failureRate(const Entry &Target, TimePoint Now) const;

  TargetSelectorOptions m_Options;
  std::map<InstanceName, Entry> m_Entries;
};

} // namespace balsamwheel
