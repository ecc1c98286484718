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
  using Acknowledge =
      std::function<void(const PeerAddress &, const HeartbeatAck &, TimePoint)>;
  /// Asks a witness, this session or another, for a promise.
  using AskWitness =
      std::function<void(SessionId Witness, const PromiseRequest &, TimePoint)>;

  GroupLeader(CoordinationContext &Context, HeadPoller &Poller,
              Acknowledge OnAck, AskWitness OnAsk);

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
  struct Pending {
    Heartbeat m_Heartbeat;
    PeerAddress m_From;
  };

  GroupRow currentRow(std::uint32_t Group) const;
  bool isWriterFor(SessionId Session) const;
  bool isFirst() const;
  /// Grows with each failure of the table in a row.
  Duration retryDelay();
  void flush(TimePoint Now);
  void flushWithFreshView(TimePoint Now);
  /// \returns whether more than sequences changed.
  bool applyHeartbeats(GroupRow &Row);
  bool applyOne(GroupRow &Row, const Pending &Value);
  bool expelSilent(GroupRow &Row, TimePoint Now);
  void commitRow(GroupRow Next, bool Structural, TimePoint Now);
  void onCommitted(CommitResult Result, const std::vector<Row> &Rows,
                   bool Structural, TimePoint Now);
  void acknowledgeAll(TimePoint Now);
  void acknowledge(const GroupRow &Row, const GroupMember &Value,
                   TimePoint Now);
  /// Acknowledges heartbeats that another writer put into the row.
  void releaseServed(TimePoint Now);
  /// The head row was read lately enough to acknowledge.
  bool knowsHead(TimePoint Now) const;
  /// Time until the group's common beat, from the leader's clock alone.
  Duration nextBeatIn(TimePoint Now) const;
  void observe(const GroupRow &Row, TimePoint Now);
  void askWitnesses(const GroupRow &Row, TimePoint Now);
  /// Notes members whose address a newer session listens at.
  void noteReplaced(const GroupRow &Row, TimePoint Now);
  void pollHead(TimePoint Now);
  void pushChanges();
  std::optional<std::uint32_t> nextGroup() const;
  void watchNextGroup(TimePoint Now);

  CoordinationContext *m_Context;
  HeadPoller *m_Poller;
  Acknowledge m_Acknowledge;
  AskWitness m_AskWitness;
  ExpulsionJudge m_Judge;
  std::uint32_t m_Group = 0;
  /// Heartbeats that do not stand in the table yet.
  std::unordered_map<SessionId, Pending> m_Pending;
  std::vector<std::pair<PeerAddress, HeartbeatAck>> m_Refusals;
  std::uint32_t m_Failures = 0;
  bool m_Writing = false;
  bool m_RemoveSelf = false;
  std::function<void(bool Ok)> m_Removed;
  TimePoint m_FlushAt = Never;
  TimePoint m_LastFlush;
  TimePoint m_LedAt;
  TimePoint m_PollAt = Never;
  TimePoint m_JudgeAt = Never;
  std::uint32_t m_Polls = 0;
  /// The next group's row as seen last, and since when it stands so.
  RowVersion m_WatchedVersion;
  TimePoint m_WatchedSince;
  /// Head version up to which the group's members were sent changes.
  RowVersion m_Pushed;
};

} // namespace balsamwheel
