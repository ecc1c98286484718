// Decides on grants and releases by calls, and tracks what they prove.
#include "balsamwheel/detail/keyspace/call_hold_ledger.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Length of a hold on a fast target clock, as a factor of its validity.
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

template <typename Spans>
bool anyOverlaps(const Spans &All, KeyIndex First, KeyIndex Last) {
  return std::any_of(All.begin(), All.end(), [&](const auto &Each) {
    return overlaps(Each, First, Last);
  });
}

} // namespace

TimePoint CallHoldLedger::possibleUntil(TimePoint LatestArrival) const {
  const HoldOptions &Holds = m_Options.m_Holds;
  return LatestArrival + scale(Holds.m_Hold, Holds.m_SlowClockFactor) +
         Holds.m_Margin;
}

void CallHoldLedger::dropExpired(TimePoint Now) {
  std::erase_if(m_Holds,
                [&](const Hold &Each) { return Each.m_PossibleUntil <= Now; });
  std::erase_if(m_Late, [&](const LateGrant &Each) {
    return Each.m_PossibleUntil <= Now;
  });
  std::erase_if(m_Delays,
                [&](const Delay &Each) { return Each.m_Until <= Now; });
}

bool CallHoldLedger::mayCall(HoldCallKind Kind, KeyIndex First, KeyIndex Last,
                             TimePoint Now) const {
  std::size_t OfKind = 0;
  for (const auto &[Id, Each] : m_Calls) {
    OfKind += Each.m_Call.m_Kind == Kind ? 1 : 0;
    if (overlaps(Each.m_Call.m_Span, First, Last))
      return false;
  }
  return OfKind < m_Options.m_MaxCalls &&
         std::none_of(
             m_Delays.begin(), m_Delays.end(),
             [&](const Delay &Each) {
               return Each.m_Until > Now && overlaps(Each, First, Last);
             });
}

std::optional<CallHoldLedger::StartedCall>
CallHoldLedger::nextCall(const KeyMap &Map, bool MayGrant, TimePoint Now) {
  dropExpired(Now);
  std::erase_if(m_Refused, [&](const HeldSpan &Each) {
    const KeySpan &Span = Map.find(Each.m_First);
    return !isOwned(Span) || Span.m_Fence != Each.m_Fence;
  });
  std::optional<HoldCall> Next = nextRelease(Map, Now);
  if (!Next && MayGrant)
    Next = nextGrant(Map, Now);
  if (!Next)
    return std::nullopt;
  const CallId Id(++m_LastCall);
  m_Calls[Id] = {.m_Call = *Next, .m_StartedAt = Now};
  return StartedCall{.m_Id = Id, .m_Call = std::move(*Next)};
}

std::optional<HoldCall> CallHoldLedger::nextRelease(const KeyMap &Map,
                                                    TimePoint Now) {
  std::optional<HoldCall> Next;
  for (const KeySpan &Span : Map.spans()) {
    if (isOwned(Span))
      continue;
    splitHolds(Span.m_First, Span.m_Last);
    const auto Consider = [&](KeyIndex First, KeyIndex Last, Epoch Fence) {
      if (!Next && mayCall(HoldCallKind::Release, First, Last, Now))
        Next = HoldCall{
            .m_Kind = HoldCallKind::Release,
            .m_Span = {.m_First = First, .m_Last = Last, .m_Fence = Fence}};
    };
    for (Hold &Each : m_Holds)
      if (overlaps(Each, Span.m_First, Span.m_Last)) {
        Each.m_CertainUntil = TimePoint();
        Consider(Each.m_First, Each.m_Last, Each.m_Fence);
      }
    // The previous daemon may have granted these keys.
    const bool MustRelease = Span.m_State == SpanState::Releasing ||
                             Span.m_State == SpanState::Revoked;
    if (MustRelease && Span.m_Owner == m_Self && Now < m_EarlierGrantsEnd &&
        !anyOverlaps(m_Holds, Span.m_First, Span.m_Last) &&
        !anyOverlaps(m_Released, Span.m_First, Span.m_Last))
      Consider(Span.m_First, Span.m_Last, Span.m_Fence);
  }
  return Next;
}

TimePoint CallHoldLedger::grantDue(const KeySpan &Span, TimePoint Now) const {
  std::uint32_t Covered = 0;
  TimePoint Oldest = TimePoint::max();
  for (const Hold &Each : m_Holds)
    if (Each.m_Fence == Span.m_Fence && Each.m_CertainUntil > Now &&
        overlaps(Each, Span.m_First, Span.m_Last)) {
      Covered += std::min(Each.m_Last, Span.m_Last) -
                 std::max(Each.m_First, Span.m_First) + 1U;
      Oldest = std::min(Oldest, Each.m_GrantedAt);
    }
  return Covered < Span.size() ? TimePoint()
                               : Oldest + m_Options.m_RenewInterval;
}

std::optional<HoldCall> CallHoldLedger::nextGrant(const KeyMap &Map,
                                                  TimePoint Now) const {
  const KeySpan *MostUrgent = nullptr;
  TimePoint EarliestDue = Now;
  for (const KeySpan &Span : Map.spans()) {
    if (!isOwned(Span) || anyOverlaps(m_Refused, Span.m_First, Span.m_Last) ||
        !mayCall(HoldCallKind::Grant, Span.m_First, Span.m_Last, Now))
      continue;
    const TimePoint Due = grantDue(Span, Now);
    if (Due > EarliestDue || (MostUrgent && Due == EarliestDue))
      continue;
    EarliestDue = Due;
    MostUrgent = &Span;
  }
  if (!MostUrgent)
    return std::nullopt;
  return HoldCall{.m_Kind = HoldCallKind::Grant,
                  .m_Span = {.m_First = MostUrgent->m_First,
                             .m_Last = MostUrgent->m_Last,
                             .m_Fence = MostUrgent->m_Fence,
                             .m_HandoverToken = MostUrgent->m_HandoverToken}};
}

void CallHoldLedger::callEnded(CallId Call, HoldCallOutcome Outcome,
                               const HandoverToken &Token, TimePoint Now) {
  const auto Ended = m_Calls.extract(Call);
  if (Ended.empty())
    return;
  const CallInProgress &Entry = Ended.mapped();
  const GrantSpan &Span = Entry.m_Call.m_Span;
  if (Outcome != HoldCallOutcome::Applied)
    m_Delays.push_back({.m_First = Span.m_First,
                        .m_Last = Span.m_Last,
                        .m_Until = Now + m_Options.m_RetryDelay});
  if (Entry.m_Call.m_Kind == HoldCallKind::Release) {
    if (Outcome != HoldCallOutcome::Applied)
      return;
    removeHolds(Span.m_First, Span.m_Last, Span.m_Fence);
    m_Released.push_back({.m_First = Span.m_First,
                          .m_Last = Span.m_Last,
                          .m_Fence = Span.m_Fence,
                          .m_Token = Token});
    if (m_Released.size() > MaxReleased)
      m_Released.erase(m_Released.begin());
    return;
  }
  switch (Outcome) {
  case HoldCallOutcome::Applied:
    removeHolds(Span.m_First, Span.m_Last, Span.m_Fence);
    std::erase_if(m_Released, [&](const Release &Each) {
      return overlaps(Each, Span.m_First, Span.m_Last);
    });
    m_Holds.push_back(
        {.m_First = Span.m_First,
         .m_Last = Span.m_Last,
         .m_Fence = Span.m_Fence,
         .m_CertainUntil = Entry.m_StartedAt +
                           scale(m_Options.m_Holds.m_Hold, FastClockFactor),
         .m_PossibleUntil = possibleUntil(Now),
         .m_GrantedAt = Entry.m_StartedAt});
    break;
  case HoldCallOutcome::FenceTooLow:
    m_Refused.push_back({.m_First = Span.m_First,
                         .m_Last = Span.m_Last,
                         .m_Fence = Span.m_Fence});
    splitHolds(Span.m_First, Span.m_Last);
    for (Hold &Each : m_Holds)
      if (overlaps(Each, Span.m_First, Span.m_Last))
        Each.m_CertainUntil = TimePoint();
    break;
  case HoldCallOutcome::Unknown:
    m_Late.push_back({.m_First = Span.m_First,
                      .m_Last = Span.m_Last,
                      .m_PossibleUntil = possibleUntil(Now)});
    break;
  case HoldCallOutcome::NotSent:
    break;
  }
}

void CallHoldLedger::refuted(KeyIndex Key, TimePoint Now) {
  for (Hold &Each : m_Holds)
    if (overlaps(Each, Key, Key) && Each.m_CertainUntil > Now) {
      Each.m_CertainUntil = TimePoint();
      m_Delays.push_back({.m_First = Each.m_First,
                          .m_Last = Each.m_Last,
                          .m_Until = Now + m_Options.m_RetryDelay});
    }
}

bool CallHoldLedger::holds(KeyIndex Key, TimePoint Now) const {
  return std::any_of(m_Holds.begin(), m_Holds.end(), [&](const Hold &Each) {
    return Each.m_CertainUntil > Now && overlaps(Each, Key, Key);
  });
}

std::vector<HeldSpan> CallHoldLedger::held(TimePoint Now) const {
  std::vector<HeldSpan> Result;
  for (const Hold &Each : m_Holds)
    if (Each.m_CertainUntil > Now)
      Result.push_back({.m_First = Each.m_First,
                        .m_Last = Each.m_Last,
                        .m_Fence = Each.m_Fence});
  return Result;
}

TimePoint CallHoldLedger::heldUntil() const {
  TimePoint Until = m_EarlierGrantsEnd;
  for (const Hold &Each : m_Holds)
    Until = std::max(Until, Each.m_PossibleUntil);
  for (const LateGrant &Each : m_Late)
    Until = std::max(Until, Each.m_PossibleUntil);
  for (const auto &[Id, Each] : m_Calls)
    if (Each.m_Call.m_Kind == HoldCallKind::Grant)
      Until = std::max(
          Until, possibleUntil(Each.m_StartedAt + m_Options.m_GrantTimeout));
  return Until;
}

std::vector<ReleasedSpan>
CallHoldLedger::completedReleases(const KeyMap &Map, TimePoint Now) const {
  std::vector<ReleasedSpan> Result;
  if (Now < m_EarlierGrantsEnd)
    return Result;
  const auto MayHold = [&](KeyIndex First, KeyIndex Last) {
    const auto Current = [&](const auto &Each) {
      return Each.m_PossibleUntil > Now && overlaps(Each, First, Last);
    };
    return std::any_of(m_Holds.begin(), m_Holds.end(), Current) ||
           std::any_of(m_Late.begin(), m_Late.end(), Current) ||
           std::any_of(m_Calls.begin(), m_Calls.end(), [&](const auto &Each) {
             return overlaps(Each.second.m_Call.m_Span, First, Last);
           });
  };
  for (const KeySpan &Span : Map.spans()) {
    const bool MustRelease = Span.m_State == SpanState::Releasing ||
                             Span.m_State == SpanState::Revoked;
    if (!MustRelease || Span.m_Owner != m_Self)
      continue;
    bool HasToken = false;
    for (const Release &Each : m_Released) {
      if (Each.m_Fence != Span.m_Fence ||
          !overlaps(Each, Span.m_First, Span.m_Last))
        continue;
      const KeyIndex First = std::max(Each.m_First, Span.m_First);
      const KeyIndex Last = std::min(Each.m_Last, Span.m_Last);
      HasToken = true;
      if (!MayHold(First, Last))
        Result.push_back({.m_First = First,
                          .m_Last = Last,
                          .m_HandoverToken = Each.m_Token});
    }
    if (!HasToken && !MayHold(Span.m_First, Span.m_Last))
      Result.push_back({.m_First = Span.m_First, .m_Last = Span.m_Last});
  }
  return Result;
}

void CallHoldLedger::removeHolds(KeyIndex First, KeyIndex Last, Epoch Fence) {
  splitHolds(First, Last);
  std::erase_if(m_Holds, [&](const Hold &Each) {
    return Each.m_Fence <= Fence && overlaps(Each, First, Last);
  });
}

void CallHoldLedger::splitHolds(KeyIndex First, KeyIndex Last) {
  // New parts are appended and need no further split at the same end.
  const auto SplitBefore = [&](std::uint32_t Key) {
    const std::size_t Count = m_Holds.size();
    for (std::size_t Index = 0; Index < Count; ++Index) {
      if (m_Holds[Index].m_First >= Key || m_Holds[Index].m_Last < Key)
        continue;
      Hold Upper = m_Holds[Index];
      Upper.m_First = static_cast<KeyIndex>(Key);
      m_Holds[Index].m_Last = static_cast<KeyIndex>(Key - 1);
      m_Holds.push_back(Upper);
    }
  };
  SplitBefore(First);
  SplitBefore(std::uint32_t{Last} + 1);
}

KeyMap reissueFences(const KeyMap &Map, const KeyOwner &Owner,
                     const std::vector<HeldSpan> &Refused) {
  KeyMap Result = Map;
  for (const HeldSpan &Each : Refused) {
    KeySpan Span = Result.find(Each.m_First);
    if (Span.m_State != SpanState::Owned || Span.m_Owner != Owner ||
        Span.m_Fence != Each.m_Fence)
      continue;
    Span.m_Fence = Result.issueFence();
    Result.assign(Span);
  }
  return Result;
}

} // namespace balsamwheel
