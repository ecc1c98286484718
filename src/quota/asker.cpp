// Questions to keepers, and the decisions on waiting requests.
#include "balsamwheel/detail/quota/asker.h"

#include <algorithm>
#include <utility>

namespace balsamwheel {

QuotaTicket QuotaAsker::add(const OrganisationName &Organisation,
                            TimePoint Until) {
  m_LastTicket = QuotaTicket(m_LastTicket.value() + 1);
  m_Organisations[Organisation].m_Waiting.push_back(
      {.m_Ticket = m_LastTicket, .m_Until = Until});
  m_Tickets.emplace(m_LastTicket, Organisation);
  return m_LastTicket;
}

void QuotaAsker::cancel(QuotaTicket Ticket) {
  const auto Known = m_Tickets.extract(Ticket);
  if (Known.empty())
    return;
  const auto Found = m_Organisations.find(Known.mapped());
  Organisation &Of = Found->second;
  const auto At = std::find_if(
      Of.m_Waiting.begin(), Of.m_Waiting.end(),
      [&](const Waiting &Each) { return Each.m_Ticket == Ticket; });
  // The token that was asked for it goes to another request, or back.
  if (Of.m_Question && static_cast<std::size_t>(At - Of.m_Waiting.begin()) <
                           Of.m_Question->m_Count)
    --Of.m_Question->m_Count;
  Of.m_Waiting.erase(At);
  eraseIfIdle(Found);
}

void QuotaAsker::giveBack(const OrganisationName &Name, TimePoint GrantedAt,
                          TimePoint Now) {
  if (Now - GrantedAt > m_Options.m_MaxReturnAge)
    return;
  Organisation &To = m_Organisations[Name];
  if (To.m_Returned == 0)
    To.m_ReturnBy = Now + m_Options.m_ReturnDelay;
  ++To.m_Returned;
}

void QuotaAsker::abandon(Organisation &Asked,
                         const std::optional<QuotaKeeperRef> &Keeper,
                         TimePoint Now) const {
  if (!Asked.m_Question)
    return;
  const bool Lost = Keeper && !Keeper->sameProcess(Asked.m_Question->m_Keeper);
  if (Lost || Now - Asked.m_Question->m_SentAt > m_Options.m_ReplyLimit)
    Asked.m_Question.reset();
}

std::optional<QuotaAsker::Outgoing>
QuotaAsker::question(const OrganisationName &Name, Organisation &Asked,
                     const std::optional<QuotaKeeperRef> &Keeper,
                     TimePoint Now) {
  abandon(Asked, Keeper, Now);
  const bool Asks = !Asked.m_Waiting.empty() && Now >= Asked.m_NotBefore;
  const bool Returns = Asked.m_Returned > 0 && Now >= Asked.m_ReturnBy;
  if (Asked.m_Question || (!Asks && !Returns))
    return std::nullopt;
  if (!Keeper) {
    // Nobody is there to take the tokens.
    if (Returns)
      Asked.m_Returned = 0;
    return std::nullopt;
  }
  m_LastSequence = QuotaSequence(m_LastSequence.value() + 1);
  const std::size_t Count = Asks ? Asked.m_Waiting.size() : 0;
  Asked.m_Question = Question{.m_Keeper = *Keeper,
                              .m_Sequence = m_LastSequence,
                              .m_SentAt = Now,
                              .m_Count = Count};
  return Outgoing{
      .m_Keeper = *Keeper,
      .m_Frame = {.m_Asker = m_Process,
                  .m_Sequence = m_LastSequence,
                  .m_Keeper = Keeper->m_Process,
                  .m_Stamp = Keeper->m_Stamp,
                  .m_Organisation = Name,
                  .m_Count = static_cast<std::uint32_t>(Count),
                  .m_Returned = std::exchange(Asked.m_Returned, 0)}};
}

std::vector<QuotaAsker::Outgoing> QuotaAsker::due(const KeeperOf &Keeper,
                                                  TimePoint Now) {
  std::vector<Outgoing> Result;
  for (auto Each = m_Organisations.begin(); Each != m_Organisations.end();) {
    if (auto Asked = question(Each->first, Each->second,
                              Keeper(quotaGroupOf(Each->first)), Now))
      Result.push_back(std::move(*Asked));
    Each = eraseIfIdle(Each);
  }
  return Result;
}

QuotaTicket QuotaAsker::take(Organisation &From) {
  const QuotaTicket Ticket = From.m_Waiting.front().m_Ticket;
  From.m_Waiting.pop_front();
  m_Tickets.erase(Ticket);
  return Ticket;
}

void QuotaAsker::applyDenial(Organisation &Asked, const QuotaReply &Reply,
                             std::size_t Count,
                             std::vector<QuotaDecision> &Result) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.push_back(
        {.m_Ticket = take(Asked),
         .m_Verdict = QuotaVerdict::Denied,
         .m_RetryAfter = std::min(
             Reply.m_Wait + Reply.m_Spacing * static_cast<std::int64_t>(Index),
             m_Options.m_MaxWait)});
}

std::vector<QuotaDecision> QuotaAsker::onReply(const InstanceName &From,
                                               const QuotaReply &Reply,
                                               TimePoint Now) {
  std::vector<QuotaDecision> Result;
  const auto Found = m_Organisations.find(Reply.m_Organisation);
  if (Found == m_Organisations.end() || !Found->second.m_Question ||
      Reply.m_Asker != m_Process)
    return Result;
  Organisation &Asked = Found->second;
  const Question Sent = *Asked.m_Question;
  if (Sent.m_Sequence != Reply.m_Sequence || Sent.m_Keeper.m_Instance != From ||
      Now - Sent.m_SentAt > m_Options.m_ReplyLimit)
    return Result;
  Asked.m_Question.reset();
  std::uint32_t Tokens = Reply.m_Granted;
  std::size_t Left = Sent.m_Count;
  for (; Tokens > 0 && !Asked.m_Waiting.empty(); --Tokens) {
    Result.push_back(
        {.m_Ticket = take(Asked), .m_Verdict = QuotaVerdict::Granted});
    Left -= Left > 0 ? 1 : 0;
  }
  for (; Tokens > 0; --Tokens)
    giveBack(Reply.m_Organisation, Now, Now);
  if (Reply.m_Unavailable)
    Asked.m_NotBefore = Now + m_Options.m_RetryDelay;
  else
    applyDenial(Asked, Reply, Left, Result);
  eraseIfIdle(Found);
  return Result;
}

void QuotaAsker::expireIn(Organisation &Of, TimePoint Now,
                          std::vector<QuotaDecision> &Result) {
  const std::size_t Asked = Of.m_Question ? Of.m_Question->m_Count : 0;
  std::deque<Waiting> Kept;
  for (std::size_t Index = 0; Index < Of.m_Waiting.size(); ++Index) {
    const Waiting &Request = Of.m_Waiting[Index];
    const bool Crowded =
        Index >= Asked && Kept.size() >= m_Options.m_MaxWaiting;
    if (Now < Request.m_Until && !Crowded) {
      Kept.push_back(Request);
      continue;
    }
    if (Index < Asked)
      --Of.m_Question->m_Count;
    m_Tickets.erase(Request.m_Ticket);
    Result.push_back(
        {.m_Ticket = Request.m_Ticket, .m_RetryAfter = m_Options.m_RetryDelay});
  }
  Of.m_Waiting = std::move(Kept);
}

std::vector<QuotaDecision> QuotaAsker::expire(TimePoint Now) {
  std::vector<QuotaDecision> Result;
  for (auto Each = m_Organisations.begin(); Each != m_Organisations.end();) {
    Organisation &Of = Each->second;
    const bool Due = Of.m_Waiting.size() > m_Options.m_MaxWaiting ||
                     std::any_of(Of.m_Waiting.begin(), Of.m_Waiting.end(),
                                 [&](const Waiting &Request) {
                                   return Now >= Request.m_Until;
                                 });
    if (Due)
      expireIn(Of, Now, Result);
    Each = eraseIfIdle(Each);
  }
  return Result;
}

} // namespace balsamwheel
