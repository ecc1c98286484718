// Membership of this session in a group: joining, heartbeats, lease renewal
// and leaving.
#pragma once

#include "balsamwheel/detail/coordination/context.h"
#include "balsamwheel/detail/coordination/group_leader.h"
#include "balsamwheel/detail/coordination/head_poller.h"
#include "balsamwheel/detail/coordination/lease.h"
#include "balsamwheel/detail/coordination/witness.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

/// Joins a group, renews the session's lease through heartbeats, acts as a
/// witness for other members and starts a new session after an expulsion.
class Membership {
public:
  explicit Membership(CoordinationContext &Context);

  void start(TimePoint Now);
  void onTick(TimePoint Now);
  TimePoint nextWake() const;
  void onHeartbeat(const Heartbeat &Message, const PeerAddress &From,
                   TimePoint Now);
  void onAck(const HeartbeatAck &Message, const PeerAddress &From,
             TimePoint Now);
  void onExtendRequest(const ExtendRequest &Message, TimePoint Now);
  void onExtendReply(const ExtendReply &Message, TimePoint Now);
  void onPromiseRequest(const PromiseRequest &Message, const PeerAddress &From,
                        TimePoint Now);
  void onPromiseReply(const PromiseReply &Message);
  void onChangesRequest(const ChangesRequest &Message, const PeerAddress &From);
  void onViewChanged(TimePoint Now);

  /// Updates the service and slots that this session publishes in its entry.
  void setTarget(const ServiceName &Service, std::uint32_t Slots,
                 TimePoint Now);
  /// Publishes whether this session takes no new work.
  void setLeaving(bool Leaving, TimePoint Now);
  /// Releases the lease and removes this session from its group's row.
  void leave(TimePoint Now);
  bool hasLeft() const { return m_State == State::Left; }
  bool isJoined() const { return m_State == State::Joined; }

  const LeaseHolder &lease() const { return m_Lease; }
  std::uint32_t group() const { return m_Group; }
  bool isLeader(TimePoint Now) const { return m_Leader.isLeader(Now); }
  HeadPoller &poller() { return m_Poller; }

  /// Called after an expulsion, once the new session id is set.
  std::function<void()> m_OnNewSession;

private:
  enum class State : std::uint8_t {
    Idle,
    Reading,
    Joining,
    Joined,
    Leaving,
    Left
  };

  void readTable(TimePoint Now);
  void beginJoin(TimePoint Now);
  std::uint32_t chooseGroup() const;
  void rejoinAsNewSession(TimePoint Now);
  void startHeartbeat(TimePoint Now);
  void sendToNextWriter(TimePoint Now);
  void broadcastHeartbeat();
  Heartbeat makeHeartbeat() const;
  /// The members to send a heartbeat to, in order, until one of them commits
  /// it to the group's row. This session comes last unless it is first in the
  /// order, and is left out of most heartbeats while witnesses extend its
  /// lease.
  std::vector<SessionId> writerOrder(TimePoint Now) const;
  void requestExtension(TimePoint Now);
  void updateWitnessedSessions(TimePoint Now);
  void onEntryChanged(TimePoint Now);
  PromiseReply answerPromise(const PromiseRequest &Message, TimePoint Now);
  /// The answer of this session, and a promise for each earlier session at this
  /// address, subject or witness, that ended long ago: it can neither act nor
  /// grant any more.
  std::vector<PromiseReply> answerPromises(const PromiseRequest &Message,
                                           TimePoint Now);
  /// Whether all leases and grants of an earlier session at this address have
  /// run out.
  bool hasEndedLongAgo(SessionId Former, TimePoint Now) const;
  /// Lease duration plus the margin for clock drift.
  Duration grantDuration() const;
  /// Moves the next heartbeat to the time at which the whole group renews.
  void alignHeartbeat(TimePoint GroupHeartbeatAt);
  void applyAck(const HeartbeatAck &Message, const PeerAddress &From,
                TimePoint Now);
  void preferWriter(const PeerAddress &Writer, TimePoint Now);
  void scheduleExtension();
  bool isUpToDate(RowVersion Head, TimePoint Now) const;

  CoordinationContext *m_Context;
  HeadPoller m_Poller;
  GroupLeader m_Leader;
  LeaseHolder m_Lease;
  Witness m_Witness;
  /// Start of this daemon; all sessions of earlier runs had ended by then.
  TimePoint m_StartedAt;
  /// End of the sessions that were joined by this daemon and left recently.
  std::map<SessionId, TimePoint> m_FormerSessions;
  State m_State = State::Idle;
  std::uint32_t m_Group = 0;
  Member m_Self;
  /// Serialised m_Self, as sent in heartbeats.
  std::string m_Entry;
  /// Sequence of the first heartbeat that carries the current entry.
  std::uint64_t m_EntrySequence = 1;
  /// Next read of the table while joining; end of the time-out while leaving.
  TimePoint m_RetryAt = Never;
  TimePoint m_HeartbeatAt = Never;
  TimePoint m_LastHeartbeat;
  std::uint64_t m_HeartbeatCount = 0;
  /// When the current heartbeat is sent to the next writer.
  TimePoint m_NextAttemptAt = Never;
  TimePoint m_ExtendAt = Never;
  /// Number of writers that the current heartbeat was sent to.
  std::size_t m_Attempt = 0;
  /// Number of attempts to join a group since this daemon was last a member.
  std::size_t m_JoinRounds = 0;
  /// Consecutive heartbeats that the first writer did not acknowledge in time.
  std::size_t m_Failovers = 0;
  /// Comes first in the writer order until m_PreferredUntil.
  SessionId m_PreferredWriter;
  TimePoint m_PreferredUntil;
  /// Highest version of the group's row in an acknowledgement.
  RowVersion m_AckedRow;
  /// Highest head version in an acknowledgement so far.
  RowVersion m_AckedHead;
  /// An acknowledgement that is applied once the view has reached its head
  /// version.
  std::optional<HeartbeatAck> m_DeferredAck;
};

} // namespace balsamwheel
