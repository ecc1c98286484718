// Tests of the oracle: it accepts a correct run and reports each kind of
// violation.
#include "bench/core/oracle.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::bench;

namespace {

TimePoint at(int Millis) {
  return TimePoint(std::chrono::milliseconds(1'000'000 + Millis));
}

Attempt makeAttempt(int Sent, int End, Answer AnswerKind) {
  Attempt Result;
  Result.m_Sent = at(Sent);
  Result.m_End = at(End);
  Result.m_Answer = AnswerKind;
  Result.m_BodyIntact = AnswerKind == Answer::Done;
  return Result;
}

Execution makeExecution(const std::string &Id, int Begin, int End,
                        std::uint64_t EpochNumber = 1, bool Completed = true) {
  Execution Result;
  Result.m_RequestId = Id;
  Result.m_Service = "orders";
  Result.m_Key = "k";
  Result.m_Shard = "1";
  Result.m_Epoch = Epoch(EpochNumber);
  Result.m_Start = at(Begin);
  Result.m_End = at(End);
  Result.m_Completed = Completed;
  return Result;
}

/// Two instances; stream 0 is non-idempotent, stream 1 idempotent.
struct TestRun {
  Observations m_Observed;

  TestRun() {
    LoadStream Orders;
    Orders.m_Idempotent = false;
    m_Observed.m_Streams = {Orders, LoadStream{}};
    m_Observed.m_Instances = {{"one", "a", "orders", {}},
                              {"two", "b", "orders", {}}};
  }

  void addRequest(const std::string &Id, std::vector<Attempt> Attempts,
                  std::uint32_t Stream = 0) {
    m_Observed.m_Requests.push_back({.m_Id = Id,
                                     .m_Stream = Stream,
                                     .m_Key = "k",
                                     .m_Intended = Attempts.front().m_Sent,
                                     .m_Attempts = std::move(Attempts)});
  }

  void addOrder(std::size_t Instance, Execution Order) {
    m_Observed.m_Instances.at(Instance).m_Orders.push_back(std::move(Order));
  }

  std::vector<ViolationKind> violationKinds() const {
    std::vector<ViolationKind> Kinds;
    for (const Violation &Each : findViolations(m_Observed))
      Kinds.push_back(Each.m_Kind);
    return Kinds;
  }
};

using Kinds = std::vector<ViolationKind>;

} // namespace

TEST_CASE("the oracle reports no violation for a correct run") {
  TestRun Correct;
  Correct.addRequest("r1", {makeAttempt(0, 10, Answer::Done)});
  Correct.addOrder(0, makeExecution("r1", 2, 8));
  Correct.addRequest("r2", {makeAttempt(20, 25, Answer::NotRun),
                            makeAttempt(30, 40, Answer::Done)});
  Correct.addOrder(1, makeExecution("r2", 32, 38, 2));
  CHECK(Correct.violationKinds().empty());
}

TEST_CASE("the oracle reports a non-idempotent request that ran twice") {
  TestRun Faulty;
  Faulty.addRequest("r", {makeAttempt(0, 40, Answer::Done)});
  Faulty.addOrder(0, makeExecution("r", 2, 8));
  Faulty.addOrder(0, makeExecution("r", 12, 18));
  CHECK(Faulty.violationKinds() == Kinds{ViolationKind::RanTwice});
  Faulty.m_Observed.m_Requests[0].m_Stream = 1;
  CHECK(Faulty.violationKinds().empty());
}

TEST_CASE("the oracle reports a request that ran but was answered not run") {
  SUBCASE("it ran before a later attempt was answered not run") {
    TestRun Faulty;
    Faulty.addRequest("r", {makeAttempt(0, 10, Answer::Broken),
                            makeAttempt(20, 30, Answer::NotRun)});
    Faulty.addOrder(0, makeExecution("r", 2, 8));
    CHECK(Faulty.violationKinds() == Kinds{ViolationKind::FalseNotRun});
  }
  SUBCASE("it ran after the last attempt was answered wait") {
    TestRun Faulty;
    Faulty.addRequest("r", {makeAttempt(0, 10, Answer::Wait)});
    Faulty.addOrder(0, makeExecution("r", 50, 60));
    CHECK(Faulty.violationKinds() == Kinds{ViolationKind::FalseNotRun});
  }
  SUBCASE("it is idempotent and every attempt was answered not run") {
    TestRun Faulty;
    Faulty.addRequest("r", {makeAttempt(0, 10, Answer::NotRun)}, 1);
    Faulty.addOrder(0, makeExecution("r", 2, 8));
    CHECK(Faulty.violationKinds() == Kinds{ViolationKind::FalseNotRun});
  }
}

TEST_CASE(
    "the oracle reports a request answered done without a completed order") {
  TestRun Faulty;
  Faulty.addRequest("r", {makeAttempt(0, 10, Answer::Done)});
  CHECK(Faulty.violationKinds() == Kinds{ViolationKind::FalseDone});
  Faulty.addOrder(0, makeExecution("r", 2, 8, 1, /*Completed=*/false));
  CHECK(Faulty.violationKinds() == Kinds{ViolationKind::FalseDone});
}

TEST_CASE("the oracle reports a wrong body") {
  TestRun Faulty;
  Faulty.addRequest("r", {makeAttempt(0, 10, Answer::Done)});
  Faulty.m_Observed.m_Requests[0].m_Attempts[0].m_BodyIntact = false;
  Faulty.addOrder(0, makeExecution("r", 2, 8));
  CHECK(Faulty.violationKinds() == Kinds{ViolationKind::WrongBody});
}

TEST_CASE(
    "the oracle reports orders of one key that overlap at two instances") {
  TestRun Faulty;
  Faulty.addOrder(0, makeExecution("r1", 0, 20, 1));
  Faulty.addOrder(1, makeExecution("r2", 10, 15, 2));
  CHECK(Faulty.violationKinds() == Kinds{ViolationKind::TwoOwners});
}

TEST_CASE(
    "the oracle reports an overlap with a long order that started before a "
    "shorter one") {
  TestRun Faulty;
  Faulty.addOrder(0, makeExecution("long", 0, 50, 1));
  Faulty.addOrder(0, makeExecution("short", 10, 15, 1));
  Faulty.addOrder(1, makeExecution("r", 30, 40, 2));
  CHECK(Faulty.violationKinds() == Kinds{ViolationKind::TwoOwners});
}

TEST_CASE("the oracle reports an order with an old epoch after a newer one") {
  TestRun Faulty;
  Faulty.addOrder(1, makeExecution("r2", 0, 5, 2));
  Faulty.addOrder(0, makeExecution("r1", 10, 20, 1));
  CHECK(Faulty.violationKinds() == Kinds{ViolationKind::OldEpoch});
}

TEST_CASE("the oracle reports an order that starts at an instance taken out") {
  TestRun Faulty;
  Faulty.addOrder(0, makeExecution("r", 100, 110));
  Faulty.m_Observed.m_NoStartWindows = {{"one", at(50), at(100)}};
  CHECK(Faulty.violationKinds().empty());
  Faulty.m_Observed.m_NoStartWindows = {{"one", at(50), at(200)}};
  CHECK(Faulty.violationKinds() == Kinds{ViolationKind::LateWork});
}

TEST_CASE("the oracle reports a request broken off by a graceful shutdown") {
  TestRun Faulty;
  Faulty.addRequest("r", {makeAttempt(0, 60, Answer::Broken)});
  Faulty.m_Observed.m_Shutdowns = {{"one", 1, at(50), at(100)}};
  CHECK(Faulty.violationKinds().empty());
  Faulty.m_Observed.m_Shutdowns = {{"one", 0, at(50), at(100)}};
  CHECK(Faulty.violationKinds() == Kinds{ViolationKind::Cut});
  Faulty.m_Observed.m_Requests.clear();
  Faulty.addOrder(0, makeExecution("r2", 40, 70, 1, /*Completed=*/false));
  CHECK(Faulty.violationKinds() == Kinds{ViolationKind::Cut});
}
