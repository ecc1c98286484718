// Complete routers on loopback: the gate is limited to the measured capacity.
#include "router_rig.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

std::string capacityMetric(const Instance &Of) {
  const std::string Text = Of.m_Metrics.toText();
  const std::string Name = "\nbalsamwheel_target_capacity ";
  const std::size_t At = Text.find(Name);
  REQUIRE(At != std::string::npos);
  const std::size_t First = At + Name.size();
  return Text.substr(First, Text.find('\n', First) - First);
}

/// Returns how many of six requests reach a target that answers none.
int arrivalsTogether(Rig &Rig, Instance &At) {
  At.m_Target.m_Behaviour = [](const std::string &) {
    return RawReply{.m_Silent = true};
  };
  const int Before = At.m_Target.m_Arrivals;
  for (int Count = 0; Count < 6; ++Count)
    Rig.start(At, "/read/1", "GET");
  Rig.runFor(400ms);
  return At.m_Target.m_Arrivals - Before;
}

} // namespace

TEST_CASE("all slots of the target are used unless its capacity is measured") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  Rig.startServing();
  CHECK(arrivalsTogether(Rig, A) == 4);
  Rig.runFor(1s);
  CHECK(capacityMetric(A) == "0");
}

TEST_CASE("the gate is limited to the measured capacity of an incarnation") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  A.m_Settings.m_MeasureCapacity = true;
  A.restartRouter(Rig.m_Loop, Rig.m_Log);
  Rig.startServing();
  CHECK(arrivalsTogether(Rig, A) == 3);
  // A new incarnation has all of its capacity, whatever the earlier one runs.
  A.m_TargetStartTimeMs = 2;
  A.sendHeartbeat();
  CHECK(arrivalsTogether(Rig, A) == 3);
  Rig.runFor(1s);
  CHECK(capacityMetric(A) == "3");
}
