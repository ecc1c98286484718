// Tests of the picker: choice of targets, outlier ejection, hedge budget.
#include "balsamwheel/coordination.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

using Sessions = std::vector<SessionId>;

const Sessions Three{SessionId(1), SessionId(2), SessionId(3)};

/// Picks a target for one request after another and completes each with the
/// latency of its target; returns the number of requests per target.
std::map<SessionId, int>
serveRequests(Picker &Tested, int Requests, TimePoint &Now,
              const std::function<Duration(SessionId)> &Latency) {
  std::map<SessionId, int> Counts;
  for (int Request = 0; Request < Requests; ++Request) {
    const SessionId Target = *Tested.pick(Three, {}, Now);
    Tested.started(Target, Now);
    Now += Latency(Target);
    Tested.finished(Target, Latency(Target), false, Now);
    ++Counts[Target];
  }
  return Counts;
}

Duration constantLatency(SessionId) { return 10ms; }

} // namespace

TEST_CASE("a pick is a candidate, and no avoided one if there is another") {
  CHECK(rc::check("any candidates and policy", [] {
    Picker Tested(
        {.m_Policy = static_cast<PickPolicy>(*rc::gen::inRange(0, 4))},
        *rc::gen::arbitrary<std::uint64_t>());
    TimePoint Now{1s};
    const auto Rounds = *rc::gen::inRange(1, 60);
    for (int Round = 0; Round < Rounds; ++Round) {
      Now += Duration(*rc::gen::inRange(0, 3'000'000));
      const auto Present = *rc::gen::inRange<std::uint64_t>(0, 128);
      Sessions Candidates;
      for (std::uint64_t Id = 1; Id < 8; ++Id)
        if ((Present >> (Id - 1) & 1U) == 1)
          Candidates.emplace_back(Id);
      const Sessions Avoid{SessionId(*rc::gen::inRange<std::uint64_t>(1, 8))};
      const auto Picked = Tested.pick(Candidates, Avoid, Now);
      RC_ASSERT(Picked.has_value() == !Candidates.empty());
      if (!Picked)
        continue;
      RC_ASSERT(std::ranges::find(Candidates, *Picked) != Candidates.end());
      if (Candidates.size() > 1)
        RC_ASSERT(*Picked != Avoid.front());
      Tested.started(*Picked, Now);
      const Duration Latency(*rc::gen::inRange(0, 100'000));
      if (*rc::gen::arbitrary<bool>())
        Tested.finished(*Picked, Latency, *rc::gen::arbitrary<bool>(), Now);
      else
        Tested.abandoned(*Picked, Latency, Now);
    }
  }));
}

TEST_CASE("the number of hedges stays within the budget") {
  CHECK(rc::check("any mix of requests and hedges", [] {
    constexpr double Share = 0.03;
    Picker Tested({.m_HedgeBudget = Share}, 1);
    const TimePoint Now{1s};
    double First = 0;
    double Hedges = 0;
    for (const bool IsFirst : *rc::gen::arbitrary<std::vector<bool>>()) {
      if (IsFirst) {
        Tested.started(SessionId(1), Now);
        ++First;
      } else if (Tested.takeHedge(Now)) {
        Tested.started(SessionId(2), Now);
        ++Hedges;
      }
      RC_ASSERT(Hedges <= Share * First + 1e-6);
    }
  }));
}

TEST_CASE("the hedge budget is used to the full under many requests") {
  Picker Tested({.m_HedgeBudget = 0.03}, 1);
  TimePoint Now{1s};
  int Hedges = 0;
  for (int Request = 0; Request < 1000; ++Request) {
    Tested.started(SessionId(1), Now);
    if (Tested.takeHedge(Now)) {
      Tested.started(SessionId(2), Now);
      ++Hedges;
    }
  }
  CHECK(Hedges >= 28);
  CHECK(Hedges <= 30);
}

TEST_CASE("no hedge without budget and samples, or when hedging is off") {
  TimePoint Now{1s};
  Picker New({}, 1);
  CHECK_FALSE(New.hedgeDelay(Now).has_value());
  Picker WithoutHedges({.m_Hedge = false}, 1);
  serveRequests(WithoutHedges, 1000, Now, constantLatency);
  CHECK_FALSE(WithoutHedges.hedgeDelay(Now).has_value());
  CHECK_FALSE(WithoutHedges.takeHedge(Now));
}

TEST_CASE("the hedge delay follows the fast targets, not the slow one") {
  TimePoint Now{1s};
  Picker Tested({.m_Policy = PickPolicy::RoundRobin}, 1);
  serveRequests(Tested, 1000, Now, [](SessionId Target) {
    return Target == Three[0] ? 500ms : 10ms;
  });
  const auto Delay = Tested.hedgeDelay(Now);
  REQUIRE(Delay.has_value());
  CHECK(*Delay >= 10ms);
  CHECK(*Delay < 15ms);
}

TEST_CASE("a slow target is ejected, probed rarely, and restored") {
  TimePoint Now{1s};
  Picker Tested({}, 7);
  serveRequests(Tested, 300, Now, constantLatency);
  const auto Slowed = serveRequests(Tested, 1000, Now, [](SessionId Target) {
    return Target == Three[0] ? 200ms : 10ms;
  });
  CHECK(Slowed.at(Three[0]) >= 1);
  CHECK(Slowed.at(Three[0]) < 20);
  Now += 20s;
  const auto Recovered = serveRequests(Tested, 1000, Now, constantLatency);
  CHECK(Recovered.at(Three[0]) > 200);
}

TEST_CASE("a target that never answers is ejected by its abandoned requests") {
  TimePoint Now{1s};
  Picker Tested({}, 7);
  serveRequests(Tested, 300, Now, constantLatency);
  int ToSilent = 0;
  for (int Request = 0; Request < 1000; ++Request) {
    const SessionId Target = *Tested.pick(Three, {}, Now);
    Tested.started(Target, Now);
    const bool Silent = Target == Three[0];
    ToSilent += Silent ? 1 : 0;
    Now += Silent ? 60ms : 10ms;
    if (Silent)
      Tested.abandoned(Target, 60ms, Now);
    else
      Tested.finished(Target, 10ms, false, Now);
  }
  CHECK(ToSilent < 30);
}

TEST_CASE("a target that fails fast does not attract requests") {
  TimePoint Now{1s};
  Picker Tested({}, 7);
  serveRequests(Tested, 300, Now, constantLatency);
  int ToFailing = 0;
  for (int Request = 0; Request < 1000; ++Request) {
    const SessionId Target = *Tested.pick(Three, {}, Now);
    Tested.started(Target, Now);
    const bool Fails = Target == Three[0];
    ToFailing += Fails ? 1 : 0;
    Now += Fails ? 1ms : 10ms;
    Tested.finished(Target, Fails ? 1ms : 10ms, Fails, Now);
  }
  CHECK(ToFailing < 30);
}
