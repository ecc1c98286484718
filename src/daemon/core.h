// The core thread: feeds events to the node and carries out its effects.
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

/// What the core hands to other threads.
struct CoreShared {
  Inbox m_Inbox;
  Metrics m_Metrics;
  /// The configuration in force; null until one is known.
  std::atomic<std::shared_ptr<const Config>> m_Config;
};

/// Owns the node. Only run() touches it, on one thread.
template <CallerEntrance Callers, TargetClient Target, TableClient Table,
          PeerTransport Peers>
class Core {
public:
  struct Surroundings {
    Callers &m_Callers;
    Target &m_Target;
    Table &m_Table;
    Peers &m_Peers;
    BodyStreams &m_Bodies;
  };

  Core(Node Subject, CoreShared &Shared, Surroundings Around,
       Duration ShutdownLimit)
      : m_Node(std::move(Subject)), m_Shared(Shared), m_Around(Around),
        m_ShutdownLimit(ShutdownLimit) {}

  /// Runs until a shutdown was asked for and everything is drained.
  void run() {
    m_Node.start(runtime::bootNow());
    carryOutEffects();
    while (!shutdownDone(runtime::bootNow())) {
      Event Next;
      while (m_Shared.m_Inbox.tryTake(Next)) {
        const TimePoint Now = runtime::bootNow();
        std::visit([this, Now](auto &Item) { handle(Item, Now); }, Next);
        carryOutEffects();
        tickIfDue(Now);
      }
      const TimePoint Now = runtime::bootNow();
      tickIfDue(Now);
      m_Shared.m_Inbox.sleepUntil(wakeTime(Now));
    }
  }

private:
  /// A request between its arrival and its answer, for logs and metrics.
  struct Track {
    RequestId m_Id;
    ServiceName m_Service;
    ClassName m_Class;
    TimePoint m_Arrived;
    std::uint64_t m_BodyStream = 0;
  };

  static constexpr Duration HousekeepingPeriod = std::chrono::milliseconds(250);
  /// How often the end of a shutdown is looked for.
  static constexpr Duration ShutdownPeriod = std::chrono::milliseconds(10);

  /// Lets the last messages to other daemons leave before the process ends.
  static constexpr Duration ShutdownLinger = std::chrono::milliseconds(250);

  TimePoint wakeTime(TimePoint Now) const {
    TimePoint Result = std::min(m_Node.nextWake(), m_NextHousekeeping);
    if (m_ShuttingDown)
      Result = std::min(Result, Now + ShutdownPeriod);
    return Result;
  }

  void tickIfDue(TimePoint Now) {
    if (Now >= m_Node.nextWake()) {
      m_Node.onTick(Now);
      carryOutEffects();
    }
    if (Now >= m_NextHousekeeping)
      keepHouse(Now);
  }

  void keepHouse(TimePoint Now) {
    m_NextHousekeeping = Now + HousekeepingPeriod;
    m_Around.m_Bodies.expire(Now);
    m_Shared.m_Metrics.update(m_Node.status(Now), m_Shared.m_Inbox.size(),
                              m_Around.m_Bodies.size(), Now);
  }

  void publishConfig() {
    std::shared_ptr<const Config> Known = m_Node.coordinator().config();
    if (Known == m_Published)
      return;
    m_Published = Known;
    m_Shared.m_Config.store(Known);
    if (Known)
      LOG4CPLUS_INFO(logger(), "configuration version "
                                   << Known->m_Version.value()
                                   << " is in force");
  }

  bool shutdownDone(TimePoint Now) {
    if (!m_ShuttingDown)
      return false;
    if (Now - m_ShutdownBegan > m_ShutdownLimit) {
      LOG4CPLUS_WARN(logger(), "the shutdown reached its time limit");
      return true;
    }
    if (!m_Node.drained()) {
      m_IdleSince = Now;
      return false;
    }
    if (!std::exchange(m_StoppedListening, true))
      m_Around.m_Callers.stopListening();
    if (m_Around.m_Callers.openRequests() > 0 || m_Around.m_Bodies.size() > 0) {
      m_IdleSince = Now;
      return false;
    }
    return Now - m_IdleSince > ShutdownLinger;
  }

  // Events.

  void handle(std::monostate, TimePoint) {}

  void handle(CallerArrived &Item, TimePoint Now) {
    IncomingRequest &Request = Item.m_Request;
    m_Tracks.emplace(Request.m_Handle,
                     Track{.m_Id = Request.m_Meta.m_Id,
                           .m_Service = Request.m_Meta.m_Service,
                           .m_Class = Request.m_Meta.m_Class,
                           .m_Arrived = Now,
                           .m_BodyStream = Request.m_Http.m_BodyStream});
    m_Node.onCallerRequest(std::move(Request), Now);
  }

  void handle(const CallerGone &Item, TimePoint Now) {
    m_Node.onCallerDisconnected(Item.m_Request, Now);
  }

  void handle(const ControlArrived &Item, TimePoint Now) {
    m_Node.onControl(Item.m_Message, Item.m_From, Now);
  }

  void handle(RequestArrived &Item, TimePoint Now) {
    m_Node.onRequest(std::move(Item.m_Message), Item.m_From, Now);
  }

  void handle(const PeerLost &Item, TimePoint Now) {
    LOG4CPLUS_DEBUG(logger(),
                    "lost the connection with " << Item.m_Peer.value());
    m_Node.onPeerLost(Item.m_Peer, Now);
  }

  void handle(const TableReplied &Item, TimePoint Now) {
    m_Node.onTableReply(Item.m_Ticket, Item.m_Reply, Now);
  }

  void handle(OrderAnswering &Item, TimePoint Now) {
    m_Node.onOrderAnswerHead(Item.m_Order, std::move(Item.m_Head), Now);
  }

  void handle(OrderEnded &Item, TimePoint Now) {
    m_Shared.m_Metrics.orderEnded(Item.m_Report.m_End, Item.m_Report.m_Latency);
    m_Node.onOrderEnd(std::move(Item.m_Report), Now);
  }

  void handle(const TargetReady &Item, TimePoint Now) {
    LOG4CPLUS_INFO(logger(), "the target serves " << Item.m_Service.value()
                                                  << " with " << Item.m_Slots
                                                  << " slots");
    m_Node.onTargetReady(Item.m_Service, Item.m_Slots, Now);
  }

  void handle(const TargetLeft &, TimePoint Now) {
    LOG4CPLUS_INFO(logger(), "the target left or fell silent");
    m_Node.onTargetLeaving(Now);
  }

  void handle(const ShutdownAsked &Item, TimePoint Now) {
    if (!m_Draining) {
      LOG4CPLUS_INFO(logger(), "draining");
      m_Node.beginShutdown(Now);
    }
    m_Draining = true;
    if (!Item.m_Exit || m_ShuttingDown)
      return;
    m_ShuttingDown = true;
    m_ShutdownBegan = Now;
    m_Around.m_Callers.closeAfterAnswers();
  }

  void handle(const Inspect &Item, TimePoint Now) { Item.m_Run(m_Node, Now); }

  // Effects.

  void carryOutEffects() {
    Effects Todo = m_Node.takeEffects();
    for (Effect &Item : Todo)
      std::visit([this](auto &What) { carryOut(What); }, Item);
    publishConfig();
  }

  void carryOut(SendControl &What) {
    m_Shared.m_Metrics.controlMessages().Increment();
    m_Around.m_Peers.send(What.m_To, PeerMessage(std::move(What.m_Message)));
  }

  void carryOut(SendRequest &What) {
    m_Shared.m_Metrics.requestMessages().Increment();
    m_Around.m_Peers.send(What.m_To, PeerMessage(std::move(What.m_Message)));
  }

  void carryOut(const ReadTable &What) {
    m_Shared.m_Metrics.tableReads().Increment();
    m_Around.m_Table.read(What.m_Read, replyTo(What.m_Ticket));
  }

  void carryOut(const CommitTable &What) {
    m_Shared.m_Metrics.tableCommits().Increment();
    m_Around.m_Table.commit(What.m_Transaction, replyTo(What.m_Ticket));
  }

  std::function<void(TableReply)> replyTo(TableTicket Ticket) {
    return [&Inbox = m_Shared.m_Inbox, Ticket](TableReply Reply) {
      Inbox.post(TableReplied{Ticket, std::move(Reply)});
    };
  }

  void carryOut(StartOrder &What) {
    runtime::BodyPipePtr Upload;
    if (const std::uint64_t Stream = What.m_Http.m_BodyStream; Stream != 0) {
      Upload = m_Around.m_Bodies.claim(Stream);
      if (!Upload) {
        reportNotSent(What.m_Order);
        return;
      }
    }
    m_Around.m_Target.startOrder(std::move(What), std::move(Upload));
  }

  /// The body is gone, so nothing was sent.
  void reportNotSent(OrderId Order) {
    Event Report = OrderEnded{};
    std::get<OrderEnded>(Report).m_Report.m_Order = Order;
    std::get<OrderEnded>(Report).m_Report.m_End = OrderEnd::NotSent;
    if (!m_Shared.m_Inbox.tryPost(Report))
      LOG4CPLUS_ERROR(logger(), "the inbox is full; an order's end is lost");
  }

  void carryOut(const CancelOrder &What) {
    m_Around.m_Target.cancelOrder(What.m_Order);
  }

  void carryOut(const GrantEpoch &What) { m_Around.m_Target.grant(What); }

  void carryOut(const ResetPeer &What) {
    LOG4CPLUS_INFO(logger(),
                   "resetting the connection with " << What.m_Peer.value());
    m_Around.m_Peers.reset(What.m_Peer);
  }

  void carryOut(AnswerCaller &What) {
    const auto Found = m_Tracks.find(What.m_Request);
    if (Found != m_Tracks.end()) {
      record(Found->second, What);
      m_Tracks.erase(Found);
    }
    runtime::BodyPipePtr Rest;
    if (What.m_Http.m_BodyStream != 0)
      Rest = m_Around.m_Bodies.claim(What.m_Http.m_BodyStream);
    m_Around.m_Callers.answer(std::move(What), std::move(Rest));
  }

  void record(const Track &Request, const AnswerCaller &Answer) {
    const Duration Latency = runtime::bootNow() - Request.m_Arrived;
    m_Shared.m_Metrics.requestDone(Request.m_Service, Request.m_Class,
                                   Answer.m_Outcome, Answer.m_Reason, Latency);
    const bool Unknown = Answer.m_Outcome == Outcome::Unknown;
    const auto Level =
        Unknown ? log4cplus::WARN_LOG_LEVEL : log4cplus::DEBUG_LOG_LEVEL;
    if (!logger().isEnabledFor(Level))
      return;
    const LogRequest Context(Request.m_Id);
    std::ostringstream Line;
    Line << Request.m_Service.value() << "/" << Request.m_Class.value() << " "
         << toString(Answer.m_Outcome) << " " << toString(Answer.m_Reason)
         << " status " << Answer.m_Http.m_Status << " after " << Latency.count()
         << " us";
    logger().log(Level, Line.str());
  }

  Node m_Node;
  CoreShared &m_Shared;
  Surroundings m_Around;
  const Duration m_ShutdownLimit;
  std::shared_ptr<const Config> m_Published;
  std::unordered_map<RequestHandle, Track> m_Tracks;
  TimePoint m_NextHousekeeping;
  TimePoint m_ShutdownBegan;
  /// When a shutdown last saw something open.
  TimePoint m_IdleSince;
  bool m_Draining = false;
  bool m_ShuttingDown = false;
  bool m_StoppedListening = false;
};

} // namespace balsamwheel::daemon
