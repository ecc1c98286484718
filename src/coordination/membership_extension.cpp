// Lease extension by witnesses while the table is unreachable: the holder's and
// the witness's side.
#include "balsamwheel/detail/coordination/membership.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Fraction of the lease duration: witnesses are asked for an extension when
/// less than this is left.
constexpr double ExtensionThreshold = 0.45;
constexpr Duration ExtensionRetryDelay = std::chrono::milliseconds(250);

} // namespace

void Membership::scheduleExtension() {
  const CoordinationTiming &Timing = m_Context->m_Options.m_Timing;
  const auto Left =
      std::chrono::duration_cast<Duration>(Timing.m_Lease * ExtensionThreshold);
  m_ExtendAt =
      m_Context->m_Options.m_UseWitnesses ? m_Lease.end() - Left : Never;
}

void Membership::requestExtension(TimePoint Now) {
  scheduleExtension();
  if (m_State != State::Joined || m_ExtendAt > Now)
    return;
  m_ExtendAt = Now + ExtensionRetryDelay;
  const GroupRow *Group = m_Context->m_View.findGroup(m_Group);
  const GroupMember *Self = Group ? Group->find(m_Context->m_Session) : nullptr;
  if (!Self)
    return;
  m_Lease.startRenewal(Now);
  ExtendRequest Request;
  Request.m_Session = m_Context->m_Session;
  Request.m_Sequence = m_Lease.sequence();
  Request.m_SequenceCommitted = m_Lease.committed();
  Request.m_Group = m_Group;
  Request.m_GroupRowVersion = m_AckedRow;
  Request.m_ConfigApplied = m_Context->m_View.configVersion();
  Request.m_HeadVersionSeen = m_Context->m_View.completeHeadVersion().value();
  for (SessionId Witness : Self->m_Witnesses)
    m_Context->sendTo(Witness, Request);
}

void Membership::onExtendRequest(const ExtendRequest &Message, TimePoint Now) {
  const GroupRow *Group = m_Context->m_View.findGroup(Message.m_Group);
  const GroupMember *Subject = Group ? Group->find(Message.m_Session) : nullptr;
  if (!Subject)
    return;
  const RowVersion Seen(Message.m_HeadVersionSeen);
  const bool Behind = Seen < m_Context->m_View.completeHeadVersion();
  if (Behind)
    m_Context->send(Subject->m_Member.m_Peer,
                    Changes{m_Context->m_View.completeHeadVersion(),
                            m_Context->m_View.rowsSince(Seen)});
  const bool IsListed =
      std::ranges::count(Subject->m_Witnesses, m_Context->m_Session) > 0;
  const bool MayGrant =
      m_State == State::Joined && m_Lease.holds(Now) && IsListed && !Behind;
  ExtendReply Reply;
  Reply.m_Session = Message.m_Session;
  Reply.m_Witness = m_Context->m_Session;
  Reply.m_Sequence = Message.m_Sequence;
  Reply.m_Granted =
      MayGrant &&
      m_Witness.tryGrant(Message.m_Session, Message.m_SequenceCommitted, Now);
  m_Context->send(Subject->m_Member.m_Peer, Reply);
}

void Membership::onExtendReply(const ExtendReply &Message, TimePoint Now) {
  if (m_State != State::Joined || !Message.m_Granted ||
      Message.m_Session != m_Context->m_Session)
    return;
  const GroupRow *Group = m_Context->m_View.findGroup(m_Group);
  const GroupMember *Self = Group ? Group->find(m_Context->m_Session) : nullptr;
  if (!Self)
    return;
  m_Lease.onGrant(Message.m_Sequence, Message.m_Witness, Self->m_Witnesses);
  if (m_Lease.holds(Now))
    scheduleExtension();
}

PromiseReply Membership::answerPromise(const PromiseRequest &Message,
                                       TimePoint Now) {
  PromiseReply Reply;
  Reply.m_Subject = Message.m_Subject;
  Reply.m_Witness = m_Context->m_Session;
  Reply.m_Sequence = Message.m_Sequence;
  Reply.m_Group = Message.m_Group;
  Reply.m_GroupRowVersion = Message.m_GroupRowVersion;
  Reply.m_Promised =
      Message.m_Sequence != 0 &&
      m_Witness.tryPromise(Message.m_Subject, Message.m_Sequence, Now);
  return Reply;
}

bool Membership::hasEndedLongAgo(SessionId Former, TimePoint Now) const {
  const auto Ended = m_FormerSessions.find(Former);
  const TimePoint EndedBy =
      Ended == m_FormerSessions.end() ? m_StartedAt : Ended->second;
  return Now - EndedBy >= grantDuration();
}

std::vector<PromiseReply>
Membership::answerPromises(const PromiseRequest &Message, TimePoint Now) {
  std::vector<PromiseReply> Result{answerPromise(Message, Now)};
  const GroupRow *Group = m_Context->m_View.findGroup(Message.m_Group);
  const GroupMember *Subject = Group ? Group->find(Message.m_Subject) : nullptr;
  if (!Subject)
    return Result;
  std::vector<SessionId> Concerned = Subject->m_Witnesses;
  Concerned.push_back(Message.m_Subject);
  for (SessionId Session : Concerned) {
    const GroupMember *Listed = Group->find(Session);
    if (!Listed || Session == m_Context->m_Session ||
        Listed->m_Member.m_Peer != m_Self.m_Peer ||
        !hasEndedLongAgo(Session, Now))
      continue;
    PromiseReply &Reply = Result.emplace_back(Result.front());
    Reply.m_Witness = Session;
    Reply.m_Promised = true;
  }
  return Result;
}

void Membership::onPromiseRequest(const PromiseRequest &Message,
                                  const PeerAddress &From, TimePoint Now) {
  for (const PromiseReply &Reply : answerPromises(Message, Now))
    m_Context->send(From, Reply);
}

void Membership::onPromiseReply(const PromiseReply &Message) {
  m_Leader.onPromiseReply(Message);
}

void Membership::updateWitnessedSessions(TimePoint Now) {
  const GroupRow *Group = m_Context->m_View.findGroup(m_Group);
  if (!Group)
    return;
  for (const GroupMember &Each : Group->m_Members)
    if (std::ranges::count(Each.m_Witnesses, m_Context->m_Session))
      m_Witness.onAssigned(Each.m_Member.m_Session, Now);
  for (SessionId Expelled : Group->m_Expelled)
    m_Witness.forget(Expelled);
}

} // namespace balsamwheel
