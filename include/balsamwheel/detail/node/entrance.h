// The caller's side of a request: routing, retries, hedges, silent
// connections, and exactly one answer.
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

/// Brings callers' requests to an executor, the local one included, and
/// answers each caller once.
///
/// Invariants: a non-idempotent request has at most one forward whose fate is
/// open; NotRun is answered only when every forward of the request is proven
/// not to run, and, for a later attempt, when the earlier ones are cleared.
class Entrance {
public:
  Entrance(NodeContext &Context, PeerWatch &Watch, const NodeOptions &Options,
           std::uint64_t Seed)
      : m_Context(Context), m_Watch(Watch),
        m_ReceiptTimeout(Options.m_ReceiptTimeout),
        m_Picker(Options.m_Picker, Seed), m_Budget(Options.m_Retry),
        m_History(Options.m_OutcomeMemory) {}

  void onCallerRequest(IncomingRequest Incoming, TimePoint Now);
  void onCallerGone(RequestHandle Handle, TimePoint Now);
  void onReceipt(std::uint64_t Stream, TimePoint Now);
  void onReply(ForwardReply Reply, TimePoint Now);
  void onPeerLost(const PeerAddress &Peer, TimePoint Now);
  void onTick(TimePoint Now);
  TimePoint nextWake() const;
  /// Tells that the node was called at \p Now, to notice suspensions.
  void noteTime(TimePoint Now);

  std::size_t openRequests() const { return m_Requests.size(); }

private:
  /// A forward with a receipt is looked at after this time.
  static constexpr Duration LongSilence = std::chrono::milliseconds(500);
  static constexpr Duration RouteRetryAfter = std::chrono::milliseconds(50);

  enum class LegKind : std::uint8_t {
    Forward,
    /// Asks for the fate of a forward whose connection went silent.
    Fate,
    /// Clears a retry with a daemon that may have run an earlier attempt.
    Clear
  };

  /// One exchange with a daemon. Open until its reply.
  struct Leg {
    LegKind m_Kind = LegKind::Forward;
    std::uint64_t m_Stream = 0;
    SessionId m_Session;
    PeerAddress m_Peer;
    TimePoint m_SentAt;
    bool m_Receipt = false;
    /// The forward that a Fate leg asks for.
    std::uint64_t m_Forward = 0;
    /// When its silence is looked at; max while a Fate leg does that.
    TimePoint m_CheckAt;
    Duration m_Patience{0};
    /// Nonce of the probe sent for it, 0 before.
    std::uint64_t m_Probe = 0;
  };

  /// A daemon that refuses earlier attempts from now on.
  struct Clearance {
    std::uint64_t m_Query = 0;
    Epoch m_Epoch;
  };

  /// Where a forward goes.
  struct Destination {
    SessionId m_Session;
    PeerAddress m_Peer;
    Epoch m_Epoch;
  };

  struct Request {
    IncomingRequest m_In;
    TimePoint m_Received;
    /// When the first attempt that may have run was sent, at the latest.
    TimePoint m_FirstAt;
    bool m_Keyed = false;
    std::vector<Leg> m_Legs;
    std::vector<SessionId> m_Avoid;
    /// Attempts that reached an executor with room to refuse.
    std::uint32_t m_Retries = 0;
    /// Attempts that found no owner.
    std::uint32_t m_RouteRetries = 0;
    /// An idempotent forward ended without proof that it did not run.
    bool m_MaybeRan = false;
    /// Must be cleared before the next forward.
    bool m_MustClear = false;
    /// Every daemon that may have run an earlier attempt refuses it now.
    bool m_Cleared = false;
    std::unordered_map<SessionId, Clearance> m_Clearances;
    /// Stands for the sessions that the last clearing asked.
    std::uint64_t m_Asked = 0;
    std::optional<Destination> m_First;
    /// What the last reply said about the owner.
    std::optional<Destination> m_Redirect;
    TimePoint m_NextTry = TimePoint::max();
    TimePoint m_HedgeAt = TimePoint::max();
    TimePoint m_Wake = TimePoint::max();
  };

  struct Verdict {
    Outcome m_Outcome = Outcome::Unknown;
    Reason m_Reason = Reason::None;
    Duration m_RetryAfter{0};
  };

  Request *find(RequestHandle Handle);
  static bool mayHaveRun(const Request &Value);
  void process(RequestHandle Handle, TimePoint Now);
  void reschedule(RequestHandle Handle, Request &Value);

  void dispatch(RequestHandle Handle, TimePoint Now);
  void dispatchKeyed(RequestHandle Handle, Request &Value, TimePoint Now);
  void dispatchAny(RequestHandle Handle, Request &Value, TimePoint Now);
  std::optional<Destination> ownerOf(const Request &Value) const;
  std::vector<SessionId> candidatesFor(const Request &Value) const;
  void forward(RequestHandle Handle, Request &Value, const Destination &To,
               TimePoint Now);
  void hedge(RequestHandle Handle, Request &Value, TimePoint Now);

  void clearKeyed(RequestHandle Handle, Request &Value, const Destination &To,
                  TimePoint Now);
  /// The same for equal sets of sessions, in any order.
  static std::uint64_t digestOf(const std::vector<Destination> &Sessions);
  void clearAny(RequestHandle Handle, Request &Value, TimePoint Now);
  void sendClear(RequestHandle Handle, Request &Value, const Destination &To,
                 TimePoint Now);
  void onCleared(RequestHandle Handle, Request &Value, const Leg &Asked,
                 const ForwardReply &Reply, TimePoint Now);
  void notCleared(RequestHandle Handle, Request &Value, TimePoint Now);
  bool covers(const Request &Value, Duration MemoryAge, TimePoint Now) const;

  void checkLeg(RequestHandle Handle, Request &Value, std::size_t Index,
                TimePoint Now);
  void recover(RequestHandle Handle, Request &Value, std::size_t Index,
               TimePoint Now);
  Leg &openLeg(RequestHandle Handle, Request &Value, LegKind Kind,
               const Destination &To, TimePoint Now);
  Leg closeLeg(Request &Value, std::size_t Index);

  void onNotRun(RequestHandle Handle, Request &Value, const Leg &Ended,
                const ForwardReply &Reply, TimePoint Now);
  void onUnknown(RequestHandle Handle, Request &Value,
                 const ForwardReply &Reply, TimePoint Now);
  /// Tries again for want of an owner; gives up after a while.
  void retryRoute(RequestHandle Handle, Request &Value, Verdict Last,
                  TimePoint Now);
  void retryTarget(RequestHandle Handle, Request &Value, Verdict Last,
                   TimePoint Now);
  void finish(RequestHandle Handle, Verdict Result, TimePoint Now,
              HttpAnswer Http = {}, SessionId Runner = SessionId());

  NodeContext &m_Context;
  PeerWatch &m_Watch;
  Duration m_ReceiptTimeout;
  Picker m_Picker;
  RetryBudget m_Budget;
  MemberHistory m_History;
  std::unordered_map<RequestHandle, Request> m_Requests;
  std::unordered_map<std::uint64_t, RequestHandle> m_Streams;
  std::set<std::pair<TimePoint, RequestHandle>> m_Wakes;
  TimePoint m_LastCall = TimePoint::min();
  TimePoint m_HistoryAt = TimePoint::min();
  /// Requests read until then may have waited since before a suspension.
  TimePoint m_SuspectUntil = TimePoint::min();
  Duration m_SuspectAge{0};
};

} // namespace balsamwheel
