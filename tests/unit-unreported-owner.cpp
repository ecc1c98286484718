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

TEST_CASE("an unreachable instance is lost only after a time-out") {
  CHECK(conditionOf({.m_DownFor = 2s}) == TargetCondition::NoNewKeys);
  CHECK(conditionOf({.m_DownFor = 3s}) == TargetCondition::Lost);
  CHECK(conditionOf({}) == TargetCondition::Lost);
}
