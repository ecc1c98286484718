// Effects: the actions that a node requests from its host. The node itself
// performs no I/O.
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

/// Send a message to a daemon. It may be lost, delayed, duplicated or
/// reordered.
struct SendControl {
  PeerAddress m_To;
  ControlMessage m_Message;
};

struct SendRequest {
  PeerAddress m_To;
  RequestMessage m_Message;
};

/// Read rows from the table; the host passes on the reply with the same ticket.
struct ReadTable {
  TableTicket m_Ticket;
  TableRead m_Read;
};

/// Commit a transaction; the host passes on the reply with the same ticket.
struct CommitTable {
  TableTicket m_Ticket;
  Transaction m_Transaction;
};

/// Send a request to the local target. The host must end the order and report
/// its end by \c m_Deadline.
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

/// Abort an order. The host still reports its end.
struct CancelOrder {
  OrderId m_Order;
};

/// Send the final answer to a caller whose request this daemon received.
struct AnswerCaller {
  RequestHandle m_Request;
  Outcome m_Outcome = Outcome::Unknown;
  Reason m_Reason = Reason::None;
  Duration m_RetryAfter{0};
  /// "host:port" that the caller may contact directly next time; may be empty.
  std::string m_OwnerHint;
  HttpAnswer m_Http;
};

/// Inform the local target of the epoch under which it serves a shard.
struct GrantEpoch {
  ShardRef m_Shard;
  Epoch m_Epoch;
};

/// Close the connection to a daemon, which has stopped answering, and open a
/// new one.
struct ResetPeer {
  PeerAddress m_Peer;
};

using Effect =
    std::variant<SendControl, SendRequest, ReadTable, CommitTable, StartOrder,
                 CancelOrder, AnswerCaller, GrantEpoch, ResetPeer>;
using Effects = std::vector<Effect>;

/// How an order ended.
enum class OrderEnd : std::uint8_t {
  /// The complete answer was received.
  Answered,
  /// The target reported that it refused the request without running it; the
  /// report is trusted.
  Shed,
  /// No byte of the request was sent.
  NotSent,
  /// The request was sent, but no complete answer was received.
  Failed,
  /// Ended by the deadline or by CancelOrder after bytes had been sent.
  Aborted,
};

} // namespace balsamwheel
