// Restoration of the key map after the store has lost writes.
#include "balsamwheel/detail/keyspace/key_planner.h"
#include "router/key_coordinator.h"
#include "support/foreign_texts.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};
constexpr SliceLoads NoLoad{};
constexpr Duration Wait = std::chrono::seconds(11);

KeyOwner owner(const std::string &Name) {
  return {.m_Instance = InstanceName(Name),
          .m_Target = {.m_Id = targetId("target-" + Name), .m_StartTimeMs = 1}};
}

const KeyOwner A = owner("a");
const KeyOwner B = owner("b");

/// \returns a map in which A owns the keys up to 32767 and B the others.
KeyMap twoOwners() {
  KeyMap Map;
  Map.assign({.m_First = 0,
              .m_Last = 32767,
              .m_State = SpanState::Owned,
              .m_Owner = A,
              .m_Fence = Map.issueFence()});
  Map.assign({.m_First = 32768,
              .m_Last = 65535,
              .m_State = SpanState::Owned,
              .m_Owner = B,
              .m_Fence = Map.issueFence()});
  return Map;
}

std::vector<HeldSpan> heldIn(const KeyMap &Map, const KeyOwner &Owner) {
  std::vector<HeldSpan> Result;
  for (const KeySpan &Span : Map.spans())
    if (Span.m_State == SpanState::Owned && Span.m_Owner == Owner)
      Result.push_back({Span.m_First, Span.m_Last, Span.m_Fence});
  return Result;
}

/// Moves the keys in [First, Last] of A to B.
KeyMap moved(KeyMap Map, KeyIndex First, KeyIndex Last) {
  KeySpan Span = Map.find(First);
  Span.m_First = First;
  Span.m_Last = Last;
  Span.m_State = SpanState::Releasing;
  Span.m_NextOwner = B;
  Map.assign(Span);
  return completeRelease(Map, A, First, Last, handoverToken("token"));
}

} // namespace

TEST_CASE("a restored map confirms what owners have held all the while") {
  const KeyMap Lost = twoOwners();
  KeyMap Map = restoreMap(Lost, StoreEra(2));
  for (const KeySpan &Span : Map.spans())
    CHECK(Span.m_State == SpanState::Unconfirmed);
  Map = confirmHeld(Map, A, heldIn(Lost, A));
  Map = confirmHeld(Map, B, heldIn(Lost, B));
  CHECK(Map.spans() == Lost.spans());
}

TEST_CASE("a move that the store has lost isn't undone while the receiver may "
          "hold the keys") {
  const KeyMap Copy = twoOwners();
  const KeyMap Lost = moved(Copy, 100, 199);
  // The planner only knows the copy.
  KeyMap Map = restoreMap(Copy, StoreEra(2));
  Map = confirmHeld(Map, A, heldIn(Lost, A));
  Map = confirmHeld(Map, B, heldIn(Lost, B));
  CHECK(Map.find(99).m_State == SpanState::Owned);
  CHECK(Map.find(200).m_State == SpanState::Owned);
  CHECK(Map.find(150).m_State == SpanState::Unconfirmed);
  KeyPlanner Planner({.m_RevocationWait = Wait});
  Planner.observe(Map, Start);
  const std::vector<KeyCandidate> Candidates{{.m_Owner = A}, {.m_Owner = B}};
  const KeyMap Early =
      Planner.plan(Map, Candidates, NoLoad, Start + Wait - 1ms);
  CHECK(Early.find(150).m_State == SpanState::Unconfirmed);
  const KeyMap Later = Planner.plan(Map, Candidates, NoLoad, Start + Wait);
  CHECK(Later.find(150).m_State == SpanState::Owned);
  // Above all fences of the lost map.
  CHECK(Later.find(150).m_Fence > Lost.find(150).m_Fence);
}

TEST_CASE("the end or restart of a named owner frees no unconfirmed keys") {
  KeyMap Map = restoreMap(twoOwners(), StoreEra(2));
  CHECK(freeEnded(Map, {.m_Instance = A.m_Instance, .m_All = true}) == Map);
  KeyOwner Restarted = A;
  Restarted.m_Target.m_StartTimeMs = 2;
  CHECK(adoptEarlierIncarnations(Map, {Restarted}) == Map);
  KeyPlanner Planner({.m_RevocationWait = Wait});
  Planner.observe(Map, Start);
  const KeyMap Next = Planner.plan(
      Map,
      {{.m_Owner = A, .m_Condition = TargetCondition::Ended}, {.m_Owner = B}},
      NoLoad, Start + 1s);
  CHECK(Next.find(5).m_State == SpanState::Unconfirmed);
}

TEST_CASE("keys held with another fence, or that were free, stay unconfirmed") {
  KeyMap Copy = twoOwners();
  KeySpan Free = Copy.find(40000);
  Free.m_State = SpanState::Free;
  Copy.assign(Free);
  const KeyMap Map = restoreMap(Copy, StoreEra(2));
  CHECK(Map.find(40000).m_State == SpanState::Unconfirmed);
  std::vector<HeldSpan> Held = heldIn(Copy, A);
  REQUIRE(Held.size() == 1);
  Held[0].m_Fence = Epoch(Held[0].m_Fence.value() + 7);
  CHECK(confirmHeld(Map, A, Held) == Map);
}

TEST_CASE("restored maps: no key is confirmed for two owners, fences rise") {
  rc::check("any part of the moves lost", [] {
    // Maps of one era, each made from the one before.
    std::vector<KeyMap> History{twoOwners()};
    const int Moves = *rc::gen::inRange(1, 8);
    for (int Move = 0; Move < Moves; ++Move) {
      const auto First = *rc::gen::inRange<KeyIndex>(0, 32000);
      const KeySpan &Span = History.back().find(First);
      if (Span.m_State != SpanState::Owned || Span.m_Owner != A)
        continue;
      const auto Last = *rc::gen::inRange<int>(First, Span.m_Last + 1);
      History.push_back(
          moved(History.back(), First, static_cast<KeyIndex>(Last)));
    }
    const auto Known = *rc::gen::inRange<std::size_t>(0, History.size());
    const KeyMap &Last = History.back();
    KeyMap Map = restoreMap(History[Known], StoreEra(3));
    Map = confirmHeld(Map, A, heldIn(Last, A));
    Map = confirmHeld(Map, B, heldIn(Last, B));
    for (const KeySpan &Span : Map.spans())
      if (Span.m_State == SpanState::Owned) {
        RC_ASSERT(Last.find(Span.m_First).m_Owner == Span.m_Owner);
        RC_ASSERT(Last.find(Span.m_First).m_Fence == Span.m_Fence);
        RC_ASSERT(Last.find(Span.m_First).m_Last >= Span.m_Last);
      }
    const Epoch Next = Map.issueFence();
    for (const KeySpan &Span : Last.spans())
      RC_ASSERT(Next > Span.m_Fence);
  });
}

TEST_CASE("each era has a key map row of its own") {
  const KeyMapRowId Id{.m_Service = ServiceName("a/b"), .m_Era = StoreEra(12)};
  CHECK(keyMapRow(Id) == RowKey("keys/12/a/b"));
  const auto Parsed = parseKeyMapRow(keyMapRow(Id));
  REQUIRE(Parsed);
  CHECK(Parsed->m_Service == Id.m_Service);
  CHECK(Parsed->m_Era == Id.m_Era);
  CHECK_FALSE(parseKeyMapRow(RowKey("keys/a")));
  CHECK_FALSE(parseKeyMapRow(RowKey("keys/12")));
  CHECK_FALSE(parseKeyMapRow(RowKey("member/12/a")));
}
