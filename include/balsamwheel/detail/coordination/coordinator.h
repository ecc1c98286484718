// Membership, leases, shard ownership and configuration of one daemon, as a
// state machine without I/O that is driven by time, messages and table replies.
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

/// How a shard is handed over between two live owners. An order is the
/// execution of one request at the owner's local target.
enum class HandoverMode : std::uint8_t {
  /// The new owner serves the shard at once, except keys that still have orders
  /// running at the former owner.
  SwitchThenResolve,
  /// The former owner finishes its running orders and then yields the shard.
  DrainThenSwitch,
};

/// Periods and margins of the coordination protocols.
struct CoordinationTiming {
  Duration m_HeartbeatPeriod = std::chrono::milliseconds(600);
  Duration m_Lease = std::chrono::milliseconds(1800);
  /// Allowance for clock drift, added when waiting for the lease of another
  /// session to end.
  Duration m_LeaseMargin = std::chrono::milliseconds(180);
  /// Orders must end this long before the end of the lease that covers them.
  Duration m_OrderMargin = std::chrono::milliseconds(100);
  /// A heartbeat that is not acknowledged within this time is sent to the next
  /// member that may write the group's row.
  Duration m_AckTimeout = std::chrono::milliseconds(250);
  Duration m_HeadPollPeriod = std::chrono::milliseconds(300);
  /// A daemon whose domain is taken out, or that drains or shuts down, refuses
  /// new work after this time at the latest.
  Duration m_DomainOutGrace = std::chrono::milliseconds(2500);
};

struct CoordinatorOptions {
  InstanceName m_Instance;
  DomainName m_Domain;
  RegionName m_Region;
  PeerAddress m_Peer;
  /// "host:port" of the interface for callers.
  std::string m_CallerAddress;
  /// "host:port" of the admin interface; may be empty.
  std::string m_AdminAddress;
  CoordinationTiming m_Timing;
  HandoverMode m_Handover = HandoverMode::SwitchThenResolve;
  /// Extend leases through witnesses while the table cannot be reached.
  bool m_UseWitnesses = true;
  /// A joining session does not choose a group that has this many members.
  std::uint32_t m_GroupSize = 16;
};

/// A live session as the local view describes it.
struct Member {
  SessionId m_Session;
  InstanceName m_Instance;
  DomainName m_Domain;
  RegionName m_Region;
  PeerAddress m_Peer;
  std::string m_CallerAddress;
  std::string m_AdminAddress;
  /// Empty until the session's target has announced itself.
  ServiceName m_Service;
  /// Number of orders that the target runs at the same time.
  std::uint32_t m_Slots = 0;
  ConfigVersion m_ConfigApplied;
  /// Takes no new work: its domain is taken out, or it is draining or shutting
  /// down.
  bool m_Leaving = false;
};

/// Where a request goes according to the local copy of the ownership map.
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
  /// Why the permit was refused; None if it was granted.
  Reason m_Reason = Reason::None;
  Epoch m_Epoch;
  /// The order must end before this time.
  TimePoint m_OrderDeadline;
  /// For HandoverPending: when to ask again; otherwise 0.
  Duration m_RetryAfter{0};
};

/// A snapshot for the status page and metrics.
struct CoordinatorStatus {
  SessionId m_Session;
  bool m_LeaseHeld = false;
  /// The lease was last renewed by witnesses, not through the table.
  bool m_LeaseExtended = false;
  TimePoint m_LeaseEnd;
  ConfigVersion m_Config;
  /// Version of the head row at which the local view was last complete.
  std::uint64_t m_CompleteHeadVersion = 0;
  std::uint32_t m_Group = 0;
  bool m_Leader = false;
  std::size_t m_Members = 0;
  std::size_t m_ShardsOwned = 0;
  /// Owned shards that are not active yet.
  std::size_t m_ShardsPending = 0;
};

/// Takes part in the assignment of shards to owners and decides which orders
/// the local daemon may start. One instance per run of the daemon.
///
/// Invariants: a permit is granted only while the session's lease is valid. For
/// a service that is divided by key, the newest known map row must also name
/// this session as owner under the returned epoch, and the former owner must
/// have yielded the shard, or the former owner's lease must provably have
/// ended. The configuration version never decreases.
///
/// Not thread-safe; performs no I/O and reads no clock.
class Coordinator {
public:
  /// \param Seed seeds the random numbers for session ids and jitter.
  Coordinator(CoordinatorOptions Options, std::uint64_t Seed);
  ~Coordinator();
  Coordinator(Coordinator &&) noexcept;
  Coordinator &operator=(Coordinator &&) noexcept;

  /// Starts joining the cluster. Call once, before any other function.
  void start(TimePoint Now);
  /// Runs the timers that are due. Call no later than nextWake().
  void onTick(TimePoint Now);
  TimePoint nextWake() const;
  void onMessage(const ControlMessage &Message, const PeerAddress &From,
                 TimePoint Now);
  void onTableReply(TableTicket Ticket, const TableReply &Reply, TimePoint Now);

  /// The local target has announced itself and accepts work for a service.
  void onTargetReady(const ServiceName &Service, std::uint32_t Slots,
                     TimePoint Now);
  /// The local target has disconnected or has asked to drain.
  void onTargetLeaving(TimePoint Now);
  /// Hands over every shard and leaves the group; drained() is true after that.
  void beginShutdown(TimePoint Now);
  bool drained() const;

  /// An order for a key was sent to the local target, or ended there.
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
  /// Null until a configuration is known.
  std::shared_ptr<const Config> config() const;
  /// Since when this session has been the active owner of a shard, and so since
  /// when it has records of the shard's requests; none if it is not the active
  /// owner.
  std::optional<TimePoint> activeSince(const ShardRef &Shard) const;
  /// The former owner that a shard was taken over from; 0 if there is none or
  /// it is no longer live.
  SessionId formerOwner(const ShardRef &Shard) const;
  SessionId session() const;
  CoordinatorStatus status(TimePoint Now) const;

  /// Returns the pending effects in order and clears them.
  Effects takeEffects();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel
