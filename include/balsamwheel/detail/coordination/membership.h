// This session's place in a group: joining, heartbeats, the lease.
#pragma once

#include "balsamwheel/detail/coordination/context.h"
#include "balsamwheel/detail/coordination/group_leader.h"
#include "balsamwheel/detail/coordination/head_poller.h"
#include "balsamwheel/detail/coordination/lease.h"
#include "balsamwheel/detail/coordination/witness.h"

#include <functional>
#include <optional>
#include <string>

namespace balsamwheel {

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

  /// What this session tells the others about itself.
  void setTarget(const ServiceName &Service, std::uint32_t Slots,
                 TimePoint Now);
  void setLeaving(bool Leaving, TimePoint Now);
  /// Gives up the lease and leaves the group.
  void leave(TimePoint Now);
  bool hasLeft() const { return m_State == State::Left; }
  bool isJoined() const { return m_State == State::Joined; }

  const LeaseHolder &lease() const { return m_Lease; }
  std::uint32_t group() const { return m_Group; }
  bool isLeader(TimePoint Now) const { return m_Leader.isLeader(Now); }
  HeadPoller &poller() { return m_Poller; }

  /// Called when the session was expelled and another one begins.
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
  /// Who writes the row: members in turn, this session last.
  std::vector<SessionId> writerOrder(TimePoint Now) const;
  void requestExtension(TimePoint Now);
  void updateWitnessedSessions(TimePoint Now);
  void onEntryChanged(TimePoint Now);
  PromiseReply answerPromise(const PromiseRequest &Message, TimePoint Now);
  /// Moves the next heartbeat to the common beat of the group.
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
  State m_State = State::Idle;
  std::uint32_t m_Group = 0;
  Member m_Self;
  std::string m_Entry;
  /// The first heartbeat that carries the current entry.
  std::uint64_t m_EntrySequence = 1;
  TimePoint m_RetryAt = Never;
  TimePoint m_HeartbeatAt = Never;
  TimePoint m_LastHeartbeat;
  std::uint64_t m_HeartbeatCount = 0;
  /// When the current heartbeat goes to the next member.
  TimePoint m_NextAttemptAt = Never;
  TimePoint m_ExtendAt = Never;
  std::size_t m_Attempt = 0;
  std::size_t m_JoinRounds = 0;
  /// Heartbeats in a row that needed another writer.
  std::size_t m_Failovers = 0;
  /// Goes first in the order of writers for a while.
  SessionId m_PreferredWriter;
  TimePoint m_PreferredUntil;
  /// Row version of the last acknowledged commit.
  RowVersion m_AckedRow;
  /// Head version that the previous acknowledgement named.
  RowVersion m_AckedHead;
  /// An acknowledgement that waits until the view is as new as it says.
  std::optional<HeartbeatAck> m_DeferredAck;
};

} // namespace balsamwheel
