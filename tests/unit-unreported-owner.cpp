// Owners of keys that no daemon reports: restarting, lost, or reassigned.
#include "router/unreported_owner.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace std::chrono_literals;

TEST_CASE("an instance reassigned to another service has lost its keys") {
  // The daemon is reachable and its target is healthy, but of another service.
  CHECK(conditionOf({.m_Reachable = true,
                     .m_ServesOtherService = true,
                     .m_Reported = TargetCondition::Eligible}) ==
        TargetCondition::Lost);
}

TEST_CASE("an instance with a new target of the service adopts its keys") {
  CHECK(conditionOf(
            {.m_Reachable = true, .m_Reported = TargetCondition::Eligible}) ==
        TargetCondition::NoNewKeys);
  CHECK(conditionOf(
            {.m_Reachable = true, .m_Reported = TargetCondition::Ended}) ==
        TargetCondition::Ended);
}

// Guards against keys that stay with an ended target for as long as the domain
// of its instance is evacuated (RECOVER).
TEST_CASE("a next target that leaves was expected to adopt the keys") {
  CHECK(conditionOf({.m_Reachable = true,
                     .m_Reported = TargetCondition::Leaving,
                     .m_Restarted = true}) == TargetCondition::Ended);
  // The report may be older than the owner.
  CHECK(conditionOf(
            {.m_Reachable = true, .m_Reported = TargetCondition::Leaving}) ==
        TargetCondition::NoNewKeys);
}

TEST_CASE("a next target that never adopts the keys kept them from others") {
  for (const auto Reported :
       {TargetCondition::Eligible, TargetCondition::NoNewKeys,
        TargetCondition::Leaving}) {
    CHECK(conditionOf({.m_Reachable = true,
                       .m_Reported = Reported,
                       .m_ReplacedFor = 2s}) == TargetCondition::NoNewKeys);
    CHECK(conditionOf({.m_Reachable = true,
                       .m_Reported = Reported,
                       .m_ReplacedFor = 3s}) == TargetCondition::Lost);
  }
}

TEST_CASE("a replaced owner is remembered until it is reported again") {
  const KeyOwner A{.m_Instance = InstanceName("a")};
  const KeyOwner B{.m_Instance = InstanceName("b")};
  const TimePoint Start{1h};
  ReplacedOwners Owners;
  Owners.observe({A}, Start);
  Owners.observe({A, B}, Start + 1s);
  CHECK(Owners.replacedFor(A, Start + 2s) == 2s);
  CHECK(Owners.replacedFor(B, Start + 2s) == 1s);
  Owners.observe({B}, Start + 2s);
  Owners.observe({A, B}, Start + 3s);
  CHECK(Owners.replacedFor(A, Start + 3s) == 0s);
  CHECK(Owners.replacedFor(B, Start + 3s) == 2s);
  // Nothing is known of the time between.
  Owners.observe({A, B}, Start + 60s);
  CHECK(Owners.replacedFor(B, Start + 60s) == 0s);
}

TEST_CASE("an unreachable instance is lost only after a time-out") {
  CHECK(conditionOf({.m_DownFor = 2s}) == TargetCondition::NoNewKeys);
  CHECK(conditionOf({.m_DownFor = 3s}) == TargetCondition::Lost);
  CHECK(conditionOf({}) == TargetCondition::Lost);
}
