// The receiving side of callers' requests: routing, retries, hedged requests,
// recovery from unresponsive connections, and exactly one answer per request.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/outcome.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/load/picker.h"
#include "balsamwheel/detail/load/retry_budget.h"
#include "balsamwheel/detail/node/context.h"
#include "balsamwheel/detail/node/member_history.h"
#include "balsamwheel/detail/node/node.h"
#include "balsamwheel/detail/node/peer_watch.h"
#include "balsamwheel/detail/wire/request.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace balsamwheel {

/// Forwards callers' requests to an executor, local or remote, and answers each
/// caller exactly once.
///
/// A retry of a non-idempotent request is cleared before it is forwarded: every
/// daemon that may have run an earlier attempt confirms that it did not, and
/// refuses earlier attempts from then on.
///
/// Invariants: a non-idempotent request has at most one forward whose outcome
/// is open; NotRun is answered only if every forward of the request is proven
/// not to run and, for a later attempt, the earlier attempts are cleared.
class Entrance {
public:
  Entrance(NodeContext &Context, PeerWatch &Watch, const NodeOptions &Options,
           std::uint64_t Seed)
      : m_Context(Context), m_Watch(Watch),
        m_ReceiptTimeout(Options.m_ReceiptTimeout),
        m_Picker(Options.m_Picker, Seed), m_Budget(Options.m_Retry),
        m_History(Options.m_OutcomeMemory) {}

  void onCallerRequest(IncomingRequest Incoming, TimePoint Now);
  void onCallerDisconnected(RequestHandle Handle, TimePoint Now);
  void onReceipt(std::uint64_t Stream, TimePoint Now);
  void onReply(ForwardReply Reply, TimePoint Now);
  void onPeerLost(const PeerAddress &Peer, TimePoint Now);
  void onTick(TimePoint Now);
  TimePoint nextWake() const;
  /// Records a call of the node at \p Now; a long gap since the previous call
  /// counts as a suspension of the process.
  void detectSuspension(TimePoint Now);

  std::size_t openRequests() const { return m_Requests.size(); }

private:
  /// Delay before a forward with a receipt but without a reply is checked.
  static constexpr Duration ReceiptCheckDelay = std::chrono::milliseconds(500);
  /// Retry-after time in the answer to a caller whose first attempt could not
  /// be cleared.
  static constexpr Duration UnclearedRetryAfter = std::chrono::milliseconds(50);

  enum class ExchangeKind : std::uint8_t {
    Forward,
    /// Asks for the outcome of a forward whose connection is unresponsive.
    ForwardOutcome,
    /// Asks a daemon that may have run an earlier attempt to clear a retry.
    RetryClearance
  };

  /// A message to a daemon that expects a reply; open until the reply arrives.
  struct PeerExchange {
    ExchangeKind m_Kind = ExchangeKind::Forward;
    std::uint64_t m_Stream = 0;
    SessionId m_Session;
    PeerAddress m_Peer;
    TimePoint m_SentAt;
    bool m_HasReceipt = false;
    /// For ForwardOutcome: stream of the forward that is asked about.
    std::uint64_t m_ForwardStream = 0;
    /// When to act on a missing reply; TimePoint::max() for an exchange with
    /// this daemon itself, and for a forward while a ForwardOutcome exchange
    /// asks about it.
    TimePoint m_CheckAt;
    Duration m_ReplyTimeout{0};
    /// Nonce of the probe sent for this exchange; 0 if none is pending.
    std::uint64_t m_ProbeNonce = 0;
  };

  /// Confirmation of a daemon that it refuses earlier attempts from now on.
  struct Clearance {
    /// Stream of the OutcomeQuery that was confirmed.
    std::uint64_t m_ClearingQuery = 0;
    Epoch m_Epoch;
  };

  /// The receiver of a forward.
  struct Destination {
    SessionId m_Session;
    PeerAddress m_Peer;
    Epoch m_Epoch;
  };

  struct Request {
    IncomingRequest m_Incoming;
    TimePoint m_Received;
    /// Lower bound of the time at which the caller sent its first attempt.
    TimePoint m_EarliestFirstSend;
    bool m_Keyed = false;
    std::vector<PeerExchange> m_Exchanges;
    /// Sessions that refused or did not answer an earlier forward; picked only
    /// if there are no others.
    std::vector<SessionId> m_Avoid;
    /// Retries after a forward that an executor refused or failed; limited by
    /// the retry budget.
    std::uint32_t m_Retries = 0;
    /// Retries because no owner was available.
    std::uint32_t m_RouteRetries = 0;
    /// An idempotent forward ended without proof that it did not run.
    bool m_MayHaveRun = false;
    /// The request must be cleared before it is forwarded again.
    bool m_MustClear = false;
    /// Every daemon that may have run an earlier attempt refuses it from now
    /// on.
    bool m_Cleared = false;
    std::unordered_map<SessionId, Clearance> m_Clearances;
    /// Digest of the sessions that the last clearing asked.
    std::uint64_t m_AskedSessionsDigest = 0;
    std::optional<Destination> m_FirstDestination;
    /// The owner as reported by the last reply.
    std::optional<Destination> m_Redirect;
    TimePoint m_RetryAt = TimePoint::max();
    TimePoint m_HedgeAt = TimePoint::max();
    TimePoint m_WakeAt = TimePoint::max();
  };

  struct RequestResult {
    Outcome m_Outcome = Outcome::Unknown;
    Reason m_Reason = Reason::None;
    Duration m_RetryAfter{0};
  };

  Request *find(RequestHandle Handle);
  static bool mayHaveRun(const Request &Pending);
  void process(RequestHandle Handle, TimePoint Now);
  void reschedule(RequestHandle Handle, Request &Pending);

  void dispatch(RequestHandle Handle, TimePoint Now);
  void dispatchKeyed(RequestHandle Handle, Request &Pending, TimePoint Now);
  void dispatchUnkeyed(RequestHandle Handle, Request &Pending, TimePoint Now);
  std::optional<Destination> ownerOf(const Request &Pending) const;
  std::vector<SessionId> candidatesFor(const Request &Pending) const;
  void forward(RequestHandle Handle, Request &Pending,
               const Destination &Receiver, TimePoint Now);
  void hedge(RequestHandle Handle, Request &Pending, TimePoint Now);

  void clearKeyed(RequestHandle Handle, Request &Pending,
                  const Destination &Receiver, TimePoint Now);
  /// Returns a digest of a set of sessions, independent of their order.
  static std::uint64_t digestSessions(const std::vector<Destination> &Sessions);
  void clearUnkeyed(RequestHandle Handle, Request &Pending, TimePoint Now);
  void sendClearingQuery(RequestHandle Handle, Request &Pending,
                         const Destination &Receiver, TimePoint Now);
  void onClearingReply(RequestHandle Handle, Request &Pending,
                       const PeerExchange &Asked, const ForwardReply &Reply,
                       TimePoint Now);
  void finishUncleared(RequestHandle Handle, Request &Pending, TimePoint Now);
  /// Whether records that reach back by \p MemoryAge at another daemon include
  /// the caller's first attempt.
  bool memoryCovers(const Request &Pending, Duration MemoryAge,
                    TimePoint Now) const;

  void checkExchange(RequestHandle Handle, Request &Pending, std::size_t Index,
                     TimePoint Now);
  void recoverExchange(RequestHandle Handle, Request &Pending,
                       std::size_t Index, TimePoint Now);
  PeerExchange &openExchange(RequestHandle Handle, Request &Pending,
                             ExchangeKind Kind, const Destination &Receiver,
                             TimePoint Now);
  PeerExchange closeExchange(Request &Pending, std::size_t Index);

  void onNotRun(RequestHandle Handle, Request &Pending,
                const PeerExchange &Ended, const ForwardReply &Reply,
                TimePoint Now);
  void onUnknown(RequestHandle Handle, Request &Pending,
                 const ForwardReply &Reply, TimePoint Now);
  /// Schedules another try because no owner is available; answers Wait once
  /// MaxOwnerWait has passed.
  void retryRouting(RequestHandle Handle, Request &Pending, RequestResult Last,
                    TimePoint Now);
  void retryForward(RequestHandle Handle, Request &Pending, RequestResult Last,
                    TimePoint Now);
  void finish(RequestHandle Handle, RequestResult Result, TimePoint Now,
              HttpAnswer Http = {}, SessionId Runner = SessionId());

  NodeContext &m_Context;
  PeerWatch &m_Watch;
  Duration m_ReceiptTimeout;
  Picker m_Picker;
  RetryBudget m_Budget;
  MemberHistory m_History;
  std::unordered_map<RequestHandle, Request> m_Requests;
  std::unordered_map<std::uint64_t, RequestHandle> m_Streams;
  std::set<std::pair<TimePoint, RequestHandle>> m_WakeTimes;
  TimePoint m_LastCall = TimePoint::min();
  TimePoint m_HistoryUpdateAt = TimePoint::min();
  /// Requests read until then may have been delayed by a suspension.
  TimePoint m_PossiblyDelayedUntil = TimePoint::min();
  /// Upper bound of that delay.
  Duration m_PossibleDelay{0};
};

} // namespace balsamwheel
