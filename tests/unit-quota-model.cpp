// Daemons that share quotas, in a world that fails: over all of them no more
// tokens are created than the quota allows, in any window.
#include "quota_world.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

struct Step {
  int m_Kind = 0;
  int m_First = 0;
  int m_Second = 0;
};

void showValue(const Step &Value, std::ostream &Out) {
  Out << '{' << Value.m_Kind << ',' << Value.m_First << ',' << Value.m_Second
      << '}';
}

rc::Gen<Step> steps() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::m_Kind, rc::gen::inRange(0, 12)),
      rc::gen::set(&Step::m_First, rc::gen::inRange(0, 1000)),
      rc::gen::set(&Step::m_Second, rc::gen::inRange(0, 1000)));
}

void demandFlood(QuotaWorld &World) {
  for (auto &Each : World.m_Daemons)
    Each.m_Demand = {{OrganisationName("large"), 4},
                     {OrganisationName("small"), 1},
                     {OrganisationName("tiny"), 0.5}};
}

/// Cuts the daemons in two sides.
void split(QuotaWorld &World, int Bits) {
  World.m_Cut.clear();
  for (std::size_t One = 0; One < World.m_Daemons.size(); ++One)
    for (std::size_t Other = One + 1; Other < World.m_Daemons.size(); ++Other)
      if (((Bits >> One) & 1) != ((Bits >> Other) & 1))
        World.m_Cut.insert({One, Other});
}

void apply(QuotaWorld &World, const Step &Done) {
  const std::size_t Index =
      static_cast<std::size_t>(Done.m_First) % World.m_Daemons.size();
  switch (Done.m_Kind) {
  case 0:
    return World.restart(Index, Done.m_Second * 10ms);
  case 1:
    return World.freeze(Index, Done.m_Second * Done.m_Second * 100us);
  case 2:
    return split(World, Done.m_Second);
  case 3:
    World.m_Cut.clear();
    return;
  case 4:
    World.m_Daemons[Index].m_TableReachable = Done.m_Second % 2 == 0;
    return;
  case 5:
    World.m_Options.m_Loss = Done.m_First % 4 * 0.1;
    World.m_Options.m_Duplicates = Done.m_Second % 4 * 0.1;
    return;
  case 6:
    World.m_Options.m_MaxDelay =
        Done.m_First % 5 == 0 ? Duration(4s) : Duration(Done.m_Second * 1ms);
    return;
  case 7:
    if (Done.m_Second % 4 == 0)
      World.rollBack(static_cast<std::size_t>(Done.m_First % 3));
    return;
  case 8:
    return World.advance(Done.m_Second * 70ms);
  default:
    return World.advance(Done.m_Second * 5ms);
  }
}

/// One daemon is away until its shares are moved, and comes back.
void applyAbsence(QuotaWorld &World, const Step &Done) {
  const std::size_t Index =
      static_cast<std::size_t>(Done.m_First) % World.m_Daemons.size();
  const Duration Time = 30s + Done.m_Second * 150ms;
  switch (Done.m_Kind % 4) {
  case 0:
    World.restart(Index, Time);
    break;
  case 1:
    World.freeze(Index, Time);
    break;
  default:
    split(World, 1 << Index);
    World.m_Daemons[Index].m_TableReachable = false;
    break;
  }
  World.advance(Time);
  World.m_Cut.clear();
  World.m_Daemons[Index].m_TableReachable = Done.m_Kind < 6;
  World.advance(Done.m_First * 20ms);
}

} // namespace

TEST_CASE("no faults make the daemons create more tokens than the quota") {
  CHECK(rc::check([] {
    QuotaWorldOptions Options;
    Options.m_Daemons = *rc::gen::inRange<std::size_t>(2, 6);
    Options.m_Seed = *rc::gen::arbitrary<std::uint32_t>();
    QuotaWorld World(Options);
    demandFlood(World);
    World.advance(5s);
    for (const Step &Each : *rc::gen::container<std::vector<Step>>(steps()))
      apply(World, Each);
    World.advance(5s);
    for (const auto &[Name, Oracle] : World.m_Oracles)
      // A token of the one that holds more than half of the units.
      RC_ASSERT(Oracle.m_Worst <= Oracle.m_Limit.m_Burst + 1 + 1e-6);
  }));
}

TEST_CASE("nor while shares move between daemons") {
  CHECK(rc::check([] {
    QuotaWorldOptions Options;
    Options.m_Daemons = *rc::gen::inRange<std::size_t>(3, 6);
    Options.m_Seed = *rc::gen::arbitrary<std::uint32_t>();
    QuotaWorld World(Options);
    demandFlood(World);
    World.advance(5s);
    for (const Step &Each : *rc::gen::container<std::vector<Step>>(4, steps()))
      applyAbsence(World, Each);
    for (const auto &[Name, Oracle] : World.m_Oracles)
      RC_ASSERT(Oracle.m_Worst <= Oracle.m_Limit.m_Burst + 1 + 1e-6);
    RC_CLASSIFY(World.m_Commits > 2);
  }));
}

TEST_CASE("tokens that are given back don't create others") {
  CHECK(rc::check([] {
    QuotaWorldOptions Options;
    Options.m_Seed = *rc::gen::arbitrary<std::uint32_t>();
    QuotaWorld World(Options);
    World.m_GiveBack = 0.7;
    demandFlood(World);
    World.advance(5s);
    for (const Step &Each : *rc::gen::container<std::vector<Step>>(steps()))
      apply(World, Each);
    // Runs are later than grants by at most the age of a reply, and returns
    // by their delay and that of their question.
    for (const auto &[Name, Oracle] : World.m_Oracles)
      RC_ASSERT(Oracle.m_Worst <=
                Oracle.m_Limit.m_Burst + 1 + 4 * Oracle.m_Limit.m_Rate);
  }));
}

TEST_CASE("without faults one entrance gets the whole quota") {
  // Guards against fixed parts: the entrance would get a quarter.
  QuotaWorld World({});
  World.m_Daemons[2].m_Demand = {{OrganisationName("large"), 20}};
  World.advance(8s);
  const std::uint64_t Before =
      World.m_Oracles.at(OrganisationName("large")).m_Total;
  World.advance(20s);
  const std::uint64_t Granted =
      World.m_Oracles.at(OrganisationName("large")).m_Total - Before;
  CHECK(Granted >= 990);
  CHECK(Granted <= 1001);
}

TEST_CASE("requests within the quota aren't refused") {
  // Guards against tokens that wait at other entrances, and against questions
  // that are lost between two keepers.
  QuotaWorld World({});
  for (auto &Each : World.m_Daemons)
    Each.m_Demand = {{OrganisationName("large"), 0.8}};
  World.advance(8s);
  World.clearVerdicts();
  World.advance(60s);
  CHECK(World.verdicts(QuotaVerdict::Denied) == 0);
  CHECK(World.verdicts(QuotaVerdict::Unavailable) == 0);
  CHECK(World.verdicts(QuotaVerdict::Granted) >= 1900);
}

TEST_CASE("the organisations of a lost keeper are served again") {
  // Guards against units that stay with a keeper which is gone.
  QuotaWorld World({});
  for (auto &Each : World.m_Daemons)
    Each.m_Demand = {{OrganisationName("large"), 0.8}};
  World.advance(10s);
  const QuotaGroup Group = quotaGroupOf(OrganisationName("large"));
  const InstanceName Lost = World.m_Daemons[0].m_Member->lender().chosen(Group);
  World.restart(std::stoul(Lost.value().substr(1)), 20s);
  World.advance(4s);
  World.clearVerdicts();
  World.advance(5s);
  CHECK(World.verdicts(QuotaVerdict::Unavailable) == 0);
  CHECK(World.verdicts(QuotaVerdict::Denied) == 0);
  CHECK(World.verdicts(QuotaVerdict::Granted) >= 115);
}

TEST_CASE("each side of a split network serves what its units allow") {
  // Guards against one side that serves nothing, and two that serve all.
  QuotaWorld World({});
  for (auto &Each : World.m_Daemons)
    Each.m_Demand = {{OrganisationName("large"), 20}};
  World.advance(10s);
  split(World, 0b0011);
  World.advance(10s);
  World.clearVerdicts();
  World.advance(20s);
  const int One = World.m_Daemons[0].m_Verdicts[QuotaVerdict::Granted] +
                  World.m_Daemons[1].m_Verdicts[QuotaVerdict::Granted];
  CHECK(One >= 450);
  CHECK(One <= 550);
  CHECK(World.verdicts(QuotaVerdict::Granted) >= 950);
}

TEST_CASE("the units of a daemon that is gone are divided among the others") {
  // Guards against a quota that stays smaller for good.
  QuotaWorld World({});
  World.m_Daemons[0].m_Demand = {{OrganisationName("large"), 20}};
  World.advance(10s);
  World.restart(3, 1h);
  World.advance(150s);
  World.clearVerdicts();
  World.advance(20s);
  CHECK(World.verdicts(QuotaVerdict::Granted) >= 990);
  CHECK(World.m_Commits == 3);
}
