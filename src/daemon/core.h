// The core thread: passes events to the node and executes its effects.
#pragma once

#include "balsamwheel/detail/node/node.h"
#include "daemon/adapters.h"
#include "daemon/body_streams.h"
#include "daemon/inbox.h"
#include "daemon/logging.h"
#include "daemon/metrics.h"
#include "runtime/boot_clock.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <sstream>
#include <unordered_map>
#include <utility>

namespace balsamwheel::daemon {

/// State that the core shares with other threads.
struct CoreShared {
  Inbox m_Inbox;
  Metrics m_Metrics;
  /// The active configuration; null before the first one is loaded.
  std::atomic<std::shared_ptr<const Config>> m_Config;
};

/// Owns the node. Only run() accesses it, on one thread.
template <CallerFrontend Callers, TargetClient Target, TableClient Table,
          PeerTransport Peers>
class Core {
public:
  struct AdapterRefs {
    Callers &m_Callers;
    Target &m_Target;
    Table &m_Table;
    Peers &m_Peers;
    BodyStreams &m_Bodies;
  };

  Core(Node Subject, CoreShared &Shared, AdapterRefs Adapters,
       Duration ShutdownLimit)
      : m_Node(std::move(Subject)), m_Shared(Shared), m_Adapters(Adapters),
        m_ShutdownLimit(ShutdownLimit) {}

  /// Runs until a requested shutdown is complete: drained, or out of time.
  void run() {
    m_Node.start(runtime::bootNow());
    executeEffects();
    while (!shutdownComplete(runtime::bootNow())) {
      Event Next;
      while (m_Shared.m_Inbox.tryTake(Next)) {
        const TimePoint Now = runtime::bootNow();
        std::visit([this, Now](auto &Item) { handle(Item, Now); }, Next);
        executeEffects();
        tickIfDue(Now);
      }
      const TimePoint Now = runtime::bootNow();
      tickIfDue(Now);
      m_Shared.m_Inbox.sleepUntil(wakeTime(Now));
    }
  }

private:
  /// A caller's open request, kept for logs and metrics.
  struct TrackedRequest {
    RequestId m_Id;
    ServiceName m_Service;
    ClassName m_Class;
    TimePoint m_ReceivedAt;
    std::uint64_t m_BodyStream = 0;
  };

  /// Period of metric updates and pipe expiry.
  static constexpr Duration HousekeepingPeriod = std::chrono::milliseconds(250);
  /// How often a shutdown is checked for completion.
  static constexpr Duration ShutdownPollPeriod = std::chrono::milliseconds(10);
  /// Delay between the end of all work and the end of the process, for sending
  /// the last messages to other daemons.
  static constexpr Duration ShutdownLinger = std::chrono::milliseconds(250);

  TimePoint wakeTime(TimePoint Now) const {
    TimePoint Result = std::min(m_Node.nextWake(), m_NextHousekeeping);
    if (m_ShuttingDown)
      Result = std::min(Result, Now + ShutdownPollPeriod);
    return Result;
  }

  void tickIfDue(TimePoint Now) {
    if (Now >= m_Node.nextWake()) {
      m_Node.onTick(Now);
      executeEffects();
    }
    if (Now >= m_NextHousekeeping)
      runHousekeeping(Now);
  }

  void runHousekeeping(TimePoint Now) {
    m_NextHousekeeping = Now + HousekeepingPeriod;
    m_Adapters.m_Bodies.expire(Now);
    m_Shared.m_Metrics.update(m_Node.status(Now), m_Shared.m_Inbox.size(),
                              m_Adapters.m_Bodies.size(), Now);
  }

  void publishConfig() {
    std::shared_ptr<const Config> Current = m_Node.coordinator().config();
    if (Current == m_PublishedConfig)
      return;
    m_PublishedConfig = Current;
    m_Shared.m_Config.store(Current);
    if (Current)
      LOG4CPLUS_INFO(logger(), "configuration version "
                                   << Current->m_Version.value()
                                   << " is in force");
  }

  bool shutdownComplete(TimePoint Now) {
    if (!m_ShuttingDown)
      return false;
    if (Now - m_ShutdownStart > m_ShutdownLimit) {
      LOG4CPLUS_WARN(logger(),
                     "shutdown time limit reached with work still open");
      return true;
    }
    if (!m_Node.drained()) {
      m_LastBusy = Now;
      return false;
    }
    if (!std::exchange(m_StoppedListening, true))
      m_Adapters.m_Callers.stopListening();
    if (m_Adapters.m_Callers.openRequests() > 0 ||
        m_Adapters.m_Bodies.size() > 0) {
      m_LastBusy = Now;
      return false;
    }
    return Now - m_LastBusy > ShutdownLinger;
  }

  // Events.

  void handle(std::monostate, TimePoint) {}

  void handle(CallerRequestReceived &Item, TimePoint Now) {
    IncomingRequest &Request = Item.m_Request;
    m_TrackedRequests.emplace(
        Request.m_Handle,
        TrackedRequest{.m_Id = Request.m_Meta.m_Id,
                       .m_Service = Request.m_Meta.m_Service,
                       .m_Class = Request.m_Meta.m_Class,
                       .m_ReceivedAt = Now,
                       .m_BodyStream = Request.m_Http.m_BodyStream});
    m_Node.onCallerRequest(std::move(Request), Now);
  }

  void handle(const CallerDisconnected &Item, TimePoint Now) {
    m_Node.onCallerDisconnected(Item.m_Request, Now);
  }

  void handle(const ControlReceived &Item, TimePoint Now) {
    m_Node.onControl(Item.m_Message, Item.m_Sender, Now);
  }

  void handle(PeerRequestReceived &Item, TimePoint Now) {
    m_Node.onRequest(std::move(Item.m_Message), Item.m_Sender, Now);
  }

  void handle(const PeerLost &Item, TimePoint Now) {
    LOG4CPLUS_DEBUG(logger(), "lost the connection to " << Item.m_Peer.value());
    m_Node.onPeerLost(Item.m_Peer, Now);
  }

  void handle(const TableReplied &Item, TimePoint Now) {
    m_Node.onTableReply(Item.m_Ticket, Item.m_Reply, Now);
  }

  void handle(OrderHeadReceived &Item, TimePoint Now) {
    m_Node.onOrderAnswerHead(Item.m_Order, std::move(Item.m_Head), Now);
  }

  void handle(OrderEnded &Item, TimePoint Now) {
    m_Shared.m_Metrics.recordOrderEnd(Item.m_Report.m_End,
                                      Item.m_Report.m_Latency);
    m_Node.onOrderEnd(std::move(Item.m_Report), Now);
  }

  void handle(const TargetReady &Item, TimePoint Now) {
    LOG4CPLUS_INFO(logger(), "the target serves " << Item.m_Service.value()
                                                  << " with " << Item.m_Slots
                                                  << " slots");
    m_Node.onTargetReady(Item.m_Service, Item.m_Slots, Now);
  }

  void handle(const TargetLeft &, TimePoint Now) {
    LOG4CPLUS_INFO(logger(),
                   "the target is leaving or has stopped announcing itself");
    m_Node.onTargetLeaving(Now);
  }

  void handle(const ShutdownRequested &Item, TimePoint Now) {
    if (!m_Draining) {
      LOG4CPLUS_INFO(logger(), "draining");
      m_Node.beginShutdown(Now);
    }
    m_Draining = true;
    if (!Item.m_Exit || m_ShuttingDown)
      return;
    m_ShuttingDown = true;
    m_ShutdownStart = Now;
    m_Adapters.m_Callers.closeAfterAnswers();
  }

  void handle(const Inspect &Item, TimePoint Now) { Item.m_Visit(m_Node, Now); }

  // Effects.

  void executeEffects() {
    Effects Pending = m_Node.takeEffects();
    for (Effect &Item : Pending)
      std::visit([this](auto &Command) { execute(Command); }, Item);
    publishConfig();
  }

  void execute(SendControl &Command) {
    m_Shared.m_Metrics.controlMessages().Increment();
    m_Adapters.m_Peers.send(Command.m_To,
                            PeerMessage(std::move(Command.m_Message)));
  }

  void execute(SendRequest &Command) {
    m_Shared.m_Metrics.requestMessages().Increment();
    m_Adapters.m_Peers.send(Command.m_To,
                            PeerMessage(std::move(Command.m_Message)));
  }

  void execute(const ReadTable &Command) {
    m_Shared.m_Metrics.tableReads().Increment();
    m_Adapters.m_Table.read(Command.m_Read, replyTo(Command.m_Ticket));
  }

  void execute(const CommitTable &Command) {
    m_Shared.m_Metrics.tableCommits().Increment();
    m_Adapters.m_Table.commit(Command.m_Transaction, replyTo(Command.m_Ticket));
  }

  std::function<void(TableReply)> replyTo(TableTicket Ticket) {
    return [&Inbox = m_Shared.m_Inbox, Ticket](TableReply Reply) {
      Inbox.post(TableReplied{Ticket, std::move(Reply)});
    };
  }

  void execute(StartOrder &Command) {
    runtime::BodyPipePtr Upload;
    if (const std::uint64_t Stream = Command.m_Http.m_BodyStream; Stream != 0) {
      Upload = m_Adapters.m_Bodies.claim(Stream);
      if (!Upload) {
        reportNotSent(Command.m_Order);
        return;
      }
    }
    m_Adapters.m_Target.startOrder(std::move(Command), std::move(Upload));
  }

  /// Reports an order that wasn't sent because its body is no longer available.
  void reportNotSent(OrderId Order) {
    Event Report = OrderEnded{};
    std::get<OrderEnded>(Report).m_Report.m_Order = Order;
    std::get<OrderEnded>(Report).m_Report.m_End = OrderEnd::NotSent;
    if (!m_Shared.m_Inbox.tryPost(Report))
      LOG4CPLUS_ERROR(logger(),
                      "event queue full; the end of an order is lost");
  }

  void execute(const CancelOrder &Command) {
    m_Adapters.m_Target.cancelOrder(Command.m_Order);
  }

  void execute(const GrantEpoch &Command) {
    m_Adapters.m_Target.grant(Command);
  }

  void execute(const ResetPeer &Command) {
    LOG4CPLUS_INFO(logger(),
                   "resetting the connection to " << Command.m_Peer.value());
    m_Adapters.m_Peers.reset(Command.m_Peer);
  }

  void execute(AnswerCaller &Command) {
    const auto Found = m_TrackedRequests.find(Command.m_Request);
    if (Found != m_TrackedRequests.end()) {
      record(Found->second, Command);
      m_TrackedRequests.erase(Found);
    }
    runtime::BodyPipePtr BodyRest;
    if (Command.m_Http.m_BodyStream != 0)
      BodyRest = m_Adapters.m_Bodies.claim(Command.m_Http.m_BodyStream);
    m_Adapters.m_Callers.answer(std::move(Command), std::move(BodyRest));
  }

  void record(const TrackedRequest &Request, const AnswerCaller &Answer) {
    const Duration Latency = runtime::bootNow() - Request.m_ReceivedAt;
    m_Shared.m_Metrics.recordRequest(Request.m_Service, Request.m_Class,
                                     Answer.m_Outcome, Answer.m_Reason,
                                     Latency);
    const bool IsUnknown = Answer.m_Outcome == Outcome::Unknown;
    const auto Level =
        IsUnknown ? log4cplus::WARN_LOG_LEVEL : log4cplus::DEBUG_LOG_LEVEL;
    if (!logger().isEnabledFor(Level))
      return;
    const RequestLogScope Context(Request.m_Id);
    std::ostringstream Line;
    Line << Request.m_Service.value() << "/" << Request.m_Class.value() << " "
         << toString(Answer.m_Outcome) << " " << toString(Answer.m_Reason)
         << " status " << Answer.m_Http.m_Status << " after " << Latency.count()
         << " us";
    logger().log(Level, Line.str());
  }

  Node m_Node;
  CoreShared &m_Shared;
  AdapterRefs m_Adapters;
  const Duration m_ShutdownLimit;
  std::shared_ptr<const Config> m_PublishedConfig;
  std::unordered_map<RequestHandle, TrackedRequest> m_TrackedRequests;
  TimePoint m_NextHousekeeping;
  TimePoint m_ShutdownStart;
  /// When open work was last seen during a shutdown.
  TimePoint m_LastBusy;
  bool m_Draining = false;
  bool m_ShuttingDown = false;
  bool m_StoppedListening = false;
};

} // namespace balsamwheel::daemon
