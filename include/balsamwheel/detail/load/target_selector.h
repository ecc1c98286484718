// Chooses a target for a request whose service is not divided by key.
//
// Load pattern: targets of one service differ in speed, and some become slow or
// fail for a while even though their health checks pass. Out of a few targets
// drawn at random, the entrance chooses the one with the least expected
// completion time, based on the reports of the gates and on what it has sent
// since those reports.
//
// Answers that cross failure domains fill the links between them, so a target
// of the caller's domain is chosen first, as long as it will probably answer
// within a part of the time that the request has left. When demand swings
// beyond the room of a domain, its entrances send a growing part elsewhere, in
// proportion to the room there.
//
// Some targets reject or reset most requests for seconds, because they are full
// before their slots are. They get less in proportion, and more again as they
// accept.
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
  /// As above, of the rejection rate.
  double m_RejectionWeight = 0.1;
  Duration m_RejectionHalfLife = std::chrono::milliseconds(1500);
  /// A target that rejects all requests still gets this part of its share, to
  /// find out when it accepts again.
  double m_MinAcceptance = 0.05;
  /// A request stays in its domain while the expected completion is within this
  /// part of the time left until its objective...
  double m_HomeShare = 0.4;
  /// ...and leaves it, if there is room elsewhere, beyond this part. Between
  /// the two, the probability rises, so that entrances don't all change at
  /// once.
  double m_SpillShare = 0.8;
};

/// How a forwarded request ended, for its target.
enum class AttemptEnd : std::uint8_t {
  /// Neither of the others, whatever became of the request.
  Accepted,
  /// The target caused it to fail.
  Failed,
  /// The target rejected it or reset its connection.
  Rejected,
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
  void done(const InstanceName &Target, AttemptEnd End, TimePoint Now);
  void done(const InstanceName &Target, bool Failed, TimePoint Now) {
    done(Target, Failed ? AttemptEnd::Failed : AttemptEnd::Accepted, Now);
  }

  struct Candidate {
    InstanceName m_Target;
    bool m_SameDomain = false;
    /// On the caller's machine: the answer needs no network link.
    bool m_Local = false;
  };

  /// Chooses among the candidates whose gates are open; std::nullopt when there
  /// are none. Complexity: linear in the number of candidates.
  ///
  /// \param Random seed of the choice.
  /// \param TimeLeft until the request's objective. Without any left, or for a
  /// large answer, the one with the lowest cost out of a sample of all
  /// candidates is chosen.
  std::optional<InstanceName>
  choose(std::span<const Candidate> Candidates, bool LargeAnswer,
         std::uint64_t Random, TimePoint Now,
         Duration TimeLeft = Duration::zero()) const;
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
    /// Likewise.
    double m_RejectionRate = 0;
    TimePoint m_RejectionRateAt;
  };
  struct OpenCandidate {
    const Candidate *m_Candidate;
    double m_Cost;
    /// Service time in microseconds; positive.
    double m_Service;
  };
  class Draw;

  /// Mean of the known service times: a target that has just started is taken
  /// for a usual one, so that it gets its first requests.
  Duration typicalService(std::span<const Candidate> Candidates) const;
  double cost(const Candidate &Option, bool LargeAnswer,
              Duration Completion) const;
  double failureRate(const Entry &Target, TimePoint Now) const;
  double rejectionRate(const Entry &Target, TimePoint Now) const;
  /// Requests that the target can take within a time, including the part of it
  /// that it would reject.
  double room(const OpenCandidate &Option, double Within) const;

  TargetSelectorOptions m_Options;
  std::map<InstanceName, Entry> m_Entries;
};

} // namespace balsamwheel
