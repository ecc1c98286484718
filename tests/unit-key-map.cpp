// Tests of the key map: after any assignments each key is in exactly one span,
// and the row encoding is lossless.
#include "balsamwheel/detail/keyspace/key_map.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>

using namespace balsamwheel;

namespace {

KeyOwner owner(int Index) {
  return {.m_Instance = InstanceName("i" + std::to_string(Index)),
          .m_Target = {.m_Id = "t" + std::to_string(Index),
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
  // A gap between spans.
  CHECK_FALSE(KeyMap::fromText(R"({"last_fence":1,"spans":[
    [0,9,1,["i","t",1],["","",0],1,""],[11,65535,0,["","",0],["","",0],0,""]]})")
                  .has_value());
  // An unknown state.
  CHECK_FALSE(KeyMap::fromText(R"({"last_fence":1,"spans":[
    [0,65535,7,["i","t",1],["","",0],1,""]]})")
                  .has_value());
}
