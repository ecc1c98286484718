// The expelling side of leases: decides when a session that stopped renewing
// may be expelled.
#pragma once

#include "balsamwheel/detail/coordination/group_row.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <set>
#include <unordered_map>

namespace balsamwheel {

/// Tracks the renewal sequences of sessions. Invariant: mayExpel() is true only
/// when the sequence in the row has not changed for the lease duration plus
/// margin and, unless witnesses are not used or the limit on extensions has
/// passed, a quorum of witnesses has promised or can no longer grant. A witness
/// that was replaced or has left counts only after its grants have expired.
class ExpulsionTracker {
public:
  struct Options {
    /// Lease duration plus the margin for clock drift.
    Duration m_LeaseWait{0};
    /// A session whose sequence is unchanged for this long may be expelled
    /// without promises.
    Duration m_PromiseLimit{0};
    /// A sequence unchanged for this long makes its session suspect.
    Duration m_SuspectAfter{0};
    bool m_UseWitnesses = true;
  };

  explicit ExpulsionTracker(Options Values) : m_Options(Values) {}

  /// Records sequence and witnesses of a member as they are in the row.
  void observe(const GroupMember &Subject, TimePoint Now);
  /// Records a sequence from a heartbeat.
  void observe(SessionId Session, std::uint64_t Sequence, TimePoint Now);
  /// Records a witness's promise. Ignored unless it is for the newest known
  /// sequence.
  void onPromise(SessionId Subject, std::uint64_t Sequence, SessionId Witness);
  bool isSuspect(const GroupMember &Subject, TimePoint Now) const;
  /// Whether the lease has expired for certain, not counting extensions by
  /// witnesses.
  bool isLeaseWaitOver(const GroupMember &Subject, TimePoint Now) const;
  /// Records that a newer session uses a session's address: it can no longer
  /// answer, grant or be granted an extension, but earlier grants, those that
  /// it has given and those that it has got, may still be in force.
  void markReplaced(SessionId Session, TimePoint Now);
  bool mayExpel(const GroupMember &Subject, TimePoint Now) const;
  void forget(SessionId Session);

private:
  struct Record {
    std::uint64_t m_Sequence = 0;
    /// When the sequence was first seen.
    TimePoint m_UnchangedSince;
    std::set<SessionId> m_Promises;
  };
  struct WitnessSet {
    std::vector<SessionId> m_Witnesses;
    /// When this set was first seen. Grants of a witness that left before may
    /// be in force for another lease duration.
    TimePoint m_UnchangedSince;
  };

  /// Number of witnesses that certainly have no grant outstanding and will make
  /// none; vacant places are included.
  std::size_t countNonGranting(const GroupMember &Subject, TimePoint Now) const;
  bool isReplacedAndExpired(SessionId Session, TimePoint Now) const;
  bool isPastPromiseLimit(const GroupMember &Subject, TimePoint Now) const;
  bool hasPromised(const GroupMember &Subject, SessionId Witness) const;

  Options m_Options;
  std::unordered_map<SessionId, Record> m_Records;
  std::unordered_map<SessionId, WitnessSet> m_WitnessSets;
  /// When the replacement of a session was first seen.
  std::unordered_map<SessionId, TimePoint> m_Replaced;
};

} // namespace balsamwheel
