// Writes a group's row: renews its members' leases, admits and expels members.
#pragma once

#include "balsamwheel/detail/coordination/context.h"
#include "balsamwheel/detail/coordination/expulsion.h"
#include "balsamwheel/detail/coordination/head_poller.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace balsamwheel {

/// Collects heartbeats and commits them to the group's row in batches.
/// Leadership serves only to keep the number of writes low: any member may
/// write the row at any time, since writes are conditional on its version.
class GroupLeader {
public:
  /// Sends the acknowledgement of a heartbeat, which may be this session's own.
  using AckSender =
      std::function<void(const PeerAddress &, const HeartbeatAck &, TimePoint)>;
  /// Asks a witness, which may be this session, for a promise.
  using PromiseRequestSender =
      std::function<void(SessionId Witness, const PromiseRequest &, TimePoint)>;

  GroupLeader(CoordinationContext &Context, HeadPoller &Poller,
              AckSender SendAck, PromiseRequestSender SendPromiseRequest);

  /// Selects the group whose row is written.
  void setGroup(std::uint32_t Group);
  /// Queues a heartbeat for the next commit of the row.
  void onHeartbeat(const Heartbeat &Message, const PeerAddress &From,
                   TimePoint Now);
  void onPromiseReply(const PromiseReply &Reply);
  /// Handles changed rows in the view: sends them to the group's members if
  /// this session leads, and acknowledges heartbeats that are now committed.
  void onViewChanged(TimePoint Now);
  /// Removes this session from the row; it is not admitted again.
  ///
  /// \param Done called once the removal is committed.
  void removeSelf(TimePoint Now, std::function<void(bool Ok)> Done);
  void onTick(TimePoint Now);
  TimePoint nextWake() const;
  /// Whether this session committed a group's row within the last two heartbeat
  /// periods.
  bool isLeader(TimePoint Now) const;

private:
  struct PendingHeartbeat {
    Heartbeat m_Heartbeat;
    PeerAddress m_From;
  };

  GroupRow currentRow(std::uint32_t Group) const;
  /// Whether this session commits heartbeats of \p Session: its own always,
  /// others only as one of the first in the leader order.
  bool isWriterFor(SessionId Session) const;
  bool isFirstWriter() const;
  /// Back-off that doubles with each consecutive failure of the table, up to a
  /// limit.
  Duration retryDelay();
  void flush(TimePoint Now);
  void flushWithFreshView(TimePoint Now);
  /// \returns whether the change is structural, so that the head row must
  /// change too: a member was added or its entry was replaced.
  bool applyHeartbeats(GroupRow &Row);
  bool applyHeartbeat(GroupRow &Row, const PendingHeartbeat &Waiting);
  bool expelSilentMembers(GroupRow &Row, TimePoint Now);
  void commitRow(GroupRow Next, bool Structural, TimePoint Now);
  void onCommitted(CommitResult Result, const std::vector<Row> &Rows,
                   bool Structural, TimePoint Now);
  void acknowledgeAll(TimePoint Now);
  void acknowledge(const GroupRow &Row, const GroupMember &Subject,
                   TimePoint Now);
  /// Acknowledges pending heartbeats that another writer has committed.
  void acknowledgeCommitted(TimePoint Now);
  /// Whether the head row was read recently enough to acknowledge heartbeats.
  bool isHeadRecent(TimePoint Now) const;
  /// Time until all members of the group send their next heartbeat, computed
  /// from the leader's clock alone.
  Duration nextHeartbeatIn(TimePoint Now) const;
  void observe(const GroupRow &Row, TimePoint Now);
  void requestPromises(const GroupRow &Row, TimePoint Now);
  /// Marks members whose address is used by a newer session as replaced.
  void markReplacedSessions(const GroupRow &Row, TimePoint Now);
  void pollHead(TimePoint Now);
  void pushChanges();
  /// The group with the next higher number that has members, or else the lowest
  /// one; none if there is no other.
  std::optional<std::uint32_t> nextGroup() const;
  /// Reads the next group's row. Expels silent members once the row has not
  /// changed for a lease duration plus margin: no member of it still writes it.
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
  TimePoint m_LastFlush;
  /// Last commit of a group's row by this session, reset with the group.
  TimePoint m_LeadershipRenewedAt;
  TimePoint m_PollAt = Never;
  TimePoint m_ExpulsionCheckAt = Never;
  std::uint32_t m_PollCount = 0;
  /// Last seen version of the next group's row, and since when it is unchanged.
  RowVersion m_WatchedVersion;
  TimePoint m_WatchedSince;
  /// Head version up to which changes were sent to the group's members.
  RowVersion m_PushedHead;
};

} // namespace balsamwheel
