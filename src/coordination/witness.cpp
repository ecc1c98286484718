// Decides on extensions and promises of a witness.
#include "balsamwheel/detail/coordination/witness.h"

#include "balsamwheel/detail/core/safety_rules.h"

#include <algorithm>

namespace balsamwheel {

void Witness::onAssigned(SessionId Subject, TimePoint Now) {
  const auto [Found, New] = m_Records.try_emplace(Subject);
  if (New)
    Found->second.m_GrantedUntil = Now + m_GrantDuration;
}

bool Witness::tryGrant(SessionId Subject, std::uint64_t Committed,
                       TimePoint Now) {
  const auto Found = m_Records.find(Subject);
  if (Found == m_Records.end())
    return false;
  Record &Tracked = Found->second;
  if (enforced<Rule::WitnessPromise>() &&
      Tracked.m_PromisedSequence >= Committed)
    return false;
  Tracked.m_GrantedUntil =
      std::max(Tracked.m_GrantedUntil, Now + m_GrantDuration);
  return true;
}

bool Witness::tryPromise(SessionId Subject, std::uint64_t Sequence,
                         TimePoint Now) {
  const auto Found = m_Records.find(Subject);
  if (Found == m_Records.end())
    return false;
  Record &Tracked = Found->second;
  Tracked.m_PromisedSequence = std::max(Tracked.m_PromisedSequence, Sequence);
  return !enforced<Rule::WitnessPromise>() || Now >= Tracked.m_GrantedUntil;
}

void Witness::forget(SessionId Subject) { m_Records.erase(Subject); }

} // namespace balsamwheel
