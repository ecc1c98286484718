// Rules by which keys change hands.
#include "balsamwheel/detail/keyspace/key_planner.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Load of a key beside what was measured, in busy slots a second: keeps keys
/// spread when nothing has been measured yet.
constexpr double LoadPerKey = 1.0 / KeyCount;

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

  double relative() const {
    return m_Load / std::max(m_Candidate.m_Capacity, 0.05);
  }
};

class Planning {
public:
  Planning(const KeyMap &Map, const std::vector<KeyCandidate> &Candidates,
           const SliceLoads &Loads)
      : m_Map(Map), m_Loads(Loads) {
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

  /// Moves the slices by which the fullest target exceeds its fair part.
  void relieve(double Tolerance) {
    if (m_Fit.size() < 2)
      return;
    auto Fullest =
        std::max_element(m_Fit.begin(), m_Fit.end(),
                         [](const Burden &Left, const Burden &Right) {
                           return Left.relative() < Right.relative();
                         });
    Burden &Emptiest = leastLoaded();
    const double Fair = fairPart();
    const bool Starved = Emptiest.relative() < Fair * (1 - Tolerance);
    const bool Overfull = Fullest->relative() > Fair * (1 + Tolerance);
    if (!Overfull && !Starved)
      return;
    double Excess =
        std::min((Fullest->relative() - Emptiest.relative()) / 2 *
                     Fullest->m_Candidate.m_Capacity,
                 std::max(0.0, Fair * Emptiest.m_Candidate.m_Capacity -
                                   Emptiest.m_Load));
    const KeyOwner From = Fullest->m_Candidate.m_Owner;
    const KeyOwner To = Emptiest.m_Candidate.m_Owner;
    const std::vector<KeySpan> Spans = m_Map.spans();
    for (const KeySpan &Span : Spans) {
      if (Excess <= 0 || Span.m_State != SpanState::Owned ||
          Span.m_Owner != From)
        continue;
      const double Load = m_Loads.of(Span.m_First, Span.m_Last);
      std::uint32_t Last = Span.m_Last;
      if (Load > Excess) {
        Last = extend(Span.m_First, Span.m_Last, Excess);
        if (m_Loads.of(Span.m_First, Last) > 2 * Excess)
          continue; // One slice is more than what is to move.
      }
      KeySpan Part = Span;
      Part.m_Last = static_cast<KeyIndex>(Last);
      Part.m_State = SpanState::Releasing;
      Part.m_Heir = To;
      m_Map.assign(Part);
      Excess -= m_Loads.of(Part.m_First, Part.m_Last);
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

  /// Load for each unit of capacity if all were spread evenly.
  double fairPart() const {
    double Capacity = 0;
    for (const Burden &Each : m_Fit)
      Capacity += Each.m_Candidate.m_Capacity;
    return m_Loads.of(0, KeyCount - 1) / std::max(Capacity, 0.05);
  }

  /// Last key of the longest run from \p First that weighs at most \p Room;
  /// at least a sixteenth of a slice.
  std::uint32_t extend(std::uint32_t First, std::uint32_t Limit,
                       double Room) const {
    constexpr std::uint32_t Step = KeysPerSlice / 16;
    std::uint32_t Last = std::min(Limit, First + Step - 1);
    double Load = m_Loads.of(First, Last);
    while (Last < Limit) {
      const std::uint32_t Next = std::min(Limit, Last + Step);
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
