// The only gate in front of one target: what is sent now, what waits, what is
// refused.
//
// Load pattern: more work arrives than the target's slots finish within the
// latency objectives, e.g. a burst, a hot stretch of keys, or a target that
// turns slow. A queue that admits all of it makes every answer late; this one
// admits what can still be answered within its objective and refuses the rest
// at arrival, when the caller can still go elsewhere or come back.
//
// Calls that a running request makes go before new requests: refusing one
// wastes the slot that its parent holds.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

struct RequestGateOptions {
  /// Part of a request's remaining time that the expected completion may take
  /// at admission; the rest covers the spread of service times.
  double m_AdmissionMargin = 0.7;
  /// Part of the remaining time that a request may wait in any case, while it
  /// can still be on time: a mean is inflated by a few slow requests.
  double m_ShortWait = 0.12;
  /// Part of the mean service time that a quick request takes.
  double m_QuickService = 0.6;
  /// Part of the time to its deadline that a request may wait once its
  /// objective has passed.
  double m_LateWaitShare = 0.1;
  /// Part of the expected service time that a request must have left to be
  /// worth a slot.
  double m_LeastServiceLeft = 0.6;
  /// Weight of the newest service time in the running mean.
  double m_ServiceWeight = 0.1;
  /// Weight of the newest gap between two starts from the queue.
  double m_StartGapWeight = 0.1;
  /// How long the gap between starts is believed after the last start from a
  /// queue: as long as a burst takes to build up or to end.
  Duration m_StartGapLife = std::chrono::seconds(1);
  /// Service time assumed before any has been seen.
  Duration m_InitialService = std::chrono::milliseconds(200);
  /// Requests that a cold target may get at once, beyond its rate.
  double m_ColdBurst = 2;
  /// How often expire() is called while requests wait.
  Duration m_ExpireInterval = std::chrono::milliseconds(50);
  /// Longest queue, in multiples of the slots.
  std::uint32_t m_QueuePerSlot = 6;
  Duration m_ShortestRetryAfter = std::chrono::milliseconds(50);
  Duration m_LongestRetryAfter = std::chrono::seconds(2);
};

/// A request as the gate ranks it.
struct GateRequest {
  RequestHandle m_Handle;
  /// Requests of one route cost about the same.
  std::string m_Route;
  /// 0 is the most urgent.
  std::uint32_t m_Priority = 0;
  /// A running request waits for it. It is due by its deadline only.
  bool m_Nested = false;
  /// Until then the answer is worth most.
  TimePoint m_Objective;
  /// Until then it is worth anything.
  TimePoint m_Deadline;
};

enum class GateVerdict : std::uint8_t { Send, Wait, Refuse };

struct GateDecision {
  GateVerdict m_Verdict = GateVerdict::Refuse;
  /// Expected time until a slot is free for the request.
  Duration m_ExpectedWait{0};
  /// For a refusal: when it is likely to be admitted.
  Duration m_RetryAfter{0};
};

/// Pure; not thread-safe. Invariants: running() grows only while it is below
/// the slots and the gate is open; a request leaves the gate exactly once, by
/// next(), expire(), withdraw() or shut().
class RequestGate {
public:
  explicit RequestGate(RequestGateOptions Options) : m_Options(Options) {}

  /// The target takes requests, this many at a time.
  void open(std::uint32_t Slots);
  /// Nothing more is sent. \returns what was waiting; none of it was sent.
  std::vector<RequestHandle> shut();
  bool isOpen() const { return m_Slots > 0; }
  /// The target bears only \p Rate requests a second until \p Until.
  void limitRate(double Rate, TimePoint Until, TimePoint Now);

  /// Offers a request. Send means that it takes a slot now.
  /// Complexity: linear in the queue.
  GateDecision offer(const GateRequest &Request, TimePoint Now);
  /// Takes the next waiting request that may be sent now.
  std::optional<RequestHandle> next(TimePoint Now);
  /// Takes out waiting requests that can no longer be answered: their deadline
  /// is too near, or their objective has passed and work that is on time is
  /// waiting.
  std::vector<RequestHandle> expire(TimePoint Now);
  /// Withdraws a waiting request; false if it was not waiting.
  bool withdraw(RequestHandle Request);
  /// A sent request ended. \p Served: its service time tells what the next
  /// one of the route will take.
  void finished(const std::string &Route, Duration Service, bool Served);

  std::uint32_t running() const { return m_Running; }
  std::uint32_t slots() const { return m_Slots; }
  std::size_t waiting() const { return m_Waiting.size(); }
  /// Mean service time over all routes, as they came lately.
  Duration meanService() const;
  Duration expectedService(const std::string &Route) const;
  /// Requests a second while the target is cold; 0 without a limit.
  double rateLimit(TimePoint Now) const;
  /// When next() may have something though nothing finished.
  std::optional<TimePoint> nextWake(TimePoint Now) const;

private:
  struct Waiting {
    GateRequest m_Request;
    std::uint64_t m_Sequence;
  };

  TimePoint dueBy(const GateRequest &Request) const;
  /// Whether a quick answer is in time.
  bool onTime(const GateRequest &Request, TimePoint Now) const;
  /// Its deadline comes before any answer can.
  bool hopeless(const GateRequest &Request, TimePoint Now) const;
  /// Longest time that it is worth waiting for.
  Duration worthWaiting(const GateRequest &Request, TimePoint Now) const;
  GateDecision refusal(Duration Wait) const;
  /// Whether \p Left is to be sent before \p Right.
  bool before(const Waiting &Left, const Waiting &Right, TimePoint Now) const;
  Duration waitBehind(std::size_t Ahead, TimePoint Now) const;
  bool takeRate(TimePoint Now);
  bool hasOrdinaryWaiting() const;
  /// Learns from the start of a waiting request how fast the queue moves.
  void noteStart(TimePoint Now);
  double ratePermits(TimePoint Now) const;

  RequestGateOptions m_Options;
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Running = 0;
  std::uint64_t m_NextSequence = 0;
  std::vector<Waiting> m_Waiting;
  /// Running means, in microseconds.
  std::map<std::string, double> m_Service;
  double m_MeanService = 0;
  /// Mean time between two starts of requests from the queue that are no calls
  /// of running ones, in microseconds: what calls, failed runs and slow ones
  /// leave of the slots. 0 when it isn't known.
  double m_StartGap = 0;
  TimePoint m_LastStart;
  /// Such requests have been waiting ever since the last start.
  bool m_Backlogged = false;
  double m_Rate = 0;
  TimePoint m_RateUntil;
  /// Requests that the rate allows now; at most the burst.
  double m_Permits = 0;
  TimePoint m_PermitsAt;
};

} // namespace balsamwheel
