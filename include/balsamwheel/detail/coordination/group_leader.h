// Writes a group's row: renews its members' leases, admits and expels.
#pragma once

#include "balsamwheel/detail/coordination/context.h"
#include "balsamwheel/detail/coordination/expulsion.h"
#include "balsamwheel/detail/coordination/head_poller.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace balsamwheel {

/// Any member may write the row at any time; the writes are conditional, and
/// leadership only keeps them few.
class GroupLeader {
public:
  /// Acknowledges a heartbeat, to this session or another.
  using AckSender =
      std::function<void(const PeerAddress &, const HeartbeatAck &, TimePoint)>;
  /// Asks a witness, this session or another, for a promise.
  using PromiseRequestSender =
      std::function<void(SessionId Witness, const PromiseRequest &, TimePoint)>;

  GroupLeader(CoordinationContext &Context, HeadPoller &Poller,
              AckSender SendAck, PromiseRequestSender SendPromiseRequest);

  /// Writes the row of this group from now on.
  void setGroup(std::uint32_t Group);
  /// A heartbeat to put into the row.
  void onHeartbeat(const Heartbeat &Message, const PeerAddress &From,
                   TimePoint Now);
  void onPromiseReply(const PromiseReply &Reply);
  /// Rows of the view changed: new sequences and members may stand there.
  void onViewChanged(TimePoint Now);
  /// Takes this session out of the row for good.
  void removeSelf(TimePoint Now, std::function<void(bool Ok)> Done);
  void onTick(TimePoint Now);
  TimePoint nextWake() const;
  bool isLeader(TimePoint Now) const;

private:
  struct PendingHeartbeat {
    Heartbeat m_Heartbeat;
    PeerAddress m_From;
  };

  GroupRow currentRow(std::uint32_t Group) const;
  bool isWriterFor(SessionId Session) const;
  bool isFirstWriter() const;
  /// Grows with each failure of the table in a row.
  Duration retryDelay();
  void flush(TimePoint Now);
  void flushWithFreshView(TimePoint Now);
  /// \returns whether more than sequences changed.
  bool applyHeartbeats(GroupRow &Row);
  bool applyHeartbeat(GroupRow &Row, const PendingHeartbeat &Value);
  bool expelSilentMembers(GroupRow &Row, TimePoint Now);
  void commitRow(GroupRow Next, bool Structural, TimePoint Now);
  void onCommitted(CommitResult Result, const std::vector<Row> &Rows,
                   bool Structural, TimePoint Now);
  void acknowledgeAll(TimePoint Now);
  void acknowledge(const GroupRow &Row, const GroupMember &Value,
                   TimePoint Now);
  /// Acknowledges heartbeats that another writer put into the row.
  void acknowledgeCommitted(TimePoint Now);
  /// The head row was read lately enough to acknowledge.
  bool isHeadRecent(TimePoint Now) const;
  /// Time until the group's common beat, from the leader's clock alone.
  Duration nextHeartbeatIn(TimePoint Now) const;
  void observe(const GroupRow &Row, TimePoint Now);
  void requestPromises(const GroupRow &Row, TimePoint Now);
  /// Notes members whose address a newer session listens at.
  void markReplacedSessions(const GroupRow &Row, TimePoint Now);
  void pollHead(TimePoint Now);
  void pushChanges();
  std::optional<std::uint32_t> nextGroup() const;
  void watchNextGroup(TimePoint Now);

  CoordinationContext *m_Context;
  HeadPoller *m_Poller;
  AckSender m_SendAck;
  PromiseRequestSender m_SendPromiseRequest;
  ExpulsionTracker m_Expulsion;
  std::uint32_t m_Group = 0;
  /// Heartbeats that do not stand in the table yet.
  std::unordered_map<SessionId, PendingHeartbeat> m_Pending;
  std::vector<std::pair<PeerAddress, HeartbeatAck>> m_Refusals;
  std::uint32_t m_ConsecutiveFailures = 0;
  bool m_Writing = false;
  bool m_RemoveSelf = false;
  std::function<void(bool Ok)> m_OnRemoved;
  TimePoint m_FlushAt = Never;
  TimePoint m_LastFlush;
  TimePoint m_LeadershipRenewedAt;
  TimePoint m_PollAt = Never;
  TimePoint m_ExpulsionCheckAt = Never;
  std::uint32_t m_PollCount = 0;
  /// The next group's row as seen last, and since when it stands so.
  RowVersion m_WatchedVersion;
  TimePoint m_WatchedSince;
  /// Head version up to which the group's members were sent changes.
  RowVersion m_PushedHead;
};

} // namespace balsamwheel
