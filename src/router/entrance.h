// Receives the requests of callers: chooses route and instance, retries where
// that is allowed, and sends exactly one answer.
#pragma once

#include "event_log.h"
#include "exchange_format.h"
#include "peer_mesh.h"
#include "quota_service.h"
#include "router_metrics.h"
#include "target_agent.h"

#include "balsamwheel/detail/load/crash_suspects.h"
#include "balsamwheel/detail/load/retry_budget.h"
#include "balsamwheel/detail/load/target_selector.h"
#include "balsamwheel/detail/routing/route_table.h"

#include "net/http_server.h"

#include <pcg_random.hpp>

#include <set>

namespace balsamwheel {

/// Functions by which the entrance looks up state that the router keeps.
struct EntranceCallbacks {
  /// Null before the first configuration.
  std::function<std::shared_ptr<const RouteTable>()> m_Routes;
  /// Null when the service's key map isn't known.
  std::function<const KeyMap *(const ServiceName &)> m_KeyMap;
  /// Instances whose targets can serve the service.
  std::function<std::vector<TargetSelector::Candidate>(const ServiceName &)>
      m_Candidates;
  /// The target that an instance reports; none when it reports none.
  std::function<std::optional<TargetIncarnation>(const InstanceName &)>
      m_Target;
  /// When a caller whose answer would be large may return; none while there is
  /// room for it.
  std::function<std::optional<Duration>()> m_LargeAnswersRefusedFor;
};

struct EntranceOptions {
  /// A refused request is forwarded to another instance at once only while it
  /// has been forwarded fewer times than this, retries included.
  int m_MaxForwards = 3;
  /// Delay before the owner of a key is looked up again.
  Duration m_OwnerRetryDelay = std::chrono::milliseconds(60);
  /// Maximum number of repeated owner lookups for one request.
  int m_MaxOwnerLookups = 4;
  /// Bounds of the pause before a request is sent again to a target that has
  /// rejected it: half of its mean service time, in which it may have room.
  Duration m_MinRejectedPause = std::chrono::milliseconds(20);
  Duration m_MaxRejectedPause = std::chrono::milliseconds(150);
  /// Time that must be left before the deadline for a retry, as a fraction of
  /// the expected completion time. Below 1, because that is a mean over all
  /// routes, well above the time of a fast one.
  double m_MinRetryTimeRatio = 0.6;
  /// Retry-After for callers when no better estimate is known.
  Duration m_DefaultRetryAfter = std::chrono::milliseconds(300);
  /// Retry-After is extended by a random amount of up to this fraction of it,
  /// so that callers don't return all at once.
  double m_RetryAfterSpread = 0.3;
  /// How long a request may wait for a token of its organisation's quota, as a
  /// fraction of its time limit; the rest is for running.
  double m_QuotaWaitRatio = 0.6;
  RetryBudgetOptions m_Retries;
  /// Reserved from the time limit of leaving targets, for requests in flight.
  Duration m_DrainMargin = std::chrono::milliseconds(500);
};

/// Invariants: each request that was read is answered exactly once unless its
/// caller has disconnected; a non-idempotent request is forwarded again only
/// with proof that it hasn't run; "not run" is answered only with such proof.
class Entrance {
public:
  Entrance(EventLoop &Loop, EventLog &Log, const RouterSettings &Settings,
           const ExchangeFormat &Format, TargetAgent &Agent, PeerMesh &Mesh,
           TargetSelector &Selector, const CrashSuspects &Suspects,
           QuotaService &Quota, RouterMetrics &Metrics, EntranceOptions Options,
           EntranceCallbacks Callbacks);

  /// Takes a request from a caller; it is answered through \p Exchange.
  void accept(std::shared_ptr<HttpExchange> Exchange);
  /// The process will exit: no request, present or new, is answered later than
  /// \p Limit. Where it waits, it is refused while there is time for the
  /// answer; one that is running then gets an error.
  ///
  /// Other daemons know only the later deadlines of the present requests. Those
  /// that still wait there are withdrawn shortly before \p Limit.
  void answerAllBy(TimePoint Limit);
  /// New requests are refused from now on: the process is about to exit.
  void refuseNew() { m_RefuseNew = true; }
  /// Requests that haven't been answered yet.
  std::size_t active() const { return m_Active.size(); }

private:
  using Id = std::uint64_t;
  /// A request at another daemon.
  struct PassedOnRequest {
    Id m_Request = 0;
    /// Of the attempt.
    std::uint64_t m_Stream = 0;
  };
  struct ActiveRequest {
    std::shared_ptr<HttpExchange> m_Exchange;
    std::shared_ptr<const RouteTable> m_Table;
    const Route *m_Route = nullptr;
    ServiceName m_Service;
    /// Whose key the caller has given; none without a key.
    std::optional<OrganisationName> m_Organisation;
    /// 0 is the most urgent.
    std::uint32_t m_Priority = 0;
    RequestMetadata m_Metadata;
    RequestDigest m_Digest;
    /// The request as sent to targets, without the headers that name the target
    /// and its deadline.
    HttpRequest m_Request;
    /// Sent by the target beside this daemon while it runs another request.
    bool m_Nested = false;
    /// The other request is a repeat, so this one counts as one, too.
    bool m_OfRepeat = false;
    TimePoint m_ReceivedAt;
    TimePoint m_Objective;
    TimePoint m_Deadline;
    EventLoop::TimerId m_DeadlineTimer;
    EventLoop::TimerId m_OwnerRetryTimer;
    /// Instance that the request was last forwarded to.
    InstanceName m_Destination;
    /// Stream of the attempt at a peer; 0 when there is none.
    std::uint64_t m_Stream = 0;
    TargetAgent::JobId m_Job;
    /// Attempts that may have reached a target.
    std::uint32_t m_TargetAttempts = 0;
    int m_Forwards = 0;
    int m_OwnerLookups = 0;
    /// Waits for a token of its organisation's quota.
    std::optional<QuotaTicket> m_Ticket;
    /// When it got the token; none without one.
    std::optional<TimePoint> m_TokenAt;
    /// An attempt has ended without proof that it hasn't run.
    bool m_MayHaveRun = false;
    /// Sent to the owner again after its target had rejected it.
    bool m_RetriedAtOwner = false;
    /// Instances that have refused or failed the request.
    std::set<InstanceName> m_Excluded;
  };

  /// Finds the route by host and path.
  /// \returns false when none matches.
  static bool matchRoute(ActiveRequest &Entry);
  /// Finds the organisation by the API key, and sets the priority.
  /// \returns false when the key is needed and unknown.
  bool authenticate(ActiveRequest &Entry) const;
  /// Sets the service, the latency objective and the deadline.
  void applyRoute(ActiveRequest &Entry);
  /// Whether the request needs a token of its organisation's quota.
  bool needsToken(const ActiveRequest &Entry) const;
  void acquireToken(Id Request);
  void tokenDecided(Id Request, QuotaVerdict Verdict, Duration RetryAfter);
  /// Returns the token of a request that ends as not run.
  void returnToken(const ActiveRequest &Entry);
  /// Begins to serve a request that may run.
  void start(Id Request);
  /// Chooses an instance and forwards the request to it; refuses the request or
  /// schedules another owner lookup when there is none.
  void dispatch(Id Request);
  std::optional<InstanceName> choose(const ActiveRequest &Entry);
  /// Whether only the owner of its key can serve the request.
  static bool isKeyed(const ActiveRequest &Entry);
  /// For how long this entrance has known from an answer that the present
  /// target of an instance leaves; none when it doesn't. The daemon beside the
  /// target may have restarted and not know it.
  std::optional<Duration> leavingFor(const InstanceName &Name) const;
  std::optional<InstanceName> ownerOf(const ActiveRequest &Entry) const;
  void forward(Id Request, const InstanceName &Destination);
  void attemptEnded(Id Request, TargetJobResult Result);
  void noteLeaving(const InstanceName &Name, const TargetIncarnation &Leaving);
  void handleNotRun(Id Request, const TargetJobResult &Result);
  /// Sends a keyed request that the owner's target has rejected without running
  /// it there once more, after a pause.
  /// \returns false when it may not be sent again.
  bool retryAtOwner(Id Request, const TargetJobResult &Result);
  /// Excludes the last instance and checks the limits on retries.
  /// \returns whether a retry is allowed; it is then charged to the retry
  /// budget.
  bool acquireRetry(ActiveRequest &Entry);
  /// Checks the limits on a retry at an instance after a pause.
  /// \returns whether it is allowed; it is then charged to the retry budget.
  bool chargeRetry(const ActiveRequest &Entry, const InstanceName &Destination,
                   Duration Pause);
  RetryBudget &retryBudget(const ServiceName &Service) {
    return m_Retries.try_emplace(Service, m_Options.m_Retries).first->second;
  }
  void retryOwnerLookup(Id Request);
  void timedOut(Id Request);
  void callerLeft(Id Request);
  /// Cancels the attempt in progress, if any.
  /// \returns whether the request may have reached a target with it.
  bool cancelAttempt(const ActiveRequest &Entry);
  /// Withdraws those whose attempts are still in progress.
  void withdraw(const std::vector<PassedOnRequest> &PassedOn);
  /// Starts the timer that ends the request at its deadline.
  void startDeadlineTimer(Id Request, ActiveRequest &Entry);
  /// Answers that the request hasn't run.
  void refuse(Id Request, Reason Why, Duration RetryAfter);
  /// Answers a request whose key no organisation holds.
  void refuseUnauthenticated(Id Request);
  /// Answers with an error that leaves open whether the request has run.
  void fail(Id Request, unsigned Status, Reason Why);
  /// Ends the request: logs and counts it, and answers unless the status is 0.
  void answer(Id Request, HttpAnswer Answer, std::string_view Outcome,
              Reason Why);

  EventLoop &m_Loop;
  EventLog &m_Log;
  const RouterSettings &m_Settings;
  const ExchangeFormat &m_Format;
  TargetAgent &m_Agent;
  PeerMesh &m_Mesh;
  TargetSelector &m_Selector;
  const CrashSuspects &m_Suspects;
  QuotaService &m_Quota;
  RouterMetrics &m_Metrics;
  EntranceOptions m_Options;
  EntranceCallbacks m_Callbacks;
  /// Retry budgets by service: the limit on retries holds for each of them.
  std::map<ServiceName, RetryBudget> m_Retries;
  pcg32 m_Random;
  bool m_RefuseNew = false;
  /// No request's deadline is later.
  TimePoint m_LatestDeadline = TimePoint::max();
  Id m_LastId = 0;
  std::map<Id, ActiveRequest> m_Active;
  /// Longest time until the deadline that callers have given on each route,
  /// taken as that of a first attempt. If a request has less time left, the
  /// difference is the time for which its caller has already waited.
  std::map<std::string, Duration> m_LongestTimeLeft;
  struct LeavingTarget {
    TargetIncarnation m_Target;
    TimePoint m_Since;
  };
  /// The last target of each instance whose answer has said that it leaves.
  std::map<InstanceName, LeavingTarget> m_LeavingTargets;
};

} // namespace balsamwheel
