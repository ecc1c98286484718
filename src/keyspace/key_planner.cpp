// Rules by which keys change hands.
#include "balsamwheel/detail/keyspace/key_planner.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace balsamwheel {

namespace {

/// Load of a key beside what was measured, in busy slots a second: keeps keys
/// spread when nothing has been measured yet.
constexpr double LoadPerKey = 1.0 / KeyCount;
/// Keys move in steps of this many.
constexpr std::uint32_t StepKeys = 16;
/// Planned moves that one plan begins.
constexpr int MaxMovesPerPlan = 6;
/// Spans of one owner beyond which none is split off: a grant of them all has
/// to fit the answer to a heartbeat.
constexpr std::size_t MaxSpansPerOwner = 60;

/// A slice counts for at most this many fair parts of the load: what a single
/// key causes beyond can't be served, wherever its slice is.
constexpr double MostFairPartsOfSlice = 1.5;
/// Rounds in which the fair part and the bound on slices settle.
constexpr int BoundRounds = 12;

/// Bounds the load of each slice for a service of this capacity.
SliceLoads bounded(const SliceLoads &Loads, double Capacity) {
  SliceLoads Result = Loads;
  if (Capacity <= MostFairPartsOfSlice)
    return Result;
  for (int Round = 0; Round < BoundRounds; ++Round) {
    double Sum = 0;
    for (const float Load : Result)
      Sum += Load;
    const auto Bound =
        static_cast<float>(MostFairPartsOfSlice * Sum / Capacity);
    for (float &Load : Result)
      Load = std::min(Load, Bound);
  }
  return Result;
}

double capacityOf(const std::vector<KeyCandidate> &Candidates) {
  double Sum = 0;
  for (const KeyCandidate &Each : Candidates)
    if (Each.m_Condition == TargetCondition::Fit)
      Sum += Each.m_Capacity;
  return Sum;
}

/// Load of some keys, by the slices they touch.
class LoadIndex {
public:
  explicit LoadIndex(const SliceLoads &Loads) {
    for (std::size_t Slice = 0; Slice < KeySlices; ++Slice)
      m_PerKey[Slice] = Loads[Slice] / KeysPerSlice + LoadPerKey;
  }

  double of(std::uint32_t First, std::uint32_t Last) const {
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
  std::array<double, KeySlices> m_PerKey{};
};

struct Burden {
  KeyCandidate m_Candidate;
  double m_Load = 0;
  /// None of its keys can move, as they are too hot or too scattered.
  bool m_Stuck = false;

  double relative() const {
    return m_Load / std::max(m_Candidate.m_Capacity, 0.05);
  }
};

class Planning {
public:
  Planning(const KeyMap &Map, const std::vector<KeyCandidate> &Candidates,
           const SliceLoads &Loads)
      : m_Map(Map), m_Loads(bounded(Loads, capacityOf(Candidates))) {
    for (const KeyCandidate &Each : Candidates) {
      m_Conditions[Each.m_Owner] = Each.m_Condition;
      if (Each.m_Condition == TargetCondition::Fit)
        m_Fit.push_back({.m_Candidate = Each});
    }
    for (const KeySpan &Span : m_Map.spans())
      addLoad(effectiveOwner(Span), m_Loads.of(Span.m_First, Span.m_Last));
  }

  bool hasFit() const { return !m_Fit.empty(); }
  KeyMap &map() { return m_Map; }

  TargetCondition condition(const KeyOwner &Owner) const {
    auto Found = m_Conditions.find(Owner);
    return Found == m_Conditions.end() ? TargetCondition::Lost : Found->second;
  }

  /// Hands the keys of \p Span out, whole or in slices, to the targets with
  /// the least load; \p Make builds the entry for a receiver.
  template <typename MakeEntry>
  void distribute(const KeySpan &Span, MakeEntry Make) {
    const double Whole = m_Loads.of(Span.m_First, Span.m_Last);
    const double Piece = std::max(fairPart() / 8, Whole / 64);
    std::uint32_t First = Span.m_First;
    while (First <= Span.m_Last) {
      Burden &Receiver = leastLoaded();
      std::uint32_t Last = First;
      const double Room =
          std::max(Piece, fairPart() * Receiver.m_Candidate.m_Capacity -
                              Receiver.m_Load);
      Last = extend(First, Span.m_Last, Room);
      KeySpan Part = Span;
      Part.m_First = static_cast<KeyIndex>(First);
      Part.m_Last = static_cast<KeyIndex>(Last);
      Make(Part, Receiver.m_Candidate.m_Owner);
      m_Map.assign(Part);
      Receiver.m_Load += m_Loads.of(First, Last);
      First = Last + 1;
    }
  }

  /// Moves the hottest keys of the fullest targets to the emptiest ones until
  /// none has far more or less than its fair part.
  void relieve(double Tolerance) {
    if (m_Fit.size() < 2)
      return;
    const double Fair = fairPart();
    for (int Move = 0; Move < MaxMovesPerPlan;) {
      Burden &Fullest = *std::max_element(
          m_Fit.begin(), m_Fit.end(),
          [](const Burden &Left, const Burden &Right) {
            return std::pair(!Left.m_Stuck, Left.relative()) <
                   std::pair(!Right.m_Stuck, Right.relative());
          });
      if (Fullest.m_Stuck)
        return;
      Burden &Emptiest = leastLoaded();
      const bool Starved = Emptiest.relative() < Fair * (1 - Tolerance);
      const bool Overfull = Fullest.relative() > Fair * (1 + Tolerance);
      if (!Overfull && !Starved)
        return;
      const double Excess =
          std::min(Fullest.m_Load - Fair * Fullest.m_Candidate.m_Capacity,
                   Fair * Emptiest.m_Candidate.m_Capacity - Emptiest.m_Load);
      auto Piece = hottestPiece(Fullest.m_Candidate.m_Owner, Excess);
      if (!Piece) {
        Fullest.m_Stuck = true;
        continue;
      }
      ++Move;
      const double Load = m_Loads.of(Piece->m_First, Piece->m_Last);
      Piece->m_State = SpanState::Releasing;
      Piece->m_Heir = Emptiest.m_Candidate.m_Owner;
      m_Map.assign(*Piece);
      Fullest.m_Load -= Load;
      Emptiest.m_Load += Load;
    }
  }

  bool moving() const {
    return std::any_of(
        m_Map.spans().begin(), m_Map.spans().end(),
        [](const KeySpan &Span) { return Span.m_State != SpanState::Owned; });
  }

private:
  static const KeyOwner &effectiveOwner(const KeySpan &Span) {
    return Span.m_State == SpanState::Releasing ? Span.m_Heir : Span.m_Owner;
  }

  void addLoad(const KeyOwner &Owner, double Load) {
    for (Burden &Each : m_Fit)
      if (Each.m_Candidate.m_Owner == Owner)
        Each.m_Load += Load;
  }

  Burden &leastLoaded() {
    return *std::min_element(m_Fit.begin(), m_Fit.end(),
                             [](const Burden &Left, const Burden &Right) {
                               return Left.relative() < Right.relative();
                             });
  }

  /// The densest keys of an owner that weigh at most \p Room; none when it has
  /// too many spans already or no step of keys is light enough.
  std::optional<KeySpan> hottestPiece(const KeyOwner &Owner,
                                      double Room) const {
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
        const double Load = m_Loads.of(First, Last);
        if (Load > Room * 1.25 || Load <= BestLoad)
          continue;
        Best = Span;
        Best->m_First = static_cast<KeyIndex>(First);
        Best->m_Last = static_cast<KeyIndex>(Last);
        BestLoad = Load;
      }
    }
    if (!Best || Spans >= MaxSpansPerOwner)
      return std::nullopt;
    grow(*Best, m_Map.find(Best->m_First), Room);
    return Best;
  }

  /// Adds the denser neighbours within \p Limits while they fit.
  void grow(KeySpan &Piece, const KeySpan &Limits, double Room) const {
    double Load = m_Loads.of(Piece.m_First, Piece.m_Last);
    while (true) {
      const std::uint32_t Before =
          std::min<std::uint32_t>(StepKeys, Piece.m_First - Limits.m_First);
      const std::uint32_t After =
          std::min<std::uint32_t>(StepKeys, Limits.m_Last - Piece.m_Last);
      const double Left =
          Before ? m_Loads.of(Piece.m_First - Before, Piece.m_First - 1U) : 0;
      const double Right =
          After ? m_Loads.of(Piece.m_Last + 1U, Piece.m_Last + After) : 0;
      const bool TakeRight = After && (Right >= Left || !Before);
      if ((!Before && !After) || Load + (TakeRight ? Right : Left) > Room)
        return;
      Load += TakeRight ? Right : Left;
      if (TakeRight)
        Piece.m_Last = static_cast<KeyIndex>(Piece.m_Last + After);
      else
        Piece.m_First = static_cast<KeyIndex>(Piece.m_First - Before);
    }
  }

  /// Load for each unit of capacity if all were spread evenly.
  double fairPart() const {
    double Capacity = 0;
    for (const Burden &Each : m_Fit)
      Capacity += Each.m_Candidate.m_Capacity;
    return m_Loads.of(0, KeyCount - 1) / std::max(Capacity, 0.05);
  }

  /// Last key of the longest run from \p First that weighs at most \p Room;
  /// at least one step.
  std::uint32_t extend(std::uint32_t First, std::uint32_t Limit,
                       double Room) const {
    std::uint32_t Last = std::min(Limit, First + StepKeys - 1);
    double Load = m_Loads.of(First, Last);
    while (Last < Limit) {
      const std::uint32_t Next = std::min(Limit, Last + StepKeys);
      const double More = m_Loads.of(Last + 1, Next);
      if (Load + More > Room)
        break;
      Load += More;
      Last = Next;
    }
    return Last;
  }

  KeyMap m_Map;
  LoadIndex m_Loads;
  std::map<KeyOwner, TargetCondition> m_Conditions;
  std::vector<Burden> m_Fit;
};

} // namespace

void KeyPlanner::observe(const KeyMap &Map, TimePoint Now) {
  std::map<RevocationKey, TimePoint> Seen;
  for (const KeySpan &Span : Map.spans()) {
    if (Span.m_State != SpanState::Revoked)
      continue;
    auto Known = m_RevokedSince.find(keyOf(Span));
    Seen[keyOf(Span)] = Known == m_RevokedSince.end() ? Now : Known->second;
  }
  m_RevokedSince = std::move(Seen);
}

KeyMap KeyPlanner::plan(const KeyMap &Map,
                        const std::vector<KeyCandidate> &Candidates,
                        const SliceLoads &Loads, TimePoint Now) const {
  Planning Work(Map, Candidates, Loads);
  std::vector<KeySpan> Spans = Work.map().spans();
  for (KeySpan &Span : Spans) {
    const TargetCondition Owner = Work.condition(Span.m_Owner);
    const bool Held = Span.m_State == SpanState::Owned ||
                      Span.m_State == SpanState::Releasing;
    if (Held && Owner == TargetCondition::Ended)
      Span.m_State = SpanState::Free;
    else if (Held && Owner == TargetCondition::Lost)
      Span.m_State = SpanState::Revoked;
    else if (Span.m_State == SpanState::Releasing &&
             Work.condition(Span.m_Heir) != TargetCondition::Fit)
      Span.m_State = SpanState::Owned;
    else if (Span.m_State == SpanState::Revoked) {
      auto Since = m_RevokedSince.find(keyOf(Span));
      if (Owner == TargetCondition::Ended ||
          (Since != m_RevokedSince.end() &&
           Now - Since->second >= m_Options.m_RevocationWait))
        Span.m_State = SpanState::Free;
      else if (Owner == TargetCondition::Fit ||
               Owner == TargetCondition::Leaving)
        Span.m_State = SpanState::Owned;
    }
    Work.map().assign(Span);
  }
  if (!Work.hasFit())
    return Work.map();
  Spans = Work.map().spans();
  for (const KeySpan &Span : Spans)
    if (Span.m_State == SpanState::Free)
      Work.distribute(Span, [&](KeySpan &Part, const KeyOwner &Receiver) {
        Part.m_State = SpanState::Owned;
        Part.m_Owner = Receiver;
        Part.m_Heir = {};
        Part.m_Fence = Work.map().takeFence();
        Part.m_Handover.clear();
      });
    else if (Span.m_State == SpanState::Owned &&
             Work.condition(Span.m_Owner) == TargetCondition::Leaving)
      Work.distribute(Span, [](KeySpan &Part, const KeyOwner &Receiver) {
        Part.m_State = SpanState::Releasing;
        Part.m_Heir = Receiver;
      });
  if (!Work.moving())
    Work.relieve(m_Options.m_Tolerance);
  Work.map().normalize();
  return Work.map();
}

KeyMap adoptEarlierIncarnations(const KeyMap &Map, const KeyOwner &Present) {
  KeyMap Result = Map;
  for (KeySpan Span : Map.spans()) {
    if (Span.m_Owner.m_Instance != Present.m_Instance ||
        Span.m_Owner.m_Target == Present.m_Target ||
        Span.m_Owner.m_Target.m_BornMs > Present.m_Target.m_BornMs ||
        Span.m_State == SpanState::Free)
      continue;
    Span.m_State = SpanState::Owned;
    Span.m_Owner = Present;
    Span.m_Heir = {};
    Span.m_Handover.clear();
    Span.m_Fence = Result.takeFence();
    Result.assign(Span);
  }
  Result.normalize();
  return Result;
}

KeyMap completeRelease(const KeyMap &Map, const KeyOwner &Owner, KeyIndex First,
                       KeyIndex Last, const std::string &Token) {
  KeyMap Result = Map;
  for (KeySpan Span : Map.spans()) {
    if (Span.m_Owner != Owner || Span.m_Last < First || Span.m_First > Last)
      continue;
    Span.m_First = std::max(Span.m_First, First);
    Span.m_Last = std::min(Span.m_Last, Last);
    if (Span.m_State == SpanState::Releasing) {
      Span.m_Owner = Span.m_Heir;
      Span.m_Heir = {};
      Span.m_State = SpanState::Owned;
      Span.m_Handover = Token;
      Span.m_Fence = Result.takeFence();
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

KeyMap freeOwnedBy(const KeyMap &Map, const KeyOwner &Owner) {
  KeyMap Result = Map;
  for (KeySpan Span : Map.spans()) {
    if (Span.m_Owner != Owner || Span.m_State == SpanState::Free)
      continue;
    Span.m_State = SpanState::Free;
    Result.assign(Span);
  }
  Result.normalize();
  return Result;
}

} // namespace balsamwheel
