// Decides when a session that stopped renewing may be expelled.
#include "balsamwheel/detail/coordination/expulsion.h"

#include "balsamwheel/detail/core/safety_rules.h"

namespace balsamwheel {

void ExpulsionTracker::observe(SessionId Session, std::uint64_t Sequence,
                               TimePoint Now) {
  const auto [Found, New] = m_Records.try_emplace(Session);
  Record &Tracked = Found->second;
  if (!New && Sequence <= Tracked.m_Sequence)
    return;
  Tracked = {.m_Sequence = Sequence, .m_UnchangedSince = Now, .m_Promises = {}};
}

void ExpulsionTracker::observe(const GroupMember &Subject, TimePoint Now) {
  const SessionId Session = Subject.m_Member.m_Session;
  observe(Session, Subject.m_Sequence, Now);
  const auto [Found, New] = m_WitnessSets.try_emplace(Session);
  if (New || Found->second.m_Witnesses != Subject.m_Witnesses)
    Found->second = {.m_Witnesses = Subject.m_Witnesses,
                     .m_UnchangedSince = Now};
}

void ExpulsionTracker::markReplaced(SessionId Session, TimePoint Now) {
  m_Replaced.try_emplace(Session, Now);
}

void ExpulsionTracker::forget(SessionId Session) {
  m_Records.erase(Session);
  m_WitnessSets.erase(Session);
  m_Replaced.erase(Session);
}

bool ExpulsionTracker::isReplacedAndExpired(SessionId Session,
                                            TimePoint Now) const {
  const auto Found = m_Replaced.find(Session);
  return Found != m_Replaced.end() &&
         Now - Found->second >= m_Options.m_LeaseWait;
}

std::size_t ExpulsionTracker::countNonGranting(const GroupMember &Subject,
                                               TimePoint Now) const {
  std::size_t Result = 0;
  for (SessionId Witness : Subject.m_Witnesses)
    if (hasPromised(Subject, Witness) || isReplacedAndExpired(Witness, Now))
      ++Result;
  const auto Set = m_WitnessSets.find(Subject.m_Member.m_Session);
  const bool CountVacancies =
      Set != m_WitnessSets.end() &&
      Set->second.m_Witnesses == Subject.m_Witnesses &&
      Now - Set->second.m_UnchangedSince >= m_Options.m_LeaseWait;
  if (CountVacancies)
    Result += WitnessCount - Subject.m_Witnesses.size();
  return Result;
}

bool ExpulsionTracker::mayExpel(const GroupMember &Subject,
                                TimePoint Now) const {
  if (!isLeaseWaitOver(Subject, Now))
    return false;
  // A replaced session has got no extension since it was replaced, and one
  // whose successor promised for it holds no lease.
  const SessionId Session = Subject.m_Member.m_Session;
  if (!m_Options.m_UseWitnesses || isPastPromiseLimit(Subject, Now) ||
      isReplacedAndExpired(Session, Now) || hasPromised(Subject, Session))
    return true;
  return countNonGranting(Subject, Now) > WitnessCount - WitnessQuorum;
}

void ExpulsionTracker::onPromise(SessionId Subject, std::uint64_t Sequence,
                                 SessionId Witness) {
  const auto Found = m_Records.find(Subject);
  if (Found != m_Records.end() && Found->second.m_Sequence == Sequence)
    Found->second.m_Promises.insert(Witness);
}

bool ExpulsionTracker::isSuspect(const GroupMember &Subject,
                                 TimePoint Now) const {
  const auto Found = m_Records.find(Subject.m_Member.m_Session);
  return Found != m_Records.end() &&
         Now - Found->second.m_UnchangedSince >= m_Options.m_SuspectAfter;
}

bool ExpulsionTracker::isLeaseWaitOver(const GroupMember &Subject,
                                       TimePoint Now) const {
  const auto Found = m_Records.find(Subject.m_Member.m_Session);
  if (Found == m_Records.end() ||
      Found->second.m_Sequence != Subject.m_Sequence)
    return false;
  if (!enforced<Rule::TakeoverWait>())
    return isSuspect(Subject, Now);
  return Now - Found->second.m_UnchangedSince >= m_Options.m_LeaseWait;
}

bool ExpulsionTracker::isPastPromiseLimit(const GroupMember &Subject,
                                          TimePoint Now) const {
  const auto Found = m_Records.find(Subject.m_Member.m_Session);
  return Found != m_Records.end() &&
         Now - Found->second.m_UnchangedSince >= m_Options.m_PromiseLimit;
}

bool ExpulsionTracker::hasPromised(const GroupMember &Subject,
                                   SessionId Witness) const {
  const auto Found = m_Records.find(Subject.m_Member.m_Session);
  return Found != m_Records.end() &&
         Found->second.m_Sequence == Subject.m_Sequence &&
         Found->second.m_Promises.contains(Witness);
}

} // namespace balsamwheel
