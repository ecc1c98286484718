// Tests of the times at which refused callers are told to return.
#include "gate_rig.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

struct BurstResult {
  /// All requests.
  StreamResult m_All;
  /// What happens after the burst.
  StreamResult m_After;
};

/// A burst of \p Factor times for a second at a target that is used to 0.45
/// otherwise: 20 of 45 requests per second. Callers send three times at most.
BurstResult burstThatReturns(bool ScheduleReturns, double Factor) {
  BurstResult Sum;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    GateSimulation Simulation(
        {.m_ScheduleReturns = ScheduleReturns}, 9,
        {{.m_Rate = burst(20, Factor, 30, 31), .m_Timeout = 5s, .m_Tries = 3}},
        Seed);
    Simulation.run(30s);
    Sum.m_All += Simulation.run(1s).front();
    Sum.m_After += Simulation.run(5s).front();
  }
  Sum.m_All += Sum.m_After;
  return Sum;
}

double admittedAtSecondTry(const StreamResult &Result) {
  return static_cast<double>(Result.m_SecondTriesAdmitted) /
         std::max(Result.m_SecondTries, 1);
}

} // namespace

TEST_CASE("refused callers of a burst are admitted when they return as told") {
  for (const double Factor : {4.0, 5.0}) {
    const BurstResult Before = burstThatReturns(false, Factor);
    const BurstResult After = burstThatReturns(true, Factor);
    MESSAGE("burst of " << Factor << ": admitted at the second try "
                        << admittedAtSecondTry(Before.m_All) << " before, "
                        << admittedAtSecondTry(After.m_All)
                        << " as scheduled; after the burst "
                        << admittedAtSecondTry(Before.m_After) << " of "
                        << Before.m_After.m_SecondTries << " and "
                        << admittedAtSecondTry(After.m_After) << " of "
                        << After.m_After.m_SecondTries << "; served "
                        << Before.m_All.served() << " and "
                        << After.m_All.served());
    REQUIRE(After.m_After.m_SecondTries > 100);
    CHECK(admittedAtSecondTry(After.m_After) >= 0.93);
    CHECK(admittedAtSecondTry(After.m_All) >=
          1.5 * admittedAtSecondTry(Before.m_All));
    CHECK(After.m_All.served() > Before.m_All.served());
  }
}

TEST_CASE("callers that were refused first are told to return first") {
  RequestGate Gate({});
  Gate.open(2);
  Duration Last{0};
  int Refused = 0;
  for (std::uint64_t Handle = 1; Handle <= 40; ++Handle) {
    const GateDecision Decision = Gate.offer({.m_Handle = RequestHandle(Handle),
                                              .m_Route = "r",
                                              .m_Objective = Start + 600ms,
                                              .m_Deadline = Start + 1500ms},
                                             Start);
    if (Decision.m_Verdict != GateVerdict::Refuse)
      continue;
    ++Refused;
    CHECK(Decision.m_RetryAfter >= Last);
    // Not later than a service of 0.6 times 200 ms would end in time.
    CHECK(Decision.m_RetryAfter <= 1380ms);
    Last = Decision.m_RetryAfter;
  }
  CHECK(Refused > 30);
  CHECK(Last == 1380ms);
}

TEST_CASE("callers that have returned don't delay later ones") {
  ReturnSchedule Schedule;
  Schedule.arrived(Start);
  CHECK(Schedule.next(100ms, 20ms, 2s, Start) == 100ms);
  CHECK(Schedule.next(100ms, 20ms, 2s, Start) >= 120ms);
  CHECK(Schedule.next(100ms, 20ms, 2s, Start + 500ms) == 100ms);
  CHECK(Schedule.next(5s, 20ms, 2s, Start + 500ms) == 2s);
}
