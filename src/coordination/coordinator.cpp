// Combines membership, ownership, planning and load reports into one state
// machine.
#include "balsamwheel/detail/coordination/coordinator.h"

#include "balsamwheel/detail/coordination/context.h"
#include "balsamwheel/detail/coordination/load_reporter.h"
#include "balsamwheel/detail/coordination/membership.h"
#include "balsamwheel/detail/coordination/ownership.h"
#include "balsamwheel/detail/coordination/plan_runner.h"
#include "balsamwheel/detail/core/hash.h"
#include "balsamwheel/detail/core/safety_rules.h"

#include <algorithm>
#include <utility>

namespace balsamwheel {

namespace {

/// Settled shards are reported with this period until the map no longer names
/// their former owners.
constexpr Duration SettledReportPeriod = std::chrono::milliseconds(400);
/// After this many reports without effect, the next planner in order gets them.
constexpr std::size_t ReportsPerPlanner = 4;
/// A shutdown waits at most this long for new owners to take over its shards.
constexpr Duration NewOwnerTimeout = std::chrono::seconds(4);
/// A shutdown takes at least this long, so that other members learn of it.
constexpr Duration MinLeaveDelay = std::chrono::seconds(1);
/// When to ask again for a shard or key whose handover is pending.
constexpr Duration HandoverRetryAfter = std::chrono::milliseconds(20);

} // namespace

class Coordinator::Impl {
public:
  Impl(CoordinatorOptions Options, std::uint64_t Seed)
      : m_Context(std::move(Options), Seed), m_Membership(m_Context),
        m_Ownership(m_Context), m_Planner(m_Context, m_Membership.poller()),
        m_LoadReporter(m_Context, m_Planner) {
    m_Membership.m_OnNewSession = [this] {
      m_Ownership.reset();
      m_LoadReporter.clear();
    };
  }

  void start(TimePoint Now) {
    m_LoadReporter.start(Now);
    m_Membership.start(Now);
    dispatchChanges(Now);
  }

  void onTick(TimePoint Now) {
    m_Context.m_Table.expire(Now);
    m_Membership.onTick(Now);
    dispatchChanges(Now);
    m_Ownership.onTick(Now);
    m_Planner.onTick(Now);
    if (Now >= m_SettledReportAt)
      reportSettled(Now);
    m_LoadReporter.onTick(Now);
    if (m_ShutdownAt != Never)
      continueShutdown(Now);
    dispatchChanges(Now);
  }

  TimePoint nextWake() const {
    TimePoint Wake = m_Membership.nextWake();
    keepEarlier(Wake, m_Ownership.nextWake());
    keepEarlier(Wake, m_Planner.nextWake());
    keepEarlier(Wake, m_SettledReportAt);
    keepEarlier(Wake, m_LoadReporter.nextWake());
    return Wake;
  }

  void onMessage(const ControlMessage &Message, const PeerAddress &From,
                 TimePoint Now) {
    std::visit([&](const auto &Value) { handle(Value, From, Now); }, Message);
    dispatchChanges(Now);
  }

  void onTableReply(TableTicket Ticket, const TableReply &Reply,
                    TimePoint Now) {
    m_Context.m_Table.onReply(Ticket, Reply, Now);
    dispatchChanges(Now);
  }

  void onTargetReady(const ServiceName &Service, std::uint32_t Slots,
                     TimePoint Now) {
    m_TargetLeaving = false;
    m_Service = Service;
    m_Membership.setTarget(Service, Slots, Now);
    updateLeaving(Now);
  }

  void onTargetLeaving(TimePoint Now) {
    m_TargetLeaving = true;
    updateLeaving(Now);
  }

  void beginShutdown(TimePoint Now) {
    if (m_ShutdownAt != Never)
      return;
    m_ShutdownAt = Now;
    m_SettledReportAt = Now;
    updateLeaving(Now);
  }

  bool drained() const {
    return m_ShutdownAt != Never && m_Membership.hasLeft();
  }

  Permit permit(const ServiceName &Service, KeyHash Key, TimePoint Now) const {
    Permit Result;
    const LeaseHolder &Lease = m_Membership.lease();
    const std::uint32_t ShardCount = m_Context.m_View.shardCount(Service);
    const balsamwheel::Service *Found = findService(Service);
    if (!Found)
      return refuse(Reason::UnknownService);
    if (Now >= m_RefuseWorkAt)
      return refuse(m_LeaveReason);
    if (Found->m_DividedByKey) {
      if (ShardCount == 0)
        return refuse(Reason::NoOwner);
      const Ownership::Check Check =
          m_Ownership.check({Service, shardOf(Key, ShardCount)}, Key);
      Result.m_Epoch = Check.m_Epoch;
      if (Check.m_Reason != Reason::None) {
        Result.m_Reason = Check.m_Reason;
        if (Check.m_Reason == Reason::HandoverPending)
          Result.m_RetryAfter = HandoverRetryAfter;
        return Result;
      }
    } else if (Service != m_Service) {
      return refuse(Reason::NotOwner);
    }
    Result.m_OrderDeadline =
        Lease.end() - m_Context.m_Options.m_Timing.m_OrderMargin;
    if (enforced<Rule::LeaseCheck>() && Now >= Result.m_OrderDeadline)
      return refuse(Reason::LeaseExpired);
    if (!enforced<Rule::LeaseCheck>() || !Found->m_DividedByKey)
      Result.m_OrderDeadline = Never;
    Result.m_Granted = true;
    return Result;
  }

  Route route(const ServiceName &Service, KeyHash Key) const {
    Route Result;
    const std::uint32_t ShardCount = m_Context.m_View.shardCount(Service);
    Result.m_Shard = {Service, ShardCount == 0 ? ShardIndex()
                                               : shardOf(Key, ShardCount)};
    const ShardEntry *Entry = m_Context.m_View.findEntry(Result.m_Shard);
    if (!Entry)
      return Result;
    Result.m_Epoch = Entry->m_Epoch;
    const Member *Owner = m_Context.m_View.findMember(Entry->m_Owner);
    if (!Owner)
      return Result;
    Result.m_Owner = Entry->m_Owner;
    Result.m_Peer = Owner->m_Peer;
    Result.m_CallerAddress = Owner->m_CallerAddress;
    Result.m_Local = Entry->m_Owner == m_Context.m_Session;
    return Result;
  }

  std::vector<Member> members() const {
    std::vector<Member> Result;
    for (const auto &[Number, Group] : m_Context.m_View.groups())
      for (const GroupMember &Value : Group.m_Members) {
        Result.push_back(Value.m_Member);
        Result.back().m_Leaving = m_Context.m_View.isLeaving(Value.m_Member);
      }
    return Result;
  }

  CoordinatorStatus status(TimePoint Now) const {
    const LeaseHolder &Lease = m_Membership.lease();
    return {.m_Session = m_Context.m_Session,
            .m_LeaseHeld = Lease.holds(Now),
            .m_LeaseExtended = Lease.extended(),
            .m_LeaseEnd = Lease.end(),
            .m_Config = m_Context.m_View.configVersion(),
            .m_CompleteHeadVersion =
                m_Context.m_View.completeHeadVersion().value(),
            .m_Group = m_Membership.group(),
            .m_Leader = m_Membership.isLeader(Now),
            .m_Members = m_Context.m_View.memberCount(),
            .m_ShardsOwned = m_Ownership.ownedCount(),
            .m_ShardsPending = m_Ownership.pendingCount()};
  }

  Effects takeEffects() { return std::exchange(m_Context.m_Effects, {}); }

  CoordinationContext m_Context;
  Membership m_Membership;
  Ownership m_Ownership;
  PlanRunner m_Planner;
  LoadReporter m_LoadReporter;

private:
  static Permit refuse(Reason Cause) {
    Permit Result;
    Result.m_Reason = Cause;
    return Result;
  }

  const Service *findService(const ServiceName &Name) const {
    const std::shared_ptr<const Config> Current = m_Context.m_View.config();
    return Current ? Current->m_Manifest.findService(Name) : nullptr;
  }

  void handle(const Heartbeat &Message, const PeerAddress &From,
              TimePoint Now) {
    m_Membership.onHeartbeat(Message, From, Now);
  }
  void handle(const HeartbeatAck &Message, const PeerAddress &From,
              TimePoint Now) {
    m_Membership.onAck(Message, From, Now);
  }
  void handle(const ExtendRequest &Message, const PeerAddress & /*From*/,
              TimePoint Now) {
    m_Membership.onExtendRequest(Message, Now);
  }
  void handle(const ExtendReply &Message, const PeerAddress & /*From*/,
              TimePoint Now) {
    m_Membership.onExtendReply(Message, Now);
  }
  void handle(const PromiseRequest &Message, const PeerAddress &From,
              TimePoint Now) {
    m_Membership.onPromiseRequest(Message, From, Now);
  }
  void handle(const PromiseReply &Message, const PeerAddress & /*From*/,
              TimePoint /*Now*/) {
    m_Membership.onPromiseReply(Message);
  }
  void handle(const ChangesRequest &Message, const PeerAddress &From,
              TimePoint /*Now*/) {
    m_Membership.onChangesRequest(Message, From);
  }
  void handle(const Changes &Message, const PeerAddress & /*From*/,
              TimePoint /*Now*/) {
    m_Context.merge(Message.m_Rows);
  }
  void handle(const Yield &Message, const PeerAddress & /*From*/,
              TimePoint Now) {
    m_Ownership.onYield(Message, Now);
    keepEarlier(m_SettledReportAt, Now);
  }
  void handle(const YieldRequest &Message, const PeerAddress &From,
              TimePoint /*Now*/) {
    m_Ownership.onYieldRequest(Message, From);
  }
  void handle(const YieldAck & /*Message*/, const PeerAddress & /*From*/,
              TimePoint /*Now*/) {}
  void handle(const KeyFinished &Message, const PeerAddress & /*From*/,
              TimePoint Now) {
    m_Ownership.onKeyFinished(Message);
    keepEarlier(m_SettledReportAt, Now);
  }
  void handle(const OwnerReport &Message, const PeerAddress & /*From*/,
              TimePoint Now) {
    m_Planner.onSettled(Message.m_Settled, Now);
    if (Message.m_Settled.empty())
      m_LoadReporter.onReport(Message, Now);
  }

  /// Notifies the parts of changes of the view until there are none left.
  void dispatchChanges(TimePoint Now) {
    while (m_Context.m_PendingChange.m_Any) {
      m_Membership.onViewChanged(Now);
      m_Ownership.update(Now);
      m_Planner.onViewChanged(Now);
      m_Context.m_PendingChange = {};
      updateLeaving(Now);
      keepEarlier(m_SettledReportAt, Now + SettledReportPeriod);
    }
  }

  void updateLeaving(TimePoint Now) {
    const Reason Cause = leaveReason();
    m_Membership.setLeaving(m_TargetLeaving || m_ShutdownAt != Never, Now);
    if (Cause == Reason::None)
      m_RefuseWorkAt = Never;
    else if (m_RefuseWorkAt == Never)
      m_RefuseWorkAt = Now + m_Context.m_Options.m_Timing.m_DomainOutGrace;
    m_LeaveReason = Cause;
  }

  Reason leaveReason() const {
    if (m_TargetLeaving || m_ShutdownAt != Never)
      return Reason::Draining;
    const std::shared_ptr<const Config> Current = m_Context.m_View.config();
    if (!Current)
      return Reason::None;
    const CoordinatorOptions &Options = m_Context.m_Options;
    if (std::ranges::binary_search(Current->m_DomainsOut, Options.m_Domain))
      return Reason::DomainOut;
    if (std::ranges::binary_search(Current->m_Draining, Options.m_Instance))
      return Reason::Draining;
    return Reason::None;
  }

  void reportSettled(TimePoint Now) {
    m_SettledReportAt =
        m_ShutdownAt == Never ? Never : Now + SettledReportPeriod;
    OwnerReport Message;
    Message.m_From = m_Context.m_Session;
    Message.m_Settled = m_Ownership.settled();
    if (Message.m_Settled.empty()) {
      m_SettledReports = 0;
      return;
    }
    m_SettledReportAt = Now + SettledReportPeriod;
    const std::vector<SessionId> Planners = m_Planner.plannerOrder();
    if (Planners.empty())
      return;
    const SessionId Receiver =
        Planners[m_SettledReports++ / ReportsPerPlanner % Planners.size()];
    if (Receiver == m_Context.m_Session)
      m_Planner.onSettled(Message.m_Settled, Now);
    else
      m_Context.sendTo(Receiver, std::move(Message));
  }

  /// Leaves the group once no order runs and every shard is handed over, or no
  /// new owner was found in time.
  void continueShutdown(TimePoint Now) {
    const bool TimedOut = Now - m_ShutdownAt >= NewOwnerTimeout;
    if (Now - m_ShutdownAt < MinLeaveDelay)
      return;
    if (m_Ownership.hasOrders() || (m_Ownership.ownsAny() && !TimedOut))
      return;
    m_Membership.leave(Now);
  }

  ServiceName m_Service;
  bool m_TargetLeaving = false;
  TimePoint m_ShutdownAt = Never;
  TimePoint m_SettledReportAt = Never;
  /// Number of consecutive reports of settled shards; 0 once there is nothing
  /// left to report.
  std::size_t m_SettledReports = 0;
  /// New work is refused from this time on.
  TimePoint m_RefuseWorkAt = Never;
  Reason m_LeaveReason = Reason::None;
};

Coordinator::Coordinator(CoordinatorOptions Options, std::uint64_t Seed)
    : m_Impl(std::make_unique<Impl>(std::move(Options), Seed)) {}

Coordinator::~Coordinator() = default;
Coordinator::Coordinator(Coordinator &&) noexcept = default;
Coordinator &Coordinator::operator=(Coordinator &&) noexcept = default;

void Coordinator::start(TimePoint Now) { m_Impl->start(Now); }
void Coordinator::onTick(TimePoint Now) { m_Impl->onTick(Now); }
TimePoint Coordinator::nextWake() const { return m_Impl->nextWake(); }

void Coordinator::onMessage(const ControlMessage &Message,
                            const PeerAddress &From, TimePoint Now) {
  m_Impl->onMessage(Message, From, Now);
}

void Coordinator::onTableReply(TableTicket Ticket, const TableReply &Reply,
                               TimePoint Now) {
  m_Impl->onTableReply(Ticket, Reply, Now);
}

void Coordinator::onTargetReady(const ServiceName &Service, std::uint32_t Slots,
                                TimePoint Now) {
  m_Impl->onTargetReady(Service, Slots, Now);
}

void Coordinator::onTargetLeaving(TimePoint Now) {
  m_Impl->onTargetLeaving(Now);
}

void Coordinator::beginShutdown(TimePoint Now) { m_Impl->beginShutdown(Now); }
bool Coordinator::drained() const { return m_Impl->drained(); }

void Coordinator::orderStarted(const ShardRef &Shard, KeyHash Key,
                               Epoch /*Current*/) {
  m_Impl->m_Ownership.orderStarted(Shard, Key);
  m_Impl->m_LoadReporter.countOrder(Shard);
}

void Coordinator::orderFinished(const ShardRef &Shard, KeyHash Key,
                                Epoch /*Current*/, TimePoint /*Now*/) {
  m_Impl->m_Ownership.orderFinished(Shard, Key);
}

Route Coordinator::route(const ServiceName &Service, KeyHash Key) const {
  return m_Impl->route(Service, Key);
}

Permit Coordinator::permit(const ServiceName &Service, KeyHash Key,
                           TimePoint Now) const {
  return m_Impl->permit(Service, Key, Now);
}

std::vector<Member> Coordinator::candidates(const ServiceName &Service) const {
  std::vector<Member> Result = m_Impl->members();
  std::erase_if(Result, [&Service](const Member &Value) {
    return Value.m_Service != Service || Value.m_Leaving;
  });
  return Result;
}

const Member *Coordinator::findMember(SessionId Session) const {
  return m_Impl->m_Context.m_View.findMember(Session);
}

std::vector<Member> Coordinator::members() const { return m_Impl->members(); }

std::shared_ptr<const Config> Coordinator::config() const {
  return m_Impl->m_Context.m_View.config();
}

std::optional<TimePoint> Coordinator::activeSince(const ShardRef &Shard) const {
  return m_Impl->m_Ownership.activeSince(Shard);
}

SessionId Coordinator::formerOwner(const ShardRef &Shard) const {
  return m_Impl->m_Ownership.formerOwner(Shard);
}

SessionId Coordinator::session() const { return m_Impl->m_Context.m_Session; }

CoordinatorStatus Coordinator::status(TimePoint Now) const {
  return m_Impl->status(Now);
}

Effects Coordinator::takeEffects() { return m_Impl->takeEffects(); }

} // namespace balsamwheel
