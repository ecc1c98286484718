// Complete routers whose targets reject requests without running them, and the
// priority of nested requests.
#include "router_rig.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;

namespace {

/// Rejects the next requests as not run, and answers others as usual.
class Rejecting {
public:
  explicit Rejecting(Target &Subject) {
    Subject.m_Behaviour =
        [this](const std::string &Request) -> std::optional<RawReply> {
      ++m_Arrivals;
      if (m_Left <= 0)
        return std::nullopt;
      --m_Left;
      return RawReply{.m_Bytes = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                                 "X-Request-Id: " +
                                 headerOf(Request, "X-Request-Id: ") +
                                 "\r\nContent-Length: 0\r\n\r\n"};
    };
  }

  void reject(int Count) {
    m_Arrivals = 0;
    m_Left = Count;
  }
  int arrivals() const { return m_Arrivals; }

private:
  std::atomic<int> m_Left = 0;
  std::atomic<int> m_Arrivals = 0;
};

void waitUntilKeyServed(Rig &Rig, Instance &Owner, Instance &Entrance) {
  for (int Try = 0; Try < 200; ++Try) {
    Owner.sendHeartbeat();
    if (Rig.call(Entrance, "/key/1", "GET", 77).m_Status == 200)
      return;
    Rig.runFor(50ms);
  }
  FAIL("not served");
}

} // namespace

TEST_CASE("a keyed request that the owner's target rejects is sent there once "
          "more") {
  Rig Rig;
  Instance &Owner = Rig.add("a", "keyed", true);
  Instance &Other = Rig.add("b", "plain", true);
  Rejecting Behaviour(Owner.m_Target);
  Rig.configure(1);
  Other.sendHeartbeat();
  waitUntilKeyServed(Rig, Owner, Other);
  for (Instance *Entrance : {&Owner, &Other}) {
    Owner.sendHeartbeat();
    Behaviour.reject(1);
    const TimePoint Sent = bootNow();
    CHECK(Rig.call(*Entrance, "/key/1", "GET", 77).m_Status == 200);
    CHECK(Behaviour.arrivals() == 2);
    CHECK(bootNow() - Sent >= 20ms);
  }
  Owner.sendHeartbeat();
  Behaviour.reject(2);
  const HttpAnswer Answer = Rig.call(Other, "/key/1", "GET", 77);
  CHECK(Answer.m_Status == 503);
  CHECK(Answer.m_Headers.has("Retry-After"));
  CHECK(Behaviour.arrivals() == 2);
  CHECK(Rig.call(Other, "/key/1", "GET", 77).m_Status == 200);
}

TEST_CASE("requests that the owner's target rejects are sent again within the "
          "retry budget") {
  Rig Rig;
  Instance &Owner = Rig.add("a", "keyed", true);
  Rejecting Behaviour(Owner.m_Target);
  Rig.configure(1);
  waitUntilKeyServed(Rig, Owner, Owner);
  constexpr int Requests = 40;
  Behaviour.reject(10 * Requests);
  for (int Count = 0; Count < Requests; ++Count) {
    Owner.sendHeartbeat();
    CHECK(Rig.call(Owner, "/key/1", "GET", 77).m_Status == 503);
  }
  // The budget is a tenth of the service's requests, and a burst of 4.
  CHECK(Behaviour.arrivals() <= Requests + Requests / 10 + 4);
  CHECK(Behaviour.arrivals() > Requests);
}

TEST_CASE("a rejected request isn't sent again when its deadline is too near") {
  Rig Rig;
  Instance &Owner = Rig.add("a", "keyed", true);
  Rejecting Behaviour(Owner.m_Target);
  Rig.configure(1, R"(,{"Name":"short","Prefix":"/short/","Kind":"safe",
    "TimeoutS":0.02,"TargetLatencyS":0.02,"MaxAttempts":2,"Priority":1,
    "Service":"keyed"})");
  waitUntilKeyServed(Rig, Owner, Owner);
  Behaviour.reject(10);
  CHECK(Rig.call(Owner, "/short/1", "GET", 77).m_Status >= 500);
  CHECK(Behaviour.arrivals() <= 1);
}

TEST_CASE("a nested request has the priority of its parent") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain", true);
  Rig.configure(1, R"(,{"Name":"slow","Prefix":"/slow/","Kind":"safe",
    "TimeoutS":3,"TargetLatencyS":2,"MaxAttempts":1,"Priority":5,
    "Service":"plain"})");
  A.sendHeartbeat();
  Rig.waitUntilServed(A, "/read/1");
  std::atomic<bool> Runs = false;
  A.m_Target.m_Behaviour =
      [&](const std::string &Request) -> std::optional<RawReply> {
    if (headerOf(Request, "X-Request-Id: ") != "parent")
      return std::nullopt;
    Runs = true;
    return RawReply{.m_Silent = true};
  };
  Rig.start(A, "/slow/1", "GET", -1, "parent");
  REQUIRE(Rig.runUntil([&] { return Runs.load(); }));
  // No instance serves keys, so that both are refused.
  for (const std::string Id : {"parent.1", "other"}) {
    auto Result = Rig.start(A, "/key/1", "GET", 1, Id);
    REQUIRE(Rig.runUntil([&] { return Result->has_value(); }));
    CHECK((*Result)->m_Answer.m_Status == 503);
  }
  const std::string Metrics = A.m_Metrics.toText();
  CHECK(Metrics.find("balsamwheel_refusals_total{priority=\"5\"") !=
        std::string::npos);
  CHECK(Metrics.find("balsamwheel_refusals_total{priority=\"1\"") !=
        std::string::npos);
}
