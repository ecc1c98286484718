// Grants and promises of a witness.
#include "balsamwheel/detail/coordination/witness.h"

#include "balsamwheel/detail/core/safety_rules.h"

#include <algorithm>

namespace balsamwheel {

void Witness::onNamed(SessionId Subject, TimePoint Now) {
  const auto [Found, New] = m_Records.try_emplace(Subject);
  if (New)
    Found->second.m_GrantedUntil = Now + m_GrantTime;
}

bool Witness::grant(SessionId Subject, std::uint64_t Committed, TimePoint Now) {
  const auto Found = m_Records.find(Subject);
  if (Found == m_Records.end())
    return false;
  Record &Kept = Found->second;
  if (enforced<Rule::WitnessPromise>() && Kept.m_Promised >= Committed)
    return false;
  Kept.m_GrantedUntil = std::max(Kept.m_GrantedUntil, Now + m_GrantTime);
  return true;
}

bool Witness::promise(SessionId Subject, std::uint64_t Sequence,
                      TimePoint Now) {
  const auto Found = m_Records.find(Subject);
  if (Found == m_Records.end())
    return false;
  Record &Kept = Found->second;
  Kept.m_Promised = std::max(Kept.m_Promised, Sequence);
  return !enforced<Rule::WitnessPromise>() || Now >= Kept.m_GrantedUntil;
}

void Witness::forget(SessionId Subject) { m_Records.erase(Subject); }

} // namespace balsamwheel
