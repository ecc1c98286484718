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
  REQUIRE(Rig.runUntil([&] {
    const HeartbeatReply Reply = A.sendHeartbeat();
    return Reply.m_Grants && !Reply.m_Grants->empty();
  }));
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
