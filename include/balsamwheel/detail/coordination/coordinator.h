// Membership, leases, shard ownership and configuration of one daemon: a pure
// state machine fed with time, messages and table replies.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/manifest/model.h"
#include "balsamwheel/detail/node/effects.h"
#include "balsamwheel/detail/wire/control.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

/// How a shard changes hands between two live owners.
enum class HandoverMode : std::uint8_t {
  /// The new owner serves at once; only keys with running orders wait.
  SwitchThenResolve,
  /// The former owner finishes its orders first, then yields.
  DrainThenSwitch,
};

/// Periods and margins of the coordination protocols.
struct CoordinationTiming {
  Duration m_HeartbeatPeriod = std::chrono::milliseconds(600);
  Duration m_Lease = std::chrono::milliseconds(1800);
  /// Added by whoever waits for another's lease to end: clock drift.
  Duration m_LeaseMargin = std::chrono::milliseconds(180);
  /// An order ends this long before the lease that covers it.
  Duration m_OrderMargin = std::chrono::milliseconds(100);
  /// A missing ack of a heartbeat sends it to the next member in rank.
  Duration m_AckTimeout = std::chrono::milliseconds(250);
  Duration m_HeadPollPeriod = std::chrono::milliseconds(300);
  /// A domain taken out refuses new work after this time at the latest.
  Duration m_DomainOutGrace = std::chrono::milliseconds(2500);
};

struct CoordinatorOptions {
  InstanceName m_Instance;
  DomainName m_Domain;
  RegionName m_Region;
  PeerAddress m_Peer;
  /// "host:port" of the caller interface.
  std::string m_CallerAddress;
  /// "host:port" of the admin interface; may be empty.
  std::string m_AdminAddress;
  CoordinationTiming m_Timing;
  HandoverMode m_Handover = HandoverMode::SwitchThenResolve;
  /// Extend leases through witnesses while the table is out of reach.
  bool m_UseWitnesses = true;
  std::uint32_t m_GroupSize = 16;
};

/// A live session as the local map knows it.
struct Member {
  SessionId m_Session;
  InstanceName m_Instance;
  DomainName m_Domain;
  RegionName m_Region;
  PeerAddress m_Peer;
  std::string m_CallerAddress;
  std::string m_AdminAddress;
  /// Empty while its target has not announced itself.
  ServiceName m_Service;
  std::uint32_t m_Slots = 0;
  ConfigVersion m_ConfigApplied;
  /// Takes no new work: its domain is out, or it drains or shuts down.
  bool m_Leaving = false;
};

/// Where the local map sends a request.
struct Route {
  ShardRef m_Shard;
  Epoch m_Epoch;
  /// 0 when no owner is known.
  SessionId m_Owner;
  PeerAddress m_Peer;
  std::string m_CallerAddress;
  /// The local daemon is the owner.
  bool m_Local = false;
};

/// Whether an order may be sent to the local target at this moment.
struct Permit {
  bool m_Granted = false;
  /// Why not.
  Reason m_Reason = Reason::None;
  Epoch m_Epoch;
  /// Orders must end before this.
  TimePoint m_OrderDeadline;
  /// For HandoverPending: worth asking again after this time.
  Duration m_RetryAfter{0};
};

/// A snapshot for status pages and metrics.
struct CoordinatorStatus {
  SessionId m_Session;
  bool m_LeaseHeld = false;
  /// The lease was last renewed by witnesses, not through the table.
  bool m_LeaseExtended = false;
  TimePoint m_LeaseEnd;
  ConfigVersion m_Config;
  std::uint64_t m_MapVersion = 0;
  std::uint32_t m_Group = 0;
  bool m_Leader = false;
  std::size_t m_Members = 0;
  std::size_t m_ShardsOwned = 0;
  std::size_t m_ShardsPending = 0;
};

/// Decides who owns what. One per daemon run.
///
/// Invariants: a permit is granted only while the session's lease holds and
/// the newest known map row names this session as owner under the returned
/// epoch, and the former owner has yielded or is proven dead. The
/// configuration version never falls.
///
/// Not thread-safe; performs no I/O and reads no clock.
class Coordinator {
public:
  /// \param Seed for the session id and for jitter.
  Coordinator(CoordinatorOptions Options, std::uint64_t Seed);
  ~Coordinator();
  Coordinator(Coordinator &&) noexcept;
  Coordinator &operator=(Coordinator &&) noexcept;

  /// Begins to join. Call once, before anything else.
  void start(TimePoint Now);
  /// Advances timers. Call at nextWake() at the latest.
  void onTick(TimePoint Now);
  TimePoint nextWake() const;
  void onMessage(const ControlMessage &Message, const PeerAddress &From,
                 TimePoint Now);
  void onTableReply(TableTicket Ticket, const TableReply &Reply, TimePoint Now);

  /// The local target announced itself and accepts work for a service.
  void onTargetReady(const ServiceName &Service, std::uint32_t Slots,
                     TimePoint Now);
  /// The local target is gone, or asked to drain.
  void onTargetLeaving(TimePoint Now);
  /// Hands every shard over; drained() turns true when nothing is left.
  void beginShutdown(TimePoint Now);
  bool drained() const;

  /// An order for a key was sent to, or ended at, the local target.
  void orderStarted(const ShardRef &Shard, KeyHash Key, Epoch Current);
  void orderFinished(const ShardRef &Shard, KeyHash Key, Epoch Current,
                     TimePoint Now);

  /// Complexity: constant on average.
  Route route(const ServiceName &Service, KeyHash Key) const;
  /// Call immediately before an order is sent. Complexity: constant.
  Permit permit(const ServiceName &Service, KeyHash Key, TimePoint Now) const;
  /// The live members that serve a service and take new work.
  std::vector<Member> candidates(const ServiceName &Service) const;
  const Member *findMember(SessionId Session) const;
  std::vector<Member> members() const;
  /// Null until the first configuration is known.
  std::shared_ptr<const Config> config() const;
  /// When the session's memory of a shard's requests began; none when it is
  /// not the active owner.
  std::optional<TimePoint> activeSince(const ShardRef &Shard) const;
  /// The live former owner a shard was taken from, 0 if none.
  SessionId formerOwner(const ShardRef &Shard) const;
  SessionId session() const;
  CoordinatorStatus status(TimePoint Now) const;

  /// Moves out what is to be done, in order.
  Effects takeEffects();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel
