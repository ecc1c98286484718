// Tests of the room that a request gate leaves for more urgent priorities, and
// of the floor for less urgent ones.
#include "gate_rig.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;

namespace {

constexpr std::size_t Urgent = 0;
constexpr std::size_t Middle = 1;
constexpr std::size_t Slow = 2;

/// Short urgent requests, some others, and slow requests of the least urgent
/// route, 2.5 times as many from 20 s to 26 s. The slots are used to 0.8
/// before.
std::vector<Stream> burstOfLeastUrgent(bool Nested) {
  return {{.m_Rate = steady(40),
           .m_Route = "urgent",
           .m_Priority = 0,
           .m_Nested = Nested,
           .m_Service = 54ms,
           .m_Objective = 150ms,
           .m_Timeout = Nested ? 150ms : 500ms},
          {.m_Rate = steady(8),
           .m_Route = "middle",
           .m_Priority = 1,
           .m_Nested = Nested,
           .m_Service = 150ms,
           .m_Objective = 600ms,
           .m_Timeout = Nested ? 600ms : 1500ms},
          {.m_Rate = burst(8, 2.5, 20, 26),
           .m_Route = "slow",
           .m_Priority = 2,
           .m_Nested = Nested,
           .m_Service = 480ms,
           .m_Objective = 1500ms,
           .m_Timeout = Nested ? 1500ms : 3s}};
}

struct BurstResults {
  std::vector<StreamResult> m_Quiet;
  std::vector<StreamResult> m_Burst;
};

/// Sums over several seeds.
BurstResults runBurst(bool RoomByPriority, bool Nested) {
  BurstResults Result{.m_Quiet = std::vector<StreamResult>(3),
                      .m_Burst = std::vector<StreamResult>(3)};
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    GateSimulation Simulation({.m_RoomByPriority = RoomByPriority}, 9,
                              burstOfLeastUrgent(Nested), Seed);
    Simulation.run(5s);
    const auto Quiet = Simulation.run(15s);
    const auto Burst = Simulation.run(6s);
    for (std::size_t Each = 0; Each < 3; ++Each) {
      Result.m_Quiet[Each] += Quiet[Each];
      Result.m_Burst[Each] += Burst[Each];
    }
  }
  return Result;
}

double servedOfAll(const std::vector<StreamResult> &Results) {
  int Offered = 0;
  int Served = 0;
  for (const StreamResult &Each : Results) {
    Offered += Each.m_Offered;
    Served += Each.m_OnTime + Each.m_Late;
  }
  return static_cast<double>(Served) / std::max(Offered, 1);
}

/// Requests of 200 ms of a priority with their parents' requests.
Stream ordinary(std::uint32_t Priority, double PerSecond, bool Nested = false) {
  return {.m_Rate = steady(PerSecond),
          .m_Priority = Priority,
          .m_Nested = Nested,
          .m_Timeout = Nested ? Duration(600ms) : Duration(1800ms)};
}

} // namespace

TEST_CASE("a burst of the least urgent route costs more urgent ones nothing") {
  for (const bool Nested : {false, true}) {
    CAPTURE(Nested);
    const BurstResults Before = runBurst(false, Nested);
    const BurstResults After = runBurst(true, Nested);
    for (const std::size_t Each : {Urgent, Middle, Slow})
      MESSAGE("nested " << Nested << ", priority " << Each
                        << ", on time: quiet " << Before.m_Quiet[Each].onTime()
                        << " and " << After.m_Quiet[Each].onTime() << ", burst "
                        << Before.m_Burst[Each].onTime() << " and "
                        << After.m_Burst[Each].onTime() << "; refused "
                        << After.m_Burst[Each].m_Refused << ", expired "
                        << After.m_Burst[Each].m_Expired << ", displaced "
                        << After.m_Burst[Each].m_Displaced << " of "
                        << After.m_Burst[Each].m_Offered);
    CHECK(Before.m_Burst[Urgent].onTime() < 0.85);
    CHECK(After.m_Burst[Urgent].onTime() >=
          Before.m_Quiet[Urgent].onTime() - 0.01);
    CHECK(After.m_Burst[Middle].onTime() >=
          Before.m_Burst[Middle].onTime() - 0.01);
    CHECK(After.m_Burst[Slow].onTime() >= 0.95 * Before.m_Burst[Slow].onTime());
    CHECK(After.m_Quiet[Slow].onTime() >= 0.97 * Before.m_Quiet[Slow].onTime());
    // Nothing is held that won't be served.
    CHECK(After.m_Burst[Slow].m_Expired <=
          0.02 * After.m_Burst[Slow].m_Offered);
  }
}

TEST_CASE("urgent load above the capacity starves no other priority") {
  for (const bool Nested : {false, true})
    for (const double LessUrgent : {1.0, 5.0, 60.0}) {
      CAPTURE(Nested);
      CAPTURE(LessUrgent);
      GateSimulation Simulation(
          {}, 9, {ordinary(0, 90, Nested), ordinary(3, LessUrgent, Nested)});
      Simulation.run(10s);
      const auto Results = Simulation.run(60s);
      const double All = servedOfAll(Results);
      MESSAGE("all " << All << ", urgent " << Results[0].served()
                     << ", less urgent " << Results[1].served());
      CHECK(Results[1].served() >= 0.25 * All);
      CHECK(Results[0].served() >= 0.25 * All);
      // The slots are used: 45 requests per second.
      CHECK(Results[0].m_OnTime + Results[1].m_OnTime >= 0.88 * 45 * 60);
    }
}

TEST_CASE("slots left for urgent requests are given back within one service "
          "time") {
  RequestGate Gate({});
  Gate.open(4);
  TimePoint Now{std::chrono::hours(1)};
  std::uint64_t Handle = 0;
  const auto Offer = [&](std::uint32_t Priority, Duration Objective) {
    return Gate
        .offer({.m_Handle = RequestHandle(++Handle),
                .m_Route = Priority == 0 ? "urgent" : "other",
                .m_Priority = Priority,
                .m_Objective = Now + Objective,
                .m_Deadline = Now + 20s},
               Now)
        .m_Verdict;
  };
  for (int Count = 0; Count < 200; ++Count) {
    CHECK(Offer(0, 120ms) == GateVerdict::Send);
    Gate.finished("urgent", 0, 100ms, true);
    Now += 50ms;
  }
  CHECK(Offer(2, 5s) == GateVerdict::Send);
  CHECK(Offer(2, 5s) == GateVerdict::Wait);
  CHECK_FALSE(Gate.next(Now));
  REQUIRE(Gate.nextWake(Now));
  CHECK(Offer(0, 120ms) == GateVerdict::Send);
  Gate.finished("urgent", 0, 100ms, true);
  CHECK_FALSE(Gate.next(Now));
  Now += 110ms;
  CHECK(Gate.next(Now) == RequestHandle(202));
  CHECK(Offer(2, 5s) == GateVerdict::Send);
  CHECK(Offer(2, 5s) == GateVerdict::Send);
}

TEST_CASE("a full queue takes an urgent request in place of the least urgent") {
  RequestGate Gate({.m_QueueLimitPerSlot = 2});
  Gate.open(1);
  const TimePoint Now{std::chrono::hours(1)};
  std::uint64_t Handle = 0;
  const auto Offer = [&](std::uint32_t Priority, bool Nested = false) {
    return Gate.offer({.m_Handle = RequestHandle(++Handle),
                       .m_Route = "r",
                       .m_Priority = Priority,
                       .m_Nested = Nested,
                       .m_Objective = Now + 10s,
                       .m_Deadline = Now + 20s},
                      Now);
  };
  Offer(1);
  Offer(2);
  Offer(1);
  CHECK(toString(Offer(2).m_Why) == toString(GateRefusal::QueueFull));
  const GateDecision Decision = Offer(1);
  CHECK(Decision.m_Verdict == GateVerdict::Wait);
  CHECK(Decision.m_Displaced == RequestHandle(2));
  CHECK(Decision.m_RetryAfter > Duration::zero());
  CHECK(Offer(1).m_Verdict == GateVerdict::Refuse);
  CHECK(Offer(1, true).m_Verdict == GateVerdict::Refuse);
  CHECK(Offer(0, true).m_Displaced == RequestHandle(5));
  Gate.finished("r", 1, 10ms, true);
  CHECK(Gate.next(Now) == RequestHandle(8));
}

TEST_CASE("a nested request goes before new ones of its parent's rank and "
          "after more urgent ones") {
  RequestGate Gate({});
  Gate.open(1);
  const TimePoint Now{std::chrono::hours(1)};
  const auto Offer = [&](std::uint64_t Handle, std::uint32_t Priority,
                         bool Nested) {
    Gate.offer({.m_Handle = RequestHandle(Handle),
                .m_Route = "r",
                .m_Priority = Priority,
                .m_Nested = Nested,
                .m_Objective = Now + 10s,
                .m_Deadline = Now + 20s},
               Now);
  };
  Offer(1, 1, false);
  Offer(2, 1, false);
  Offer(3, 2, false);
  Offer(4, 0, false);
  Offer(5, 1, true);
  std::vector<std::uint64_t> Order;
  for (int Count = 0; Count < 4; ++Count) {
    Gate.finished("r", 1, 10ms, true);
    Order.push_back(Gate.next(Now).value().value());
  }
  CHECK(Order == std::vector<std::uint64_t>{4, 5, 2, 3});
}

TEST_CASE("a steady mixture below the capacity is served about as before") {
  std::vector<StreamResult> Results[2];
  for (const bool RoomByPriority : {false, true}) {
    GateSimulation Simulation(
        {.m_RoomByPriority = RoomByPriority}, 9,
        {ordinary(0, 12), ordinary(1, 12), ordinary(2, 12)});
    Simulation.run(5s);
    Results[RoomByPriority ? 1 : 0] = Simulation.run(120s);
  }
  for (std::size_t Each = 0; Each < 3; ++Each)
    MESSAGE("priority " << Each << ", on time: " << Results[0][Each].onTime()
                        << " before, " << Results[1][Each].onTime()
                        << " with room, late " << Results[0][Each].m_Late
                        << " and " << Results[1][Each].m_Late);
  CHECK(servedOfAll(Results[1]) >= 0.98 * servedOfAll(Results[0]));
}

TEST_CASE("priorities without requests for long are forgotten") {
  GateRanks Ranks;
  TimePoint Now{std::chrono::hours(1)};
  for (std::uint32_t Priority = 0; Priority < 10'000; ++Priority) {
    Now += 100ms;
    Ranks.arrived(Priority, 100ms, 100ms, Now);
    if (Priority % 100 == 0)
      Ranks.update(20ms, 100ms, Now);
  }
  CHECK(Ranks.size() <= 1400);
}
