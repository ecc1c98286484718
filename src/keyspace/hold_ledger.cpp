// Computes grants and detects released keys.
#include "balsamwheel/detail/keyspace/hold_ledger.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Length of a hold on a fast target clock, as a factor of m_Hold: requests are
/// sent only until then.
constexpr double FastClockFactor = 0.97;
/// Maximum number of released spans that are kept until the map shows their new
/// owner.
constexpr std::size_t MaxReleased = 256;

Duration scale(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

template <typename Span>
bool overlaps(const Span &Left, KeyIndex First, KeyIndex Last) {
  return Left.m_First <= Last && Left.m_Last >= First;
}

/// Removes the keys from \p First to \p Last from all spans.
void removeKeys(std::vector<ReleasedSpan> &Spans, KeyIndex First,
                KeyIndex Last) {
  if (std::none_of(Spans.begin(), Spans.end(), [&](const ReleasedSpan &Each) {
        return overlaps(Each, First, Last);
      }))
    return;
  std::vector<ReleasedSpan> Result;
  for (const ReleasedSpan &Each : Spans) {
    if (!overlaps(Each, First, Last)) {
      Result.push_back(Each);
      continue;
    }
    if (Each.m_First < First) {
      Result.push_back(Each);
      Result.back().m_Last = static_cast<KeyIndex>(First - 1);
    }
    if (Each.m_Last > Last) {
      Result.push_back(Each);
      Result.back().m_First = static_cast<KeyIndex>(Last + 1);
    }
  }
  Spans = std::move(Result);
}

bool sameKeys(const std::vector<GrantSpan> &Left,
              const std::vector<GrantSpan> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const GrantSpan &First, const GrantSpan &Second) {
                      return First.m_First == Second.m_First &&
                             First.m_Last == Second.m_Last &&
                             First.m_Fence == Second.m_Fence;
                    });
}

} // namespace

Duration revocationWait(const HoldOptions &Holds, Duration MaxMapAge) {
  return MaxMapAge + scale(Holds.m_Hold, Holds.m_SlowClockFactor) +
         2 * Holds.m_Margin;
}

void HoldLedger::report(const HoldReport &Report) {
  m_Reported = Report.m_Holds;
  ++m_ReportsSinceChange;
  for (const ReleasedSpan &Each : Report.m_Released) {
    removeKeys(m_Released, Each.m_First, Each.m_Last);
    m_Released.push_back(Each);
  }
  // The target holds these keys, or can get them by a grant that it may still
  // receive: their releases belong to an earlier move.
  for (const HeldSpan &Each : m_Reported)
    removeKeys(m_Released, Each.m_First, Each.m_Last);
  for (const GrantSpan &Each : m_Granted)
    removeKeys(m_Released, Each.m_First, Each.m_Last);
  if (m_Released.size() > MaxReleased)
    m_Released.erase(m_Released.begin(), m_Released.end() - MaxReleased);
}

std::vector<GrantSpan> HoldLedger::grant(const KeyMap &Map, TimePoint Arrived) {
  std::vector<GrantSpan> Grants;
  for (const KeySpan &Span : Map.spans())
    if (Span.m_State == SpanState::Owned && Span.m_Owner == m_Self)
      Grants.push_back({.m_First = Span.m_First,
                        .m_Last = Span.m_Last,
                        .m_Fence = Span.m_Fence,
                        .m_HandoverToken = Span.m_HandoverToken});
  if (!sameKeys(Grants, m_Granted))
    m_ReportsSinceChange = 0;
  m_Granted = Grants;
  m_GrantedUntil = Arrived + scale(m_Options.m_Hold, FastClockFactor);
  m_HeldUntil = Arrived + scale(m_Options.m_Hold, m_Options.m_SlowClockFactor) +
                m_Options.m_Margin;
  for (const GrantSpan &Each : Grants)
    removeKeys(m_Released, Each.m_First, Each.m_Last);
  return Grants;
}

bool HoldLedger::holds(KeyIndex Key, TimePoint Now) const {
  return Now < m_GrantedUntil &&
         std::any_of(
             m_Granted.begin(), m_Granted.end(),
             [&](const GrantSpan &Each) { return overlaps(Each, Key, Key); });
}

std::vector<HeldSpan> HoldLedger::held(TimePoint Now) const {
  std::vector<HeldSpan> Result;
  if (Now >= m_GrantedUntil)
    return Result;
  Result.reserve(m_Granted.size());
  for (const GrantSpan &Each : m_Granted)
    Result.push_back({.m_First = Each.m_First,
                      .m_Last = Each.m_Last,
                      .m_Fence = Each.m_Fence});
  return Result;
}

bool isAssigned(const KeyMap &Map, KeyIndex Key, const KeyOwner &Owner) {
  const KeySpan &Span = Map.find(Key);
  return (Span.m_State == SpanState::Owned && Span.m_Owner == Owner) ||
         (Span.m_State == SpanState::Releasing && Span.m_NextOwner == Owner);
}

std::vector<ReleasedSpan>
HoldLedger::completedReleases(const KeyMap &Map) const {
  std::vector<ReleasedSpan> Result;
  for (const KeySpan &Span : Map.spans()) {
    const bool MustRelease = Span.m_State == SpanState::Releasing ||
                             Span.m_State == SpanState::Revoked;
    if (!MustRelease || Span.m_Owner != m_Self)
      continue;
    bool HasToken = false;
    for (const ReleasedSpan &Each : m_Released)
      if (overlaps(Each, Span.m_First, Span.m_Last)) {
        HasToken = true;
        Result.push_back({.m_First = std::max(Each.m_First, Span.m_First),
                          .m_Last = std::min(Each.m_Last, Span.m_Last),
                          .m_HandoverToken = Each.m_HandoverToken});
      }
    const auto InUse = [&](const auto &Each) {
      return overlaps(Each, Span.m_First, Span.m_Last);
    };
    if (HasToken || m_ReportsSinceChange < ReportsUntilReleased ||
        std::any_of(m_Reported.begin(), m_Reported.end(), InUse) ||
        std::any_of(m_Granted.begin(), m_Granted.end(), InUse))
      continue;
    Result.push_back({.m_First = Span.m_First, .m_Last = Span.m_Last});
  }
  return Result;
}

} // namespace balsamwheel
