// Order of the requests that wait at a gate, and which of them gives way to
// another.
#include "balsamwheel/detail/load/request_gate.h"

#include <algorithm>

namespace balsamwheel {

void RequestGate::updateRanks(TimePoint Now) {
  if (!m_Options.m_RoomByPriority)
    return;
  m_Ranks.update(meanService() / std::max(m_Slots, 1U), meanService(), Now);
  for (Waiting &Each : m_Waiting)
    Each.m_Rank = m_Ranks.rank(Each.m_Request.m_Priority);
}

bool RequestGate::hasSlotFor(const GateRequest &Request) const {
  return m_Running + m_Ranks.slotsToLeave(Request.m_Priority) < m_Slots;
}

bool RequestGate::isBeforeAll(const Waiting &Offered) const {
  return std::all_of(
      m_Waiting.begin(), m_Waiting.end(), [&](const Waiting &Each) {
        return m_Options.m_RoomByPriority && Offered.m_Rank < Each.m_Rank;
      });
}

TimePoint RequestGate::dueBy(const GateRequest &Request) const {
  return Request.m_Nested ? Request.m_Deadline : Request.m_Objective;
}

bool RequestGate::precedes(const Waiting &Left, const Waiting &Right,
                           TimePoint Now) const {
  const bool LeftOnTime = canBeOnTime(Left.m_Request, Now);
  const bool RightOnTime = canBeOnTime(Right.m_Request, Now);
  if (LeftOnTime != RightOnTime)
    return LeftOnTime;
  if (m_Options.m_RoomByPriority && Left.m_Rank != Right.m_Rank)
    return Left.m_Rank < Right.m_Rank;
  if (Left.m_Request.m_Nested != Right.m_Request.m_Nested)
    return Left.m_Request.m_Nested;
  if (Left.m_Rank != Right.m_Rank)
    return Left.m_Rank < Right.m_Rank;
  if (Left.m_Turn.m_Start != Right.m_Turn.m_Start)
    return Left.m_Turn.m_Start < Right.m_Turn.m_Start;
  if (dueBy(Left.m_Request) != dueBy(Right.m_Request))
    return dueBy(Left.m_Request) < dueBy(Right.m_Request);
  return Left.m_Sequence < Right.m_Sequence;
}

bool RequestGate::shareTurns(const GateRequest &Left,
                             const GateRequest &Right) {
  return !Left.m_Nested && !Right.m_Nested &&
         Left.m_Priority == Right.m_Priority &&
         Left.m_Organisation == Right.m_Organisation;
}

std::size_t RequestGate::countBefore(const Waiting &Subject,
                                     TimePoint Now) const {
  return static_cast<std::size_t>(std::count_if(
      m_Waiting.begin(), m_Waiting.end(),
      [&](const Waiting &Each) { return precedes(Each, Subject, Now); }));
}

OrganisationTurns::Turn RequestGate::turnOf(const Waiting &Offered) const {
  const GateRequest &Request = Offered.m_Request;
  const auto Turns = m_Turns.find(Request.m_Priority);
  if (Request.m_Nested || Turns == m_Turns.end())
    return {};
  OrganisationTurns::Turn Result = Turns->second.next(Request.m_Organisation);
  for (const Waiting &Each : m_Waiting)
    if (shareTurns(Each.m_Request, Request) &&
        dueBy(Each.m_Request) > dueBy(Request) &&
        Each.m_Turn.m_Start < Result.m_Start)
      Result = Each.m_Turn;
  return Result;
}

void RequestGate::enqueue(const Waiting &Offered) {
  const GateRequest &Request = Offered.m_Request;
  if (!Request.m_Nested) {
    OrganisationTurns &Turns = m_Turns[Request.m_Priority];
    OrganisationTurns::Turn Spare = Turns.next(Request.m_Organisation);
    Turns.take(Request.m_Organisation, Spare);
    // The later ones of the organisation move one turn back, beginning with the
    // last.
    std::vector<Waiting *> Later;
    for (Waiting &Each : m_Waiting)
      if (shareTurns(Each.m_Request, Request) &&
          dueBy(Each.m_Request) > dueBy(Request))
        Later.push_back(&Each);
    std::sort(Later.begin(), Later.end(),
              [&](const Waiting *Left, const Waiting *Right) {
                return dueBy(Left->m_Request) != dueBy(Right->m_Request)
                           ? dueBy(Left->m_Request) > dueBy(Right->m_Request)
                           : Left->m_Sequence > Right->m_Sequence;
              });
    for (Waiting *Each : Later)
      std::swap(Each->m_Turn, Spare);
  }
  m_Waiting.push_back(Offered);
}

void RequestGate::giveTurnBack(const Waiting &Left) {
  const auto Turns = m_Turns.find(Left.m_Request.m_Priority);
  if (Left.m_Request.m_Nested || Turns == m_Turns.end())
    return;
  Turns->second.giveBack(Left.m_Request.m_Organisation, Left.m_Turn);
  for (Waiting &Each : m_Waiting)
    if (shareTurns(Each.m_Request, Left.m_Request) &&
        Each.m_Turn.m_Start > Left.m_Turn.m_Start)
      Each.m_Turn.m_Start -= Left.m_Turn.m_Cost;
}

void RequestGate::useTurn(const GateRequest &Request) {
  if (Request.m_Nested)
    return;
  OrganisationTurns &Turns = m_Turns[Request.m_Priority];
  const OrganisationTurns::Turn Used = Turns.next(Request.m_Organisation);
  Turns.take(Request.m_Organisation, Used);
  Turns.sent(Used);
}

bool RequestGate::mayDisplace(const Waiting &Offered,
                              const Waiting &Other) const {
  if (m_Options.m_RoomByPriority && Offered.m_Rank != Other.m_Rank)
    return Offered.m_Rank < Other.m_Rank;
  const GateRequest &New = Offered.m_Request;
  const GateRequest &Old = Other.m_Request;
  return !New.m_Nested && !Old.m_Nested && New.m_Priority == Old.m_Priority &&
         New.m_Organisation != Old.m_Organisation;
}

std::vector<RequestGate::Waiting>::iterator
RequestGate::lastDisplaceable(const Waiting &Offered, TimePoint Now) {
  auto Last = m_Waiting.end();
  for (auto Each = m_Waiting.begin(); Each != m_Waiting.end(); ++Each)
    if (mayDisplace(Offered, *Each) && precedes(Offered, *Each, Now) &&
        (Last == m_Waiting.end() || precedes(*Last, *Each, Now)))
      Last = Each;
  return Last;
}

} // namespace balsamwheel
