// Grants, and which keys have come back.
#include "balsamwheel/detail/keyspace/hold_ledger.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Requests are sent only while this part of a hold is left, so that the
/// target's clock may run fast.
constexpr double FastClockFactor = 0.97;
/// Tokens of released keys kept until the map says who got the keys.
constexpr std::size_t MaxReleased = 256;

Duration scale(Duration Value, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Value.count()) * Factor));
}

template <typename Span>
bool overlaps(const Span &Left, KeyIndex First, KeyIndex Last) {
  return Left.m_First <= Last && Left.m_Last >= First;
}

bool sameKeys(const std::vector<GrantSpan> &Left,
              const std::vector<GrantSpan> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const GrantSpan &A, const GrantSpan &B) {
                      return A.m_First == B.m_First && A.m_Last == B.m_Last &&
                             A.m_Fence == B.m_Fence;
                    });
}

} // namespace

Duration revocationWait(const HoldOptions &Holds, Duration Authority) {
  return Authority + scale(Holds.m_Hold, Holds.m_SlowClockFactor) +
         2 * Holds.m_Margin;
}

void HoldLedger::report(const HoldReport &Report) {
  m_Reported = Report.m_Holds;
  ++m_ReportsSinceChange;
  for (const ReleasedSpan &Each : Report.m_Released) {
    std::erase_if(m_Released, [&](const ReleasedSpan &Old) {
      return Old.m_First >= Each.m_First && Old.m_Last <= Each.m_Last;
    });
    m_Released.push_back(Each);
  }
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
                        .m_Handover = Span.m_Handover});
  if (!sameKeys(Grants, m_Granted))
    m_ReportsSinceChange = 0;
  m_Granted = Grants;
  m_GrantedUntil = Arrived + scale(m_Options.m_Hold, FastClockFactor);
  m_HeldUntil = Arrived + scale(m_Options.m_Hold, m_Options.m_SlowClockFactor) +
                m_Options.m_Margin;
  for (const GrantSpan &Each : Grants)
    std::erase_if(m_Released, [&](const ReleasedSpan &Old) {
      return overlaps(Old, Each.m_First, Each.m_Last);
    });
  return Grants;
}

bool HoldLedger::holds(KeyIndex Key, TimePoint Now) const {
  return Now < m_GrantedUntil &&
         std::any_of(
             m_Granted.begin(), m_Granted.end(),
             [&](const GrantSpan &Each) { return overlaps(Each, Key, Key); });
}

bool HoldLedger::owns(const KeyMap &Map, KeyIndex Key) const {
  const KeySpan &Span = Map.find(Key);
  return (Span.m_State == SpanState::Owned && Span.m_Owner == m_Self) ||
         (Span.m_State == SpanState::Releasing && Span.m_Heir == m_Self);
}

std::vector<ReleasedSpan> HoldLedger::completions(const KeyMap &Map) const {
  std::vector<ReleasedSpan> Result;
  for (const KeySpan &Span : Map.spans()) {
    const bool Wanted = Span.m_State == SpanState::Releasing ||
                        Span.m_State == SpanState::Revoked;
    if (!Wanted || Span.m_Owner != m_Self)
      continue;
    bool Told = false;
    for (const ReleasedSpan &Each : m_Released)
      if (overlaps(Each, Span.m_First, Span.m_Last)) {
        Told = true;
        Result.push_back({.m_First = std::max(Each.m_First, Span.m_First),
                          .m_Last = std::min(Each.m_Last, Span.m_Last),
                          .m_Handover = Each.m_Handover});
      }
    const auto Busy = [&](const auto &Each) {
      return overlaps(Each, Span.m_First, Span.m_Last);
    };
    if (Told || m_ReportsSinceChange < SilentReports ||
        std::any_of(m_Reported.begin(), m_Reported.end(), Busy) ||
        std::any_of(m_Granted.begin(), m_Granted.end(), Busy))
      continue;
    Result.push_back({.m_First = Span.m_First, .m_Last = Span.m_Last});
  }
  return Result;
}

} // namespace balsamwheel
