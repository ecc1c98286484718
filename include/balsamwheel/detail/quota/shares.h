// Which daemon owns how many units of the quotas: the shares row of the
// daemons' own table, when it is written, and from when on it applies.
//
// Load pattern: daemons join, leave and are cut off from each other and from
// the store, while organisations use up their quotas at all entrances. If two
// daemons counted the same units at the same time, twice the quota would run.
//
// A row that moves units is "unsettled": the units that it takes are given up
// by each daemon when it sees the row, but those that it gives aren't used yet.
// Its writer marks it as settled by a further row once no daemon can use the
// units of the earlier row any more. A daemon that hears of no newer row isn't
// sure that there is none: it uses its units only for a time after it has
// reached the table or more than half of the row's daemons. The writer waits
// longer than that, from when more than half have reported the unsettled row:
// a daemon that reaches more than half then reaches one that knows better.
//
// A restarted daemon may have been one of those that knew better. What it gets
// from a peer may be old; until it has reached the table or more than half of
// the daemons that aren't in doubt themselves, it uses no units and reports no
// revision.
#pragma once

#include "balsamwheel/detail/platform/table.h"
#include "balsamwheel/detail/quota/frames.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace balsamwheel {

/// Value of the row.
struct SharesRow {
  /// Greater than that of all earlier rows; the upper half is the era of the
  /// store, so that this holds when the store returns to an earlier copy.
  SharesRevision m_Revision;
  std::map<InstanceName, std::uint32_t> m_Units;
  /// Whether all units may be used, also those of daemons that had fewer in the
  /// earlier row.
  bool m_Settled = true;
  /// Units of the last settled row; empty in a settled row.
  std::map<InstanceName, std::uint32_t> m_Earlier;

  std::string toText() const;
  /// \returns none when the text isn't a valid row.
  static std::optional<SharesRow> fromText(const std::string &Text);
  bool operator==(const SharesRow &) const = default;
};

struct QuotaSharesOptions {
  /// The first row is written once the members have not changed for this time.
  Duration m_MembersStable = std::chrono::milliseconds(1500);
  /// The row is rewritten once its daemons and the members have differed for
  /// this time.
  Duration m_MembersDiffer = std::chrono::seconds(60);
  /// How long a daemon that reaches neither the table nor more than half of the
  /// row's daemons uses its units.
  Duration m_IsolationLimit = std::chrono::seconds(50);
  /// How long a daemon must have been silent to count as isolated; more than
  /// m_IsolationLimit.
  Duration m_SilenceLimit = std::chrono::seconds(60);
  /// Time after the last unit has been given up until a row is settled; more
  /// than the leases of units last.
  Duration m_SettleDelay = std::chrono::seconds(5);
  /// A daemon whose calls of update() are further apart has been suspended.
  Duration m_SuspensionGap = std::chrono::seconds(3);
  /// How long after a suspension reports don't count: they may have been on the
  /// way all the while.
  Duration m_SuspensionDelay = std::chrono::seconds(2);
};

/// The shares row as one daemon knows it. Performs no I/O and reads no clock;
/// not thread-safe.
///
/// Invariant: over all daemons, the sum of units() is at most QuotaUnits at any
/// time, if each row is written by a conditional commit.
class QuotaShares {
public:
  QuotaShares(InstanceName Self, QuotaSharesOptions Options, TimePoint Now)
      : m_Self(std::move(Self)), m_Options(Options), m_UpdatedAt(Now) {}

  /// Applies a row that was read from the table or got from a peer.
  /// \returns false when an equal or later revision is known.
  bool apply(const SharesRow &Row, TimePoint Now);
  /// Records a peer's report, see toReport().
  void onReport(const InstanceName &Peer, SharesRevision Applied,
                TimePoint Now);
  /// Records that row() was in force in the store at \p Started.
  /// \param Era of the store then.
  void onTableChecked(TimePoint Started, StoreEra Era);
  /// Records that time has passed; to be called at least every second. Detects
  /// suspensions of the process. Complexity: linear in the row's daemons.
  void update(TimePoint Now);
  /// Units that this daemon may use or lend; update() is to be called before.
  std::uint32_t units(TimePoint Now) const;
  /// Whether the table should be checked: few of the row's daemons have been
  /// reached for a while.
  bool needsTableCheck(TimePoint Now) const;
  /// Revision to report to peers; 0 while it is in doubt.
  SharesRevision toReport() const {
    return m_Established ? m_Row.m_Revision : SharesRevision();
  }

  /// The row to be written now by the daemon that writes it; none when the
  /// present one is right. Complexity: linear in the members.
  /// \param Members instances that are present, this one included; before the
  ///        first row all that may be, so that more than half of them include
  ///        one that has known a row which the store has lost.
  /// \param Era of the store.
  std::optional<SharesRow> next(const std::set<InstanceName> &Members,
                                StoreEra Era, TimePoint Now);

  /// Revision 0 before the first row.
  const SharesRow &row() const { return m_Row; }

private:
  struct Report {
    SharesRevision m_Applied;
    TimePoint m_At;
    /// Of the last report of no later revision than this daemon's. Others only
    /// tell that the row is no longer in force.
    TimePoint m_ReachedAt;
  };

  /// Whether \p Name has reported the row; this daemon always has.
  bool hasReported(const InstanceName &Name) const;
  /// Whether the present row, which is unsettled, can be marked as settled.
  bool canSettle(TimePoint Now);
  /// Time at which more than half of the row's daemons had last been reached.
  TimePoint majorityReachedAt(TimePoint Now) const;
  /// Whether more than half of the row's daemons are present. A smaller side of
  /// a split network must not take away the units of the others.
  bool reachesMajority(const std::set<InstanceName> &Members) const;
  SharesRow divided(const std::set<InstanceName> &Members) const;

  InstanceName m_Self;
  QuotaSharesOptions m_Options;
  SharesRow m_Row;
  /// The table or more than half of the row's daemons have confirmed a row.
  bool m_Established = false;
  /// Without regard to isolation.
  std::uint32_t m_Units = 0;
  std::map<InstanceName, Report> m_Reports;
  TimePoint m_UpdatedAt;
  TimePoint m_IgnoreReportsUntil;
  TimePoint m_TableReachedAt;
  TimePoint m_MajorityReachedAt;
  /// Since when the members have been as they are, and other than in the row.
  std::set<InstanceName> m_Members;
  TimePoint m_MembersSince;
  std::optional<TimePoint> m_DifferSince;
  /// While the row is unsettled: since when this daemon knows it, more than
  /// half of the earlier daemons have reported it, and all have.
  TimePoint m_AppliedAt;
  std::optional<TimePoint> m_MajoritySince;
  std::optional<TimePoint> m_AllSince;
};

} // namespace balsamwheel
