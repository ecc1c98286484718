// Tests of the choice of a target by load, speed, failures and domain.
#include "balsamwheel/detail/load/target_selector.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const InstanceName A("a");
const InstanceName B("b");
const std::vector<TargetSelector::Candidate> Both{
    {.m_Target = A, .m_SameDomain = true}, {.m_Target = B}};

GateReport report(std::uint32_t Running, Duration Service) {
  return {.m_Running = Running, .m_Slots = 9, .m_Service = Service};
}

} // namespace

TEST_CASE("the target with the least expected completion time is chosen") {
  TargetSelector Selector({});
  Selector.report(A, report(9, 100ms));
  Selector.report(B, report(0, 150ms));
  CHECK(Selector.choose(Both, false, 0, Start) == B);
  Selector.report(B, report(0, 300ms));
  CHECK(Selector.choose(Both, false, 0, Start) == A);
}

TEST_CASE("requests sent since the last report count as load") {
  TargetSelector Selector({});
  Selector.report(A, report(0, 100ms));
  Selector.report(B, report(0, 100ms));
  for (int Count = 0; Count < 3; ++Count)
    Selector.sent(A);
  CHECK(Selector.choose(Both, false, 0, Start) == B);
}

TEST_CASE("targets with closed or unknown gates are never chosen") {
  TargetSelector Selector({});
  CHECK_FALSE(Selector.choose(Both, false, 0, Start).has_value());
  Selector.report(A, {.m_Slots = 0, .m_Service = 1ms});
  CHECK_FALSE(Selector.choose(Both, false, 0, Start).has_value());
  Selector.report(B, report(9, 900ms));
  CHECK(Selector.choose(Both, false, 0, Start) == B);
  Selector.forget(B);
  CHECK_FALSE(Selector.choose(Both, false, 0, Start).has_value());
}

TEST_CASE("a target that fails requests is avoided until its failure rate "
          "decays") {
  TargetSelector Selector({});
  Selector.report(A, report(0, 50ms));
  Selector.report(B, report(0, 150ms));
  for (int Count = 0; Count < 6; ++Count)
    Selector.done(A, true, Start);
  CHECK(Selector.choose(Both, false, 0, Start) == B);
  CHECK(Selector.choose(Both, false, 0, Start + 30s) == A);
}

TEST_CASE("requests with large answers prefer targets in the caller's domain") {
  TargetSelector Selector({});
  Selector.report(A, report(3, 100ms));
  Selector.report(B, report(0, 100ms));
  CHECK(Selector.choose(Both, false, 0, Start) == B);
  CHECK(Selector.choose(Both, true, 0, Start) == A);
}

TEST_CASE("the rate limit of a cold target counts in its completion time") {
  TargetSelector Selector({});
  Selector.report(A, {.m_Running = 0,
                      .m_Waiting = 4,
                      .m_Slots = 9,
                      .m_Service = 50ms,
                      .m_RateLimit = 8,
                      .m_SpareTokens = -4});
  Selector.report(B, report(9, 100ms));
  CHECK(Selector.choose(Both, false, 0, Start) == B);
}

TEST_CASE("a limited target is chosen while it has tokens to spare") {
  TargetSelector Selector({});
  GateReport Limited = report(0, 100ms);
  Limited.m_RateLimit = 2;
  Limited.m_SpareTokens = 2;
  Selector.report(A, Limited);
  Selector.report(B, report(3, 100ms));
  for (int Count = 0; Count < 2; ++Count) {
    CHECK(Selector.choose(Both, false, 0, Start) == A);
    Selector.sent(A);
  }
  CHECK(Selector.choose(Both, false, 0, Start) == B);
}

TEST_CASE("entrances with the same old reports do not all choose one target") {
  TargetSelector Selector({});
  std::vector<TargetSelector::Candidate> Many;
  for (int Index = 0; Index < 26; ++Index) {
    Many.push_back({.m_Target = InstanceName("t" + std::to_string(Index))});
    // Service times differ by a factor of more than two.
    Selector.report(Many.back().m_Target,
                    report(0, std::chrono::milliseconds(200 + 10 * Index)));
  }
  std::map<InstanceName, int> Chosen;
  for (std::uint64_t Entrance = 0; Entrance < 2600; ++Entrance)
    ++Chosen[*Selector.choose(Many, false, Entrance, Start)];
  for (const auto &[Target, Count] : Chosen)
    CHECK(Count <= 3.2 * 100);
  CHECK(Chosen[InstanceName("t0")] > Chosen[InstanceName("t20")]);
}

TEST_CASE("a target that was slow while cold is tried again when it has been "
          "idle") {
  TargetSelector Selector({});
  const auto Choose = [&](Duration Idle) {
    Selector.report(A, report(3, 100ms));
    Selector.report(B, report(0, idleServiceTime(350ms, Idle)));
    return Selector.choose(Both, false, 0, Start);
  };
  CHECK(Choose(0s) == A);
  CHECK(Choose(1s) == A);
  CHECK(Choose(2s) == B);
  CHECK(idleServiceTime(400ms, 1h) == 100ms);
}

TEST_CASE("a target that has just started gets requests beside fast ones that "
          "aren't idle") {
  TargetSelector Selector({});
  Selector.report(A, report(3, 60ms));
  Selector.report(B, report(0, 0ms));
  CHECK(Selector.choose(Both, false, 0, Start) == B);
  for (int Count = 0; Count < 9; ++Count)
    Selector.sent(B);
  CHECK(Selector.choose(Both, false, 0, Start) == A);
}
