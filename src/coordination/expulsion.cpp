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
