// Tests of the request gate: order, refusals, rate limit of cold targets, and
// simulations of overload.
#include "balsamwheel/detail/load/request_gate.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};

GateRequest request(std::uint64_t Handle, Duration Objective,
                    std::uint32_t Priority = 1, TimePoint Now = Start) {
  return {.m_Handle = RequestHandle(Handle),
          .m_Route = "r",
          .m_Priority = Priority,
          .m_Objective = Now + Objective,
          .m_Deadline = Now + 3 * Objective};
}

/// Returns an open gate that has learned the service time.
RequestGate gateWithService(std::uint32_t Slots, Duration Service) {
  RequestGate Gate({});
  Gate.open(Slots);
  for (int Count = 0; Count < 50; ++Count) {
    Gate.offer(request(1000 + Count, 10s), Start);
    Gate.finished("r", 1, Service, true);
  }
  return Gate;
}

/// Offers a request of \p Route every 100 ms, alone; it takes \p Service, or
/// until its deadline.
/// \returns when the last one was refused; none if none was.
std::optional<TimePoint> lastRefusal(RequestGate &Gate,
                                     const std::string &Route, Duration Service,
                                     Duration Objective, TimePoint From,
                                     TimePoint Until) {
  std::optional<TimePoint> Result;
  for (TimePoint Now = From; Now < Until; Now += 100ms) {
    GateRequest Offered = request(5000, Objective, 1, Now);
    Offered.m_Route = Route;
    if (Gate.offer(Offered, Now).m_Verdict == GateVerdict::Send)
      Gate.finished(Route, 1, Service, Service < 3 * Objective);
    else
      Result = Now;
  }
  return Result;
}

struct SimulationResult {
  int m_OnTime = 0;
  int m_Late = 0;
  int m_Refused = 0;
  int m_Expired = 0;
  Duration m_LongestExpiredWait{0};
};

/// Additional load besides the requests that are counted.
struct ExtraLoad {
  /// Arrivals per second of nested requests, whose parents run elsewhere.
  double m_NestedPerSecond = 0;
  Duration m_NestedService = 40ms;
  /// Fraction of the requests that fail.
  double m_FailingShare = 0;
  Duration m_FailingService{0};
};

/// Simulates open-loop arrivals at a gate whose target has random service
/// times.
SimulationResult simulate(double ArrivalsPerSecond, double Seconds,
                          Duration Service, std::uint32_t Slots,
                          Duration Objective, const ExtraLoad &Extras = {}) {
  RequestGate Gate = gateWithService(Slots, Service);
  pcg32 Random(7);
  std::exponential_distribution<double> Gap(ArrivalsPerSecond);
  std::uniform_real_distribution<double> ServiceFactor(0.6, 1.4);
  std::map<std::uint64_t, TimePoint> Arrived;
  std::multimap<TimePoint, std::pair<std::uint64_t, Duration>> Running;
  std::set<std::uint64_t> Nested;
  std::set<std::uint64_t> Failing;
  std::exponential_distribution<double> NestedGap(
      std::max(Extras.m_NestedPerSecond, 1e-9));
  std::uniform_real_distribution<double> Uniform(0, 1);
  SimulationResult Result;
  TimePoint Now = Start;
  const auto Send = [&](std::uint64_t Handle) {
    const Duration Mean = Nested.contains(Handle)    ? Extras.m_NestedService
                          : Failing.contains(Handle) ? Extras.m_FailingService
                                                     : Service;
    const auto ServiceTime =
        std::chrono::duration_cast<Duration>(Mean * ServiceFactor(Random));
    Running.emplace(Now + ServiceTime, std::pair(Handle, ServiceTime));
  };
  const auto DrainQueue = [&] {
    for (RequestHandle Each : Gate.expire(Now)) {
      ++Result.m_Expired;
      Result.m_LongestExpiredWait =
          std::max(Result.m_LongestExpiredWait, Now - Arrived.at(Each.value()));
    }
    while (auto Next = Gate.next(Now))
      Send(Next->value());
  };
  std::uint64_t Handle = 0;
  const auto After = [&](std::exponential_distribution<double> &Distribution) {
    return Now +
           std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
               std::min(Distribution(Random), 1e6)));
  };
  TimePoint NextArrival = Start;
  TimePoint NextNested = After(NestedGap);
  const TimePoint End = Start + std::chrono::duration_cast<Duration>(
                                    std::chrono::duration<double>(Seconds));
  while (NextArrival < End || !Running.empty()) {
    if (!Running.empty() &&
        (NextArrival >= End || Running.begin()->first <= NextArrival)) {
      Now = Running.begin()->first;
      const auto [Ended, ServiceTime] = Running.begin()->second;
      Running.erase(Running.begin());
      const bool IsNested = Nested.contains(Ended);
      const bool Fails = Failing.contains(Ended);
      Gate.finished(IsNested ? "call" : "r", 1, ServiceTime, !Fails);
      if (!IsNested && !Fails)
        ++(Now <= Arrived.at(Ended) + Objective ? Result.m_OnTime
                                                : Result.m_Late);
      DrainQueue();
      continue;
    }
    const bool IsNested = NextNested < NextArrival;
    Now = IsNested ? NextNested : NextArrival;
    (IsNested ? NextNested : NextArrival) = After(IsNested ? NestedGap : Gap);
    GateRequest Next = request(++Handle, Objective, 1, Now);
    Arrived[Handle] = Now;
    if (IsNested) {
      Nested.insert(Handle);
      Next.m_Route = "call";
      Next.m_Nested = true;
    } else if (Uniform(Random) < Extras.m_FailingShare) {
      Failing.insert(Handle);
    }
    switch (Gate.offer(Next, Now).m_Verdict) {
    case GateVerdict::Send:
      Send(Handle);
      break;
    case GateVerdict::Wait:
      DrainQueue();
      break;
    case GateVerdict::Refuse:
      ++Result.m_Refused;
      break;
    }
  }
  return Result;
}

} // namespace

// Guards against a route that is never served, as it is never sent and so never
// measured (CONFIG).
TEST_CASE("a route that was added was refused by the time that others take") {
  RequestGate Gate = gateWithService(9, 1s);
  CHECK_FALSE(lastRefusal(Gate, "added", 30ms, 160ms, Start, Start + 1s));
  CHECK(Gate.expectedService("added") == 30ms);
  // With all slots in use it waits as a quick request does.
  for (std::uint64_t Handle = 1; Handle <= 9; ++Handle)
    REQUIRE(Gate.offer(request(Handle, 10s), Start).m_Verdict ==
            GateVerdict::Send);
  GateRequest Second = request(10, 400ms);
  Second.m_Route = "second";
  CHECK(Gate.offer(Second, Start).m_Verdict == GateVerdict::Wait);
}

// Before the first sample of any route, too.
TEST_CASE("the first requests of a short deadline were refused by the time "
          "that is assumed") {
  RequestGate Gate({});
  Gate.open(9);
  CHECK_FALSE(lastRefusal(Gate, "r", 5ms, 20ms, Start, Start + 1s));
}

// Guards against a route that stays refused after its target has recovered.
TEST_CASE("a route that had been slow was refused for good") {
  RequestGate Gate = gateWithService(9, 5s);
  const auto Last = lastRefusal(Gate, "r", 30ms, 160ms, Start, Start + 10s);
  REQUIRE(Last);
  CHECK(*Last <= Start + 1s);
  // One that takes too long is tried once a second.
  int Tried = 0;
  RequestGate Slow = gateWithService(9, 5s);
  for (TimePoint Now = Start; Now < Start + 10s; Now += 100ms)
    if (Slow.offer(request(1, 160ms, 1, Now), Now).m_Verdict ==
        GateVerdict::Send) {
      ++Tried;
      Slow.finished("r", 1, 480ms, false);
    }
  CHECK(Tried >= 8);
  CHECK(Tried <= 10);
}

TEST_CASE("a route is served within 3 s after any history of samples") {
  CHECK(rc::check([] {
    RequestGate Gate({});
    Gate.open(9);
    TimePoint Now = Start;
    for (int Left = *rc::gen::inRange(0, 30); Left > 0; --Left) {
      Now += *rc::gen::inRange(0, 2000) * 1ms;
      GateRequest Offered =
          request(1, *rc::gen::inRange(1, 20000) * 1ms, 1, Now);
      Offered.m_Route = *rc::gen::element<std::string>("a", "b");
      if (Gate.offer(Offered, Now).m_Verdict == GateVerdict::Send)
        Gate.finished(Offered.m_Route, 1, *rc::gen::inRange(1, 60000) * 1ms,
                      *rc::gen::arbitrary<bool>());
    }
    const Duration Objective = *rc::gen::inRange(20, 2000) * 1ms;
    const auto Last =
        lastRefusal(Gate, "a", Objective / 2, Objective, Now, Now + 10s);
    RC_ASSERT(!Last || *Last <= Now + 3s);
  }));
}

TEST_CASE("closing the gate returns the waiting requests and refuses others") {
  RequestGate Gate = gateWithService(1, 100ms);
  CHECK(Gate.offer(request(1, 1s), Start).m_Verdict == GateVerdict::Send);
  CHECK(Gate.offer(request(2, 1s), Start).m_Verdict == GateVerdict::Wait);
  CHECK(Gate.close() == std::vector<RequestHandle>{RequestHandle(2)});
  const GateDecision Refused = Gate.offer(request(3, 1s), Start);
  CHECK(Refused.m_Verdict == GateVerdict::Refuse);
  CHECK(Refused.m_RetryAfter > Duration::zero());
}

TEST_CASE("a request that can't meet its objective is refused on arrival") {
  RequestGate Gate = gateWithService(1, 100ms);
  CHECK(Gate.offer(request(1, 300ms), Start).m_Verdict == GateVerdict::Send);
  CHECK(Gate.offer(request(2, 300ms), Start).m_Verdict == GateVerdict::Wait);
  const GateDecision Refused = Gate.offer(request(3, 300ms), Start);
  CHECK(Refused.m_Verdict == GateVerdict::Refuse);
  CHECK(Refused.m_RetryAfter >= 100ms);
}

TEST_CASE("a request too close to its deadline is refused despite free slots") {
  RequestGate Gate = gateWithService(4, 200ms);
  GateRequest Late = request(1, 300ms);
  Late.m_Deadline = Start + 50ms;
  CHECK(Gate.offer(Late, Start).m_Verdict == GateVerdict::Refuse);
}

TEST_CASE("requests are sent by priority, then by objective") {
  RequestGate Gate = gateWithService(1, 10ms);
  Gate.offer(request(1, 1s), Start);
  Gate.offer(request(2, 900ms, 2), Start);
  Gate.offer(request(3, 800ms, 1), Start);
  Gate.offer(request(4, 700ms, 1), Start);
  Gate.finished("r", 1, 10ms, true);
  CHECK(Gate.next(Start) == RequestHandle(4));
  CHECK_FALSE(Gate.next(Start).has_value());
  Gate.finished("r", 1, 10ms, true);
  CHECK(Gate.next(Start) == RequestHandle(3));
  Gate.finished("r", 1, 10ms, true);
  CHECK(Gate.next(Start) == RequestHandle(2));
}

TEST_CASE("requests that will be late are sent after those that can be on "
          "time") {
  RequestGate Gate = gateWithService(1, 100ms);
  Gate.offer(request(1, 1s), Start);
  GateRequest Late = request(2, 50ms, 0);
  Late.m_Deadline = Start + 2s;
  CHECK(Gate.offer(Late, Start).m_Verdict == GateVerdict::Wait);
  CHECK(Gate.offer(request(3, 1s, 3), Start).m_Verdict == GateVerdict::Wait);
  Gate.finished("r", 1, 100ms, true);
  CHECK(Gate.next(Start) == RequestHandle(3));
}

TEST_CASE("nested requests go first and only their deadline applies") {
  RequestGate Gate = gateWithService(1, 100ms);
  Gate.offer(request(1, 1s), Start);
  Gate.offer(request(2, 1s, 0), Start);
  GateRequest Nested = request(3, 60ms, 0);
  Nested.m_Deadline = Start + 1s;
  Nested.m_Nested = true;
  CHECK(Gate.offer(Nested, Start).m_Verdict == GateVerdict::Wait);
  Gate.finished("r", 1, 100ms, true);
  CHECK(Gate.next(Start) == RequestHandle(3));
}

TEST_CASE("without room by priority, a nested request goes before new ones of "
          "any priority") {
  RequestGate Gate({.m_RoomByPriority = false});
  Gate.open(1);
  Gate.offer(request(1, 1s), Start);
  Gate.offer(request(2, 1s, 0), Start);
  GateRequest Nested = request(3, 300ms, 5);
  Nested.m_Deadline = Start + 1s;
  Nested.m_Nested = true;
  CHECK(Gate.offer(Nested, Start).m_Verdict == GateVerdict::Wait);
  Gate.finished("r", 1, 100ms, true);
  CHECK(Gate.next(Start) == RequestHandle(3));
}

TEST_CASE("a late waiting request expires if another one can be on time") {
  RequestGate Gate = gateWithService(1, 100ms);
  Gate.offer(request(1, 1s), Start);
  Gate.offer(request(2, 400ms), Start);
  // 50 ms are left, and a fast request takes 60 ms.
  CHECK(Gate.expire(Start + 350ms).empty());
  Gate.offer(request(3, 1s, 1, Start + 350ms), Start + 350ms);
  CHECK(Gate.expire(Start + 350ms) ==
        std::vector<RequestHandle>{RequestHandle(2)});
}

namespace {

/// Offers a new and a nested request every \p Interval for \p Time, and lets
/// each request that is sent run for 20 ms.
///
/// \returns the times at which requests were sent.
std::vector<TimePoint> sendTimes(RequestGate &Gate, TimePoint Begin,
                                 Duration Time, Duration Interval) {
  std::vector<TimePoint> Sent;
  std::size_t Ended = 0;
  std::uint64_t Handle = 0;
  for (TimePoint Now = Begin; Now < Begin + Time; Now += Interval) {
    for (; Ended < Sent.size() && Sent[Ended] + 20ms <= Now; ++Ended)
      Gate.finished("r", 1, 20ms, true);
    GateRequest Nested = request(++Handle, 400ms, 1, Now);
    Nested.m_Nested = true;
    for (const GateRequest &Each : {Nested, request(++Handle, 400ms, 1, Now)})
      if (Gate.offer(Each, Now).m_Verdict == GateVerdict::Send)
        Sent.push_back(Now);
    while (Gate.next(Now))
      Sent.push_back(Now);
    Gate.expire(Now);
  }
  for (; Ended < Sent.size(); ++Ended)
    Gate.finished("r", 1, 20ms, true);
  return Sent;
}

/// Requests in the busiest window of four seconds.
std::ptrdiff_t mostInFourSeconds(const std::vector<TimePoint> &Times) {
  std::ptrdiff_t Most = 0;
  for (auto First = Times.begin(); First != Times.end(); ++First)
    Most = std::max(Most,
                    std::lower_bound(First, Times.end(), *First + 4s) - First);
  return Most;
}

} // namespace

TEST_CASE("a named limit holds for new and nested requests together, and is "
          "used") {
  for (const double Limit : {0.5, 1.0, 5.6, 8.6, 40.0}) {
    CAPTURE(Limit);
    RequestGate Gate = gateWithService(9, 20ms);
    Gate.setNamedLimit(Limit, Start);
    const auto Times = sendTimes(Gate, Start, 12s, 10ms);
    // What the target allows in four seconds.
    CHECK(static_cast<double>(mostInFourSeconds(Times)) <= 1.5 * 4 * Limit + 5);
    CHECK(static_cast<double>(Times.size()) >= 0.95 * 12 * Limit);
  }
}

TEST_CASE("a limit that is named again and again gives no new burst") {
  RequestGate Gate = gateWithService(9, 20ms);
  Gate.setNamedLimit(2.0, Start);
  std::vector<TimePoint> Times;
  for (TimePoint Now = Start; Now < Start + 8s; Now += 100ms) {
    Gate.setNamedLimit(2.0 + 0.1 * static_cast<double>(Times.size() % 2), Now);
    for (TimePoint Each : sendTimes(Gate, Now, 100ms, 10ms))
      Times.push_back(Each);
  }
  CHECK(mostInFourSeconds(Times) <= 1.5 * 4 * 2.1 + 5);
}

TEST_CASE("a target that names a limit of zero gets a request now and then") {
  RequestGate Gate = gateWithService(9, 20ms);
  Gate.setNamedLimit(0, Start);
  const auto Times = sendTimes(Gate, Start, 20s, 10ms);
  CHECK(mostInFourSeconds(Times) <= 5);
  CHECK(Times.size() >= 4);
}

TEST_CASE("a request beyond the limit is refused with the time of its token") {
  RequestGate Gate = gateWithService(9, 20ms);
  Gate.setNamedLimit(2.0, Start);
  std::uint64_t Handle = 0;
  for (int Count = 0; Count < 2; ++Count)
    CHECK(Gate.offer(request(++Handle, 400ms), Start).m_Verdict ==
          GateVerdict::Send);
  const GateDecision Decision = Gate.offer(request(++Handle, 400ms), Start);
  CHECK(Decision.m_Verdict == GateVerdict::Refuse);
  CHECK(Decision.m_RetryAfter == 500ms);
}

TEST_CASE("requests that wait when a target names a limit are refused at once "
          "if their tokens come too late") {
  RequestGate Gate = gateWithService(2, 100ms);
  std::uint64_t Handle = 0;
  for (int Count = 0; Count < 2; ++Count)
    CHECK(Gate.offer(request(++Handle, 1s), Start).m_Verdict ==
          GateVerdict::Send);
  for (int Count = 0; Count < 8; ++Count)
    CHECK(Gate.offer(request(++Handle, 1s), Start).m_Verdict ==
          GateVerdict::Wait);
  CHECK(Gate.expire(Start).empty());
  Gate.setNamedLimit(4.0, Start);
  // Two tokens at once and four a second; 0.6 s are left for the wait.
  CHECK(Gate.expire(Start).size() == 4);
  CHECK(Gate.waiting() == 4);
  CHECK(Gate.expire(Start + 50ms).empty());
}

TEST_CASE("the lower of the cold rate and the named limit holds") {
  RequestGate Gate = gateWithService(9, 20ms);
  Gate.limitRate(8, Start + 2s, Start);
  Gate.setNamedLimit(3.0, Start);
  CHECK(Gate.rateLimit(Start) == 3.0);
  Gate.setNamedLimit(20.0, Start);
  CHECK(Gate.rateLimit(Start) == 8.0);
  CHECK(Gate.rateLimit(Start + 3s) == 20.0);
  Gate.setNamedLimit(std::nullopt, Start + 3s);
  CHECK(Gate.rateLimit(Start + 3s) == 0);
}

TEST_CASE("a cold target gets at most its rate and a small burst") {
  RequestGate Gate = gateWithService(9, 20ms);
  Gate.limitRate(8, Start + 10s, Start);
  int Sent = 0;
  std::uint64_t Handle = 0;
  for (TimePoint Now = Start; Now < Start + 1s; Now += 5ms) {
    if (Gate.offer(request(++Handle, 400ms, 1, Now), Now).m_Verdict ==
        GateVerdict::Send)
      ++Sent;
    while (Gate.next(Now))
      ++Sent;
    while (Gate.running() > 0)
      Gate.finished("r", 1, 20ms, true);
  }
  CHECK(Sent <= 8 + 2);
  CHECK(Sent >= 8);
}

TEST_CASE("at twice the capacity, admitted requests are answered in time") {
  // 9 slots and 200 ms per request: 45 requests per second.
  const SimulationResult Result = simulate(90, 20, 200ms, 9, 600ms);
  CHECK(Result.m_OnTime >= 0.9 * 45 * 20);
  CHECK(Result.m_Late <= 0.05 * Result.m_OnTime);
  CHECK(Result.m_Expired <= 0.02 * Result.m_OnTime);
}

TEST_CASE("under overload with nested requests, few queued requests expire") {
  // Nested requests take 2 of 9 slots, so 35 requests per second can be served.
  const SimulationResult Result =
      simulate(80, 20, 200ms, 9, 600ms, {.m_NestedPerSecond = 50});
  CHECK(Result.m_OnTime >= 0.85 * 35 * 20);
  CHECK(Result.m_Expired <= 0.05 * Result.m_OnTime);
}

TEST_CASE("under overload with slow failures, few queued requests expire") {
  // A third occupies its slot for 500 ms and fails: 30 requests per second are
  // started, and 20 of them succeed.
  const SimulationResult Result =
      simulate(80, 20, 200ms, 9, 600ms,
               {.m_FailingShare = 1.0 / 3, .m_FailingService = 500ms});
  CHECK(Result.m_OnTime >= 0.8 * 20 * 20);
  CHECK(Result.m_Expired <= 0.05 * Result.m_OnTime);
}

TEST_CASE("just below the capacity, few requests are refused") {
  const SimulationResult Result = simulate(36, 20, 200ms, 9, 600ms);
  CHECK(Result.m_Refused <= 0.02 * 36 * 20);
  CHECK(Result.m_OnTime >= 0.97 * (Result.m_OnTime + Result.m_Late));
}

TEST_CASE("in random use the slots are never exceeded and each request leaves "
          "the gate once") {
  rc::check([] {
    RequestGate Gate({});
    const auto Slots = *rc::gen::inRange<std::uint32_t>(1, 5);
    Gate.open(Slots);
    TimePoint Now = Start;
    std::uint64_t Handle = 0;
    std::vector<std::uint32_t> Running;
    std::vector<std::uint32_t> PriorityOf{0};
    std::vector<RequestHandle> Waiting;
    const auto RemoveWaiting = [&](RequestHandle Each) {
      RC_ASSERT(std::erase(Waiting, Each) == 1);
    };
    for (int Step = 0; Step < 100; ++Step) {
      Now += Duration(*rc::gen::inRange(0, 50'000));
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1: {
        GateRequest Next =
            request(++Handle, Duration(*rc::gen::inRange(1, 800'000)),
                    *rc::gen::inRange(0, 3), Now);
        Next.m_Organisation =
            OrganisationName(std::string(*rc::gen::inRange(0, 3), 'o'));
        Next.m_Nested = *rc::gen::inRange(0, 4) == 0;
        const GateDecision Decision = Gate.offer(Next, Now);
        PriorityOf.push_back(Next.m_Priority);
        if (Decision.m_Displaced)
          RemoveWaiting(*Decision.m_Displaced);
        if (Decision.m_Verdict == GateVerdict::Send)
          Running.push_back(Next.m_Priority);
        else if (Decision.m_Verdict == GateVerdict::Wait)
          Waiting.push_back(Next.m_Handle);
        else
          RC_ASSERT(Decision.m_RetryAfter > Duration::zero());
        break;
      }
      case 2:
        if (!Running.empty()) {
          Gate.finished("r", Running.back(),
                        Duration(*rc::gen::inRange(1, 400'000)), true);
          Running.pop_back();
        }
        break;
      case 3:
        for (RequestHandle Each : Gate.expire(Now))
          RemoveWaiting(Each);
        break;
      default:
        if (!Waiting.empty()) {
          RC_ASSERT(Gate.withdraw(Waiting.front()));
          Waiting.erase(Waiting.begin());
        }
      }
      while (auto Next = Gate.next(Now)) {
        RemoveWaiting(*Next);
        Running.push_back(PriorityOf.at(Next->value()));
      }
      RC_ASSERT(Running.size() <= Slots);
      RC_ASSERT(Gate.running() == Running.size());
      RC_ASSERT(Gate.waiting() == Waiting.size());
    }
  });
}
