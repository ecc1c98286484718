// Connects the coordinator, the entrance and the executor of one daemon.
#include "balsamwheel/detail/node/node.h"

#include "balsamwheel/detail/node/context.h"
#include "balsamwheel/detail/node/entrance.h"
#include "balsamwheel/detail/node/executor.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace balsamwheel {

/// Passes each event to the part that handles it, then empties the loopback
/// queue.
class Node::Impl {
public:
  Impl(NodeOptions Options, std::uint64_t Seed)
      : m_Context(std::move(Options.m_Coordinator), Seed),
        m_Watch(m_Context, Options.m_ReceiptTimeout),
        m_Executor(m_Context, Options),
        m_Entrance(m_Context, m_Watch, Options, m_Context.random()) {
    m_Watch.setOnReset([this](const PeerAddress &Peer, TimePoint Now) {
      m_Entrance.onPeerLost(Peer, Now);
    });
  }

  template <typename Action> void handleEvent(TimePoint Now, Action &&Handler) {
    m_Entrance.detectSuspension(Now);
    Handler();
    m_Context.recordSession();
    handleLoopback(Now);
    probeControlPeers(Now);
  }

  void onTick(TimePoint Now) {
    handleEvent(Now, [&] {
      m_Context.coordinator().onTick(Now);
      m_Executor.onTick(Now);
      handleLoopback(Now);
      m_Entrance.onTick(Now);
      m_Watch.onTick(Now);
    });
  }

  void onRequest(RequestMessage Message, const PeerAddress &From,
                 TimePoint Now) {
    std::visit([&](auto &Each) { handle(std::move(Each), From, Now); },
               Message);
  }

  TimePoint nextWake() const {
    return std::min({m_Context.coordinator().nextWake(), m_Executor.nextWake(),
                     m_Entrance.nextWake(), m_Watch.nextWake()});
  }

  NodeContext m_Context;
  PeerWatch m_Watch;
  Executor m_Executor;
  Entrance m_Entrance;

private:
  void handle(ForwardRequest Message, const PeerAddress &From, TimePoint Now) {
    m_Executor.onForward(std::move(Message), From, Now);
  }
  void handle(const ForwardReceipt &Message, const PeerAddress & /*From*/,
              TimePoint Now) {
    m_Entrance.onReceipt(Message.m_Stream, Now);
  }
  void handle(ForwardReply Message, const PeerAddress & /*From*/,
              TimePoint Now) {
    m_Entrance.onReply(std::move(Message), Now);
  }
  void handle(const OutcomeQuery &Message, const PeerAddress &From,
              TimePoint Now) {
    m_Executor.onQuery(Message, From, Now);
  }
  void handle(const ForwardCancel &Message, const PeerAddress &From,
              TimePoint Now) {
    m_Executor.onCancel(Message.m_Stream, From, Now);
  }
  void handle(const Probe &Message, const PeerAddress &From,
              TimePoint /*Now*/) {
    m_Context.send(From, ProbeReply{.m_Nonce = Message.m_Nonce});
  }
  void handle(const ProbeReply &Message, const PeerAddress &From,
              TimePoint /*Now*/) {
    m_Watch.onProbeReply(From, Message.m_Nonce);
  }

  /// Probes the connections on which the coordinator has sent messages, because
  /// control messages have no receipts.
  void probeControlPeers(TimePoint Now) {
    const std::size_t FirstNew = m_Context.effects().size();
    m_Context.collectEffects();
    std::vector<PeerAddress> Peers;
    for (std::size_t I = FirstNew; I < m_Context.effects().size(); ++I)
      if (const auto *Sent = std::get_if<SendControl>(&m_Context.effects()[I]))
        Peers.push_back(Sent->m_To);
    for (const PeerAddress &Peer : Peers)
      if (!m_Context.isSelf(Peer))
        m_Watch.onSent(Peer, Now);
  }

  void handleLoopback(TimePoint Now) {
    std::deque<RequestMessage> &Queue = m_Context.loopback();
    while (!Queue.empty()) {
      RequestMessage Message = std::move(Queue.front());
      Queue.pop_front();
      onRequest(std::move(Message), m_Context.self(), Now);
    }
  }
};

Node::Node(NodeOptions Options, std::uint64_t Seed)
    : m_Impl(std::make_unique<Impl>(std::move(Options), Seed)) {}
Node::~Node() = default;
Node::Node(Node &&) noexcept = default;
Node &Node::operator=(Node &&) noexcept = default;

void Node::start(TimePoint Now) {
  m_Impl->handleEvent(Now, [&] { m_Impl->m_Context.coordinator().start(Now); });
}

void Node::onTick(TimePoint Now) { m_Impl->onTick(Now); }

TimePoint Node::nextWake() const { return m_Impl->nextWake(); }

void Node::onCallerRequest(IncomingRequest Request, TimePoint Now) {
  m_Impl->handleEvent(Now, [&] {
    m_Impl->m_Entrance.onCallerRequest(std::move(Request), Now);
  });
}

void Node::onCallerDisconnected(RequestHandle Request, TimePoint Now) {
  m_Impl->handleEvent(
      Now, [&] { m_Impl->m_Entrance.onCallerDisconnected(Request, Now); });
}

void Node::onControl(const ControlMessage &Message, const PeerAddress &From,
                     TimePoint Now) {
  m_Impl->handleEvent(Now, [&] {
    m_Impl->m_Context.coordinator().onMessage(Message, From, Now);
  });
}

void Node::onRequest(RequestMessage Message, const PeerAddress &From,
                     TimePoint Now) {
  m_Impl->handleEvent(
      Now, [&] { m_Impl->onRequest(std::move(Message), From, Now); });
}

void Node::onPeerLost(const PeerAddress &Peer, TimePoint Now) {
  m_Impl->handleEvent(Now, [&] { m_Impl->m_Entrance.onPeerLost(Peer, Now); });
}

void Node::onTableReply(TableTicket Ticket, const TableReply &Reply,
                        TimePoint Now) {
  m_Impl->handleEvent(Now, [&] {
    m_Impl->m_Context.coordinator().onTableReply(Ticket, Reply, Now);
  });
}

void Node::onOrderAnswerHead(OrderId Order, HttpAnswer Head, TimePoint Now) {
  m_Impl->handleEvent(
      Now, [&] { m_Impl->m_Executor.onAnswerHead(Order, std::move(Head)); });
}

void Node::onOrderEnd(OrderReport Report, TimePoint Now) {
  m_Impl->handleEvent(Now, [&] { m_Impl->m_Executor.onOrderEnd(Report, Now); });
}

void Node::onTargetReady(const ServiceName &Service, std::uint32_t Slots,
                         TimePoint Now) {
  m_Impl->handleEvent(Now, [&] {
    m_Impl->m_Executor.onTargetReady(Service, Slots, Now);
    m_Impl->m_Context.coordinator().onTargetReady(Service, Slots, Now);
  });
}

void Node::onTargetLeaving(TimePoint Now) {
  m_Impl->handleEvent(
      Now, [&] { m_Impl->m_Context.coordinator().onTargetLeaving(Now); });
}

void Node::beginShutdown(TimePoint Now) {
  m_Impl->handleEvent(
      Now, [&] { m_Impl->m_Context.coordinator().beginShutdown(Now); });
}

bool Node::drained() const {
  return m_Impl->m_Context.coordinator().drained() &&
         m_Impl->m_Executor.idle() && m_Impl->m_Entrance.openRequests() == 0;
}

const Coordinator &Node::coordinator() const {
  return std::as_const(m_Impl->m_Context).coordinator();
}

NodeStatus Node::status(TimePoint Now) const {
  NodeStatus Result;
  Result.m_Coordinator = coordinator().status(Now);
  Result.m_Limit = m_Impl->m_Executor.limit();
  Result.m_Running = m_Impl->m_Executor.running();
  Result.m_Queued = m_Impl->m_Executor.queued();
  Result.m_OutcomesKept = m_Impl->m_Executor.outcomesKept();
  Result.m_RequestsOpen = m_Impl->m_Entrance.openRequests();
  return Result;
}

Effects Node::takeEffects() { return m_Impl->m_Context.takeEffects(); }

} // namespace balsamwheel
