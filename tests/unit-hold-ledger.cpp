// Tests of the grants to one target, and of when keys count as released.
#include "balsamwheel/detail/keyspace/hold_ledger.h"
#include "balsamwheel/detail/keyspace/key_planner.h"
#include "support/foreign_texts.h"
#include "support/pick.h"

#include <doctest/doctest.h>

#include <array>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const KeyOwner Self{.m_Instance = InstanceName("i"),
                    .m_Target = {.m_Id = targetId("t"), .m_StartTimeMs = 1}};
const KeyOwner Other{.m_Instance = InstanceName("j"),
                     .m_Target = {.m_Id = targetId("u"), .m_StartTimeMs = 1}};

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
  Ledger.report({.m_Released = {{.m_First = 0,
                                 .m_Last = 999,
                                 .m_HandoverToken = handoverToken("token")}}});
  const auto Done = Ledger.completedReleases(Moving);
  REQUIRE(Done.size() == 1);
  CHECK(Done[0].m_HandoverToken == handoverToken("token"));
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

// Guards against a release of an earlier move that completes a later one, whose
// keys the target has been granted again (OWNER).
TEST_CASE("a late release of keys that were granted again completed their next "
          "move") {
  HoldLedger Ledger({}, Self);
  const HoldReport Held{.m_Holds = {{.m_First = 0, .m_Last = 999}}};
  const HoldReport ReleasedLate{
      .m_Holds = {{.m_First = 0, .m_Last = 999}},
      .m_Released = {{.m_First = 0,
                      .m_Last = 999,
                      .m_HandoverToken = handoverToken("first")}}};
  const KeyMap Moving = ownedBy(Self, SpanState::Releasing);
  Ledger.report({});
  Ledger.grant(ownedBy(Self), Start);
  Ledger.report(Held);
  Ledger.grant(Moving, Start + 1s);
  Ledger.report(Held); // Work on the keys has not ended yet.
  Ledger.grant(ownedBy(Self), Start + 2s);

  SUBCASE("no grant is given after the release") {
    Ledger.report(ReleasedLate);
    CHECK(Ledger.completedReleases(Moving).empty());
  }
  SUBCASE("the keys are left out of the next grant") {
    Ledger.report(ReleasedLate);
    Ledger.grant(Moving, Start + 3s);
    CHECK(Ledger.completedReleases(Moving).empty());
  }
  SUBCASE("the release is reported without the keys that are held") {
    Ledger.report({.m_Released = ReleasedLate.m_Released});
    CHECK(Ledger.completedReleases(Moving).empty());
  }
  Ledger.grant(Moving, Start + 4s);
  Ledger.report({.m_Released = {{.m_First = 0,
                                 .m_Last = 999,
                                 .m_HandoverToken = handoverToken("second")}}});
  const auto Done = Ledger.completedReleases(Moving);
  REQUIRE(Done.size() == 1);
  CHECK(Done[0].m_HandoverToken == handoverToken("second"));
}

TEST_CASE("a release stays valid for the keys that are not held again") {
  HoldLedger Ledger({}, Self);
  const KeyMap Moving = ownedBy(Self, SpanState::Releasing);
  Ledger.grant(Moving, Start);
  Ledger.report({.m_Holds = {{.m_First = 100, .m_Last = 199}},
                 .m_Released = {{.m_First = 0,
                                 .m_Last = 999,
                                 .m_HandoverToken = handoverToken("token")}}});
  const std::vector<ReleasedSpan> Expected{
      {.m_First = 0, .m_Last = 99, .m_HandoverToken = handoverToken("token")},
      {.m_First = 200,
       .m_Last = 999,
       .m_HandoverToken = handoverToken("token")}};
  CHECK(Ledger.completedReleases(Moving) == Expected);
}

namespace {

/// Number of keys that the model uses, and the last key of the map.
constexpr KeyIndex ModelKeys = 2;
constexpr KeyIndex LastKey = 65535;

/// A target that gets grants in the answers to its heartbeats, one at a time.
class ModelTarget {
public:
  struct Answer {
    std::optional<std::vector<GrantSpan>> m_Grants;
    TimePoint m_HeartbeatAt;
    std::size_t m_ReportedReleases = 0;
  };

  HoldReport heartbeat(TimePoint Now) {
    HoldReport Report{.m_Released = m_Released};
    for (KeyIndex Index = 0; Index < ModelKeys; ++Index)
      if (uses(Index, Now))
        Report.m_Holds.push_back({.m_First = Index, .m_Last = last(Index)});
    return Report;
  }

  void apply(const Answer &Received, TimePoint Now) {
    m_Released.erase(m_Released.begin(),
                     m_Released.begin() + static_cast<std::ptrdiff_t>(
                                              Received.m_ReportedReleases));
    if (!Received.m_Grants)
      return;
    for (KeyIndex Index = 0; Index < ModelKeys; ++Index) {
      Key &Each = m_Keys[Index];
      const bool Granted =
          std::any_of(Received.m_Grants->begin(), Received.m_Grants->end(),
                      [&](const GrantSpan &Span) {
                        return Span.m_First <= Index && Index <= Span.m_Last;
                      });
      const bool Left = !Granted && Each.m_HeldUntil > Now;
      if (Left && Each.m_Working)
        Each.m_LeavingUntil = Each.m_HeldUntil;
      else if (Left)
        release(Index);
      Each.m_HeldUntil = Granted ? Received.m_HeartbeatAt + 7s : TimePoint();
    }
  }

  /// Begins to work on a key, or ends the work. Keys that were to be released
  /// meanwhile are reported as released then, also if they are held again.
  void work(KeyIndex Index, TimePoint Now) {
    Key &Each = m_Keys[Index];
    if (Each.m_Working && Each.m_LeavingUntil > Now)
      release(Index);
    if (Each.m_Working)
      Each.m_LeavingUntil = TimePoint();
    Each.m_Working = !Each.m_Working && Each.m_HeldUntil > Now;
  }

  bool uses(KeyIndex Index, TimePoint Now) const {
    return m_Keys[Index].m_HeldUntil > Now ||
           m_Keys[Index].m_LeavingUntil > Now;
  }

  static KeyIndex last(KeyIndex Index) {
    return Index + 1 == ModelKeys ? LastKey : Index;
  }

private:
  struct Key {
    TimePoint m_HeldUntil;
    TimePoint m_LeavingUntil;
    bool m_Working = false;
  };

  void release(KeyIndex Index) {
    m_Released.push_back({.m_First = Index,
                          .m_Last = last(Index),
                          .m_HandoverToken = handoverToken("token")});
  }

  std::array<Key, ModelKeys> m_Keys;
  /// Not acknowledged yet.
  std::vector<ReleasedSpan> m_Released;
};

struct ModelOwner {
  explicit ModelOwner(const char *Name)
      : m_Owner{.m_Instance = InstanceName(Name),
                .m_Target = {.m_Id = targetId(Name), .m_StartTimeMs = 1}},
        m_Ledger({}, m_Owner) {}

  KeyOwner m_Owner;
  HoldLedger m_Ledger;
  ModelTarget m_Target;
  /// Sent, but not received yet.
  std::optional<ModelTarget::Answer> m_Answer;
};

void completeReleases(KeyMap &Map, const ModelOwner &Each) {
  for (const ReleasedSpan &Done : Each.m_Ledger.completedReleases(Map))
    Map = completeRelease(Map, Each.m_Owner, Done.m_First, Done.m_Last,
                          Done.m_HandoverToken);
}

} // namespace

TEST_CASE("no two targets use a key at once, whatever happens to heartbeats") {
  CHECK(rc::check([] {
    std::vector<ModelOwner> Owners;
    for (const char *Name : {"a", "b"})
      Owners.emplace_back(Name);
    TimePoint Now = Start;
    KeyMap Map;
    for (KeyIndex Index = 0; Index < ModelKeys; ++Index)
      Map.assign({.m_First = Index,
                  .m_Last = ModelTarget::last(Index),
                  .m_State = SpanState::Owned,
                  .m_Owner = Owners[Index % Owners.size()].m_Owner,
                  .m_Fence = Map.issueFence()});
    const int Steps = 100 + pick(900);
    for (int Step = 0; Step < Steps; ++Step) {
      ModelOwner &Each = Owners[static_cast<std::size_t>(
          pick(static_cast<int>(Owners.size())))];
      const auto Index = static_cast<KeyIndex>(pick(ModelKeys));
      switch (pick(9)) {
      case 0: { // A move is planned, or given up.
        KeySpan Span = Map.find(Index);
        const bool Moving = Span.m_State == SpanState::Releasing;
        if (!Moving && Span.m_Owner == Each.m_Owner)
          break;
        Span.m_State = Moving ? SpanState::Owned : SpanState::Releasing;
        Span.m_NextOwner = Moving ? KeyOwner() : Each.m_Owner;
        Map.assign(Span);
        break;
      }
      case 1:
        completeReleases(Map, Each);
        break;
      case 2:
        Each.m_Target.work(Index, Now);
        break;
      case 3: // The daemon restarts.
        if (pick(4) == 0)
          Each.m_Ledger = HoldLedger({}, Each.m_Owner);
        break;
      case 4: // The answer is lost.
        Each.m_Answer.reset();
        break;
      case 5:
      case 6:
        if (Each.m_Answer)
          Each.m_Target.apply(*Each.m_Answer, Now);
        Each.m_Answer.reset();
        break;
      default: {
        if (Each.m_Answer)
          break;
        const HoldReport Report = Each.m_Target.heartbeat(Now);
        Each.m_Ledger.report(Report);
        Each.m_Answer = {.m_Grants = {},
                         .m_HeartbeatAt = Now,
                         .m_ReportedReleases = Report.m_Released.size()};
        // Without the store the map can't be changed and grants nothing.
        if (pick(3) == 0)
          break;
        completeReleases(Map, Each);
        Each.m_Answer->m_Grants = Each.m_Ledger.grant(Map, Now);
        break;
      }
      }
      if (pick(3) == 0)
        Now += std::chrono::milliseconds(1 + pick(900));
      for (KeyIndex Used = 0; Used < ModelKeys; ++Used)
        RC_ASSERT(std::count_if(Owners.begin(), Owners.end(),
                                [&](const ModelOwner &Owner) {
                                  return Owner.m_Target.uses(Used, Now);
                                }) <= 1);
    }
  }));
}
