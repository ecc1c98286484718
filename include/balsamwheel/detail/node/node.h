// One daemon's decisions: coordination, request handling and load control
// joined into one pure state machine. Everything that must hold is decided
// here; the daemon and the tests drive the same class.
#pragma once

#include "balsamwheel/detail/coordination/coordinator.h"
#include "balsamwheel/detail/load/admission.h"
#include "balsamwheel/detail/load/picker.h"
#include "balsamwheel/detail/load/retry_budget.h"
#include "balsamwheel/detail/node/effects.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace balsamwheel {

struct NodeOptions {
  CoordinatorOptions m_Coordinator;
  AdmissionOptions m_Admission;
  PickerOptions m_Picker;
  RetryBudgetOptions m_Retry;
  /// How long the outcome of a non-idempotent request is remembered.
  Duration m_OutcomeMemory = std::chrono::seconds(120);
  /// Most outcomes remembered.
  std::size_t m_OutcomeLimit = 100'000;
  /// No receipt of a forward within this time: probe the connection.
  Duration m_ReceiptTimeout = std::chrono::milliseconds(50);
};

/// A request that entered at this daemon, classified and checked.
struct IncomingRequest {
  RequestHandle m_Handle;
  RequestMeta m_Meta;
  HttpRequest m_Http;
  Urgency m_Urgency = Urgency::Interactive;
  TimePoint m_Deadline;
};

/// How an order ended, as the target adapter saw it.
struct OrderReport {
  OrderId m_Order;
  OrderEnd m_End = OrderEnd::Failed;
  HttpAnswer m_Http;
  Duration m_Latency{0};
};

struct NodeStatus {
  CoordinatorStatus m_Coordinator;
  std::uint32_t m_Limit = 0;
  std::uint32_t m_Running = 0;
  std::size_t m_Queued = 0;
  std::size_t m_OutcomesKept = 0;
  std::size_t m_RequestsOpen = 0;
};

/// Not thread-safe; performs no I/O and reads no clock.
///
/// Invariants: each IncomingRequest gets exactly one AnswerCaller; each
/// StartOrder is covered by a permit taken in the same call; a non-idempotent
/// request id is started at most once.
class Node {
public:
  Node(NodeOptions Options, std::uint64_t Seed);
  ~Node();
  Node(Node &&) noexcept;
  Node &operator=(Node &&) noexcept;

  void start(TimePoint Now);
  void onTick(TimePoint Now);
  TimePoint nextWake() const;

  void onCallerRequest(IncomingRequest Request, TimePoint Now);
  /// The caller closed its connection.
  void onCallerGone(RequestHandle Request, TimePoint Now);
  void onControl(const ControlMessage &Message, const PeerAddress &From,
                 TimePoint Now);
  void onRequest(RequestMessage Message, const PeerAddress &From,
                 TimePoint Now);
  /// The transport gave up on a daemon's connection.
  void onPeerLost(const PeerAddress &Peer, TimePoint Now);
  void onTableReply(TableTicket Ticket, const TableReply &Reply, TimePoint Now);
  /// The head of a long answer is here; its body streams past the node. The
  /// order still runs until onOrderEnd().
  void onOrderAnswering(OrderId Order, HttpAnswer Head, TimePoint Now);
  void onOrderEnd(OrderReport Report, TimePoint Now);

  void onTargetReady(const ServiceName &Service, std::uint32_t Slots,
                     TimePoint Now);
  void onTargetLeaving(TimePoint Now);
  void beginShutdown(TimePoint Now);
  /// Nothing is owned, waiting or running any more.
  bool drained() const;

  const Coordinator &coordinator() const;
  NodeStatus status(TimePoint Now) const;
  Effects takeEffects();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel
