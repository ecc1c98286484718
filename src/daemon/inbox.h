// The events that reach a daemon's core thread.
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
  PeerAddress m_From;
  ControlMessage m_Message;
};

struct PeerRequestReceived {
  PeerAddress m_From;
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

/// Hand everything over.
struct ShutdownRequested {
  /// End the process afterwards.
  bool m_Exit = true;
};

/// Runs a function on the core thread, for status pages.
struct Inspect {
  std::function<void(const Node &Subject, TimePoint Now)> m_Visit;
};

using Event =
    std::variant<std::monostate, CallerRequestReceived, CallerDisconnected,
                 ControlReceived, PeerRequestReceived, PeerLost, TableReplied,
                 OrderHeadReceived, OrderEnded, TargetReady, TargetLeft,
                 ShutdownRequested, Inspect>;

/// The bounded ring in front of the core thread. Requests and messages from
/// peers are dropped when it is full; replies wait for room.
class Inbox {
public:
  explicit Inbox(std::size_t Capacity = DefaultCapacity)
      : m_Mailbox(Capacity, m_Waker) {}

  /// False when full.
  bool tryPost(Event &Value) { return m_Mailbox.tryPush(Value); }
  /// Waits for room, unless nobody takes events any more. Not for the core
  /// thread.
  void post(Event Value) {
    while (!m_Closed && !m_Mailbox.tryPush(Value))
      std::this_thread::sleep_for(FullRetryDelay);
  }
  /// The core thread takes nothing more.
  void close() { m_Closed = true; }

  bool tryTake(Event &Value) { return m_Mailbox.tryPop(Value); }
  /// Sleeps until something is posted or \p Until.
  void sleepUntil(TimePoint Until) {
    if (!m_Mailbox.prepareToSleep())
      return;
    m_Waker.sleepUntil(Until);
    m_Mailbox.awake();
  }
  std::size_t size() const { return m_Mailbox.size(); }

private:
  static constexpr std::size_t DefaultCapacity = 8192;
  static constexpr std::chrono::microseconds FullRetryDelay{100};

  runtime::EventWaker m_Waker;
  runtime::Mailbox<Event, runtime::EventWaker> m_Mailbox;
  std::atomic<bool> m_Closed{false};
};

} // namespace balsamwheel::daemon
