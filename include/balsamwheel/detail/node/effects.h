// What a node asks its surroundings to do. The node itself does no I/O.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/outcome.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/platform/table.h"
#include "balsamwheel/detail/wire/control.h"
#include "balsamwheel/detail/wire/request.h"

#include <variant>
#include <vector>

namespace balsamwheel {

/// Send a message to a daemon. May be lost, late, doubled or reordered.
struct SendControl {
  PeerAddress m_To;
  ControlMessage m_Message;
};

struct SendRequest {
  PeerAddress m_To;
  RequestMessage m_Message;
};

/// Read rows and pass the reply with the same ticket.
struct ReadTable {
  TableTicket m_Ticket;
  TableRead m_Read;
};

/// Commit a transaction and pass the reply with the same ticket.
struct CommitTable {
  TableTicket m_Ticket;
  Transaction m_Transaction;
};

/// Send a request to the local target. The surroundings must end the order,
/// and report it, at \c m_Deadline at the latest.
struct StartOrder {
  OrderId m_Order;
  RequestHandle m_Request;
  RequestMeta m_Meta;
  HttpRequest m_Http;
  ShardRef m_Shard;
  /// 0 for a service that is not divided by key.
  Epoch m_Epoch;
  TimePoint m_Deadline;
};

/// Abort an order. Its end is still reported.
struct CancelOrder {
  OrderId m_Order;
};

/// The final answer to a caller that entered at this daemon.
struct AnswerCaller {
  RequestHandle m_Request;
  Outcome m_Outcome = Outcome::Unknown;
  Reason m_Reason = Reason::None;
  Duration m_RetryAfter{0};
  /// "host:port" where the caller may go straight next time; may be empty.
  std::string m_OwnerHint;
  HttpAnswer m_Http;
};

/// Tell the local target which epoch it serves a shard under.
struct GrantTarget {
  ShardRef m_Shard;
  Epoch m_Epoch;
};

/// The connection to a daemon is silent: close it and open a new one.
struct ResetPeer {
  PeerAddress m_Peer;
};

using Effect =
    std::variant<SendControl, SendRequest, ReadTable, CommitTable, StartOrder,
                 CancelOrder, AnswerCaller, GrantTarget, ResetPeer>;
using Effects = std::vector<Effect>;

/// How an order ended.
enum class OrderEnd : std::uint8_t {
  /// The whole answer is here.
  Answered,
  /// The target refused without running it, and is trusted to say so.
  Shed,
  /// No byte of the order was sent.
  NotSent,
  /// Sent, but no whole answer came.
  Failed,
  /// Ended at the deadline or by CancelOrder after bytes were sent.
  Aborted,
};

} // namespace balsamwheel
