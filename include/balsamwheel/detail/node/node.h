// The state machine of one daemon: coordination, request handling and load
// control. It decides everything on which the safety guarantees depend; the
// daemon and the tests drive the same class.
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
  /// Maximum number of outcomes remembered.
  std::size_t m_OutcomeLimit = 100'000;
  /// The connection is probed if no receipt of a forward arrives in this time.
  Duration m_ReceiptTimeout = std::chrono::milliseconds(50);
};

/// A request that this daemon received from a caller, validated and classified.
struct IncomingRequest {
  RequestHandle m_Handle;
  RequestMeta m_Meta;
  HttpRequest m_Http;
  Urgency m_Urgency = Urgency::Interactive;
  TimePoint m_Deadline;
};

/// The end of an order as reported by the target adapter.
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

/// Not thread-safe; performs no I/O and reads no clock. Each call passes in the
/// current time; the resulting effects are fetched with takeEffects().
///
/// Invariants: each IncomingRequest gets exactly one AnswerCaller; each
/// StartOrder is covered by a permit granted in the same call; a non-idempotent
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
  /// Called when the caller has closed its connection.
  void onCallerDisconnected(RequestHandle Request, TimePoint Now);
  void onControl(const ControlMessage &Message, const PeerAddress &From,
                 TimePoint Now);
  void onRequest(RequestMessage Message, const PeerAddress &From,
                 TimePoint Now);
  /// Called when the transport has lost the connection to a daemon.
  void onPeerLost(const PeerAddress &Peer, TimePoint Now);
  void onTableReply(TableTicket Ticket, const TableReply &Reply, TimePoint Now);
  /// Called with the head of a long answer, whose body is streamed without
  /// passing through the node. The order runs until onOrderEnd().
  void onOrderAnswerHead(OrderId Order, HttpAnswer Head, TimePoint Now);
  void onOrderEnd(OrderReport Report, TimePoint Now);

  void onTargetReady(const ServiceName &Service, std::uint32_t Slots,
                     TimePoint Now);
  void onTargetLeaving(TimePoint Now);
  void beginShutdown(TimePoint Now);
  /// Whether the node owns no shard and has no waiting or running request.
  bool drained() const;

  const Coordinator &coordinator() const;
  NodeStatus status(TimePoint Now) const;
  Effects takeEffects();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel
