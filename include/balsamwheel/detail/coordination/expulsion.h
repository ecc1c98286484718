// The taker's side of leases: when a silent session may be expelled.
#pragma once

#include "balsamwheel/detail/coordination/group_row.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <set>
#include <unordered_map>

namespace balsamwheel {

/// Watches the sequences of sessions. Invariant: mayExpel() is true only when
/// the sequence in the row has been seen for a lease plus margin and a quorum
/// of witnesses promised for it, with what a former witness granted run out.
class ExpulsionTracker {
public:
  struct Options {
    /// The lease plus the margin for clock drift.
    Duration m_LeaseWait{0};
    /// After this time no promise is needed.
    Duration m_PromiseLimit{0};
    /// A sequence that stands longer is suspicious.
    Duration m_SuspectAfter{0};
    bool m_UseWitnesses = true;
  };

  explicit ExpulsionTracker(Options Values) : m_Options(Values) {}

  /// Saw a member's part of the row.
  void observe(const GroupMember &Subject, TimePoint Now);
  /// Saw a sequence in a heartbeat.
  void observe(SessionId Session, std::uint64_t Sequence, TimePoint Now);
  void onPromise(SessionId Subject, std::uint64_t Sequence, SessionId Witness);
  bool isSuspect(const GroupMember &Subject, TimePoint Now) const;
  /// Whether the lease wait is over, promises aside.
  bool isLeaseWaitOver(const GroupMember &Subject, TimePoint Now) const;
  /// Another session listens at a witness's address: the witness can neither
  /// be asked nor grant any more, but what it granted may still hold.
  void markReplaced(SessionId Witness, TimePoint Now);
  bool mayExpel(const GroupMember &Subject, TimePoint Now) const;
  void forget(SessionId Session);

private:
  struct Record {
    std::uint64_t m_Sequence = 0;
    TimePoint m_UnchangedSince;
    std::set<SessionId> m_Promises;
  };
  struct WitnessSet {
    std::vector<SessionId> m_Witnesses;
    /// Grants of a witness that left before may hold for a lease more.
    TimePoint m_UnchangedSince;
  };

  /// Witnesses that surely have no grant outstanding and make none.
  std::size_t countNonGranting(const GroupMember &Subject, TimePoint Now) const;
  bool isReplacedAndExpired(SessionId Witness, TimePoint Now) const;
  bool isPastPromiseLimit(const GroupMember &Subject, TimePoint Now) const;
  bool hasPromised(const GroupMember &Subject, SessionId Witness) const;

  Options m_Options;
  std::unordered_map<SessionId, Record> m_Records;
  std::unordered_map<SessionId, WitnessSet> m_WitnessSets;
  /// When each replaced witness was noticed.
  std::unordered_map<SessionId, TimePoint> m_Replaced;
};

} // namespace balsamwheel
