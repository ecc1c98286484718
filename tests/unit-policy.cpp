// Checks that the load policies meet their goals on modelled targets in
// simulated time.
#include "policy/experiments.h"
#include "policy/gate_run.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace balsamwheel;
using namespace balsamwheel::policy;
using namespace std::chrono_literals;

TEST_CASE("every simulated experiment meets its goals") {
  for (const std::string_view Name : experimentNames()) {
    for (const std::uint64_t Seed : {1, 2}) {
      const std::vector<Comparison> Comparisons = runExperiment(Name, Seed);
      CHECK_FALSE(Comparisons.empty());
      for (const Comparison &Entry : Comparisons) {
        CAPTURE(Entry.m_Experiment);
        CAPTURE(Entry.m_Measure);
        CAPTURE(Seed);
        CAPTURE(Entry.m_Policy);
        CHECK(Entry.meetsGoal());
      }
    }
  }
}

TEST_CASE(
    "the baselines fail: a fixed limit collapses a cold target, and a single "
    "class misses the urgent latency goal") {
  for (const Comparison &Entry : runExperiment("cold-start", 1))
    if (Entry.m_Goal)
      CHECK(Entry.m_Baseline > 0);
  CHECK(runExperiment("overload-classes", 1).front().m_Baseline > 1.5);
}

TEST_CASE("an unknown experiment gives no results") {
  CHECK(runExperiment("none", 1).empty());
}

TEST_CASE("a cold target does not collapse at any size, warm-up time or load") {
  CHECK(rc::check("no collapse during the cold start of random targets", [] {
    GateRunOptions Options;
    Options.m_Target.m_StartsCold = true;
    Options.m_Target.m_Slots = *rc::gen::inRange(5U, 30U);
    Options.m_Target.m_WarmUpTime =
        std::chrono::seconds(*rc::gen::inRange(2, 20));
    Options.m_Gate.m_Slots = Options.m_Target.m_Slots;
    Options.m_Gate.m_ColdSlots = Options.m_Target.m_Slots / 5;
    Options.m_Length = 30s;
    Options.m_Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    Options.m_Load = {{.m_Class = Urgency::Interactive,
                       .m_OfferedLoad = *rc::gen::inRange(2, 20) / 10.0,
                       .m_MeanServiceTime = std::chrono::milliseconds(
                           *rc::gen::inRange(4, 60))}};
    RC_ASSERT(runGate(Options).m_Collapses == 0U);
  }));
}

TEST_CASE("the same seed gives the same results") {
  CHECK(runExperiment("retry-storm", 3).front().m_Policy ==
        runExperiment("retry-storm", 3).front().m_Policy);
}
