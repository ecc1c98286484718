// Tests of the key map: after any assignments each key is in exactly one span,
// and the row encoding is lossless.
#include "balsamwheel/detail/keyspace/key_map.h"
#include "support/foreign_texts.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>

using namespace balsamwheel;
using namespace balsamwheel::tests;

namespace {

KeyOwner owner(int Index) {
  return {.m_Instance = InstanceName("i" + std::to_string(Index)),
          .m_Target = {.m_Id = targetId("t" + std::to_string(Index)),
                       .m_StartTimeMs = Index}};
}

} // namespace

TEST_CASE("all keys of a new map are free") {
  const KeyMap Map;
  CHECK(Map.spans().size() == 1);
  CHECK(Map.find(0).m_State == SpanState::Free);
  CHECK(Map.find(65535).m_Last == 65535);
}

TEST_CASE("assignments of spans are equivalent to assignments of single keys") {
  rc::check([] {
    KeyMap Map;
    // Reference model: the owner of each of 64 blocks of keys.
    std::array<int, 64> Expected{};
    const auto Steps = *rc::gen::inRange(1, 30);
    for (int Step = 0; Step < Steps; ++Step) {
      const auto First = *rc::gen::inRange(0, 64);
      const auto Last = *rc::gen::inRange(First, 64);
      const auto Owner = *rc::gen::inRange(1, 5);
      Map.assign({.m_First = static_cast<KeyIndex>(First * 1024),
                  .m_Last = static_cast<KeyIndex>(Last * 1024 + 1023),
                  .m_State = SpanState::Owned,
                  .m_Owner = owner(Owner)});
      if (*rc::gen::arbitrary<bool>())
        Map.normalize();
      std::fill(Expected.begin() + First, Expected.begin() + Last + 1, Owner);
    }
    std::uint32_t Next = 0;
    for (const KeySpan &Span : Map.spans()) {
      RC_ASSERT(Span.m_First == Next);
      Next = std::uint32_t{Span.m_Last} + 1;
    }
    RC_ASSERT(Next == KeyCount);
    for (std::size_t Block = 0; Block < Expected.size(); ++Block) {
      const KeySpan &Span = Map.find(static_cast<KeyIndex>(Block * 1024 + 7));
      if (Expected[Block] == 0)
        RC_ASSERT(Span.m_State == SpanState::Free);
      else
        RC_ASSERT(Span.m_Owner == owner(Expected[Block]));
    }
    RC_ASSERT(KeyMap::fromText(Map.toText()) == Map);
  });
}

TEST_CASE("fencing tokens increase, also after encoding and decoding") {
  KeyMap Map;
  const Epoch First = Map.issueFence();
  auto Read = KeyMap::fromText(Map.toText());
  REQUIRE(Read.has_value());
  CHECK(Read->issueFence() > First);
}

TEST_CASE("rows that are not a valid map are rejected") {
  CHECK_FALSE(KeyMap::fromText("").has_value());
  CHECK_FALSE(KeyMap::fromText("{}").has_value());
  CHECK_FALSE(KeyMap::fromText(R"({"last_fence":1,"spans":[]})").has_value());
  const auto IsValid = [](const std::string &Spans) {
    return KeyMap::fromText(
               R"({"last_fence":1,"owners":[["i","t",1]],"spans":)" + Spans +
               "}")
        .has_value();
  };
  CHECK(IsValid(R"([[0,65535,1,0,-1,1,""]])"));
  CHECK_MESSAGE(!IsValid(R"([[0,9,1,0,-1,1,""],[11,65535,0,-1,-1,0,""]])"),
                "a gap between spans");
  CHECK_MESSAGE(!IsValid(R"([[0,65535,7,0,-1,1,""]])"), "an unknown state");
  CHECK_MESSAGE(!IsValid(R"([[0,65535,1,1,-1,1,""]])"), "an unknown owner");
  CHECK_MESSAGE(!IsValid(R"([[0,65535,1,-2,-1,1,""]])"), "a negative owner");
}

// An earlier version may have written them.
TEST_CASE("a map with an id that isn't allowed was rejected as a whole") {
  const std::string Long(300, 'i');
  const auto Map =
      KeyMap::fromText(R"({"last_fence":2,"owners":[["i",")" + Long +
                       R"(",1],["j","t",2]],"spans":[[0,99,1,0,-1,1,")" + Long +
                       R"("],[100,65535,1,1,-1,2,"token"]]})");
  REQUIRE(Map);
  const KeySpan &First = Map->find(0);
  CHECK(First.m_Owner.m_Instance == InstanceName("i"));
  CHECK(First.m_Owner.m_Target.m_Id.empty());
  CHECK(First.m_Owner.m_Target.m_StartTimeMs == 1);
  CHECK(First.m_HandoverToken.empty());
  CHECK(Map->find(100).m_Owner.m_Target.m_Id == targetId("t"));
  CHECK(KeyMap::fromText(Map->toText()) == Map);
}

TEST_CASE("the changes between two maps turn one into the other") {
  rc::check([] {
    const auto Change = [](KeyMap &Map) {
      const auto First = *rc::gen::inRange(0, 64);
      const auto Last = *rc::gen::inRange(First, 64);
      Map.assign({.m_First = static_cast<KeyIndex>(First * 1024),
                  .m_Last = static_cast<KeyIndex>(Last * 1024 + 1023),
                  .m_State = SpanState::Owned,
                  .m_Owner = owner(*rc::gen::inRange(1, 5)),
                  .m_Fence = Map.issueFence()});
      if (*rc::gen::arbitrary<bool>())
        Map.normalize();
    };
    KeyMap Base;
    for (int Step = *rc::gen::inRange(0, 20); Step > 0; --Step)
      Change(Base);
    KeyMap Next = Base;
    for (int Step = *rc::gen::inRange(0, 5); Step > 0; --Step)
      Change(Next);
    RC_ASSERT(Base.withChanges(Next.changesSince(Base)) == Next);
  });
  CHECK_FALSE(KeyMap().withChanges("{}"));
}

TEST_CASE("a change of a large map is small, and the map fits into a row") {
  // Three spans for each of 300 owners, half of them with a handover token.
  KeyMap Map;
  for (int Index = 0; Index < 900; ++Index)
    Map.assign(
        {.m_First = static_cast<KeyIndex>(Index * 72),
         .m_Last =
             static_cast<KeyIndex>(Index == 899 ? 65535 : Index * 72 + 71),
         .m_State = SpanState::Owned,
         .m_Owner = {.m_Instance = InstanceName("sidecar-pianura-nord-a-" +
                                                std::to_string(Index % 300)),
                     .m_Target = {.m_Id = targetId("i-7f3a91c2" +
                                                   std::to_string(Index % 300)),
                                  .m_StartTimeMs = 1791502755030}},
         .m_Fence = Map.issueFence(),
         .m_HandoverToken =
             handoverToken(Index % 2 == 0 ? "5c0e7a21d94b36f8" : "")});
  constexpr std::size_t RowBytes = 65536;
  CHECK(Map.toText().size() < RowBytes);
  KeyMap Next = Map;
  KeySpan Span = Map.find(5);
  Span.m_State = SpanState::Releasing;
  Span.m_NextOwner = Map.find(300).m_Owner;
  Next.assign(Span);
  CHECK(Next.changesSince(Map).size() < 300);
}
