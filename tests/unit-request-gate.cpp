// The gate of one target: order, refusals, cold limits, and overload replays.
#include "balsamwheel/detail/load/request_gate.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
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

/// A gate that has seen service times.
RequestGate warmGate(std::uint32_t Slots, Duration Service) {
  RequestGate Gate({});
  Gate.open(Slots);
  for (int Count = 0; Count < 50; ++Count) {
    Gate.offer(request(1000 + Count, 10s), Start);
    Gate.finished("r", Service, true);
  }
  return Gate;
}

struct ReplayResult {
  int m_Timely = 0;
  int m_Late = 0;
  int m_Refused = 0;
  int m_Expired = 0;
  Duration m_LongestRefusal{0};
};

/// Arrivals besides the requests that are counted.
struct ReplayExtras {
  /// Calls of requests that run elsewhere, each second.
  double m_CallsPerSecond = 0;
  Duration m_CallService = 40ms;
  /// Part of the requests that fail after a longer time.
  double m_FailingPart = 0;
  Duration m_FailingService{0};
};

/// Replays open arrivals against a target with noisy service times. The gate
/// decides, the replay is the target.
ReplayResult replay(double ArrivalsPerSecond, double Seconds, Duration Service,
                    std::uint32_t Slots, Duration Objective,
                    const ReplayExtras &Extras = {}) {
  RequestGate Gate = warmGate(Slots, Service);
  pcg32 Random(7);
  std::exponential_distribution<double> Gap(ArrivalsPerSecond);
  std::uniform_real_distribution<double> Spread(0.6, 1.4);
  std::map<std::uint64_t, TimePoint> Arrived;
  std::multimap<TimePoint, std::pair<std::uint64_t, Duration>> Running;
  std::set<std::uint64_t> Calls;
  std::set<std::uint64_t> Failing;
  std::exponential_distribution<double> CallGap(
      std::max(Extras.m_CallsPerSecond, 1e-9));
  std::uniform_real_distribution<double> Part(0, 1);
  ReplayResult Result;
  TimePoint Now = Start;
  const auto Send = [&](std::uint64_t Handle) {
    const Duration Mean = Calls.contains(Handle)     ? Extras.m_CallService
                          : Failing.contains(Handle) ? Extras.m_FailingService
                                                     : Service;
    const auto Took =
        std::chrono::duration_cast<Duration>(Mean * Spread(Random));
    Running.emplace(Now + Took, std::pair(Handle, Took));
  };
  const auto Pump = [&] {
    for (RequestHandle Each : Gate.expire(Now)) {
      ++Result.m_Expired;
      Result.m_LongestRefusal =
          std::max(Result.m_LongestRefusal, Now - Arrived.at(Each.value()));
    }
    while (auto Next = Gate.next(Now))
      Send(Next->value());
  };
  std::uint64_t Handle = 0;
  const auto After = [&](std::exponential_distribution<double> &Law) {
    return Now + std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(std::min(Law(Random), 1e6)));
  };
  TimePoint NextArrival = Start;
  TimePoint NextCall = After(CallGap);
  const TimePoint End = Start + std::chrono::duration_cast<Duration>(
                                    std::chrono::duration<double>(Seconds));
  while (NextArrival < End || !Running.empty()) {
    if (!Running.empty() &&
        (NextArrival >= End || Running.begin()->first <= NextArrival)) {
      Now = Running.begin()->first;
      const auto [Ended, Took] = Running.begin()->second;
      Running.erase(Running.begin());
      const bool Call = Calls.contains(Ended);
      const bool Fails = Failing.contains(Ended);
      Gate.finished(Call ? "call" : "r", Took, !Fails);
      if (!Call && !Fails)
        ++(Now <= Arrived.at(Ended) + Objective ? Result.m_Timely
                                                : Result.m_Late);
      Pump();
      continue;
    }
    const bool Call = NextCall < NextArrival;
    Now = Call ? NextCall : NextArrival;
    (Call ? NextCall : NextArrival) = After(Call ? CallGap : Gap);
    GateRequest Next = request(++Handle, Objective, 1, Now);
    Arrived[Handle] = Now;
    if (Call) {
      Calls.insert(Handle);
      Next.m_Route = "call";
      Next.m_Nested = true;
    } else if (Part(Random) < Extras.m_FailingPart) {
      Failing.insert(Handle);
    }
    switch (Gate.offer(Next, Now).m_Verdict) {
    case GateVerdict::Send:
      Send(Handle);
      break;
    case GateVerdict::Wait:
      Pump();
      break;
    case GateVerdict::Refuse:
      ++Result.m_Refused;
      break;
    }
  }
  return Result;
}

} // namespace

TEST_CASE("a shut gate refuses and gives back what waited") {
  RequestGate Gate = warmGate(1, 100ms);
  CHECK(Gate.offer(request(1, 1s), Start).m_Verdict == GateVerdict::Send);
  CHECK(Gate.offer(request(2, 1s), Start).m_Verdict == GateVerdict::Wait);
  CHECK(Gate.shut() == std::vector<RequestHandle>{RequestHandle(2)});
  const GateDecision Refused = Gate.offer(request(3, 1s), Start);
  CHECK(Refused.m_Verdict == GateVerdict::Refuse);
  CHECK(Refused.m_RetryAfter > Duration::zero());
}

TEST_CASE("what can't be answered in its objective is refused at arrival") {
  RequestGate Gate = warmGate(1, 100ms);
  CHECK(Gate.offer(request(1, 300ms), Start).m_Verdict == GateVerdict::Send);
  CHECK(Gate.offer(request(2, 300ms), Start).m_Verdict == GateVerdict::Wait);
  const GateDecision Refused = Gate.offer(request(3, 300ms), Start);
  CHECK(Refused.m_Verdict == GateVerdict::Refuse);
  CHECK(Refused.m_RetryAfter >= 100ms);
}

TEST_CASE("a request whose time is nearly over is refused, free slots or not") {
  RequestGate Gate = warmGate(4, 200ms);
  GateRequest Late = request(1, 300ms);
  Late.m_Deadline = Start + 50ms;
  CHECK(Gate.offer(Late, Start).m_Verdict == GateVerdict::Refuse);
}

TEST_CASE("more urgent requests go first, then those due first") {
  RequestGate Gate = warmGate(1, 10ms);
  Gate.offer(request(1, 1s), Start);
  Gate.offer(request(2, 900ms, 2), Start);
  Gate.offer(request(3, 800ms, 1), Start);
  Gate.offer(request(4, 700ms, 1), Start);
  Gate.finished("r", 10ms, true);
  CHECK(Gate.next(Start) == RequestHandle(4));
  CHECK_FALSE(Gate.next(Start).has_value());
  Gate.finished("r", 10ms, true);
  CHECK(Gate.next(Start) == RequestHandle(3));
  Gate.finished("r", 10ms, true);
  CHECK(Gate.next(Start) == RequestHandle(2));
}

TEST_CASE("requests that are late anyway let the others pass") {
  RequestGate Gate = warmGate(1, 100ms);
  Gate.offer(request(1, 1s), Start);
  GateRequest Late = request(2, 50ms, 0);
  Late.m_Deadline = Start + 2s;
  CHECK(Gate.offer(Late, Start).m_Verdict == GateVerdict::Wait);
  CHECK(Gate.offer(request(3, 1s, 3), Start).m_Verdict == GateVerdict::Wait);
  Gate.finished("r", 100ms, true);
  CHECK(Gate.next(Start) == RequestHandle(3));
}

TEST_CASE("calls of a running request go first and count to their deadline") {
  RequestGate Gate = warmGate(1, 100ms);
  Gate.offer(request(1, 1s), Start);
  Gate.offer(request(2, 1s, 0), Start);
  GateRequest Call = request(3, 60ms, 5);
  Call.m_Deadline = Start + 1s;
  Call.m_Nested = true;
  CHECK(Gate.offer(Call, Start).m_Verdict == GateVerdict::Wait);
  Gate.finished("r", 100ms, true);
  CHECK(Gate.next(Start) == RequestHandle(3));
}

TEST_CASE("a waiting request that has become late yields to timely ones") {
  RequestGate Gate = warmGate(1, 100ms);
  Gate.offer(request(1, 1s), Start);
  Gate.offer(request(2, 400ms), Start);
  // 50 ms are left, and a quick request takes 60 ms.
  CHECK(Gate.expire(Start + 350ms).empty());
  Gate.offer(request(3, 1s, 1, Start + 350ms), Start + 350ms);
  CHECK(Gate.expire(Start + 350ms) ==
        std::vector<RequestHandle>{RequestHandle(2)});
}

TEST_CASE("a cold target gets its rate and a small burst, whatever comes") {
  RequestGate Gate = warmGate(9, 20ms);
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
      Gate.finished("r", 20ms, true);
  }
  CHECK(Sent <= 8 + 2);
  CHECK(Sent >= 8);
}

TEST_CASE("overload of twice the capacity: what is admitted is in time") {
  // 9 slots of 200 ms bear 45 requests a second.
  const ReplayResult Result = replay(90, 20, 200ms, 9, 600ms);
  CHECK(Result.m_Timely >= 0.9 * 45 * 20);
  CHECK(Result.m_Late <= 0.05 * Result.m_Timely);
  CHECK(Result.m_Expired <= 0.02 * Result.m_Timely);
}

TEST_CASE("overload beside calls that pass the queue: few wait in vain") {
  // Calls take 2 of 9 slots, so 35 requests a second can be served.
  const ReplayResult Result =
      replay(80, 20, 200ms, 9, 600ms, {.m_CallsPerSecond = 50});
  CHECK(Result.m_Timely >= 0.85 * 35 * 20);
  CHECK(Result.m_Expired <= 0.05 * Result.m_Timely);
}

TEST_CASE("overload with requests that fail late: few wait in vain") {
  // A third holds its slot for 500 ms and fails: 30 starts a second, 20 good.
  const ReplayResult Result =
      replay(80, 20, 200ms, 9, 600ms,
             {.m_FailingPart = 1.0 / 3, .m_FailingService = 500ms});
  CHECK(Result.m_Timely >= 0.8 * 20 * 20);
  CHECK(Result.m_Expired <= 0.05 * Result.m_Timely);
}

TEST_CASE("load just under the capacity is hardly refused") {
  const ReplayResult Result = replay(36, 20, 200ms, 9, 600ms);
  CHECK(Result.m_Refused <= 0.02 * 36 * 20);
  CHECK(Result.m_Timely >= 0.97 * (Result.m_Timely + Result.m_Late));
}

TEST_CASE("random use: never more than the slots, each request leaves once") {
  rc::check([] {
    RequestGate Gate({});
    const auto Slots = *rc::gen::inRange<std::uint32_t>(1, 5);
    Gate.open(Slots);
    TimePoint Now = Start;
    std::uint64_t Handle = 0;
    std::uint32_t Running = 0;
    std::vector<RequestHandle> Waiting;
    const auto Left = [&](RequestHandle Each) {
      RC_ASSERT(std::erase(Waiting, Each) == 1);
    };
    for (int Step = 0; Step < 100; ++Step) {
      Now += Duration(*rc::gen::inRange(0, 50'000));
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1: {
        const GateRequest Next =
            request(++Handle, Duration(*rc::gen::inRange(1, 800'000)),
                    *rc::gen::inRange(0, 3), Now);
        const GateDecision Decision = Gate.offer(Next, Now);
        if (Decision.m_Verdict == GateVerdict::Send)
          ++Running;
        else if (Decision.m_Verdict == GateVerdict::Wait)
          Waiting.push_back(Next.m_Handle);
        else
          RC_ASSERT(Decision.m_RetryAfter > Duration::zero());
        break;
      }
      case 2:
        if (Running > 0) {
          --Running;
          Gate.finished("r", Duration(*rc::gen::inRange(1, 400'000)), true);
        }
        break;
      case 3:
        for (RequestHandle Each : Gate.expire(Now))
          Left(Each);
        break;
      default:
        if (!Waiting.empty()) {
          RC_ASSERT(Gate.withdraw(Waiting.front()));
          Waiting.erase(Waiting.begin());
        }
      }
      while (auto Next = Gate.next(Now)) {
        Left(*Next);
        ++Running;
      }
      RC_ASSERT(Running <= Slots);
      RC_ASSERT(Gate.running() == Running);
      RC_ASSERT(Gate.waiting() == Waiting.size());
    }
  });
}
