// Complete routers whose targets crash on certain requests.
#include "router_rig.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

/// Two instances of one service whose targets end when they begin to run a
/// request to /read/crash, and are back as new incarnations.
struct CrashingPair {
  CrashingPair() : m_A(m_Rig.add("a", "plain")), m_B(m_Rig.add("b", "plain")) {
    for (Instance *Each : {&m_A, &m_B})
      Each->m_Target.m_Behaviour =
          [this](const std::string &Request) -> std::optional<RawReply> {
        if (!Request.starts_with("GET /read/crash "))
          return std::nullopt;
        ++m_Crashes;
        return RawReply{.m_Bytes = "HTTP/1.1 200 OK\r\n", .m_Close = true};
      };
    m_Rig.startServing();
  }

  void restartTargets() {
    for (Instance *Each : {&m_A, &m_B}) {
      ++Each->m_TargetStartTimeMs;
      Each->m_Sequence = 0;
      Each->sendHeartbeat();
    }
    m_Rig.runFor(100ms);
  }

  Rig m_Rig;
  Instance &m_A;
  Instance &m_B;
  std::atomic<int> m_Crashes = 0;
};

} // namespace

TEST_CASE(
    "a request that has crashed three targets reaches no further one, and "
    "others are served") {
  CrashingPair Pair;
  int Sent = 0;
  for (; Sent < 8; ++Sent) {
    Pair.m_Rig.call(Sent % 2 == 0 ? Pair.m_A : Pair.m_B, "/read/crash");
    Pair.restartTargets();
  }
  // The first one is tried at two targets, which counts as one crash.
  CHECK(Pair.m_Crashes <= 4);
  const int Before = Pair.m_Crashes;
  for (Instance *Each : {&Pair.m_A, &Pair.m_B}) {
    const HttpAnswer Answer = Pair.m_Rig.call(*Each, "/read/crash");
    CHECK(Answer.m_Status == 503);
    CHECK_FALSE(Answer.m_Headers.get("Retry-After").empty());
  }
  CHECK(Pair.m_Crashes == Before);
  CHECK(Pair.m_Rig.call(Pair.m_A, "/read/other").m_Status == 200);
}

TEST_CASE("a daemon that restarts learns from peers which requests crash "
          "targets") {
  CrashingPair Pair;
  for (int Sent = 0; Sent < 6; ++Sent) {
    Pair.m_Rig.call(Pair.m_A, "/read/crash");
    Pair.restartTargets();
  }
  Pair.m_A.restartRouter(Pair.m_Rig.m_Loop, Pair.m_Rig.m_Log);
  Pair.restartTargets();
  Pair.m_Rig.waitUntilServed(Pair.m_A, "/read/other");
  Pair.m_Rig.runFor(500ms);
  const int Before = Pair.m_Crashes;
  CHECK(Pair.m_Rig.call(Pair.m_A, "/read/crash").m_Status == 503);
  CHECK(Pair.m_Crashes == Before);
}

TEST_CASE("lost answers of a target that lives are no crashes") {
  CrashingPair Pair;
  for (int Sent = 0; Sent < 6; ++Sent) {
    Pair.m_Rig.call(Pair.m_A, "/read/crash");
    Pair.m_Rig.runFor(50ms);
  }
  const int Before = Pair.m_Crashes;
  Pair.m_Rig.call(Pair.m_A, "/read/crash");
  CHECK(Pair.m_Crashes > Before);
}

TEST_CASE(
    "a target that was down for seconds counted as crashed several times, "
    "and a request that it had broken off each time was refused") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  std::atomic<bool> Breaks = true;
  A.m_Target.m_Behaviour =
      [&](const std::string &Request) -> std::optional<RawReply> {
    if (!Breaks || !Request.starts_with("GET /read/same "))
      return std::nullopt;
    return RawReply{.m_Bytes = "HTTP/1.1 200 OK\r\n", .m_Close = true};
  };
  Rig.startServing();
  for (int Round = 0; Round < 4; ++Round) {
    Rig.call(A, "/read/same");
    A.m_Target.setRefusing(true);
    Rig.runFor(50ms);
    // The connections that are open close after a request each.
    for (int Each = 0; Each < 3; ++Each)
      Rig.call(A, "/read/same");
    A.m_Target.setRefusing(false);
    Rig.runFor(600ms);
    A.sendHeartbeat();
  }
  Breaks = false;
  Rig.waitUntilServed(A, "/read/same");
}

TEST_CASE("one crash counted several times for a request that the target had "
          "broken off several times while it ended") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  std::atomic<bool> Ending = true;
  A.m_Target.m_Behaviour =
      [&](const std::string &Request) -> std::optional<RawReply> {
    if (!Ending || !Request.starts_with("GET /read/same "))
      return std::nullopt;
    return RawReply{.m_Bytes = "HTTP/1.1 200 OK\r\n", .m_Close = true};
  };
  Rig.startServing();
  for (int Each = 0; Each < 4; ++Each)
    Rig.call(A, "/read/same");
  A.m_Target.setRefusing(true);
  Rig.runFor(50ms);
  Rig.call(A, "/read/other");
  Rig.call(A, "/read/other");
  Ending = false;
  A.m_Target.setRefusing(false);
  Rig.runFor(600ms);
  A.sendHeartbeat();
  Rig.waitUntilServed(A, "/read/same");
}
