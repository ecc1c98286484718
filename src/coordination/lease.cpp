// Computes the end of a lease from commits and witness grants.
#include "balsamwheel/detail/coordination/lease.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Number of renewals whose send time is kept.
constexpr std::size_t MaxTrackedRenewals = 32;

} // namespace

std::uint64_t LeaseHolder::startRenewal(TimePoint Now) {
  m_SendTimes[++m_Sequence] = Now;
  if (m_SendTimes.size() > MaxTrackedRenewals) {
    m_Grants.erase(m_SendTimes.begin()->first);
    m_SendTimes.erase(m_SendTimes.begin());
  }
  return m_Sequence;
}

bool LeaseHolder::onCommitted(std::uint64_t Sequence) {
  if (Sequence <= m_Committed || Sequence > m_Sequence)
    return false;
  m_Committed = Sequence;
  const auto SendTime = m_SendTimes.find(Sequence);
  if (SendTime != m_SendTimes.end()) {
    m_CommittedSendTime = SendTime->second;
    extendTo(SendTime->second + m_Lease, false);
  }
  return true;
}

void LeaseHolder::onGrant(std::uint64_t Sequence, SessionId Witness,
                          const std::vector<SessionId> &Witnesses) {
  const auto SendTime = m_SendTimes.find(Sequence);
  if (SendTime == m_SendTimes.end() || !std::ranges::count(Witnesses, Witness))
    return;
  std::set<SessionId> &Grants = m_Grants[Sequence];
  Grants.insert(Witness);
  if (Grants.size() < WitnessQuorum)
    return;
  const TimePoint Limit = m_CommittedSendTime + m_ExtensionLimit;
  extendTo(std::min(SendTime->second + m_Lease, Limit), true);
}

void LeaseHolder::extendTo(TimePoint End, bool Extended) {
  if (End <= m_End)
    return;
  m_End = End;
  m_Extended = Extended;
}

void LeaseHolder::release() { m_End = TimePoint{}; }

bool LeaseHolder::holds(TimePoint Now) const { return Now < m_End; }

TimePoint LeaseHolder::sentAt(std::uint64_t Sequence) const {
  const auto SendTime = m_SendTimes.find(Sequence);
  return SendTime == m_SendTimes.end() ? TimePoint{} : SendTime->second;
}

} // namespace balsamwheel
