// Model of daemons and targets whose instances are disturbed in pairs and
// triples: once that has ended, every key has a living owner that may keep it.
//
// Uses the functions by which daemons change the key map. Commits, reports and
// heartbeats take no time here.
#include "router/unreported_owner.h"

#include "support/foreign_texts.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

constexpr Duration Tick = 500ms;
constexpr Duration Hold = 4s;
constexpr Duration EarlierGrantsExpiry = 11s;
constexpr Duration SilenceLimit = 2600ms;
constexpr Duration StartupDelay = 2s;
/// Within this time after the last disturbance all keys are served.
constexpr Duration RecoveryLimit = 30s;
constexpr std::int64_t FirstStartTimeMs = 1'000'000;

enum class Disturbance : std::uint8_t {
  TargetRestarts,
  TargetRestartsClockSetBack,
  TargetLost,
  DaemonRestarts,
  InstanceRestarts,
  InstanceLost,
  Evacuated,
  TakenBack,
  Drained,
  TableAway,
  TableAwayForAll,
  Reassigned,
  Count,
};

struct Instance {
  InstanceName m_Name;
  bool m_DaemonUp = true;
  TimePoint m_DaemonStartedAt;
  TimePoint m_DaemonDownSince;
  std::optional<TargetIncarnation> m_Running;
  /// The target that the daemon has heard of.
  std::optional<TargetIncarnation> m_Known;
  TimePoint m_LastHeartbeat;
  TimePoint m_HeldUntil;
  bool m_Draining = false;
  bool m_Evacuated = false;
  bool m_OtherService = false;
  TimePoint m_TableAwayUntil;

  KeyOwner owner() const {
    return {.m_Instance = m_Name,
            .m_Target = m_Known.value_or(TargetIncarnation())};
  }
  bool leaving() const { return m_Draining || m_Evacuated; }
};

class Model {
public:
  Model() : m_Planner({}) {
    for (int Index = 0; Index < 4; ++Index) {
      Instance &Added = m_Instances.emplace_back();
      Added.m_Name = InstanceName("i" + std::to_string(Index));
      startDaemon(Added);
      startTarget(Added, FirstStartTimeMs + Index);
    }
    advance(10s);
  }

  void advance(Duration Time) {
    for (const TimePoint End = m_Now + Time; m_Now < End;) {
      m_Now += Tick;
      for (Instance &Each : m_Instances)
        beat(Each);
      for (Instance &Each : m_Instances)
        if (Each.m_DaemonUp && m_Now >= Each.m_TableAwayUntil)
          commit(Each);
    }
  }

  void disturb(Disturbance Kind, std::size_t Index) {
    Instance &Subject = m_Instances[Index];
    const std::int64_t Latest =
        Subject.m_Running ? Subject.m_Running->m_StartTimeMs : FirstStartTimeMs;
    switch (Kind) {
    case Disturbance::TargetRestarts:
      return startTarget(Subject, Latest + 1000);
    case Disturbance::TargetRestartsClockSetBack:
      startDaemon(Subject);
      return startTarget(Subject, Latest - 1000);
    case Disturbance::TargetLost:
      return Subject.m_Running.reset();
    case Disturbance::DaemonRestarts:
      return startDaemon(Subject);
    case Disturbance::InstanceRestarts:
      startDaemon(Subject);
      return startTarget(Subject, Latest + 1000);
    case Disturbance::InstanceLost:
      Subject.m_Running.reset();
      Subject.m_DaemonUp = false;
      Subject.m_DaemonDownSince = m_Now;
      return;
    case Disturbance::Evacuated:
    case Disturbance::TakenBack:
      // Two instances are in one domain.
      for (std::size_t Each = Index / 2 * 2; Each < Index / 2 * 2 + 2; ++Each)
        m_Instances[Each].m_Evacuated = Kind == Disturbance::Evacuated;
      return;
    case Disturbance::Drained:
      Subject.m_Draining = Subject.m_Running.has_value();
      return;
    case Disturbance::TableAway:
      Subject.m_TableAwayUntil = m_Now + 6s;
      return;
    case Disturbance::TableAwayForAll:
      for (Instance &Each : m_Instances)
        Each.m_TableAwayUntil = m_Now + 6s;
      return;
    case Disturbance::Reassigned:
      startDaemon(Subject);
      Subject.m_Running.reset();
      Subject.m_OtherService = true;
      return;
    case Disturbance::Count:
      return;
    }
  }

  /// Whether the owners of all keys live and may keep them; true if no target
  /// may get any.
  bool allServed() const {
    const auto Eligible = [&](const KeyOwner &Owner) {
      return std::any_of(m_Instances.begin(), m_Instances.end(),
                         [&](const Instance &Each) {
                           return Each.m_Running && Each.owner() == Owner &&
                                  isReported(Each) &&
                                  condition(Each) == TargetCondition::Eligible;
                         });
    };
    const bool Any = std::any_of(
        m_Instances.begin(), m_Instances.end(),
        [&](const Instance &Each) { return Eligible(Each.owner()); });
    return !Any ||
           std::all_of(m_Map.spans().begin(), m_Map.spans().end(),
                       [&](const KeySpan &Span) {
                         return (Span.m_State == SpanState::Owned ||
                                 Span.m_State == SpanState::Releasing) &&
                                Eligible(Span.m_Owner);
                       });
  }

  std::string mapText() const { return m_Map.toText(); }

private:
  void startDaemon(Instance &Of) const {
    Of.m_DaemonUp = true;
    Of.m_DaemonStartedAt = m_Now;
    Of.m_Known.reset();
  }

  void startTarget(Instance &Of, std::int64_t StartTimeMs) {
    Of.m_Running = TargetIncarnation{
        .m_Id = targetId("t" + std::to_string(++m_LastTarget)),
        .m_StartTimeMs = StartTimeMs};
    Of.m_Draining = false;
  }

  void beat(Instance &At) const {
    if (!At.m_DaemonUp || !At.m_Running || At.m_OtherService)
      return;
    const bool Earlier =
        At.m_Known && *At.m_Known != *At.m_Running &&
        At.m_Running->m_StartTimeMs <= At.m_Known->m_StartTimeMs;
    if (Earlier)
      return;
    if (At.m_Known != At.m_Running)
      At.m_HeldUntil = TimePoint();
    At.m_Known = At.m_Running;
    At.m_LastHeartbeat = m_Now;
    if (m_Now >= At.m_TableAwayUntil)
      At.m_HeldUntil = m_Now + Hold;
  }

  /// As TargetAgent::condition().
  TargetCondition condition(const Instance &Of) const {
    const bool Expired = m_Now - Of.m_DaemonStartedAt > EarlierGrantsExpiry;
    if (!Of.m_Known)
      return Expired ? TargetCondition::Ended : TargetCondition::NoNewKeys;
    const bool Silent = m_Now - Of.m_LastHeartbeat > SilenceLimit;
    if (Silent && m_Now > Of.m_HeldUntil && Expired)
      return TargetCondition::Ended;
    if (Of.leaving())
      return TargetCondition::Leaving;
    return Silent ? TargetCondition::NoNewKeys : TargetCondition::Eligible;
  }

  bool isReported(const Instance &Of) const {
    return Of.m_DaemonUp && Of.m_Known && !Of.m_OtherService;
  }

  /// As Router::conditionOfUnreported().
  TargetCondition conditionOfUnreported(const KeyOwner &Owner,
                                        const Instance &Planner) const {
    const Instance &Of = *std::find_if(
        m_Instances.begin(), m_Instances.end(),
        [&](const Instance &Each) { return Each.m_Name == Owner.m_Instance; });
    if (&Of == &Planner)
      return Of.m_Known ? TargetCondition::Ended : condition(Of);
    UnreportedOwner Observed{.m_Reachable = Of.m_DaemonUp,
                             .m_ServesOtherService = Of.m_OtherService,
                             .m_Reported = condition(Of)};
    if (isReported(Of)) {
      Observed.m_Restarted =
          Of.m_Known->m_StartTimeMs > Owner.m_Target.m_StartTimeMs;
      Observed.m_ReplacedFor = m_Replaced.replacedFor(Owner, m_Now);
    }
    if (!Of.m_DaemonUp)
      Observed.m_DownFor = m_Now - Of.m_DaemonDownSince;
    return conditionOf(Observed);
  }

  std::vector<KeyCandidate> candidates(const Instance &Planner) {
    std::vector<KeyCandidate> Result;
    std::vector<KeyOwner> Unreported;
    for (const Instance &Each : m_Instances)
      if (isReported(Each))
        Result.push_back(
            {.m_Owner = Each.owner(), .m_Condition = condition(Each)});
    for (const KeySpan &Span : m_Map.spans())
      if (Span.m_Owner != KeyOwner() &&
          std::none_of(Result.begin(), Result.end(),
                       [&](const KeyCandidate &Each) {
                         return Each.m_Owner == Span.m_Owner;
                       }))
        Unreported.push_back(Span.m_Owner);
    m_Replaced.observe(Unreported, m_Now);
    for (const KeyOwner &Each : Unreported)
      Result.push_back({.m_Owner = Each,
                        .m_Condition = conditionOfUnreported(Each, Planner)});
    return Result;
  }

  /// As KeyCoordinator::desired(); targets release keys at once.
  void commit(Instance &By) {
    if (By.m_OtherService)
      return;
    KeyMap Next = m_Map;
    if (By.m_Known) {
      if (!By.leaving())
        Next = adoptEarlierIncarnations(Next, {By.owner()});
      if (By.m_Running == By.m_Known)
        Next = completeRelease(Next, By.owner(), 0, KeyCount - 1, {});
    }
    Next = freeEnded(Next, {.m_Instance = By.m_Name,
                            .m_All = condition(By) == TargetCondition::Ended,
                            .m_Present = By.m_Known});
    if (&By == planner() && m_Now - By.m_DaemonStartedAt >= StartupDelay) {
      const std::vector<KeyCandidate> Candidates = candidates(By);
      std::vector<KeyOwner> Present;
      for (const KeyCandidate &Each : Candidates)
        if (Each.m_Condition == TargetCondition::Eligible)
          Present.push_back(Each.m_Owner);
      Next = m_Planner.plan(adoptEarlierIncarnations(Next, Present), Candidates,
                            {}, m_Now);
    }
    Next = markRevocations(Next, m_Map, RowVersion(m_Version));
    if (Next == m_Map)
      return;
    m_Map = Next;
    ++m_Version;
    m_Planner.observe(m_Map, m_Now);
  }

  const Instance *planner() const {
    const auto Found = std::find_if(
        m_Instances.begin(), m_Instances.end(), [&](const Instance &Each) {
          return Each.m_DaemonUp && !Each.m_OtherService &&
                 m_Now >= Each.m_TableAwayUntil;
        });
    return Found == m_Instances.end() ? nullptr : &*Found;
  }

  TimePoint m_Now{1h};
  std::vector<Instance> m_Instances;
  KeyMap m_Map;
  std::uint64_t m_Version = 1;
  KeyPlanner m_Planner;
  ReplacedOwners m_Replaced;
  int m_LastTarget = 0;
};

} // namespace

// Guards against keys that stay with ended targets, or with none, after several
// disturbances at the same time (RECOVER).
TEST_CASE("keys had no living owner after disturbances that overlap") {
  CHECK(rc::check([] {
    Model Subject;
    RC_ASSERT(Subject.allServed());
    for (int Left = *rc::gen::inRange(2, 5); Left > 0; --Left) {
      const auto Kind = static_cast<Disturbance>(
          *rc::gen::inRange(0, static_cast<int>(Disturbance::Count)));
      Subject.disturb(Kind, *rc::gen::inRange<std::size_t>(0, 4));
      Subject.advance(*rc::gen::inRange(0, 8) * Tick);
    }
    Subject.advance(RecoveryLimit);
    if (!Subject.allServed())
      RC_FAIL(Subject.mapText());
  }));
}
