// Tests of the schedule of reports to one peer.
#include "router/report_schedule.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};
constexpr ReportIntervals Intervals{
    .m_Interval = 700ms, .m_IdleInterval = 1400ms, .m_FullInterval = 30s};
constexpr DueReport Nothing{};
constexpr DueReport Full{.m_Full = true};
constexpr DueReport Beat{.m_Beat = true};

/// A schedule with a full report at the start.
struct Connection {
  explicit Connection(bool OwnDomain) : m_Schedule(OwnDomain) {
    m_State.m_Gate = {.m_Running = 4, .m_Slots = 12, .m_Service = 100ms};
    CHECK(tick(0ms) == Full);
  }

  DueReport tick(Duration Since) {
    const DueReport Due = m_Schedule.due(m_State, Intervals, Start + Since);
    m_Schedule.sent(m_State, Due, Start + Since);
    return Due;
  }

  ReportSchedule m_Schedule;
  ReportedState m_State;
};

} // namespace

TEST_CASE("a report that tells nothing new waits for the idle interval") {
  for (const bool OwnDomain : {true, false}) {
    Connection Peer(OwnDomain);
    CHECK(Peer.tick(700ms) == Nothing);
    CHECK(Peer.tick(1390ms) == Beat);
    CHECK(Peer.tick(2090ms) == Nothing);
    CHECK(Peer.tick(2790ms) == Beat);
  }
}

TEST_CASE("each change of the load is told in the own domain") {
  Connection Own(true);
  Connection Other(false);
  Own.m_State.m_Gate.m_Running = Other.m_State.m_Gate.m_Running = 7;
  CHECK(Own.tick(700ms) == Beat);
  CHECK(Other.tick(700ms) == Nothing);
  CHECK(Other.tick(1400ms) == Beat);
}

TEST_CASE("another domain is told of a great change of the load") {
  Connection Other(false);
  Other.m_State.m_Gate.m_Waiting = 4;
  CHECK(Other.tick(700ms) == Beat);
}

TEST_CASE("changes add up until they are told") {
  Connection Other(false);
  Other.m_State.m_Gate.m_Running = 6;
  CHECK(Other.tick(700ms) == Nothing);
  Other.m_State.m_Gate.m_Running = 8;
  CHECK(Other.tick(800ms) == Beat);
}

TEST_CASE("another domain is told of a gate that opens or closes") {
  Connection Other(false);
  Other.m_State.m_Gate.m_Slots = 0;
  CHECK(Other.tick(100ms) == Beat);
  Other.m_State.m_Gate.m_Running = 0; // It drains.
  CHECK(Other.tick(200ms) == Nothing);
  Other.m_State.m_Gate.m_Slots = 12;
  CHECK(Other.tick(300ms) == Beat);
}

TEST_CASE("a beat has the parts that have changed, once") {
  Connection Other(false);
  ++Other.m_State.m_RowsRevision;
  CHECK(Other.tick(100ms) == DueReport{.m_Beat = true, .m_Rows = true});
  ++Other.m_State.m_AgeRevision;
  CHECK(Other.tick(200ms) == DueReport{.m_Beat = true, .m_Age = true});
  CHECK(Other.tick(300ms) == Nothing);
}

TEST_CASE("a full report follows a change of its fields, and a long interval") {
  Connection Other(false);
  ++Other.m_State.m_FullRevision;
  ++Other.m_State.m_RowsRevision;
  CHECK(Other.tick(100ms) == Full);
  CHECK(Other.tick(200ms) == Nothing);
  CHECK(Other.tick(30s) == Beat);
  CHECK(Other.tick(30100ms) == Full);
}

TEST_CASE("a report that could not be sent stays due") {
  Connection Other(false);
  ++Other.m_State.m_RowsRevision;
  const DueReport Due{.m_Beat = true, .m_Rows = true};
  CHECK(Other.m_Schedule.due(Other.m_State, Intervals, Start + 1s) == Due);
  CHECK(Other.m_Schedule.due(Other.m_State, Intervals, Start + 2s) == Due);
}

TEST_CASE("a small mesh reports in each interval to all") {
  Connection Other(false);
  const ReportIntervals Small{
      .m_Interval = 330ms, .m_IdleInterval = 330ms, .m_FullInterval = 30s};
  for (int Tick = 1; Tick < 10; ++Tick) {
    const TimePoint Now = Start + Tick * Small.m_Interval;
    const DueReport Due = Other.m_Schedule.due(Other.m_State, Small, Now);
    CHECK(Due == Beat);
    Other.m_Schedule.sent(Other.m_State, Due, Now);
  }
}

TEST_CASE("a receiver knows the state within bounds, whatever changes") {
  CHECK(rc::check([] {
    const bool OwnDomain = *rc::gen::arbitrary<bool>();
    ReportSchedule Schedule(OwnDomain);
    ReportedState State;
    std::optional<ReportedState> Receiver;
    TimePoint Now = Start;
    TimePoint LastSent = Start;
    const auto Steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    for (const int Step : Steps) {
      State.m_Gate.m_Slots = Step == 0 ? 0 : 9;
      State.m_Gate.m_Running += Step == 1 ? 1 : 0;
      State.m_Gate.m_Waiting += Step == 2 ? 3 : 0;
      State.m_FullRevision += Step == 3 ? 1 : 0;
      State.m_RowsRevision += Step == 4 ? 1 : 0;
      State.m_AgeRevision += Step == 5 ? 1 : 0;
      Now += Step == 6 ? Duration(100ms) : Intervals.m_Interval;
      const DueReport Due = Schedule.due(State, Intervals, Now);
      RC_ASSERT(Receiver || Due.m_Full);
      // What the receiver makes of it.
      if (Due.m_Full) {
        Receiver = State;
      } else if (Due.m_Beat) {
        Receiver->m_Gate = State.m_Gate;
        if (Due.m_Rows)
          Receiver->m_RowsRevision = State.m_RowsRevision;
        if (Due.m_Age)
          Receiver->m_AgeRevision = State.m_AgeRevision;
      }
      if (Due != Nothing)
        LastSent = Now;
      Schedule.sent(State, Due, Now);
      RC_ASSERT(Receiver->m_FullRevision == State.m_FullRevision);
      RC_ASSERT(Receiver->m_RowsRevision == State.m_RowsRevision);
      RC_ASSERT(Receiver->m_AgeRevision == State.m_AgeRevision);
      RC_ASSERT(!changedMuch(Receiver->m_Gate, State.m_Gate));
      RC_ASSERT(!OwnDomain || Receiver->m_Gate == State.m_Gate);
      RC_ASSERT(Now - LastSent < Intervals.m_IdleInterval);
    }
  }));
}
