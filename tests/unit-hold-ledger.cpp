// Tests of the grants to one target, and of when keys count as released.
#include "balsamwheel/detail/keyspace/hold_ledger.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const KeyOwner Self{.m_Instance = InstanceName("i"),
                    .m_Target = {.m_Id = "t", .m_StartTimeMs = 1}};
const KeyOwner Other{.m_Instance = InstanceName("j"),
                     .m_Target = {.m_Id = "u", .m_StartTimeMs = 1}};

KeyMap ownedBy(const KeyOwner &Owner, SpanState State = SpanState::Owned) {
  KeyMap Map;
  Map.assign({.m_First = 0,
              .m_Last = 999,
              .m_State = State,
              .m_Owner = Owner,
              .m_NextOwner = Other,
              .m_Fence = Map.issueFence()});
  return Map;
}

} // namespace

TEST_CASE("only keys that the map assigns to this incarnation are granted") {
  HoldLedger Ledger({}, Self);
  CHECK(Ledger.grant(ownedBy(Self), Start).size() == 1);
  CHECK(Ledger.grant(ownedBy(Other), Start).empty());
  CHECK(Ledger.grant(ownedBy(Self, SpanState::Releasing), Start).empty());
  CHECK(Ledger.grant(ownedBy(Self, SpanState::Revoked), Start).empty());
  KeyOwner Restarted = Self;
  Restarted.m_Target.m_StartTimeMs = 2;
  CHECK(HoldLedger({}, Restarted).grant(ownedBy(Self), Start).empty());
}

TEST_CASE("a hold ends early for requests and late for other owners, to allow "
          "for fast and slow clocks") {
  HoldLedger Ledger({.m_Hold = 10s, .m_SlowClockFactor = 1.02, .m_Margin = 1ms},
                    Self);
  Ledger.grant(ownedBy(Self), Start);
  CHECK(Ledger.holds(5, Start + 9s));
  CHECK_FALSE(Ledger.holds(5, Start + 9900ms));
  CHECK_FALSE(Ledger.holds(1000, Start));
  CHECK(Ledger.heldUntil() >= Start + 10200ms);
}

TEST_CASE("a released span completes with its token") {
  HoldLedger Ledger({}, Self);
  Ledger.report({});
  Ledger.grant(ownedBy(Self), Start);
  const KeyMap Moving = ownedBy(Self, SpanState::Releasing);
  CHECK(Ledger.completedReleases(Moving).empty());
  Ledger.report({.m_Holds = {{.m_First = 0, .m_Last = 999}}});
  Ledger.grant(Moving, Start + 1s);
  CHECK(Ledger.completedReleases(Moving).empty());
  Ledger.report(
      {.m_Released = {
           {.m_First = 0, .m_Last = 999, .m_HandoverToken = "token"}}});
  const auto Done = Ledger.completedReleases(Moving);
  REQUIRE(Done.size() == 1);
  CHECK(Done[0].m_HandoverToken == "token");
}

TEST_CASE("a span that the target still reports as held is not released") {
  HoldLedger Ledger({}, Self);
  const KeyMap Moving = ownedBy(Self, SpanState::Releasing);
  Ledger.grant(Moving, Start);
  for (int Count = 0; Count < 5; ++Count) {
    Ledger.report({.m_Holds = {{.m_First = 10, .m_Last = 20}}});
    CHECK(Ledger.completedReleases(Moving).empty());
    Ledger.grant(Moving, Start + 1s);
  }
  Ledger.report({});
  CHECK(Ledger.completedReleases(Moving).size() == 1);
}

TEST_CASE("after a daemon restart a span counts as released only after two "
          "heartbeats without it") {
  HoldLedger Ledger({}, Self);
  const KeyMap Moving = ownedBy(Self, SpanState::Releasing);
  Ledger.report({});
  CHECK(Ledger.completedReleases(Moving).empty());
  Ledger.report({});
  const auto Done = Ledger.completedReleases(Moving);
  REQUIRE(Done.size() == 1);
  CHECK(Done[0].m_HandoverToken.empty());
}

TEST_CASE("the revocation wait covers the last grant on a slow clock") {
  const HoldOptions Holds{
      .m_Hold = 7s, .m_SlowClockFactor = 1.02, .m_Margin = 300ms};
  HoldLedger Ledger(Holds, Self);
  const TimePoint LastGrant = Start + 3s;
  Ledger.grant(ownedBy(Self), LastGrant);
  CHECK(Start + revocationWait(Holds, 3s) >= Ledger.heldUntil());
}
