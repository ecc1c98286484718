// Complete routers on loopback whose targets state in their answers how many
// requests they take.
#include "router_rig.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;

namespace {

/// Answers as usual, with an additional header while it isn't empty.
class HeaderBehaviour {
public:
  explicit HeaderBehaviour(Target &Subject) {
    Subject.m_Behaviour = [this](const std::string &Request) {
      const std::scoped_lock Lock(m_Mutex);
      return RawReply{.m_Bytes =
                          httpAnswer(m_Status, "ok",
                                     "X-Request-Id: " +
                                         headerOf(Request, "X-Request-Id: ") +
                                         "\r\n" + m_Marks + m_Header)};
    };
  }

  void set(const std::string &Header) {
    const std::scoped_lock Lock(m_Mutex);
    m_Header = Header;
  }

  /// Refuses requests from now on, with the header.
  void refuse() {
    const std::scoped_lock Lock(m_Mutex);
    m_Status = "503 Full";
    m_Marks = "X-Not-Executed: 1\r\n";
  }

private:
  std::mutex m_Mutex;
  std::string m_Status = "200 OK";
  std::string m_Marks = "X-Server-Signature: s\r\n";
  std::string m_Header;
};

struct Counts {
  int m_Served = 0;
  int m_Refused = 0;
};

/// Starts a request every 20 ms at each entrance in turn, for \p Time, and
/// waits for all answers.
Counts load(Rig &Rig, const std::vector<Instance *> &Entrances, Duration Time) {
  std::vector<std::shared_ptr<std::optional<HttpCallResult>>> Calls;
  const TimePoint End = bootNow() + Time;
  while (bootNow() < End) {
    Calls.push_back(Rig.start(*Entrances[Calls.size() % Entrances.size()],
                              "/read/1", "GET"));
    Rig.runFor(20ms);
  }
  REQUIRE(Rig.runUntil([&] {
    return std::all_of(Calls.begin(), Calls.end(),
                       [](const auto &Each) { return Each->has_value(); });
  }));
  Counts Result;
  for (const auto &Each : Calls)
    ++((*Each)->m_Answer.m_Status == 200 ? Result.m_Served : Result.m_Refused);
  return Result;
}

double seconds(Duration Time) {
  return static_cast<double>(Time.count()) / 1e6;
}

constexpr double LimitPerSecond = 5;
/// What the target allows beyond its limit, in requests.
constexpr double LimitSlack = 5;

} // namespace

TEST_CASE("a target gets no more requests than the limit that it names") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  Instance &B = Rig.add("b", "keyed");
  HeaderBehaviour Behaviour(A.m_Target);
  Rig.startServing();
  Rig.waitUntilServed(B, "/read/1");
  Behaviour.set("Server-Limit: 5.0\r\n");
  REQUIRE(Rig.call(A, "/read/1").m_Status == 200);
  const TimePoint Begin = bootNow();
  const int Before = A.m_Target.m_Arrivals;
  // Both entrances together send ten times the limit.
  const Counts Answers = load(Rig, {&A, &B}, 3s);
  const double Elapsed = seconds(bootNow() - Begin);
  const int Arrivals = A.m_Target.m_Arrivals - Before;
  CHECK(Arrivals <= LimitPerSecond * Elapsed + LimitSlack);
  // The limit is used.
  CHECK(Arrivals >= LimitPerSecond * 3 * 0.8);
  CHECK(Answers.m_Refused > 0);
}

TEST_CASE("a limit that only a refusal names counts") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  HeaderBehaviour Behaviour(A.m_Target);
  Rig.startServing();
  Behaviour.set("Server-Limit: 5.0\r\n");
  Behaviour.refuse();
  Rig.call(A, "/read/1");
  const TimePoint Begin = bootNow();
  const int Before = A.m_Target.m_Arrivals;
  load(Rig, {&A}, 2s);
  CHECK(A.m_Target.m_Arrivals - Before <=
        LimitPerSecond * seconds(bootNow() - Begin) + LimitSlack);
}

TEST_CASE("what exceeds a target's limit is served by another target") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  Instance &B = Rig.add("b", "plain");
  HeaderBehaviour Behaviour(A.m_Target);
  Rig.startServing();
  Rig.waitUntilServed(B, "/read/1");
  Behaviour.set("Server-Limit: 5.0\r\n");
  load(Rig, {&A}, 500ms);
  const TimePoint Begin = bootNow();
  const int Before = A.m_Target.m_Arrivals;
  const Counts Answers = load(Rig, {&A, &B}, 3s);
  const int Arrivals = A.m_Target.m_Arrivals - Before;
  CHECK(Answers.m_Refused == 0);
  CHECK(Arrivals <= LimitPerSecond * seconds(bootNow() - Begin) + LimitSlack);
}

TEST_CASE("targets with different limits are all used up to their limits") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  Instance &B = Rig.add("b", "plain");
  HeaderBehaviour OfA(A.m_Target);
  HeaderBehaviour OfB(B.m_Target);
  Rig.startServing();
  Rig.waitUntilServed(B, "/read/1");
  OfA.set("Server-Limit: 5\r\n");
  OfB.set("Server-Limit: 20\r\n");
  load(Rig, {&A, &B}, 1s);
  const TimePoint Begin = bootNow();
  const int BeforeA = A.m_Target.m_Arrivals;
  const int BeforeB = B.m_Target.m_Arrivals;
  load(Rig, {&A, &B}, 3s);
  const double Elapsed = seconds(bootNow() - Begin);
  CHECK(A.m_Target.m_Arrivals - BeforeA <= 5 * Elapsed + LimitSlack);
  CHECK(B.m_Target.m_Arrivals - BeforeB <= 20 * Elapsed + LimitSlack);
  CHECK(A.m_Target.m_Arrivals - BeforeA >= 5 * 3 * 0.8);
  CHECK(B.m_Target.m_Arrivals - BeforeB >= 20 * 3 * 0.8);
}

TEST_CASE("a limit ends when the target stops naming it") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  HeaderBehaviour Behaviour(A.m_Target);
  Rig.startServing();
  Behaviour.set("Server-Limit: 2.0\r\n");
  load(Rig, {&A}, 500ms);
  Behaviour.set("");
  // One answer without the header is enough.
  Rig.waitUntilServed(A, "/read/1");
  const Counts Answers = load(Rig, {&A}, 500ms);
  CHECK(Answers.m_Refused == 0);
}

TEST_CASE("requests go to other targets than one whose answer says that it "
          "leaves") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  HeaderBehaviour Behaviour(A.m_Target);
  Rig.startServing();
  Behaviour.set("Server-Leaving: 1\r\n");
  REQUIRE(Rig.call(A, "/read/1").m_Status == 200);
  Instance &B = Rig.add("b", "plain");
  B.sendHeartbeat();
  Rig.waitUntilServed(A, "/read/1");
  const int Told = A.m_Target.m_Arrivals;
  // A heartbeat that was under way doesn't revoke the notice.
  A.sendHeartbeat();
  const Counts Answers = load(Rig, {&A, &B}, 500ms);
  CHECK(Answers.m_Refused == 0);
  CHECK(A.m_Target.m_Arrivals == Told);
}

TEST_CASE("an entrance remembers a leaving target when the daemon beside it "
          "restarts") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  Instance &B = Rig.add("b", "keyed");
  HeaderBehaviour Behaviour(A.m_Target);
  Rig.startServing();
  Rig.waitUntilServed(B, "/read/1");
  Behaviour.set("Server-Leaving: 1\r\n");
  REQUIRE(Rig.call(B, "/read/1").m_Status == 200);
  A.restartRouter(Rig.m_Loop, Rig.m_Log);
  const int Told = A.m_Target.m_Arrivals;
  const TimePoint End = bootNow() + 1500ms;
  while (bootNow() < End) {
    A.sendHeartbeat();
    CHECK(Rig.call(B, "/read/1").m_Status == 503);
    Rig.runFor(50ms);
  }
  CHECK(A.m_Target.m_Arrivals == Told);
  // The next target at the same instance is used.
  Behaviour.set("");
  A.m_TargetStartTimeMs = 2;
  A.m_Sequence = 0;
  A.sendHeartbeat();
  Rig.waitUntilServed(B, "/read/1");
}

TEST_CASE("a target whose answer says that it leaves hands its keys over") {
  Rig Rig;
  Instance &A = Rig.add("a", "keyed");
  Instance &B = Rig.add("b", "keyed");
  Rig.configure(1);
  HeaderBehaviour Behaviour(A.m_Target);
  HeartbeatReply FromA;
  HeartbeatReply FromB;
  REQUIRE(Rig.runUntil([&] {
    FromA = A.sendHeartbeat();
    FromB = B.sendHeartbeat();
    return FromA.m_Grants && FromB.m_Grants && !FromA.m_Grants->empty() &&
           !FromB.m_Grants->empty();
  }));
  Behaviour.set("Server-Leaving: 1\r\n");
  const int Key = FromA.m_Grants->front().m_First;
  Rig.runFor(100ms);
  REQUIRE(Rig.call(B, "/key/1", "GET", Key).m_Status == 200);
  CHECK(Rig.runUntil([&] {
    FromA = A.sendHeartbeat();
    FromB = B.sendHeartbeat();
    return FromA.m_Grants && FromA.m_Grants->empty();
  }));
  // Within DrainS, less the margin for requests in flight, none is sent to it.
  Rig.runFor(1500ms);
  const int Told = A.m_Target.m_Arrivals;
  Rig.call(B, "/key/1", "GET", Key);
  CHECK(A.m_Target.m_Arrivals == Told);
}
