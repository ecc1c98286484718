// Decides which report is due on a connection to a peer.
//
// Load pattern: in a full mesh of 75 daemons, each sent a report of 200 bytes
// to each other one in each interval: 23 KB/s, nine tenths of which told
// nothing new. Most fields change with an operator's or a target's action only,
// and an entrance in another failure domain needs the load of a gate only
// roughly.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/load/target_selector.h"

#include <cstdint>
#include <optional>

namespace balsamwheel {

/// What a report would tell now.
struct ReportedState {
  GateReport m_Gate;
  /// These increase with each change of the fields that only a full report has,
  /// of the known rows, and of the age of the operators' table.
  std::uint64_t m_FullRevision = 0;
  std::uint64_t m_RowsRevision = 0;
  std::uint64_t m_AgeRevision = 0;
};

/// At most one report is sent: a full one, which contains everything, or a beat
/// with some parts.
struct DueReport {
  bool m_Full = false;
  bool m_Beat = false;
  bool m_Rows = false;
  bool m_Age = false;

  bool operator==(const DueReport &) const = default;
};

/// Times between reports on all connections of a daemon.
struct ReportIntervals {
  /// Between two reports in the receiver's failure domain whose gate's state
  /// has changed, and between two looks at the schedule.
  Duration m_Interval{0};
  /// Between two reports that tell nothing new, or to another failure domain
  /// nothing much.
  Duration m_IdleInterval{0};
  /// Between two full reports without a change.
  Duration m_FullInterval{0};
};

/// The schedule of one connection. Performs no I/O and reads no clock; not
/// thread-safe. Invariants: the first report is full; a beat follows a full
/// report with the same full revision; no change of rows or age waits for
/// longer than until the next call of due().
class ReportSchedule {
public:
  /// \param OwnDomain whether the receiver is in the sender's failure domain.
  explicit ReportSchedule(bool OwnDomain = false) : m_OwnDomain(OwnDomain) {}

  /// Returns what to send now. Complexity: constant.
  DueReport due(const ReportedState &State, const ReportIntervals &Intervals,
                TimePoint Now) const;
  /// Records that a report has been sent; \p Sent is what due() returned, or
  /// a full report.
  void sent(const ReportedState &State, const DueReport &Sent, TimePoint Now);

private:
  bool gateIsDue(const GateReport &Gate, const ReportIntervals &Intervals,
                 TimePoint Now) const;

  bool m_OwnDomain;
  /// As last sent; none before the first report.
  std::optional<ReportedState> m_Told;
  TimePoint m_LastSent;
  TimePoint m_LastFull;
};

/// Whether an entrance far away has to know the change: the gate has opened or
/// closed, or its load has changed by more than a quarter of its slots.
bool changedMuch(const GateReport &Old, const GateReport &New);

} // namespace balsamwheel
