// Owners of keys that no daemon reports: restarting, lost, or reassigned.
#include "router/unreported_owner.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace std::chrono_literals;

TEST_CASE("an instance that was given to another service has lost its keys") {
  // The daemon is reachable and its target is fit, but of another service.
  CHECK(conditionOf({.m_Up = true,
                     .m_ServesOtherwise = true,
                     .m_Reported = TargetCondition::Fit}) ==
        TargetCondition::Lost);
}

TEST_CASE("an instance with another target of the service takes up its keys") {
  CHECK(conditionOf({.m_Up = true, .m_Reported = TargetCondition::Fit}) ==
        TargetCondition::Shaken);
  CHECK(conditionOf({.m_Up = true, .m_Reported = TargetCondition::Ended}) ==
        TargetCondition::Ended);
}

TEST_CASE("an instance out of reach is lost only after a while") {
  CHECK(conditionOf({.m_DownFor = 2s}) == TargetCondition::Shaken);
  CHECK(conditionOf({.m_DownFor = 3s}) == TargetCondition::Lost);
  CHECK(conditionOf({}) == TargetCondition::Lost);
}
