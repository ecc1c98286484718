// When a silent session may be expelled.
#include "balsamwheel/detail/coordination/expulsion.h"

#include "balsamwheel/detail/core/safety_rules.h"

namespace balsamwheel {

void ExpulsionJudge::observe(SessionId Session, std::uint64_t Sequence,
                             TimePoint Now) {
  const auto [Found, New] = m_Records.try_emplace(Session);
  Record &Kept = Found->second;
  if (!New && Sequence <= Kept.m_Sequence)
    return;
  Kept = {.m_Sequence = Sequence, .m_Since = Now, .m_Promises = {}};
}

void ExpulsionJudge::observe(const GroupMember &Subject, TimePoint Now) {
  const SessionId Session = Subject.m_Member.m_Session;
  observe(Session, Subject.m_Sequence, Now);
  const auto [Found, New] = m_Sets.try_emplace(Session);
  if (New || Found->second.m_Witnesses != Subject.m_Witnesses)
    Found->second = {.m_Witnesses = Subject.m_Witnesses, .m_Since = Now};
}

void ExpulsionJudge::noteReplaced(SessionId Witness, TimePoint Now) {
  m_Replaced.try_emplace(Witness, Now);
}

void ExpulsionJudge::forget(SessionId Session) {
  m_Records.erase(Session);
  m_Sets.erase(Session);
  m_Replaced.erase(Session);
}

bool ExpulsionJudge::isReplaced(SessionId Witness, TimePoint Now) const {
  const auto Found = m_Replaced.find(Witness);
  return Found != m_Replaced.end() && Now - Found->second >= m_Options.m_Wait;
}

std::size_t ExpulsionJudge::withheld(const GroupMember &Subject,
                                     TimePoint Now) const {
  std::size_t Result = 0;
  for (SessionId Witness : Subject.m_Witnesses)
    if (hasPromised(Subject, Witness) || isReplaced(Witness, Now))
      ++Result;
  const auto Set = m_Sets.find(Subject.m_Member.m_Session);
  const bool VacancyCounts = Set != m_Sets.end() &&
                             Set->second.m_Witnesses == Subject.m_Witnesses &&
                             Now - Set->second.m_Since >= m_Options.m_Wait;
  if (VacancyCounts)
    Result += WitnessCount - Subject.m_Witnesses.size();
  return Result;
}

bool ExpulsionJudge::mayExpel(const GroupMember &Subject, TimePoint Now) const {
  if (!waitIsOver(Subject, Now))
    return false;
  if (!m_Options.m_UseWitnesses || limitIsOver(Subject, Now))
    return true;
  return withheld(Subject, Now) > WitnessCount - WitnessQuorum;
}

void ExpulsionJudge::onPromise(SessionId Subject, std::uint64_t Sequence,
                               SessionId By) {
  const auto Found = m_Records.find(Subject);
  if (Found != m_Records.end() && Found->second.m_Sequence == Sequence)
    Found->second.m_Promises.insert(By);
}

bool ExpulsionJudge::isSuspect(const GroupMember &Subject,
                               TimePoint Now) const {
  const auto Found = m_Records.find(Subject.m_Member.m_Session);
  return Found != m_Records.end() &&
         Now - Found->second.m_Since >= m_Options.m_Suspect;
}

bool ExpulsionJudge::waitIsOver(const GroupMember &Subject,
                                TimePoint Now) const {
  const auto Found = m_Records.find(Subject.m_Member.m_Session);
  if (Found == m_Records.end() ||
      Found->second.m_Sequence != Subject.m_Sequence)
    return false;
  if (!enforced<Rule::TakerWait>())
    return isSuspect(Subject, Now);
  return Now - Found->second.m_Since >= m_Options.m_Wait;
}

bool ExpulsionJudge::limitIsOver(const GroupMember &Subject,
                                 TimePoint Now) const {
  const auto Found = m_Records.find(Subject.m_Member.m_Session);
  return Found != m_Records.end() &&
         Now - Found->second.m_Since >= m_Options.m_ExtensionLimit;
}

bool ExpulsionJudge::hasPromised(const GroupMember &Subject,
                                 SessionId Witness) const {
  const auto Found = m_Records.find(Subject.m_Member.m_Session);
  return Found != m_Records.end() &&
         Found->second.m_Sequence == Subject.m_Sequence &&
         Found->second.m_Promises.contains(Witness);
}

} // namespace balsamwheel
