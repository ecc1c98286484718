// Tests of the key planner: initial assignment, lost owners, planned moves, hot
// keys.
#include "balsamwheel/detail/keyspace/key_planner.h"
#include "support/foreign_texts.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};
constexpr SliceLoads NoLoad{};

KeyOwner owner(int Index, std::int64_t StartTimeMs = 1) {
  return {.m_Instance = InstanceName("i" + std::to_string(Index)),
          .m_Target = {.m_Id = targetId("t" + std::to_string(Index) + "-" +
                                        std::to_string(StartTimeMs)),
                       .m_StartTimeMs = StartTimeMs}};
}

std::vector<KeyCandidate> eligible(int Count) {
  std::vector<KeyCandidate> Result;
  for (int Index = 0; Index < Count; ++Index)
    Result.push_back({.m_Owner = owner(Index)});
  return Result;
}

std::uint32_t keysOf(const KeyMap &Map, const KeyOwner &Owner) {
  std::uint32_t Sum = 0;
  for (const KeySpan &Span : Map.spans())
    if (Span.m_State == SpanState::Owned && Span.m_Owner == Owner)
      Sum += Span.size();
  return Sum;
}

double loadOf(const KeyMap &Map, const KeyOwner &Owner,
              const SliceLoads &Loads) {
  double Sum = 0;
  for (std::uint32_t Key = 0; Key < KeyCount; ++Key) {
    const KeySpan &Span = Map.find(static_cast<KeyIndex>(Key));
    if (Span.m_State == SpanState::Owned && Span.m_Owner == Owner)
      Sum += Loads[Key / KeysPerSlice] / KeysPerSlice;
  }
  return Sum;
}

/// Does what the daemons of targets that have ended do with their keys.
KeyMap freeKeysOfEnded(KeyMap Map,
                       const std::vector<KeyCandidate> &Candidates) {
  for (const KeyCandidate &Each : Candidates)
    if (Each.m_Condition == TargetCondition::Ended)
      Map = freeEnded(Map,
                      {.m_Instance = Each.m_Owner.m_Instance, .m_All = true});
  return Map;
}

/// Plans, completes planned moves and frees the keys of ended targets until
/// nothing changes.
KeyMap settle(const KeyPlanner &Planner, KeyMap Map,
              const std::vector<KeyCandidate> &Candidates,
              const SliceLoads &Loads, int *Moves = nullptr) {
  for (int Round = 0; Round < 200; ++Round) {
    KeyMap Next = Planner.plan(Map, Candidates, Loads, Start);
    const std::vector<KeySpan> Spans = Next.spans();
    for (const KeySpan &Span : Spans)
      if (Span.m_State == SpanState::Releasing) {
        Next = completeRelease(Next, Span.m_Owner, Span.m_First, Span.m_Last,
                               handoverToken("token"));
        if (Moves)
          ++*Moves;
      }
    Next = freeKeysOfEnded(Next, Candidates);
    if (Next == Map)
      return Map;
    Map = Next;
  }
  FAIL("the plan does not converge");
  return Map;
}

} // namespace

TEST_CASE("free keys are distributed evenly over eligible targets") {
  const KeyPlanner Planner({});
  const KeyMap Map = Planner.plan(KeyMap(), eligible(6), NoLoad, Start);
  for (int Index = 0; Index < 6; ++Index)
    CHECK(keysOf(Map, owner(Index)) ==
          doctest::Approx(KeyCount / 6.0).epsilon(0.15));
}

TEST_CASE("nothing moves under steady load") {
  const KeyPlanner Planner({});
  const KeyMap Map = settle(Planner, KeyMap(), eligible(6), NoLoad);
  CHECK(Planner.plan(Map, eligible(6), NoLoad, Start) == Map);
}

TEST_CASE("no key changes its owner before the revocation wait is over") {
  KeyPlanner Planner({.m_RevocationWait = 9s});
  KeyMap Map = settle(Planner, KeyMap(), eligible(3), NoLoad);
  std::vector<KeyCandidate> Lost = eligible(3);
  Lost[1].m_Condition = TargetCondition::Lost;
  const KeyMap Revoked = Planner.plan(Map, Lost, NoLoad, Start);
  Planner.observe(Revoked, Start);
  const KeyMap DuringWait = Planner.plan(Revoked, Lost, NoLoad, Start + 8s);
  CHECK(DuringWait == Revoked);
  const KeyMap AfterWait = Planner.plan(Revoked, Lost, NoLoad, Start + 9s);
  CHECK(keysOf(AfterWait, owner(0)) + keysOf(AfterWait, owner(2)) == KeyCount);
}

TEST_CASE("keys of a silent owner became free in a version in which it could "
          "be granted them again") {
  const KeyPlanner Planner({});
  const KeyMap Map = settle(Planner, KeyMap(), eligible(3), NoLoad);
  std::vector<KeyCandidate> Silent = eligible(3);
  Silent[1].m_Condition = TargetCondition::Ended;
  const KeyMap Next = Planner.plan(Map, Silent, NoLoad, Start);
  REQUIRE(keysOf(Map, owner(1)) > 0);
  for (const KeySpan &Span : Map.spans()) {
    const bool Silent = Span.m_Owner == owner(1);
    CHECK(Next.find(Span.m_First).m_State ==
          (Silent ? SpanState::Revoked : SpanState::Owned));
    CHECK(Next.find(Span.m_First).m_Owner == Span.m_Owner);
  }
  // Neither the planner's word for it nor the owner's daemon makes them free
  // before they are revoked.
  CHECK(Planner.plan(Next, Silent, NoLoad, Start) == Next);
  CHECK(freeKeysOfEnded(Map, Silent) == Map);
  const KeyMap Freed = freeKeysOfEnded(Next, Silent);
  CHECK(keysOf(Planner.plan(Freed, Silent, NoLoad, Start), owner(0)) +
            keysOf(Planner.plan(Freed, Silent, NoLoad, Start), owner(2)) ==
        KeyCount);
}

TEST_CASE("a planner that missed the return of an owner took its second "
          "revocation for the first") {
  KeyPlanner Planner({.m_RevocationWait = 9s});
  const KeyMap Map = settle(Planner, KeyMap(), eligible(3), NoLoad);
  std::vector<KeyCandidate> Lost = eligible(3);
  Lost[1].m_Condition = TargetCondition::Lost;
  const KeyMap First = markRevocations(Planner.plan(Map, Lost, NoLoad, Start),
                                       Map, RowVersion(10));
  Planner.observe(First, Start);
  const KeyMap Returned =
      markRevocations(KeyPlanner({}).plan(First, eligible(3), NoLoad, Start),
                      First, RowVersion(11));
  CHECK(Returned == Map);
  const KeyMap Second =
      markRevocations(KeyPlanner({}).plan(Returned, Lost, NoLoad, Start),
                      Returned, RowVersion(12));
  CHECK(Second != First);
  // It sees neither the return nor any version until then.
  Planner.observe(Second, Start + 8s);
  CHECK(Planner.plan(Second, Lost, NoLoad, Start + 16s) == Second);
  CHECK(Planner.plan(Second, Lost, NoLoad, Start + 17s) != Second);
}

TEST_CASE("an unchanged revocation keeps the version that it replaced") {
  const KeyPlanner Planner({});
  const KeyMap Map = settle(Planner, KeyMap(), eligible(3), NoLoad);
  std::vector<KeyCandidate> Lost = eligible(3);
  Lost[1].m_Condition = TargetCondition::Lost;
  const KeyMap First = markRevocations(Planner.plan(Map, Lost, NoLoad, Start),
                                       Map, RowVersion(10));
  CHECK(markRevocations(First, First, RowVersion(11)) == First);
  CHECK(KeyMap::fromText(First.toText()) == First);
  CHECK(Map.withChanges(First.changesSince(Map)) == First);
  // Those of another target are revoked later, and are told apart.
  Lost[2].m_Condition = TargetCondition::Lost;
  const KeyMap Both = markRevocations(Planner.plan(First, Lost, NoLoad, Start),
                                      First, RowVersion(11));
  for (const KeySpan &Span : Both.spans()) {
    const RowVersion Expected = Span.m_Owner == owner(1)   ? RowVersion(10)
                                : Span.m_Owner == owner(2) ? RowVersion(11)
                                                           : RowVersion();
    CHECK(Span.m_RevokedFrom == Expected);
  }
}

TEST_CASE("only the daemon of an instance frees the revoked keys of its "
          "earlier targets") {
  KeyMap Map;
  Map.assign({.m_First = 0,
              .m_Last = 65535,
              .m_State = SpanState::Revoked,
              .m_Owner = owner(1, 5)});
  const auto Freed = [&](int Instance, std::int64_t Present) {
    return freeEnded(Map, {.m_Instance = owner(Instance).m_Instance,
                           .m_Present = owner(Instance, Present).m_Target}) !=
           Map;
  };
  CHECK(Freed(1, 6));
  CHECK_FALSE(Freed(1, 5));
  CHECK_FALSE(Freed(1, 4));
  CHECK_FALSE(Freed(2, 6));
}

TEST_CASE("a new planner waits the full revocation wait again") {
  KeyPlanner NewPlanner({.m_RevocationWait = 9s});
  KeyMap Map;
  Map.assign({.m_First = 0,
              .m_Last = 65535,
              .m_State = SpanState::Revoked,
              .m_Owner = owner(9)});
  CHECK(NewPlanner.plan(Map, eligible(2), NoLoad, Start + 100s) == Map);
  NewPlanner.observe(Map, Start + 100s);
  CHECK(NewPlanner.plan(Map, eligible(2), NoLoad, Start + 108s) == Map);
  CHECK(NewPlanner.plan(Map, eligible(2), NoLoad, Start + 109s) != Map);
}

TEST_CASE("a revoked owner that is reachable again keeps its keys and fence") {
  KeyPlanner Planner({});
  const KeyMap Map = settle(Planner, KeyMap(), eligible(3), NoLoad);
  std::vector<KeyCandidate> Lost = eligible(3);
  Lost[1].m_Condition = TargetCondition::Lost;
  const KeyMap Revoked = Planner.plan(Map, Lost, NoLoad, Start);
  CHECK(Planner.plan(Revoked, eligible(3), NoLoad, Start) == Map);
}

TEST_CASE("the keys of a leaving target go to next owners with its token") {
  const KeyPlanner Planner({});
  const KeyMap Map = settle(Planner, KeyMap(), eligible(3), NoLoad);
  std::vector<KeyCandidate> Leaving = eligible(3);
  Leaving[0].m_Condition = TargetCondition::Leaving;
  const KeyMap Planned = Planner.plan(Map, Leaving, NoLoad, Start);
  for (const KeySpan &Span : Planned.spans())
    if (Span.m_Owner == owner(0))
      CHECK(Span.m_State == SpanState::Releasing);
  const KeyMap Done =
      completeRelease(Planned, owner(0), 0, 65535, handoverToken("token"));
  CHECK(keysOf(Done, owner(0)) == 0);
  for (const KeySpan &Span : Done.spans())
    if (Planned.find(Span.m_First).m_State == SpanState::Releasing) {
      CHECK(Span.m_HandoverToken == handoverToken("token"));
      CHECK(Span.m_Fence > Planned.find(Span.m_First).m_Fence);
    }
}

TEST_CASE("a restarted target takes over its keys with new fences") {
  const KeyPlanner Planner({});
  const KeyMap Map = settle(Planner, KeyMap(), eligible(3), NoLoad);
  const KeyMap Next =
      adoptEarlierIncarnations(Map, {owner(1, 5), owner(1, 4), owner(2, 1)});
  CHECK(keysOf(Next, owner(1)) == 0);
  CHECK(keysOf(Next, owner(1, 5)) == keysOf(Map, owner(1)));
  for (const KeySpan &Span : Next.spans())
    if (Span.m_Owner == owner(1, 5))
      CHECK(Span.m_Fence > Map.find(Span.m_First).m_Fence);
  CHECK(adoptEarlierIncarnations(Next, {owner(1, 3)}) == Next);
}

TEST_CASE("a hot range of keys is split, and few other keys move") {
  const KeyPlanner Planner({});
  const KeyMap Map = settle(Planner, KeyMap(), eligible(6), NoLoad);
  SliceLoads Loads{};
  Loads.fill(0.05F);
  for (std::size_t Slice = 80; Slice < 96; ++Slice)
    Loads[Slice] = 3;
  const KeyMap Split = settle(Planner, Map, eligible(6), Loads);
  double MaxLoad = 0;
  double Total = 0;
  for (int Index = 0; Index < 6; ++Index) {
    MaxLoad = std::max(MaxLoad, loadOf(Split, owner(Index), Loads));
    Total += loadOf(Split, owner(Index), Loads);
  }
  CHECK(MaxLoad <= 1.45 * Total / 6);
  std::uint32_t Moved = 0;
  for (std::uint32_t Key = 0; Key < KeyCount; ++Key)
    if (Split.find(static_cast<KeyIndex>(Key)).m_Owner !=
        Map.find(static_cast<KeyIndex>(Key)).m_Owner)
      ++Moved;
  CHECK(Moved <= KeyCount / 20);
}

TEST_CASE("a key with more load than a target can serve does not block other "
          "moves") {
  // One key gets nearly half of all requests; the load of the others is skewed
  // as well.
  const KeyPlanner Planner({});
  constexpr int Targets = 12;
  const KeyMap Map = settle(Planner, KeyMap(), eligible(Targets), NoLoad);
  SliceLoads Loads{};
  Loads.fill(0.02F);
  for (std::size_t Slice = 0; Slice < 24; ++Slice)
    Loads[Slice] = 30.0F / static_cast<float>(Slice + 3);
  SliceLoads Hot = Loads;
  Hot[400] = 100;
  const KeyMap Planned = settle(Planner, Map, eligible(Targets), Hot);
  double MaxLoad = 0;
  double Total = 0;
  for (int Index = 0; Index < Targets; ++Index) {
    MaxLoad = std::max(MaxLoad, loadOf(Planned, owner(Index), Loads));
    Total += loadOf(Planned, owner(Index), Loads);
  }
  CHECK(MaxLoad <= 1.45 * Total / Targets);
  const KeyOwner &HotOwner = Planned.find(400 * KeysPerSlice).m_Owner;
  CHECK(loadOf(Planned, HotOwner, Loads) <= 0.5 * Total / Targets);
}

TEST_CASE("plans converge for any load and any mix of target conditions") {
  rc::check([] {
    const KeyPlanner Planner({});
    const auto Count = *rc::gen::inRange(1, 8);
    std::vector<KeyCandidate> Candidates = eligible(Count);
    SliceLoads Loads{};
    for (float &Load : Loads)
      if (*rc::gen::inRange(0, 16) == 0)
        Load = static_cast<float>(*rc::gen::inRange(0, 100)) / 50;
    KeyMap Map = settle(Planner, KeyMap(), Candidates, Loads);
    for (KeyCandidate &Each : Candidates)
      Each.m_Condition = *rc::gen::element(
          TargetCondition::Eligible, TargetCondition::NoNewKeys,
          TargetCondition::Leaving, TargetCondition::Ended);
    Map = settle(Planner, Map, Candidates, Loads);
    const bool AnyEligible =
        std::any_of(Candidates.begin(), Candidates.end(), [](const auto &Each) {
          return Each.m_Condition == TargetCondition::Eligible;
        });
    for (const KeySpan &Span : Map.spans()) {
      if (!AnyEligible)
        continue;
      RC_ASSERT(Span.m_State == SpanState::Owned);
      const auto Owner = std::find_if(
          Candidates.begin(), Candidates.end(),
          [&](const auto &Each) { return Each.m_Owner == Span.m_Owner; });
      RC_ASSERT(Owner->m_Condition != TargetCondition::Leaving);
      RC_ASSERT(Owner->m_Condition != TargetCondition::Ended);
    }
  });
}

TEST_CASE("a target's load is brought down to the limit that it names") {
  std::vector<KeyCandidate> Candidates = eligible(6);
  KeyPlanner Planner({});
  SliceLoads Loads{};
  Loads.fill(100.0F / KeySliceCount);
  KeyMap Map = settle(Planner, KeyMap(), Candidates, Loads);
  Candidates[2].m_LoadLimit = 5.6;
  Map = settle(Planner, Map, Candidates, Loads);
  // Within the tolerance of the planner, above a fair share of 16.7.
  CHECK(loadOf(Map, owner(2), Loads) <= 1.4 * 5.6 + 0.5);
  CHECK(loadOf(Map, owner(2), Loads) >= 0.5 * 5.6);
  Candidates[2].m_LoadLimit.reset();
  Map = settle(Planner, Map, Candidates, Loads);
  CHECK(loadOf(Map, owner(2), Loads) >= 0.6 * 100 / 6);
}

TEST_CASE(
    "the number of plans until the load is balanced doesn't grow with the "
    "number of targets") {
  for (const int Targets : {30, 100, 300}) {
    CAPTURE(Targets);
    const KeyPlanner Planner({});
    std::vector<KeyCandidate> Candidates = eligible(Targets);
    // Every third target has a third of the capacity, which shows only after
    // the keys have been assigned.
    KeyMap Map = Planner.plan(KeyMap(), Candidates, NoLoad, Start);
    for (std::size_t Index = 0; Index < Candidates.size(); Index += 3)
      Candidates[Index].m_Capacity = 1.0 / 3;
    SliceLoads Loads;
    Loads.fill(1);
    int Plans = 0;
    for (; Plans < 100; ++Plans) {
      KeyMap Next = Planner.plan(Map, Candidates, Loads, Start);
      const std::vector<KeySpan> Spans = Next.spans();
      for (const KeySpan &Span : Spans)
        if (Span.m_State == SpanState::Releasing)
          Next = completeRelease(Next, Span.m_Owner, Span.m_First, Span.m_Last,
                                 HandoverToken());
      if (Next == Map)
        break;
      Map = Next;
    }
    CHECK(Plans <= 8);
  }
}

TEST_CASE("a hot range within a slice is divided among many targets of a large "
          "service") {
  constexpr int Targets = 150;
  const KeyPlanner Planner({});
  const std::vector<KeyCandidate> Candidates = eligible(Targets);
  const KeyMap Map = Planner.plan(KeyMap(), Candidates, NoLoad, Start);
  SliceLoads Loads;
  Loads.fill(1);
  // 0.4 of the whole load, as much as 60 targets bear.
  Loads[500] = 700;
  const KeyMap Settled = settle(Planner, Map, Candidates, Loads);
  std::vector<KeyOwner> Owners;
  for (std::uint32_t Key = 500 * KeysPerSlice; Key < 501 * KeysPerSlice; ++Key)
    Owners.push_back(Settled.find(static_cast<KeyIndex>(Key)).m_Owner);
  std::sort(Owners.begin(), Owners.end());
  Owners.erase(std::unique(Owners.begin(), Owners.end()), Owners.end());
  CHECK(Owners.size() >= 6);
}
