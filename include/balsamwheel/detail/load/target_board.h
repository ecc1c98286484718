// Choice of a target for a request whose service is not divided by key.
//
// Load pattern: targets of one service differ in speed, and some turn slow or
// fail for a while, whatever their health check says. The entrance sends each
// request where it is expected to be complete first, from the gates' own
// reports and from what it has sent since, among a few drawn at random.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace balsamwheel {

struct TargetBoardOptions {
  /// Targets drawn at random, of which the best is taken. All entrances see the
  /// same reports, some tenths of a second old: without the draw they would all
  /// send to the same target until the next report.
  std::size_t m_Sample = 3;
  /// Extra time that a target in another failure domain counts for a request
  /// with a large answer, as a part of its service time.
  double m_RemoteDownloadPenalty = 1.0;
  /// Weight of the newest outcome in a target's failure share.
  double m_FailureWeight = 0.15;
  /// A target that fails this share of its requests counts as this many times
  /// slower, see expectedCompletion().
  double m_FailureFactor = 8;
  /// Time by which old failures lose half of their weight.
  Duration m_FailureHalfLife = std::chrono::seconds(3);
};

/// What a gate says of itself.
struct GateReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  /// 0 means that the gate is shut.
  std::uint32_t m_Slots = 0;
  Duration m_Service{0};
  /// Requests a second that a cold target bears; 0 means no limit.
  double m_RateLimit = 0;
  /// How long large answers wait for the machine's link.
  Duration m_LinkWait{0};
};

/// Pure; not thread-safe.
class TargetBoard {
public:
  explicit TargetBoard(TargetBoardOptions Options) : m_Options(Options) {}

  void report(const InstanceName &Target, const GateReport &Report);
  void forget(const InstanceName &Target);
  /// A request was passed on to the target's gate.
  void sent(const InstanceName &Target);
  /// It came back; \p Failed when the target spoiled it.
  void done(const InstanceName &Target, bool Failed, TimePoint Now);

  struct Candidate {
    InstanceName m_Target;
    bool m_SameDomain = false;
    /// On the caller's own machine: no link is used.
    bool m_Local = false;
  };

  /// The candidate with the least expected completion whose gate is open, of a
  /// sample.
  ///
  /// \param Random seeds the draw.
  std::optional<InstanceName> choose(std::span<const Candidate> Candidates,
                                     bool LargeAnswer, std::uint64_t Random,
                                     TimePoint Now) const;
  /// None when the target's gate is shut or unknown.
  std::optional<Duration> expectedCompletion(const InstanceName &Target,
                                             TimePoint Now) const;

private:
  struct Entry {
    GateReport m_Report;
    /// Passed on since the last report.
    std::uint32_t m_SentSince = 0;
    double m_FailureShare = 0;
    TimePoint m_FailureAt;
  };

  double cost(const Candidate &Of, bool LargeAnswer, Duration Completion) const;
  double failureShare(const Entry &Of, TimePoint Now) const;

  TargetBoardOptions m_Options;
  std::map<InstanceName, Entry> m_Entries;
};

} // namespace balsamwheel
