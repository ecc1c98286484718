// Choice among targets: who is picked, who is ejected, how often to hedge.
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

/// Picks and answers one request after another.
std::map<SessionId, int>
serve(Picker &Choice, int Requests, TimePoint &Now,
      const std::function<Duration(SessionId)> &Latency) {
  std::map<SessionId, int> Counts;
  for (int Request = 0; Request < Requests; ++Request) {
    const SessionId Target = *Choice.pick(Three, {}, Now);
    Choice.started(Target, Now);
    Now += Latency(Target);
    Choice.finished(Target, Latency(Target), false, Now);
    ++Counts[Target];
  }
  return Counts;
}

Duration evenly(SessionId) { return 10ms; }

} // namespace

TEST_CASE("a pick is a candidate, and not an avoided one if another exists") {
  CHECK(rc::check("any candidates and policy", [] {
    Picker Choice(
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
      const auto Picked = Choice.pick(Candidates, Avoid, Now);
      RC_ASSERT(Picked.has_value() == !Candidates.empty());
      if (!Picked)
        continue;
      RC_ASSERT(std::ranges::find(Candidates, *Picked) != Candidates.end());
      if (Candidates.size() > 1)
        RC_ASSERT(*Picked != Avoid.front());
      Choice.started(*Picked, Now);
      const Duration Latency(*rc::gen::inRange(0, 100'000));
      if (*rc::gen::arbitrary<bool>())
        Choice.finished(*Picked, Latency, *rc::gen::arbitrary<bool>(), Now);
      else
        Choice.abandoned(*Picked, Latency, Now);
    }
  }));
}

TEST_CASE("hedges stay within their share of the requests") {
  CHECK(rc::check("any mix of requests and hedges", [] {
    constexpr double Share = 0.03;
    Picker Choice({.m_HedgeBudget = Share}, 1);
    const TimePoint Now{1s};
    double First = 0;
    double Hedges = 0;
    for (const bool IsFirst : *rc::gen::arbitrary<std::vector<bool>>()) {
      if (IsFirst) {
        Choice.started(SessionId(1), Now);
        ++First;
      } else if (Choice.takeHedge(Now)) {
        Choice.started(SessionId(2), Now);
        ++Hedges;
      }
      RC_ASSERT(Hedges <= Share * First + 1e-6);
    }
  }));
}

TEST_CASE("the hedge budget is used when requests are many") {
  Picker Choice({.m_HedgeBudget = 0.03}, 1);
  TimePoint Now{1s};
  int Hedges = 0;
  for (int Request = 0; Request < 1000; ++Request) {
    Choice.started(SessionId(1), Now);
    if (Choice.takeHedge(Now)) {
      Choice.started(SessionId(2), Now);
      ++Hedges;
    }
  }
  CHECK(Hedges >= 28);
  CHECK(Hedges <= 30);
}

TEST_CASE("no hedge without budget, without samples, or when switched off") {
  TimePoint Now{1s};
  Picker Fresh({}, 1);
  CHECK_FALSE(Fresh.hedgeDelay(Now).has_value());
  Picker Off({.m_Hedge = false}, 1);
  serve(Off, 1000, Now, evenly);
  CHECK_FALSE(Off.hedgeDelay(Now).has_value());
  CHECK_FALSE(Off.takeHedge(Now));
}

TEST_CASE("the hedge delay follows the fast targets, not the slow one") {
  TimePoint Now{1s};
  Picker Choice({.m_Policy = PickPolicy::RoundRobin}, 1);
  serve(Choice, 1000, Now,
        [](SessionId Target) { return Target == Three[0] ? 500ms : 10ms; });
  const auto Delay = Choice.hedgeDelay(Now);
  REQUIRE(Delay.has_value());
  CHECK(*Delay >= 10ms);
  CHECK(*Delay < 15ms);
}

TEST_CASE("a slow target is ejected, probed gently, and taken back") {
  TimePoint Now{1s};
  Picker Choice({}, 7);
  serve(Choice, 300, Now, evenly);
  const auto Slowed = serve(Choice, 1000, Now, [](SessionId Target) {
    return Target == Three[0] ? 200ms : 10ms;
  });
  CHECK(Slowed.at(Three[0]) >= 1);
  CHECK(Slowed.at(Three[0]) < 20);
  Now += 20s;
  const auto Recovered = serve(Choice, 1000, Now, evenly);
  CHECK(Recovered.at(Three[0]) > 200);
}

TEST_CASE("a target that answers nothing is left by its losing hedges") {
  TimePoint Now{1s};
  Picker Choice({}, 7);
  serve(Choice, 300, Now, evenly);
  int ToSilent = 0;
  for (int Request = 0; Request < 1000; ++Request) {
    const SessionId Target = *Choice.pick(Three, {}, Now);
    Choice.started(Target, Now);
    const bool Silent = Target == Three[0];
    ToSilent += Silent ? 1 : 0;
    Now += Silent ? 60ms : 10ms;
    if (Silent)
      Choice.abandoned(Target, 60ms, Now);
    else
      Choice.finished(Target, 10ms, false, Now);
  }
  CHECK(ToSilent < 30);
}

TEST_CASE("a target that fails at once attracts no requests") {
  TimePoint Now{1s};
  Picker Choice({}, 7);
  serve(Choice, 300, Now, evenly);
  int ToFailing = 0;
  for (int Request = 0; Request < 1000; ++Request) {
    const SessionId Target = *Choice.pick(Three, {}, Now);
    Choice.started(Target, Now);
    const bool Fails = Target == Three[0];
    ToFailing += Fails ? 1 : 0;
    Now += Fails ? 1ms : 10ms;
    Choice.finished(Target, Fails ? 1ms : 10ms, Fails, Now);
  }
  CHECK(ToFailing < 30);
}
