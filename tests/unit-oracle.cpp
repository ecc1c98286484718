// The oracle accepts a correct run and finds each kind of fault.
#include "bench/core/oracle.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::bench;

namespace {

TimePoint at(int Millis) {
  return TimePoint(std::chrono::milliseconds(1'000'000 + Millis));
}

Attempt makeAttempt(int Sent, int End, Answer Told) {
  Attempt Result;
  Result.m_Sent = at(Sent);
  Result.m_End = at(End);
  Result.m_Answer = Told;
  Result.m_BodyWhole = Told == Answer::Done;
  return Result;
}

Execution makeRun(const std::string &Id, int Begin, int End,
                  std::uint64_t Term = 1, bool Completed = true) {
  Execution Result;
  Result.m_RequestId = Id;
  Result.m_Service = "orders";
  Result.m_Key = "k";
  Result.m_Shard = "1";
  Result.m_Epoch = Epoch(Term);
  Result.m_Start = at(Begin);
  Result.m_End = at(End);
  Result.m_Completed = Completed;
  return Result;
}

/// Two instances; stream 0 is non-idempotent, stream 1 idempotent.
struct Run {
  Observations m_Observed;

  Run() {
    LoadStream Orders;
    Orders.m_Idempotent = false;
    m_Observed.m_Streams = {Orders, LoadStream{}};
    m_Observed.m_Instances = {{"one", "a", "orders", {}},
                              {"two", "b", "orders", {}}};
  }

  void ask(const std::string &Id, std::vector<Attempt> Attempts,
           std::uint32_t Stream = 0) {
    m_Observed.m_Requests.push_back({.m_Id = Id,
                                     .m_Stream = Stream,
                                     .m_Key = "k",
                                     .m_Intended = Attempts.front().m_Sent,
                                     .m_Attempts = std::move(Attempts)});
  }

  void execute(std::size_t Instance, Execution Order) {
    m_Observed.m_Instances.at(Instance).m_Orders.push_back(std::move(Order));
  }

  std::vector<ViolationKind> check() const {
    std::vector<ViolationKind> Kinds;
    for (const Violation &Each : findViolations(m_Observed))
      Kinds.push_back(Each.m_Kind);
    return Kinds;
  }
};

using Kinds = std::vector<ViolationKind>;

} // namespace

TEST_CASE("a correct run has no violation") {
  Run Good;
  Good.ask("r1", {makeAttempt(0, 10, Answer::Done)});
  Good.execute(0, makeRun("r1", 2, 8));
  Good.ask("r2", {makeAttempt(20, 25, Answer::NotRun),
                  makeAttempt(30, 40, Answer::Done)});
  Good.execute(1, makeRun("r2", 32, 38, 2));
  CHECK(Good.check().empty());
}

TEST_CASE("a non-idempotent request that ran twice is found") {
  Run Bad;
  Bad.ask("r", {makeAttempt(0, 40, Answer::Done)});
  Bad.execute(0, makeRun("r", 2, 8));
  Bad.execute(0, makeRun("r", 12, 18));
  CHECK(Bad.check() == Kinds{ViolationKind::RanTwice});
  Bad.m_Observed.m_Requests[0].m_Stream = 1;
  CHECK(Bad.check().empty());
}

TEST_CASE("a false not run is found") {
  SUBCASE("run before the refusal of a later attempt") {
    Run Bad;
    Bad.ask("r", {makeAttempt(0, 10, Answer::Broken),
                  makeAttempt(20, 30, Answer::NotRun)});
    Bad.execute(0, makeRun("r", 2, 8));
    CHECK(Bad.check() == Kinds{ViolationKind::FalseNotRun});
  }
  SUBCASE("run after the last refusal") {
    Run Bad;
    Bad.ask("r", {makeAttempt(0, 10, Answer::Wait)});
    Bad.execute(0, makeRun("r", 50, 60));
    CHECK(Bad.check() == Kinds{ViolationKind::FalseNotRun});
  }
  SUBCASE("idempotent and every attempt refused") {
    Run Bad;
    Bad.ask("r", {makeAttempt(0, 10, Answer::NotRun)}, 1);
    Bad.execute(0, makeRun("r", 2, 8));
    CHECK(Bad.check() == Kinds{ViolationKind::FalseNotRun});
  }
}

TEST_CASE("an answer without a completed order is found") {
  Run Bad;
  Bad.ask("r", {makeAttempt(0, 10, Answer::Done)});
  CHECK(Bad.check() == Kinds{ViolationKind::FalseDone});
  Bad.execute(0, makeRun("r", 2, 8, 1, /*Completed=*/false));
  CHECK(Bad.check() == Kinds{ViolationKind::FalseDone});
}

TEST_CASE("a wrong body is found") {
  Run Bad;
  Bad.ask("r", {makeAttempt(0, 10, Answer::Done)});
  Bad.m_Observed.m_Requests[0].m_Attempts[0].m_BodyWhole = false;
  Bad.execute(0, makeRun("r", 2, 8));
  CHECK(Bad.check() == Kinds{ViolationKind::WrongBody});
}

TEST_CASE("two owners at one time are found") {
  Run Bad;
  Bad.execute(0, makeRun("r1", 0, 20, 1));
  Bad.execute(1, makeRun("r2", 10, 15, 2));
  CHECK(Bad.check() == Kinds{ViolationKind::TwoOwners});
}

TEST_CASE("an overlap is found behind a later short order") {
  Run Bad;
  Bad.execute(0, makeRun("long", 0, 50, 1));
  Bad.execute(0, makeRun("short", 10, 15, 1));
  Bad.execute(1, makeRun("r", 30, 40, 2));
  CHECK(Bad.check() == Kinds{ViolationKind::TwoOwners});
}

TEST_CASE("an old epoch after a newer one is found") {
  Run Bad;
  Bad.execute(1, makeRun("r2", 0, 5, 2));
  Bad.execute(0, makeRun("r1", 10, 20, 1));
  CHECK(Bad.check() == Kinds{ViolationKind::OldEpoch});
}

TEST_CASE("new work at an instance taken out is found") {
  Run Bad;
  Bad.execute(0, makeRun("r", 100, 110));
  Bad.m_Observed.m_NoNewWork = {{"one", at(50), at(100)}};
  CHECK(Bad.check().empty());
  Bad.m_Observed.m_NoNewWork = {{"one", at(50), at(200)}};
  CHECK(Bad.check() == Kinds{ViolationKind::LateWork});
}

TEST_CASE("a request cut by a graceful shutdown is found") {
  Run Bad;
  Bad.ask("r", {makeAttempt(0, 60, Answer::Broken)});
  Bad.m_Observed.m_Shutdowns = {{"one", 1, at(50), at(100)}};
  CHECK(Bad.check().empty());
  Bad.m_Observed.m_Shutdowns = {{"one", 0, at(50), at(100)}};
  CHECK(Bad.check() == Kinds{ViolationKind::Cut});
  Bad.m_Observed.m_Requests.clear();
  Bad.execute(0, makeRun("r2", 40, 70, 1, /*Completed=*/false));
  CHECK(Bad.check() == Kinds{ViolationKind::Cut});
}
