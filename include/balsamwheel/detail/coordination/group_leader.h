// Writes the row of this session's group: renews its members' leases, admits
// and expels members. Also expels members of the next group.
#pragma once

#include "balsamwheel/detail/coordination/context.h"
#include "balsamwheel/detail/coordination/expulsion.h"
#include "balsamwheel/detail/coordination/head_poller.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace balsamwheel {

/// Collects heartbeats and commits them to the group's row in batches.
///
/// A writer is one of the first four members in leaderOrder(); it commits the
/// heartbeats of others. The first writer is the first of them. A leader is any
/// session that committed recently, see isLeader(). Several sessions may write
/// at once: a commit is conditional on the row's version, and a refused one is
/// retried on the newer row. These roles only keep the number of writes low:
/// any member may write the row at any time.
class GroupLeader {
public:
  /// Sends a member its acknowledgement, or the sender of a refused heartbeat
  /// its refusal; either may be this session. The last argument is the current
  /// time.
  using AckSender =
      std::function<void(const PeerAddress &, const HeartbeatAck &, TimePoint)>;
  /// Asks a witness, which may be this session, for a promise. The last
  /// argument is the current time.
  using PromiseRequestSender =
      std::function<void(SessionId Witness, const PromiseRequest &, TimePoint)>;

  GroupLeader(CoordinationContext &Context, HeadPoller &Poller,
              AckSender SendAck, PromiseRequestSender SendPromiseRequest);

  /// Selects the group whose row is written. Drops pending heartbeats and ends
  /// leadership.
  void setGroup(std::uint32_t Group);
  /// Queues a heartbeat for the next commit of the row; only the newest of each
  /// session is kept. Ignored if it is for another group.
  void onHeartbeat(const Heartbeat &Message, const PeerAddress &From,
                   TimePoint Now);
  /// Records the promise of a witness, if it was given.
  void onPromiseReply(const PromiseReply &Reply);
  /// Handles changed rows in the view: sends them to the group's members if
  /// this session is a leader, and acknowledges pending heartbeats that are now
  /// committed.
  void onViewChanged(TimePoint Now);
  /// Removes this session from the row; it is not admitted again.
  ///
  /// \param Done called with true when a commit of this session is next
  /// applied; never called with false. Failed commits are retried.
  void removeSelf(TimePoint Now, std::function<void(bool Ok)> Done);
  void onTick(TimePoint Now);
  TimePoint nextWake() const;
  /// Whether this session committed a group's row within the last two heartbeat
  /// periods. A commit of the next group's row counts too.
  bool isLeader(TimePoint Now) const;

private:
  struct PendingHeartbeat {
    Heartbeat m_Heartbeat;
    PeerAddress m_From;
  };

  GroupRow currentRow(std::uint32_t Group) const;
  /// Whether a heartbeat of \p Session makes this session commit: its own
  /// always, others only as one of the first four in leaderOrder().
  bool isWriterFor(SessionId Session) const;
  /// Whether this session is first in leaderOrder() of all members of its
  /// group, or the group has no members.
  bool isFirstWriter() const;
  /// Back-off that doubles with each consecutive failure of the table, up to a
  /// limit.
  Duration retryDelay();
  /// Commits pending changes. Reads the row first, unless this session is the
  /// first writer and its view was up to date within half a lease duration.
  void flush(TimePoint Now);
  /// Commits pending changes, based on the row in the view.
  void flushWithFreshView(TimePoint Now);
  /// Applies the pending heartbeats to \p Row; refuses those of sessions that
  /// cannot be admitted.
  ///
  /// \returns whether the change is structural, so that the head row must
  /// change too: a member was added or its entry was replaced.
  bool applyHeartbeats(GroupRow &Row);
  /// Applies one heartbeat; returns the same as applyHeartbeats().
  bool applyHeartbeat(GroupRow &Row, const PendingHeartbeat &Waiting);
  /// Removes the members that ExpulsionTracker::mayExpel() allows to expel,
  /// except this session.
  ///
  /// \returns whether a member was removed.
  bool expelSilentMembers(GroupRow &Row, TimePoint Now);
  void commitRow(GroupRow Next, bool Structural, TimePoint Now);
  void onCommitted(CommitResult Result, const std::vector<Row> &Rows,
                   bool Structural, TimePoint Now);
  /// Sends the refusals, then acknowledges the committed sequence of every
  /// member of the group if the head is recent. Drops committed heartbeats from
  /// the pending ones.
  void acknowledgeAll(TimePoint Now);
  void acknowledge(const GroupRow &Row, const GroupMember &Subject,
                   TimePoint Now);
  /// Drops pending heartbeats that the row in the view already contains, such
  /// as those committed by another writer. Acknowledges them if the head is
  /// recent.
  void acknowledgeCommitted(TimePoint Now);
  /// Whether the view was up to date within the last lease duration, as needed
  /// to acknowledge heartbeats.
  bool isHeadRecent(TimePoint Now) const;
  /// Time until all members of the group send their next heartbeat, computed
  /// from the leader's clock alone.
  Duration nextHeartbeatIn(TimePoint Now) const;
  /// Records the sequences and witnesses of the row's members.
  void observe(const GroupRow &Row, TimePoint Now);
  /// Asks the witnesses of suspect members for promises.
  void requestPromises(const GroupRow &Row, TimePoint Now);
  /// Marks members as replaced if a member that joined the group later has the
  /// same address.
  void markReplacedSessions(const GroupRow &Row, TimePoint Now);
  /// Reads the head row while this session is a leader; every fourth time also
  /// the next group's row.
  void pollHead(TimePoint Now);
  /// Sends rows changed since m_PushedHead to the group's members.
  void pushChanges();
  /// The group with the next higher number that has members. If there is none,
  /// the lowest-numbered group with members; none if that is this group.
  std::optional<std::uint32_t> nextGroup() const;
  /// Reads the next group's row. Once that row has not changed for a lease
  /// duration plus margin, none of that group's members still writes it: then
  /// requests promises and expels its silent members, under the same conditions
  /// as in this session's group.
  void watchNextGroup(TimePoint Now);

  CoordinationContext *m_Context;
  HeadPoller *m_Poller;
  AckSender m_SendAck;
  PromiseRequestSender m_SendPromiseRequest;
  ExpulsionTracker m_Expulsion;
  std::uint32_t m_Group = 0;
  /// Heartbeats that are not committed yet.
  std::unordered_map<SessionId, PendingHeartbeat> m_Pending;
  /// Answers to heartbeats of sessions that were not admitted; sent after the
  /// next commit.
  std::vector<std::pair<PeerAddress, HeartbeatAck>> m_Refusals;
  std::uint32_t m_ConsecutiveFailures = 0;
  bool m_Writing = false;
  bool m_RemoveSelf = false;
  std::function<void(bool Ok)> m_OnRemoved;
  TimePoint m_FlushAt = Never;
  /// Time of the last applied commit; not reset with the group.
  TimePoint m_LastFlush;
  /// Last commit of a group's row by this session, reset with the group.
  TimePoint m_LeadershipRenewedAt;
  TimePoint m_PollAt = Never;
  TimePoint m_ExpulsionCheckAt = Never;
  /// Number of polls of the head row by pollHead().
  std::uint32_t m_PollCount = 0;
  /// Last seen version of the next group's row, and since when it is unchanged.
  RowVersion m_WatchedVersion;
  TimePoint m_WatchedSince;
  /// Head version up to which changes were sent to the group's members, or
  /// skipped because this session was not a leader.
  RowVersion m_PushedHead;
};

} // namespace balsamwheel
