// Rules for assigning, moving and revoking keys.
#include "balsamwheel/detail/keyspace/key_planner.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

namespace balsamwheel {

namespace {

/// Load that is added to the measured load of each key, in the unit of that
/// load; 1 over all keys. Keeps the keys evenly distributed when no load has
/// been measured yet.
constexpr double BaseLoadPerKey = 1.0 / KeyCount;
/// Granularity of moves, in keys.
constexpr std::uint32_t StepKeys = 4;
/// Maximum number of planned moves that one plan starts: this many, or one for
/// each TargetsPerMove targets if that is more.
constexpr std::size_t MinMovesPerPlan = 6;
constexpr std::size_t TargetsPerMove = 4;
/// Moves are planned while at most one span for each of this many targets is
/// free, being released, revoked or unconfirmed.
constexpr std::size_t TargetsPerPendingSpan = 8;
/// No span is split off from an owner with this many spans: the grants of all
/// its spans have to fit into the answer to a heartbeat.
constexpr std::size_t MaxSpansPerOwner = 60;

/// Maximum load of a slice for planning, as a multiple of the fair share (the
/// load per unit of capacity). The load of a single key beyond one target's
/// capacity can't be served, whichever target owns the slice; that of a hot
/// range can be divided. Which of them a slice contains isn't known, so the
/// limit is a small part of the whole capacity.
constexpr double MinSliceLimit = 1.5;
constexpr double SliceLimitPerCapacity = 1.0 / 16;
/// Iterations in which the fair share and the cap of the slices, which depend
/// on each other, converge.
constexpr int CapRounds = 12;
/// Fencing tokens that one era can issue, as a power of two; the tokens of an
/// era are above all of the eras before. Below 2^53 for the first two million
/// eras, so that decoders which use floating point read them exactly.
constexpr unsigned FenceBitsPerEra = 32;

/// Caps the load of each slice, for a service of the given capacity.
SliceLoads capSliceLoads(const SliceLoads &Loads, double Capacity) {
  SliceLoads Result = Loads;
  const double MaxFairShares =
      std::max(MinSliceLimit, SliceLimitPerCapacity * Capacity);
  if (Capacity <= MaxFairShares)
    return Result;
  for (int Round = 0; Round < CapRounds; ++Round) {
    double Sum = 0;
    for (const float Load : Result)
      Sum += Load;
    const auto Cap = static_cast<float>(MaxFairShares * Sum / Capacity);
    for (float &Load : Result)
      Load = std::min(Load, Cap);
  }
  return Result;
}

double eligibleCapacity(const std::vector<KeyCandidate> &Candidates) {
  double Sum = 0;
  for (const KeyCandidate &Each : Candidates)
    if (Each.m_Condition == TargetCondition::Eligible)
      Sum += Each.m_Capacity;
  return Sum;
}

/// Minimum capacity of a target in a plan.
constexpr double MinCapacity = 0.05;

/// Reduces the capacity of each eligible target whose fair share exceeds the
/// load that it takes. The others' shares grow by that, so it is repeated until
/// all limits have been found.
std::vector<KeyCandidate> applyLoadLimits(std::vector<KeyCandidate> Candidates,
                                          const SliceLoads &Loads) {
  const double Total = std::accumulate(Loads.begin(), Loads.end(), 0.0);
  for (std::size_t Round = 0; Round < Candidates.size(); ++Round) {
    const double FairShare =
        Total / std::max(eligibleCapacity(Candidates), MinCapacity);
    bool Changed = false;
    for (KeyCandidate &Each : Candidates) {
      if (!Each.m_LoadLimit || Each.m_Capacity <= MinCapacity ||
          FairShare * Each.m_Capacity <= *Each.m_LoadLimit)
        continue;
      Each.m_Capacity = std::max(*Each.m_LoadLimit / FairShare, MinCapacity);
      Changed = true;
    }
    if (!Changed)
      break;
  }
  return Candidates;
}

/// Computes the load of a range of keys from the loads of its slices.
class LoadIndex {
public:
  explicit LoadIndex(const SliceLoads &Loads) {
    for (std::size_t Slice = 0; Slice < KeySliceCount; ++Slice)
      m_PerKey[Slice] = Loads[Slice] / KeysPerSlice + BaseLoadPerKey;
  }

  double loadOf(std::uint32_t First, std::uint32_t Last) const {
    double Sum = 0;
    while (First <= Last) {
      const std::uint32_t Slice = First / KeysPerSlice;
      const std::uint32_t End = std::min(Last, (Slice + 1) * KeysPerSlice - 1);
      Sum += m_PerKey[Slice] * (End - First + 1);
      First = End + 1;
    }
    return Sum;
  }

private:
  std::array<double, KeySliceCount> m_PerKey{};
};

/// Load of one eligible target under the plan so far.
struct TargetLoad {
  KeyCandidate m_Candidate;
  double m_Load = 0;
  /// No more of its keys can be moved: they are too hot, or in too many spans.
  bool m_NothingMovable = false;

  double loadPerCapacity() const {
    return m_Load / std::max(m_Candidate.m_Capacity, MinCapacity);
  }
};

/// Working state of one plan: a copy of the map and the loads that result.
class PlanBuilder {
public:
  PlanBuilder(const KeyMap &Map, const std::vector<KeyCandidate> &Candidates,
              const SliceLoads &Loads)
      : m_Map(Map),
        m_Loads(capSliceLoads(Loads, eligibleCapacity(Candidates))) {
    for (const KeyCandidate &Each : Candidates) {
      m_Conditions[Each.m_Owner] = Each.m_Condition;
      if (Each.m_Condition == TargetCondition::Eligible)
        m_Eligible.push_back({.m_Candidate = Each});
    }
    for (const KeySpan &Span : m_Map.spans())
      addLoad(futureOwner(Span), m_Loads.loadOf(Span.m_First, Span.m_Last));
  }

  bool hasEligible() const { return !m_Eligible.empty(); }
  KeyMap &map() { return m_Map; }

  TargetCondition condition(const KeyOwner &Owner) const {
    auto Found = m_Conditions.find(Owner);
    return Found == m_Conditions.end() ? TargetCondition::Lost : Found->second;
  }

  /// Distributes the keys of \p Span, as a whole or in parts, over the targets
  /// with the least load; \p Make fills in the entry of a part for its
  /// receiver.
  template <typename MakeEntry>
  void distribute(const KeySpan &Span, MakeEntry Make) {
    const double TotalLoad = m_Loads.loadOf(Span.m_First, Span.m_Last);
    const double MinPartLoad = std::max(fairShare() / 8, TotalLoad / 64);
    std::uint32_t First = Span.m_First;
    while (First <= Span.m_Last) {
      TargetLoad &Receiver = leastLoaded();
      std::uint32_t Last = First;
      const double MaxLoad =
          std::max(MinPartLoad, fairShare() * Receiver.m_Candidate.m_Capacity -
                                    Receiver.m_Load);
      Last = endOfRange(First, Span.m_Last, MaxLoad);
      KeySpan Part = Span;
      Part.m_First = static_cast<KeyIndex>(First);
      Part.m_Last = static_cast<KeyIndex>(Last);
      Make(Part, Receiver.m_Candidate.m_Owner);
      m_Map.assign(Part);
      Receiver.m_Load += m_Loads.loadOf(First, Last);
      First = Last + 1;
    }
  }

  /// Starts moves of the hottest keys of the most loaded targets to the least
  /// loaded ones, until no load differs from the fair share by more than
  /// \p Tolerance.
  void rebalance(double Tolerance) {
    if (m_Eligible.size() < 2)
      return;
    const double Fair = fairShare();
    const std::size_t MaxMoves =
        std::max(MinMovesPerPlan, m_Eligible.size() / TargetsPerMove);
    for (std::size_t Move = 0; Move < MaxMoves;) {
      TargetLoad &MostLoaded = *std::max_element(
          m_Eligible.begin(), m_Eligible.end(),
          [](const TargetLoad &Left, const TargetLoad &Right) {
            return std::pair(!Left.m_NothingMovable, Left.loadPerCapacity()) <
                   std::pair(!Right.m_NothingMovable, Right.loadPerCapacity());
          });
      if (MostLoaded.m_NothingMovable)
        return;
      TargetLoad &LeastLoaded = leastLoaded();
      const bool Underloaded =
          LeastLoaded.loadPerCapacity() < Fair * (1 - Tolerance);
      const bool Overloaded =
          MostLoaded.loadPerCapacity() > Fair * (1 + Tolerance);
      if (!Overloaded && !Underloaded)
        return;
      const double Excess = std::min(
          MostLoaded.m_Load - Fair * MostLoaded.m_Candidate.m_Capacity,
          Fair * LeastLoaded.m_Candidate.m_Capacity - LeastLoaded.m_Load);
      auto Range = hottestRange(MostLoaded.m_Candidate.m_Owner, Excess);
      if (!Range) {
        MostLoaded.m_NothingMovable = true;
        continue;
      }
      ++Move;
      const double Load = m_Loads.loadOf(Range->m_First, Range->m_Last);
      Range->m_State = SpanState::Releasing;
      Range->m_NextOwner = LeastLoaded.m_Candidate.m_Owner;
      m_Map.assign(*Range);
      MostLoaded.m_Load -= Load;
      LeastLoaded.m_Load += Load;
    }
  }

  /// Whether so few spans are free, being released, revoked or unconfirmed that
  /// further moves may be planned.
  bool mayRebalance() const {
    const auto Pending = std::count_if(
        m_Map.spans().begin(), m_Map.spans().end(),
        [](const KeySpan &Span) { return Span.m_State != SpanState::Owned; });
    return static_cast<std::size_t>(Pending) <=
           m_Eligible.size() / TargetsPerPendingSpan;
  }

private:
  static const KeyOwner &futureOwner(const KeySpan &Span) {
    return Span.m_State == SpanState::Releasing ? Span.m_NextOwner
                                                : Span.m_Owner;
  }

  void addLoad(const KeyOwner &Owner, double Load) {
    for (TargetLoad &Each : m_Eligible)
      if (Each.m_Candidate.m_Owner == Owner)
        Each.m_Load += Load;
  }

  TargetLoad &leastLoaded() {
    return *std::min_element(
        m_Eligible.begin(), m_Eligible.end(),
        [](const TargetLoad &Left, const TargetLoad &Right) {
          return Left.loadPerCapacity() < Right.loadPerCapacity();
        });
  }

  /// The hottest keys of an owner whose load is about \p MaxLoad at most;
  /// std::nullopt when the owner has too many spans already or the load of each
  /// step is too high.
  std::optional<KeySpan> hottestRange(const KeyOwner &Owner,
                                      double MaxLoad) const {
    std::optional<KeySpan> Best;
    double BestLoad = 0;
    std::size_t Spans = 0;
    for (const KeySpan &Span : m_Map.spans()) {
      if (Span.m_State != SpanState::Owned || Span.m_Owner != Owner)
        continue;
      ++Spans;
      for (std::uint32_t First = Span.m_First; First <= Span.m_Last;
           First += StepKeys) {
        const std::uint32_t Last =
            std::min<std::uint32_t>(Span.m_Last, First + StepKeys - 1);
        const double Load = m_Loads.loadOf(First, Last);
        if (Load > MaxLoad * 1.25 || Load <= BestLoad)
          continue;
        Best = Span;
        Best->m_First = static_cast<KeyIndex>(First);
        Best->m_Last = static_cast<KeyIndex>(Last);
        BestLoad = Load;
      }
    }
    if (!Best || Spans >= MaxSpansPerOwner)
      return std::nullopt;
    extendRange(*Best, m_Map.find(Best->m_First), MaxLoad);
    return Best;
  }

  /// Extends \p Range within \p Limits, by the hotter neighbour first, while
  /// its load stays within \p MaxLoad.
  void extendRange(KeySpan &Range, const KeySpan &Limits,
                   double MaxLoad) const {
    double Load = m_Loads.loadOf(Range.m_First, Range.m_Last);
    while (true) {
      const std::uint32_t Before =
          std::min<std::uint32_t>(StepKeys, Range.m_First - Limits.m_First);
      const std::uint32_t After =
          std::min<std::uint32_t>(StepKeys, Limits.m_Last - Range.m_Last);
      const double Left =
          Before ? m_Loads.loadOf(Range.m_First - Before, Range.m_First - 1U)
                 : 0;
      const double Right =
          After ? m_Loads.loadOf(Range.m_Last + 1U, Range.m_Last + After) : 0;
      const bool TakeRight = After && (Right >= Left || !Before);
      if ((!Before && !After) || Load + (TakeRight ? Right : Left) > MaxLoad)
        return;
      Load += TakeRight ? Right : Left;
      if (TakeRight)
        Range.m_Last = static_cast<KeyIndex>(Range.m_Last + After);
      else
        Range.m_First = static_cast<KeyIndex>(Range.m_First - Before);
    }
  }

  /// Load per unit of capacity if the load were distributed evenly.
  double fairShare() const {
    double Capacity = 0;
    for (const TargetLoad &Each : m_Eligible)
      Capacity += Each.m_Candidate.m_Capacity;
    return m_Loads.loadOf(0, KeyCount - 1) / std::max(Capacity, MinCapacity);
  }

  /// Last key of the longest range from \p First whose load does not exceed
  /// \p MaxLoad; at least one step.
  std::uint32_t endOfRange(std::uint32_t First, std::uint32_t Limit,
                           double MaxLoad) const {
    std::uint32_t Last = std::min(Limit, First + StepKeys - 1);
    double Load = m_Loads.loadOf(First, Last);
    while (Last < Limit) {
      const std::uint32_t Next = std::min(Limit, Last + StepKeys);
      const double More = m_Loads.loadOf(Last + 1, Next);
      if (Load + More > MaxLoad)
        break;
      Load += More;
      Last = Next;
    }
    return Last;
  }

  KeyMap m_Map;
  LoadIndex m_Loads;
  std::map<KeyOwner, TargetCondition> m_Conditions;
  std::vector<TargetLoad> m_Eligible;
};

} // namespace

const char *conditionName(TargetCondition Condition) {
  switch (Condition) {
  case TargetCondition::Eligible:
    return "eligible";
  case TargetCondition::NoNewKeys:
    return "no_new_keys";
  case TargetCondition::Leaving:
    return "leaving";
  case TargetCondition::Ended:
    return "ended";
  case TargetCondition::Lost:
    return "lost";
  }
  return "";
}

void KeyPlanner::observe(const KeyMap &Map, TimePoint Now) {
  std::map<RevocationId, TimePoint> Seen;
  for (const KeySpan &Span : Map.spans()) {
    if (Span.m_State != SpanState::Revoked &&
        Span.m_State != SpanState::Unconfirmed)
      continue;
    auto Known = m_RevokedSince.find(revocationId(Span));
    Seen[revocationId(Span)] =
        Known == m_RevokedSince.end() ? Now : Known->second;
  }
  m_RevokedSince = std::move(Seen);
}

bool KeyPlanner::waitIsOver(const KeySpan &Span, TimePoint Now) const {
  auto Since = m_RevokedSince.find(revocationId(Span));
  return Since != m_RevokedSince.end() &&
         Now - Since->second >= m_Options.m_RevocationWait;
}

KeyMap KeyPlanner::plan(const KeyMap &Map,
                        const std::vector<KeyCandidate> &Candidates,
                        const SliceLoads &Loads, TimePoint Now) const {
  PlanBuilder Builder(Map, applyLoadLimits(Candidates, Loads), Loads);
  std::vector<KeySpan> Spans = Builder.map().spans();
  for (KeySpan &Span : Spans) {
    const TargetCondition Owner = Builder.condition(Span.m_Owner);
    const bool Held = Span.m_State == SpanState::Owned ||
                      Span.m_State == SpanState::Releasing;
    const bool Lapsed =
        Span.m_State == SpanState::Unconfirmed && waitIsOver(Span, Now);
    if (Lapsed)
      Span.m_State = SpanState::Free;
    else if (Held && (Owner == TargetCondition::Ended ||
                      Owner == TargetCondition::Lost))
      Span.m_State = SpanState::Revoked;
    else if (Span.m_State == SpanState::Releasing &&
             Builder.condition(Span.m_NextOwner) != TargetCondition::Eligible)
      Span.m_State = SpanState::Owned;
    else if (Span.m_State == SpanState::Revoked) {
      if (waitIsOver(Span, Now))
        Span.m_State = SpanState::Free;
      else if (Owner == TargetCondition::Eligible ||
               Owner == TargetCondition::Leaving)
        Span.m_State = SpanState::Owned;
    }
    Builder.map().assign(Span);
  }
  if (!Builder.hasEligible())
    return Builder.map();
  Spans = Builder.map().spans();
  for (const KeySpan &Span : Spans)
    if (Span.m_State == SpanState::Free)
      Builder.distribute(Span, [&](KeySpan &Part, const KeyOwner &Receiver) {
        Part.m_State = SpanState::Owned;
        Part.m_Owner = Receiver;
        Part.m_NextOwner = {};
        Part.m_Fence = Builder.map().issueFence();
        Part.m_HandoverToken = {};
      });
    else if (Span.m_State == SpanState::Owned &&
             Builder.condition(Span.m_Owner) == TargetCondition::Leaving)
      Builder.distribute(Span, [](KeySpan &Part, const KeyOwner &Receiver) {
        Part.m_State = SpanState::Releasing;
        Part.m_NextOwner = Receiver;
      });
  if (Builder.mayRebalance())
    Builder.rebalance(m_Options.m_Tolerance);
  Builder.map().normalize();
  return Builder.map();
}

KeyMap adoptEarlierIncarnations(const KeyMap &Map,
                                const std::vector<KeyOwner> &Present) {
  std::map<InstanceName, TargetIncarnation> Latest;
  for (const KeyOwner &Each : Present) {
    const auto [Found, Added] =
        Latest.try_emplace(Each.m_Instance, Each.m_Target);
    if (!Added && Found->second.m_StartTimeMs < Each.m_Target.m_StartTimeMs)
      Found->second = Each.m_Target;
  }
  KeyMap Result = Map;
  for (KeySpan Span : Map.spans()) {
    const auto Found = Latest.find(Span.m_Owner.m_Instance);
    if (Found == Latest.end() || Span.m_Owner.m_Target == Found->second ||
        Span.m_Owner.m_Target.m_StartTimeMs > Found->second.m_StartTimeMs ||
        Span.m_State == SpanState::Free ||
        Span.m_State == SpanState::Unconfirmed)
      continue;
    Span.m_State = SpanState::Owned;
    Span.m_Owner.m_Target = Found->second;
    Span.m_NextOwner = {};
    Span.m_HandoverToken = {};
    Span.m_Fence = Result.issueFence();
    Result.assign(Span);
  }
  Result.normalize();
  return Result;
}

KeyMap completeRelease(const KeyMap &Map, const KeyOwner &Owner, KeyIndex First,
                       KeyIndex Last, const HandoverToken &Token) {
  KeyMap Result = Map;
  for (KeySpan Span : Map.spans()) {
    if (Span.m_Owner != Owner || Span.m_Last < First || Span.m_First > Last)
      continue;
    Span.m_First = std::max(Span.m_First, First);
    Span.m_Last = std::min(Span.m_Last, Last);
    if (Span.m_State == SpanState::Releasing) {
      Span.m_Owner = Span.m_NextOwner;
      Span.m_NextOwner = {};
      Span.m_State = SpanState::Owned;
      Span.m_HandoverToken = Token;
      Span.m_Fence = Result.issueFence();
    } else if (Span.m_State == SpanState::Revoked) {
      Span.m_State = SpanState::Free;
    } else {
      continue;
    }
    Result.assign(Span);
  }
  Result.normalize();
  return Result;
}

KeyMap restoreMap(const KeyMap &Earlier, StoreEra Era) {
  KeyMap Result = Earlier;
  Result.raiseFences(Epoch(Era.value() << FenceBitsPerEra));
  for (KeySpan Span : Earlier.spans()) {
    Span.m_State = SpanState::Unconfirmed;
    Span.m_NextOwner = {};
    Span.m_RevokedFrom = {};
    Result.assign(Span);
  }
  Result.normalize();
  return Result;
}

KeyMap confirmHeld(const KeyMap &Map, const KeyOwner &Owner,
                   const std::vector<HeldSpan> &Held) {
  KeyMap Result = Map;
  for (const KeySpan &Span : Map.spans()) {
    if (Span.m_State != SpanState::Unconfirmed || Span.m_Owner != Owner)
      continue;
    for (const HeldSpan &Each : Held) {
      if (Each.m_Fence != Span.m_Fence || Each.m_Last < Span.m_First ||
          Each.m_First > Span.m_Last)
        continue;
      KeySpan Part = Span;
      Part.m_First = std::max(Span.m_First, Each.m_First);
      Part.m_Last = std::min(Span.m_Last, Each.m_Last);
      Part.m_State = SpanState::Owned;
      Result.assign(Part);
    }
  }
  Result.normalize();
  return Result;
}

KeyMap markRevocations(KeyMap Next, const KeyMap &Map, RowVersion Version) {
  const std::vector<KeySpan> Spans = Next.spans();
  for (KeySpan Span : Spans) {
    const bool Revoked = Span.m_State == SpanState::Revoked;
    // No commit joins spans that were revoked with others, so the first key
    // tells for all.
    const bool Before =
        Map.find(Span.m_First).m_State == SpanState::Revoked && Revoked;
    if (Before || (!Revoked && Span.m_RevokedFrom == RowVersion()))
      continue;
    Span.m_RevokedFrom = Revoked ? Version : RowVersion();
    Next.assign(Span);
  }
  Next.normalize();
  return Next;
}

KeyMap freeEnded(const KeyMap &Map, const EndedTargets &Ended) {
  KeyMap Result = Map;
  for (KeySpan Span : Map.spans()) {
    if (Span.m_State != SpanState::Revoked ||
        Span.m_Owner.m_Instance != Ended.m_Instance)
      continue;
    const bool Earlier =
        Ended.m_Present &&
        Span.m_Owner.m_Target.m_StartTimeMs < Ended.m_Present->m_StartTimeMs;
    if (!Ended.m_All && !Earlier)
      continue;
    Span.m_State = SpanState::Free;
    Result.assign(Span);
  }
  Result.normalize();
  return Result;
}

} // namespace balsamwheel
