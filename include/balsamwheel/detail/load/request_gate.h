// Admission control for all requests to one target: a request is sent now,
// queued or refused.
//
// Load pattern: more work arrives than the target's slots can finish within the
// latency objectives, e.g. a burst, a hot range of keys, or a target that
// became slow. A queue that accepts all of it makes every answer late; this one
// accepts what can still be answered within its objective and refuses the rest
// on arrival, while the caller can still use another target or retry later.
//
// A target may also limit the requests per second that it gets, while it is
// cold or because it says so. The limit holds for all requests, from all
// instances: what exceeds it is refused as soon as it is clear that its token
// comes too late.
//
// Nested requests, i.e. those made by a running request, go before new ones:
// refusing one wastes the slot that its parent occupies.
//
// Organisations take turns among waiting requests of equal priority, see
// OrganisationTurns: a flood from one delays and displaces only its own.
//
// Where requests of different priorities meet, slots are left for the more
// urgent ones as far as they have used them lately, see GateRanks, and a more
// urgent request displaces the least urgent waiting one. A nested request has
// the priority of its parent and goes before new ones of its rank.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/load/gate_ranks.h"
#include "balsamwheel/detail/load/organisation_turns.h"
#include "balsamwheel/detail/load/return_schedule.h"
#include "balsamwheel/detail/load/service_times.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace balsamwheel {

struct RequestGateOptions {
  /// Fraction of a request's remaining time that its expected wait and service
  /// together may take at admission; the rest covers the variance of service
  /// times.
  double m_AdmissionShare = 0.7;
  /// Fraction of the remaining time that a request may always wait while it can
  /// still meet its objective: the mean service time is an overestimate when a
  /// few requests are slow.
  double m_MinWaitShare = 0.12;
  /// Service time of a fast request, as a fraction of the mean service time.
  double m_FastServiceShare = 0.6;
  /// Fraction of the time left until the deadline, less the service time, that
  /// a request may wait once its objective can no longer be met.
  double m_LateWaitShare = 0.1;
  /// Minimum time until the deadline for a request to be sent, as a fraction of
  /// its expected service time.
  double m_MinServiceShare = 0.6;
  ServiceTimesOptions m_Service = {};
  /// Smoothing factor: weight of the newest interval between two starts from
  /// the queue.
  double m_StartGapWeight = 0.1;
  /// How long the mean interval between starts remains valid after the last
  /// start from the queue: the time that a burst takes to build up or to end.
  Duration m_StartGapLifetime = std::chrono::seconds(1);
  /// Token bucket size of a limited target: requests that it may get at once.
  double m_MinBurst = 2;
  /// Token bucket size of a target that has named a limit, as a time at this
  /// limit; at least m_MinBurst. Lets the target use its limit when requests
  /// arrive unevenly.
  Duration m_LimitBurst = std::chrono::milliseconds(500);
  /// Requests per second that are sent to a target whose limit is lower:
  /// without an answer, the end of the limit wouldn't be noticed.
  double m_MinLimit = 0.25;
  /// Interval at which expire() is called while requests wait.
  Duration m_ExpireInterval = std::chrono::milliseconds(50);
  /// Maximum queue length per slot.
  std::uint32_t m_QueueLimitPerSlot = 6;
  /// Whether priorities are more than an order among waiting requests.
  bool m_RoomByPriority = true;
  GateRanksOptions m_Ranks = {};
  /// Interval at which next() is to be called while slots are left for more
  /// urgent requests.
  Duration m_RoomInterval = std::chrono::milliseconds(10);
  /// Whether refused callers are told to return one after the other.
  bool m_ScheduleReturns = true;
  Duration m_MinRetryAfter = std::chrono::milliseconds(50);
  Duration m_MaxRetryAfter = std::chrono::seconds(2);
  /// Limit of scheduled returns.
  Duration m_MaxScheduledReturn = std::chrono::seconds(4);
};

/// The properties of a request that decide on its admission and order.
struct GateRequest {
  RequestHandle m_Handle;
  /// Requests of one route have similar service times.
  std::string m_Route;
  /// 0 is the most urgent.
  std::uint32_t m_Priority = 0;
  /// Empty when the caller has given no API key.
  OrganisationName m_Organisation;
  /// Made by a running request that waits for the answer. Only the deadline
  /// applies, not the objective.
  bool m_Nested = false;
  /// Time by which the answer meets the latency objective.
  TimePoint m_Objective;
  /// Time after which the answer is of no use.
  TimePoint m_Deadline;
  /// Set by the gate: the expected service time of the route doesn't count, as
  /// it may be out of date.
  bool m_Trial = false;
};

enum class GateVerdict : std::uint8_t { Send, Wait, Refuse };

/// Why a request was refused.
enum class GateRefusal : std::uint8_t {
  None,
  Closed,
  DeadlineTooNear,
  QueueFull,
  WaitTooLong
};

constexpr std::string_view toString(GateRefusal Why) {
  switch (Why) {
  case GateRefusal::None:
    return "";
  case GateRefusal::Closed:
    return "closed";
  case GateRefusal::DeadlineTooNear:
    return "deadline_too_near";
  case GateRefusal::QueueFull:
    return "queue_full";
  case GateRefusal::WaitTooLong:
    return "wait_too_long";
  }
  return "";
}

struct GateDecision {
  GateVerdict m_Verdict = GateVerdict::Refuse;
  /// Expected time until a slot is free for the request.
  Duration m_ExpectedWait{0};
  /// For a refusal, or for the request that was displaced: time after which a
  /// retry is likely to be admitted.
  Duration m_RetryAfter{0};
  /// A waiting request that has left the queue in favour of the new one; it
  /// wasn't sent.
  std::optional<RequestHandle> m_Displaced;
  GateRefusal m_Why = GateRefusal::None;
};

/// Performs no I/O and reads no clock; not thread-safe. Invariants: running()
/// grows only while it is below slots() and the gate is open; a queued request
/// leaves the queue exactly once, by next(), expire(), withdraw(), close() or
/// as GateDecision::m_Displaced. Without organisations and with one priority,
/// the order is that of objectives and no slot is left free.
class RequestGate {
public:
  explicit RequestGate(RequestGateOptions Options)
      : m_Options(Options), m_Ranks(Options.m_Ranks),
        m_Service(Options.m_Service), m_Tokens(Options.m_MinBurst) {}

  /// Opens the gate: the target accepts \p Slots concurrent requests.
  void open(std::uint32_t Slots);
  /// Closes the gate: nothing more is sent.
  ///
  /// \returns the requests that were waiting; none of them was sent.
  std::vector<RequestHandle> close();
  bool isOpen() const { return m_Slots > 0; }
  /// Limits the target, which is cold, to \p Rate requests per second until
  /// \p Until.
  void limitRate(double Rate, TimePoint Until, TimePoint Now);
  /// Limits the target to the requests per second that it has named, until the
  /// next call; none ends the limit.
  void setNamedLimit(std::optional<double> Rate, TimePoint Now);

  /// Admits, queues or refuses a request. GateVerdict::Send means that the
  /// request occupies a slot from now on.
  /// Complexity: linear in the queue length.
  GateDecision offer(GateRequest Request, TimePoint Now);
  /// Removes and returns the next waiting request that may be sent now.
  std::optional<RequestHandle> next(TimePoint Now);
  /// Removes and returns waiting requests that should not be sent any more:
  /// their deadline is too near, they can't meet their objective while another
  /// waiting request can, or the rate limit, which may be lower than at their
  /// admission, gives them no token in time.
  /// Complexity: linear in the queue length, n log n under a rate limit.
  std::vector<RequestHandle> expire(TimePoint Now);
  /// Removes a waiting request; returns false if it was not waiting.
  bool withdraw(RequestHandle Request);
  /// Frees the slot of a request that was sent and has ended.
  ///
  /// \param Priority that of the request.
  /// \param Served whether \p Service counts towards the expected service time
  ///        of the route.
  void finished(const std::string &Route, std::uint32_t Priority,
                Duration Service, bool Served);

  std::uint32_t running() const { return m_Running; }
  std::uint32_t slots() const { return m_Slots; }
  std::size_t waiting() const { return m_Waiting.size(); }
  /// Moving average of the service time over all routes.
  Duration meanService() const { return m_Service.mean(); }
  /// Whether meanService() has been measured.
  bool knowsService() const { return m_Service.hasSamples(); }
  Duration expectedService(const std::string &Route) const {
    return m_Service.expected(Route);
  }
  /// Forgets the service times of all routes but these.
  void keepRoutes(const std::set<std::string> &Names) {
    m_Service.keepOnly(Names);
  }
  /// Requests per second that the target gets at most; 0 without a limit.
  double rateLimit(TimePoint Now) const;
  /// Requests that the limit allows at once, beyond those waiting; negative
  /// when not even these have their tokens. Meaningless without a limit.
  double spareTokens(TimePoint Now) const;
  /// Time at which next() may return a request even if none has finished.
  std::optional<TimePoint> nextWake(TimePoint Now) const;

private:
  struct Waiting {
    GateRequest m_Request;
    std::uint64_t m_Sequence;
    /// Equal for all nested requests.
    OrganisationTurns::Turn m_Turn;
    /// As of the last updateRanks(); the lower is sent first.
    std::int64_t m_Rank = 0;
  };

  /// The deadline of a nested request, the objective of any other.
  TimePoint dueBy(const GateRequest &Request) const;
  /// Whether a fast answer would still be in time for dueBy().
  bool canBeOnTime(const GateRequest &Request, TimePoint Now) const;
  /// Time that an answer takes as far as it is known; zero if it isn't.
  Duration knownService(const GateRequest &Request) const;
  /// Whether the request is refused or put behind others because of the
  /// expected service time of its route alone.
  bool isHeldBackByEstimate(const GateRequest &Request, TimePoint Now) const;
  /// Whether the deadline passes before any answer is possible.
  bool cannotMeetDeadline(const GateRequest &Request, TimePoint Now) const;
  /// Maximum time for which the request may be queued.
  Duration maxWait(const GateRequest &Request, TimePoint Now) const;
  /// Refuses a request whose wait would be \p Wait.
  GateDecision refusal(const GateRequest &Request, Duration Wait,
                       GateRefusal Why, TimePoint Now);
  /// Time after which the caller of a refused request is to return: not later
  /// than it can still be served.
  Duration retryAfter(const GateRequest &Request, Duration Wait, TimePoint Now);
  /// Decides anew on slots to leave and ranks.
  void updateRanks(TimePoint Now);
  /// Whether a slot is free that needn't be left for more urgent requests.
  bool hasSlotFor(const GateRequest &Request) const;
  /// Whether all waiting requests are less urgent, so that they wait for slots
  /// that are left free.
  bool isBeforeAll(const Waiting &Offered) const;
  /// Counts a request that occupies a slot from now on.
  void start(const Waiting &Started, TimePoint Now);
  /// Whether \p Left is to be sent before \p Right.
  bool precedes(const Waiting &Left, const Waiting &Right, TimePoint Now) const;
  /// Whether the requests take their turns from the same organisation.
  static bool shareTurns(const GateRequest &Left, const GateRequest &Right);
  std::size_t countBefore(const Waiting &Subject, TimePoint Now) const;
  /// The turn that the request would have now: the turns of an organisation go
  /// to its requests by the time that they are due.
  OrganisationTurns::Turn turnOf(const Waiting &Offered) const;
  /// Appends the request to the queue and assigns the organisation's turns
  /// anew.
  void enqueue(const Waiting &Offered);
  /// Returns the turn of a request that has left the queue unsent.
  void giveTurnBack(const Waiting &Left);
  /// Gives a turn to a request that is sent without waiting.
  void useTurn(const GateRequest &Request);
  /// Whether \p Offered may take the place of \p Other in a full queue.
  bool mayDisplace(const Waiting &Offered, const Waiting &Other) const;
  /// The last waiting request that \p Offered may displace; m_Waiting.end() if
  /// there is none.
  std::vector<Waiting>::iterator lastDisplaceable(const Waiting &Offered,
                                                  TimePoint Now);
  /// Removes a waiting request in favour of \p Offered, which is about to be
  /// queued, if there isn't room for both or it can't be on time any more.
  std::optional<GateRequest> displaceFor(const Waiting &Offered, TimePoint Now);
  /// Queues a request, for which another may have to leave.
  GateDecision admit(const Waiting &Offered, Duration Wait, TimePoint Now);
  bool isFull() const {
    return m_Waiting.size() >=
           std::size_t{m_Options.m_QueueLimitPerSlot} * m_Slots;
  }
  /// \param Ahead number of waiting requests that are sent before.
  Duration expectedWait(const GateRequest &Request, std::size_t Ahead,
                        TimePoint Now) const;
  bool takeToken(TimePoint Now);
  bool hasNonNestedWaiting() const;
  /// Updates m_StartGap at the start of a request from the queue.
  void recordStart(TimePoint Now);
  double availableTokens(TimePoint Now) const;
  /// Token bucket size under the present limits.
  double burst(TimePoint Now) const;
  /// Removes waiting requests whose tokens come too late.
  void dropWithoutToken(TimePoint Now, std::vector<Waiting> &Dropped);
  /// Credits the tokens earned so far, before the rate changes.
  void creditTokens(TimePoint Now);

  RequestGateOptions m_Options;
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Running = 0;
  std::uint64_t m_NextSequence = 0;
  std::vector<Waiting> m_Waiting;
  /// Turns of organisations by priority.
  std::map<std::uint32_t, OrganisationTurns> m_Turns;
  GateRanks m_Ranks;
  /// Returns of refused callers by priority.
  std::map<std::uint32_t, ReturnSchedule> m_Returns;
  ServiceTimes m_Service;
  /// Mean interval between two starts of non-nested requests from the queue, in
  /// microseconds; 0 when unknown. It accounts for the slot time that nested,
  /// failed and slow requests take.
  double m_StartGap = 0;
  TimePoint m_LastStart;
  /// Non-nested requests have been waiting ever since the last start.
  bool m_Backlogged = false;
  double m_ColdRate = 0;
  TimePoint m_ColdUntil;
  std::optional<double> m_NamedLimit;
  /// Tokens in the bucket at m_TokensAt.
  double m_Tokens = 0;
  TimePoint m_TokensAt;
};

} // namespace balsamwheel
