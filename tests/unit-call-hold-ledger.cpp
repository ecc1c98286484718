// Tests of grants and releases by calls, with a model of targets that lose,
// delay and refuse calls.
#include "balsamwheel/detail/keyspace/call_hold_ledger.h"
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
const CallHoldOptions Options{
    .m_Holds = {.m_Hold = 7s, .m_SlowClockFactor = 1.02, .m_Margin = 300ms}};

KeyMap ownedBy(const KeyOwner &Owner, SpanState State = SpanState::Owned) {
  KeyMap Map;
  Map.assign({.m_First = 0,
              .m_Last = 65535,
              .m_State = State,
              .m_Owner = Owner,
              .m_NextOwner = Other,
              .m_Fence = Map.issueFence()});
  return Map;
}

/// Starts the next call, which must be of the kind \p Kind.
CallHoldLedger::CallId start(CallHoldLedger &Ledger, const KeyMap &Map,
                             HoldCallKind Kind, TimePoint Now) {
  const auto Started = Ledger.nextCall(Map, true, Now);
  REQUIRE(Started);
  REQUIRE(Started->m_Call.m_Kind == Kind);
  return Started->m_Id;
}

} // namespace

TEST_CASE("keys are held from the answer to a grant on") {
  CallHoldLedger Ledger(Options, Self, TimePoint());
  const KeyMap Map = ownedBy(Self);
  CHECK_FALSE(Ledger.nextCall(Map, false, Start));
  const auto Call = start(Ledger, Map, HoldCallKind::Grant, Start);
  CHECK_FALSE(Ledger.holds(5, Start));
  CHECK_FALSE(Ledger.nextCall(Map, true, Start));
  Ledger.callEnded(Call, HoldCallOutcome::Applied, HandoverToken(),
                   Start + 10ms);
  CHECK(Ledger.holds(5, Start + 6s));
  CHECK_FALSE(Ledger.holds(5, Start + 6900ms));
  CHECK(Ledger.heldUntil() >= Start + 7140ms);
}

TEST_CASE("a grant is renewed while the map is known to be in force") {
  CallHoldLedger Ledger(Options, Self, TimePoint());
  const KeyMap Map = ownedBy(Self);
  Ledger.callEnded(start(Ledger, Map, HoldCallKind::Grant, Start),
                   HoldCallOutcome::Applied, HandoverToken(), Start);
  CHECK_FALSE(Ledger.nextCall(Map, true, Start + 1s));
  CHECK_FALSE(Ledger.nextCall(Map, false, Start + 3s));
  start(Ledger, Map, HoldCallKind::Grant, Start + 3s);
}

TEST_CASE("keys that the map takes away are released with their handover") {
  CallHoldLedger Ledger(Options, Self, TimePoint());
  Ledger.callEnded(start(Ledger, ownedBy(Self), HoldCallKind::Grant, Start),
                   HoldCallOutcome::Applied, HandoverToken(), Start);
  const KeyMap Moving = ownedBy(Self, SpanState::Releasing);
  const auto Call = start(Ledger, Moving, HoldCallKind::Release, Start + 1s);
  CHECK_FALSE(Ledger.holds(5, Start + 1s));
  CHECK(Ledger.completedReleases(Moving, Start + 1s).empty());
  Ledger.callEnded(Call, HoldCallOutcome::Applied, handoverToken("token"),
                   Start + 2s);
  const auto Done = Ledger.completedReleases(Moving, Start + 2s);
  REQUIRE(Done.size() == 1);
  CHECK(Done[0].m_HandoverToken == handoverToken("token"));
}

TEST_CASE("a release without an answer leaves the keys held until the hold has "
          "run out") {
  CallHoldLedger Ledger(Options, Self, TimePoint());
  Ledger.callEnded(start(Ledger, ownedBy(Self), HoldCallKind::Grant, Start),
                   HoldCallOutcome::Applied, HandoverToken(), Start);
  const KeyMap Moving = ownedBy(Self, SpanState::Releasing);
  const auto Call = start(Ledger, Moving, HoldCallKind::Release, Start + 1s);
  Ledger.callEnded(Call, HoldCallOutcome::Unknown, HandoverToken(), Start + 2s);
  CHECK(Ledger.completedReleases(Moving, Start + 7s).empty());
  start(Ledger, Moving, HoldCallKind::Release, Start + 3s);
}

TEST_CASE("a grant without an answer may be applied after a release") {
  CallHoldLedger Ledger(Options, Self, TimePoint());
  const KeyMap Map = ownedBy(Self);
  Ledger.callEnded(start(Ledger, Map, HoldCallKind::Grant, Start),
                   HoldCallOutcome::Applied, HandoverToken(), Start);
  const auto Late = start(Ledger, Map, HoldCallKind::Grant, Start + 3s);
  const KeyMap Moving = ownedBy(Self, SpanState::Releasing);
  CHECK_FALSE(Ledger.nextCall(Moving, true, Start + 3100ms));
  Ledger.callEnded(Late, HoldCallOutcome::Unknown, HandoverToken(),
                   Start + 3500ms);
  const auto Call = start(Ledger, Moving, HoldCallKind::Release, Start + 4s);
  Ledger.callEnded(Call, HoldCallOutcome::Applied, handoverToken("token"),
                   Start + 4s);
  CHECK(Ledger.completedReleases(Moving, Start + 10s).empty());
  CHECK(Ledger.completedReleases(Moving, Start + 11s).size() == 1);
}

TEST_CASE("a fencing token that the target refuses is replaced") {
  CallHoldLedger Ledger(Options, Self, TimePoint());
  const KeyMap Map = ownedBy(Self);
  Ledger.callEnded(start(Ledger, Map, HoldCallKind::Grant, Start),
                   HoldCallOutcome::FenceTooLow, HandoverToken(), Start);
  CHECK_FALSE(Ledger.nextCall(Map, true, Start + 5s));
  const KeyMap Next = reissueFences(Map, Self, Ledger.refusedGrants());
  CHECK(Next.find(0).m_Fence > Map.find(0).m_Fence);
  start(Ledger, Next, HoldCallKind::Grant, Start + 5s);
  CHECK(Ledger.refusedGrants().empty());
}

TEST_CASE("a refused request ends the belief that its key is held") {
  CallHoldLedger Ledger(Options, Self, TimePoint());
  const KeyMap Map = ownedBy(Self);
  Ledger.callEnded(start(Ledger, Map, HoldCallKind::Grant, Start),
                   HoldCallOutcome::Applied, HandoverToken(), Start);
  Ledger.refuted(7, Start + 1s);
  CHECK_FALSE(Ledger.holds(7, Start + 1s));
  CHECK_FALSE(Ledger.nextCall(Map, true, Start + 1s));
  start(Ledger, Map, HoldCallKind::Grant, Start + 2s);
}

TEST_CASE("grants of a previous daemon delay a release") {
  CallHoldLedger Ledger(Options, Self, Start + 7s);
  const KeyMap Moving = ownedBy(Self, SpanState::Releasing);
  const auto Call = start(Ledger, Moving, HoldCallKind::Release, Start);
  Ledger.callEnded(Call, HoldCallOutcome::Applied, handoverToken("token"),
                   Start + 1s);
  CHECK(Ledger.completedReleases(Moving, Start + 6s).empty());
  CHECK(Ledger.completedReleases(Moving, Start + 7s).size() == 1);
}

namespace {

/// A target whose clock has a constant rate, and which may apply a call long
/// after its arrival.
struct ModelTarget {
  struct Held {
    Epoch m_Fence;
    TimePoint m_Until;
  };
  struct Arrived {
    HoldCall m_Call;
    TimePoint m_At;
  };

  HoldCallOutcome apply(const Arrived &Each, Duration Hold) {
    const GrantSpan &Span = Each.m_Call.m_Span;
    if (Each.m_Call.m_Kind == HoldCallKind::Release) {
      for (std::size_t Key = 0; Key < m_Keys.size(); ++Key)
        if (Span.m_First <= Key && Key <= Span.m_Last &&
            m_Keys[Key].m_Fence <= Span.m_Fence)
          m_Keys[Key].m_Until = TimePoint();
      return HoldCallOutcome::Applied;
    }
    for (std::size_t Key = Span.m_First;
         Key <= Span.m_Last && Key < m_Keys.size(); ++Key)
      if (m_Keys[Key].m_Fence > Span.m_Fence)
        return HoldCallOutcome::FenceTooLow;
    for (std::size_t Key = Span.m_First;
         Key <= Span.m_Last && Key < m_Keys.size(); ++Key)
      m_Keys[Key] = {
          .m_Fence = Span.m_Fence,
          .m_Until = Each.m_At +
                     Duration(static_cast<Duration::rep>(
                         static_cast<double>(Hold.count()) * m_ClockFactor))};
    return HoldCallOutcome::Applied;
  }

  double m_ClockFactor = 1;
  /// Only the first keys are modelled; the map uses no others.
  std::array<Held, 8> m_Keys{};
  /// Calls that get no answer and are applied later.
  std::vector<Arrived> m_Delayed;
};

struct ModelOwner {
  explicit ModelOwner(const std::string &Name, double ClockFactor)
      : m_Owner{.m_Instance = InstanceName(Name),
                .m_Target = {.m_Id = targetId(Name), .m_StartTimeMs = 1}},
        m_Ledger(Options, m_Owner, TimePoint()) {
    m_Target.m_ClockFactor = ClockFactor;
  }

  KeyOwner m_Owner;
  CallHoldLedger m_Ledger;
  ModelTarget m_Target;
  /// Calls in progress and when they were sent.
  std::vector<std::pair<CallHoldLedger::StartedCall, TimePoint>> m_Calls;
};

} // namespace

TEST_CASE("no two targets hold a key at once, whatever happens to the calls") {
  CHECK(rc::check([] {
    std::vector<ModelOwner> Owners;
    for (const char *Name : {"a", "b", "c"})
      Owners.emplace_back(Name, *rc::gen::element(0.98, 1.0, 1.02));
    TimePoint Now = Start;
    KeyMap Map;
    for (KeyIndex Key = 0; Key < 8; ++Key)
      Map.assign({.m_First = Key,
                  .m_Last = Key == 7 ? KeyIndex{65535} : Key,
                  .m_State = SpanState::Owned,
                  .m_Owner = Owners[Key % 3U].m_Owner,
                  .m_Fence = Map.issueFence()});
    const int Steps = 20 + pick(280);
    for (int Step = 0; Step < Steps; ++Step) {
      ModelOwner &Each = Owners[static_cast<std::size_t>(
          pick(static_cast<int>(Owners.size())))];
      switch (pick(8)) {
      case 0: { // A planned move of some keys.
        KeySpan Span = Map.find(static_cast<KeyIndex>(pick(8)));
        if (Span.m_State != SpanState::Owned || Span.m_Owner == Each.m_Owner)
          break;
        Span.m_State = SpanState::Releasing;
        Span.m_NextOwner = Each.m_Owner;
        Map.assign(Span);
        break;
      }
      case 1: { // A move is given up.
        const std::vector<KeySpan> Spans = Map.spans();
        for (KeySpan Span : Spans)
          if (Span.m_State == SpanState::Releasing &&
              Span.m_Owner == Each.m_Owner) {
            Span.m_State = SpanState::Owned;
            Span.m_NextOwner = {};
            Map.assign(Span);
          }
        break;
      }
      case 2:
        for (const ReleasedSpan &Done :
             Each.m_Ledger.completedReleases(Map, Now))
          Map = completeRelease(Map, Each.m_Owner, Done.m_First, Done.m_Last,
                                Done.m_HandoverToken);
        Map = reissueFences(Map, Each.m_Owner, Each.m_Ledger.refusedGrants());
        break;
      case 3:
      case 4:
        if (const auto Started = Each.m_Ledger.nextCall(Map, true, Now))
          Each.m_Calls.emplace_back(*Started, Now);
        break;
      case 5:
      case 6: { // A call ends.
        if (Each.m_Calls.empty())
          break;
        const auto [Call, SentAt] = Each.m_Calls.front();
        Each.m_Calls.erase(Each.m_Calls.begin());
        const ModelTarget::Arrived Arrived{.m_Call = Call.m_Call, .m_At = Now};
        const int Fate = pick(6);
        HoldCallOutcome Outcome = HoldCallOutcome::Unknown;
        if (Fate < 3)
          Outcome = Each.m_Target.apply(Arrived, Options.m_Holds.m_Hold);
        else if (Fate == 3)
          Each.m_Target.m_Delayed.push_back(Arrived);
        else if (Fate == 4)
          Each.m_Target.apply(Arrived, Options.m_Holds.m_Hold);
        Each.m_Ledger.callEnded(Call.m_Id, Outcome, handoverToken("token"),
                                Now);
        break;
      }
      case 7:
        if (!Each.m_Target.m_Delayed.empty()) {
          const ModelTarget::Arrived Late = Each.m_Target.m_Delayed.back();
          Each.m_Target.m_Delayed.pop_back();
          Each.m_Target.apply(Late, Options.m_Holds.m_Hold);
        }
        break;
      }
      if (pick(3) == 0)
        Now += std::chrono::milliseconds(1 + pick(2500));
      for (std::size_t Key = 0; Key < 8; ++Key) {
        int Holders = 0;
        for (const ModelOwner &Owner : Owners)
          Holders += Owner.m_Target.m_Keys[Key].m_Until > Now ? 1 : 0;
        RC_ASSERT(Holders <= 1);
      }
    }
  }));
}
