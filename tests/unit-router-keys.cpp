// Complete routers on loopback: owners of keys, grants and fences.
#include "router_rig.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

TEST_CASE("keys get an owner, and requests reach it from every instance") {
  Rig Rig;
  Instance &A = Rig.add("a", "keyed");
  Instance &B = Rig.add("b", "keyed");
  Rig.configure(1);
  bool Granted = false;
  REQUIRE(Rig.runUntil([&] {
    const HeartbeatReply FromA = A.sendHeartbeat();
    const HeartbeatReply FromB = B.sendHeartbeat();
    Granted = FromA.m_Grants && FromB.m_Grants && !FromA.m_Grants->empty() &&
              !FromB.m_Grants->empty();
    return Granted;
  }));
  Rig.runFor(100ms);
  for (int Key : {0, 20000, 40000, 65535}) {
    CHECK(Rig.call(A, "/key/1", "GET", Key).m_Status == 200);
    CHECK(Rig.call(B, "/key/1", "GET", Key).m_Status == 200);
  }
  CHECK(A.m_Target.m_Arrivals > 0);
  CHECK(B.m_Target.m_Arrivals > 0);
}

TEST_CASE("a daemon that can't reach the table isn't the key planner") {
  Rig Rig;
  Instance &A = Rig.add("a", "keyed");
  Instance &B = Rig.add("b", "keyed");
  A.m_Table.m_Unreachable = true;
  Rig.configure(1);
  REQUIRE(Rig.runUntil([&] {
    A.sendHeartbeat();
    const HeartbeatReply Reply = B.sendHeartbeat();
    return Reply.m_Grants && !Reply.m_Grants->empty();
  }));
}

TEST_CASE("no keys are granted once the map can't be checked") {
  Rig Rig;
  Instance &A = Rig.add("a", "keyed");
  Rig.configure(1);
  Rig.waitUntilGranted(A);
  A.m_Table.m_Unreachable = true;
  Rig.runFor(3200ms);
  CHECK_FALSE(A.sendHeartbeat().m_Grants.has_value());
}

TEST_CASE("a restarted target gets its keys back with higher fences") {
  Rig Rig;
  Instance &A = Rig.add("a", "keyed");
  Rig.configure(1);
  Epoch First;
  REQUIRE(Rig.runUntil([&] {
    const HeartbeatReply Reply = A.sendHeartbeat();
    if (Reply.m_Grants && !Reply.m_Grants->empty())
      First = Reply.m_Grants->front().m_Fence;
    return First.value() > 0;
  }));
  A.m_TargetStartTimeMs = 2;
  A.m_Sequence = 0;
  Epoch Second;
  REQUIRE(Rig.runUntil([&] {
    const HeartbeatReply Reply = A.sendHeartbeat();
    if (Reply.m_Grants && !Reply.m_Grants->empty())
      Second = Reply.m_Grants->front().m_Fence;
    return Second.value() > 0;
  }));
  CHECK(Second > First);
  A.m_TargetStartTimeMs = 1;
  CHECK_FALSE(A.sendHeartbeat().m_Accepted);
}

namespace {

/// Serves all keys by one instance.
Instance &serveKeys(Rig &Rig) {
  Instance &A = Rig.add("a", "keyed");
  Rig.configure(1);
  Rig.waitUntilGranted(A);
  Rig.runFor(100ms);
  REQUIRE(Rig.call(A, "/key/1", "GET", 5).m_Status == 200);
  return A;
}

} // namespace

namespace {

/// Whether a target that was granted \p Left and one that was granted \p Right
/// hold a key in common.
bool shareKeys(const std::vector<GrantSpan> &Left,
               const std::vector<GrantSpan> &Right) {
  return std::any_of(Left.begin(), Left.end(), [&](const GrantSpan &One) {
    return std::any_of(Right.begin(), Right.end(), [&](const GrantSpan &Two) {
      return One.m_First <= Two.m_Last && Two.m_First <= One.m_Last;
    });
  });
}

} // namespace

TEST_CASE("two targets held the keys that a late commit freed") {
  Rig Rig;
  Instance &A = Rig.add("a", "keyed");
  Instance &B = Rig.add("b", "keyed");
  for (Instance *Each : {&A, &B}) {
    Each->m_Settings.m_MaxHold = 500ms;
    Each->restartRouter(Rig.m_Loop, Rig.m_Log);
  }
  Rig.configure(1);
  std::vector<GrantSpan> HeldByA;
  std::vector<GrantSpan> HeldByB;
  const auto SendHeartbeat = [](Instance &To, std::vector<GrantSpan> &Held) {
    const HeartbeatReply Reply = To.sendHeartbeat();
    if (Reply.m_Grants)
      Held = *Reply.m_Grants;
  };
  // Until no grants of an earlier daemon can be valid any more.
  const TimePoint Start = bootNow();
  REQUIRE(Rig.runUntil([&] {
    SendHeartbeat(A, HeldByA);
    SendHeartbeat(B, HeldByB);
    return bootNow() - Start > 4500ms;
  }));
  REQUIRE_FALSE(HeldByA.empty());
  REQUIRE_FALSE(HeldByB.empty());
  A.m_Table.m_PerformLate = true;
  B.m_Table.m_PerformLate = true;
  REQUIRE(Rig.runUntil([&] {
    SendHeartbeat(A, HeldByA);
    return !A.m_Table.m_LateCommits.empty();
  }));
  // B is back, and gets its keys again: the map is still the same.
  REQUIRE(Rig.runUntil([&] {
    HeldByB.clear();
    SendHeartbeat(B, HeldByB);
    return !HeldByB.empty();
  }));
  A.m_Table.performLate();
  B.m_Table.performLate();
  A.m_Table.m_PerformLate = false;
  B.m_Table.m_PerformLate = false;
  for (int Round = 0; Round < 10; ++Round) {
    Rig.runFor(30ms);
    SendHeartbeat(A, HeldByA);
    CHECK_FALSE(shareKeys(HeldByA, HeldByB));
  }
  REQUIRE(Rig.runUntil([&] {
    SendHeartbeat(A, HeldByA);
    SendHeartbeat(B, HeldByB);
    CHECK_FALSE(shareKeys(HeldByA, HeldByB));
    return !HeldByB.empty();
  }));
}

namespace {

constexpr Duration EvacuationLimit = 5s;

void evacuate(Rig &Rig, Instance &Of) {
  Rig.m_Rows.put(TableName::Operators,
                 "evacuate/" + Of.m_Settings.m_Domain.value(), "{}");
}

void takeBack(Rig &Rig, Instance &Of) {
  Rig.m_Rows.put(TableName::Operators,
                 "evacuate/" + Of.m_Settings.m_Domain.value(), std::nullopt);
}

/// Number of keys that the reply to a heartbeat grants.
std::uint32_t keysOf(const HeartbeatReply &Reply) {
  std::uint32_t Result = 0;
  for (const GrantSpan &Each :
       Reply.m_Grants.value_or(std::vector<GrantSpan>()))
    Result += std::uint32_t{Each.m_Last} - Each.m_First + 1;
  return Result;
}

/// Starts the daemon and the target of an instance anew.
void restart(Rig &Rig, Instance &Of, std::int64_t StartTimeMs) {
  Of.m_Settings.m_SystemStart = false;
  Of.m_TargetStartTimeMs = StartTimeMs;
  Of.m_Sequence = 0;
  Of.restartRouter(Rig.m_Loop, Rig.m_Log);
}

/// Sends keyed requests and heartbeats until \p End.
/// \returns when the last of the requests was sent that reached the target;
///          none if none did.
std::optional<TimePoint> lastArrival(Rig &Rig, Instance &At, TimePoint End,
                                     bool Draining = false) {
  std::optional<TimePoint> Last;
  while (bootNow() < End) {
    At.sendHeartbeat(Draining);
    const int Arrivals = At.m_Target.m_Arrivals;
    const TimePoint Sent = bootNow();
    Rig.call(At, "/key/1", "GET", 5);
    if (At.m_Target.m_Arrivals > Arrivals)
      Last = Sent;
    Rig.runFor(50ms);
  }
  return Last;
}

} // namespace

TEST_CASE("requests reached an evacuated target after the limit, which runs "
          "from the operators' change") {
  Rig Rig;
  Instance &A = serveKeys(Rig);
  Rig.runFor(1s);
  Duration MinServed = 1s;
  SUBCASE("read at once") {}
  SUBCASE("read late, like after a suspension of the daemon") {
    A.m_Table.m_ReplyDelay = 2500ms;
    MinServed = 0s;
  }
  SUBCASE("read again, as the history was dropped") {
    A.m_Table.m_HistoryLost = true;
  }
  SUBCASE("set again") {
    evacuate(Rig, A);
    Rig.runFor(2500ms);
    takeBack(Rig, A);
    Rig.runFor(500ms);
  }
  const TimePoint Changed = bootNow();
  evacuate(Rig, A);
  const auto Last = lastArrival(Rig, A, Changed + EvacuationLimit + 700ms);
  REQUIRE(Last);
  CHECK(*Last - Changed > MinServed);
  CHECK(*Last - Changed < EvacuationLimit);
}

TEST_CASE("a target that left got requests until the later limit of the "
          "evacuation of its domain") {
  Rig Rig;
  Instance &A = serveKeys(Rig);
  const TimePoint Left = bootNow();
  A.sendHeartbeat(true);
  Rig.runFor(300ms);
  evacuate(Rig, A);
  Rig.runFor(1800ms);
  REQUIRE(bootNow() - Left > A.m_Settings.m_DrainLimit);
  const int Arrivals = A.m_Target.m_Arrivals;
  CHECK(Rig.call(A, "/key/1", "GET", 5).m_Status == 503);
  CHECK(A.m_Target.m_Arrivals == Arrivals);
}

TEST_CASE(
    "a leaving target got requests after its limit, as the daemon that had "
    "acknowledged it was restarted") {
  Rig Rig;
  Instance &A = serveKeys(Rig);
  A.sendHeartbeat(true);
  const TimePoint Left = bootNow();
  A.m_Settings.m_SystemStart = false;
  A.restartRouter(Rig.m_Loop, Rig.m_Log);
  REQUIRE(Rig.runUntil([&] { return A.m_Router->ready(); }));
  Rig.runFor(A.m_Settings.m_DrainLimit - (bootNow() - Left));
  CHECK_FALSE(lastArrival(Rig, A, bootNow() + 2s, true));
}

// Guards against keys that stay with ended targets for as long as their domain
// is evacuated, although others could serve them (RECOVER).
TEST_CASE("the keys of an evacuated domain had no living owner after all "
          "daemons and targets had restarted") {
  Rig Rig;
  Instance &A = Rig.add("a", "keyed");
  Instance &B = Rig.add("b", "keyed");
  Rig.configure(1);
  Rig.waitUntilGranted(A);
  Rig.waitUntilGranted(B);
  evacuate(Rig, B);
  restart(Rig, A, 2);
  restart(Rig, B, 2);
  CHECK(Rig.runUntil([&] {
    B.sendHeartbeat();
    return keysOf(A.sendHeartbeat()) == KeyCount;
  }));
}

// As above; such a target counts as an earlier one, which adopts no keys.
TEST_CASE("the keys of a target whose clock was set back before its restart "
          "had no living owner") {
  Rig Rig;
  const Instance::Adjust ShortHold = [](RouterSettings &Settings) {
    Settings.m_MaxHold = 500ms;
  };
  Instance &A = Rig.add("a", "keyed", ShortHold);
  Instance &B = Rig.add("b", "keyed", ShortHold);
  B.m_TargetStartTimeMs = 5;
  Rig.configure(1);
  Rig.waitUntilGranted(A);
  Rig.waitUntilGranted(B);
  restart(Rig, B, 4);
  const auto AllGranted = [&] {
    return keysOf(A.sendHeartbeat()) + keysOf(B.sendHeartbeat()) == KeyCount;
  };
  CHECK((Rig.runUntil(AllGranted) || Rig.runUntil(AllGranted)));
}

TEST_CASE(
    "an evacuation of unknown age that a daemon reads at its start closes "
    "the target at once") {
  Rig Rig;
  Instance &A = serveKeys(Rig);
  Rig.m_Rows.put(TableName::Operators, "evacuate/domain-a", "{}");
  A.restartRouter(Rig.m_Loop, Rig.m_Log);
  Rig.runFor(300ms);
  A.sendHeartbeat();
  const int Arrivals = A.m_Target.m_Arrivals;
  CHECK(Rig.call(A, "/key/1", "GET", 5).m_Status == 503);
  CHECK(A.m_Target.m_Arrivals == Arrivals);
}
