// The event queue of a daemon's core thread.
#pragma once

#include "balsamwheel/detail/node/node.h"
#include "balsamwheel/detail/wire/peer.h"
#include "runtime/event_waker.h"
#include "runtime/mailbox.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>
#include <utility>
#include <variant>

namespace balsamwheel::daemon {

struct CallerRequestReceived {
  IncomingRequest m_Request;
};

struct CallerDisconnected {
  RequestHandle m_Request;
};

struct ControlReceived {
  PeerAddress m_Sender;
  ControlMessage m_Message;
};

struct PeerRequestReceived {
  PeerAddress m_Sender;
  RequestMessage m_Message;
};

struct PeerLost {
  PeerAddress m_Peer;
};

struct TableReplied {
  TableTicket m_Ticket;
  TableReply m_Reply;
};

struct OrderHeadReceived {
  OrderId m_Order;
  HttpAnswer m_Head;
};

struct OrderEnded {
  OrderReport m_Report;
};

struct TargetReady {
  ServiceName m_Service;
  std::uint32_t m_Slots = 0;
};

struct TargetLeft {};

/// Drain: hand over all shards and finish open requests.
struct ShutdownRequested {
  /// Whether the process ends afterwards.
  bool m_Exit = true;
};

/// Runs a function on the core thread, for status queries.
struct Inspect {
  std::function<void(const Node &Subject, TimePoint Now)> m_Visit;
};

using Event =
    std::variant<std::monostate, CallerRequestReceived, CallerDisconnected,
                 ControlReceived, PeerRequestReceived, PeerLost, TableReplied,
                 OrderHeadReceived, OrderEnded, TargetReady, TargetLeft,
                 ShutdownRequested, Inspect>;

/// Bounded event queue of the core thread. When it is full, requests and
/// messages from peers are dropped (tryPost()), and replies wait (post()).
class Inbox {
public:
  explicit Inbox(std::size_t Capacity = DefaultCapacity)
      : m_Mailbox(Capacity, m_Waker) {}

  /// \returns false if the queue is full.
  bool tryPost(Event &Value) { return m_Mailbox.tryPush(Value); }
  /// Blocks while the queue is full. Drops the event after close(). Must not be
  /// called on the core thread.
  void post(Event Value) {
    while (!m_Closed && !m_Mailbox.tryPush(Value))
      std::this_thread::sleep_for(FullRetryInterval);
  }
  /// Call when the core thread takes no more events, so that post() can't
  /// block.
  void close() { m_Closed = true; }

  bool tryTake(Event &Value) { return m_Mailbox.tryPop(Value); }
  /// Sleeps until an event is posted or \p Until is reached.
  void sleepUntil(TimePoint Until) {
    if (!m_Mailbox.prepareToSleep())
      return;
    m_Waker.sleepUntil(Until);
    m_Mailbox.finishSleep();
  }
  std::size_t size() const { return m_Mailbox.size(); }

private:
  /// Number of events.
  static constexpr std::size_t DefaultCapacity = 8192;
  /// Time between attempts of post() while the queue is full.
  static constexpr std::chrono::microseconds FullRetryInterval{100};

  runtime::EventWaker m_Waker;
  runtime::Mailbox<Event, runtime::EventWaker> m_Mailbox;
  std::atomic<bool> m_Closed{false};
};

} // namespace balsamwheel::daemon
