// The holder's side of a lease.
#include "balsamwheel/detail/coordination/lease.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Renewals whose send time is remembered.
constexpr std::size_t KeptRenewals = 32;

} // namespace

std::uint64_t LeaseHolder::startRenewal(TimePoint Now) {
  m_Sent[++m_Sequence] = Now;
  if (m_Sent.size() > KeptRenewals) {
    m_Grants.erase(m_Sent.begin()->first);
    m_Sent.erase(m_Sent.begin());
  }
  return m_Sequence;
}

bool LeaseHolder::onCommitted(std::uint64_t Sequence) {
  if (Sequence <= m_Committed || Sequence > m_Sequence)
    return false;
  m_Committed = Sequence;
  const auto Sent = m_Sent.find(Sequence);
  if (Sent != m_Sent.end()) {
    m_CommittedSent = Sent->second;
    extendTo(Sent->second + m_Lease, false);
  }
  return true;
}

void LeaseHolder::onGrant(std::uint64_t Sequence, SessionId Witness,
                          const std::vector<SessionId> &Witnesses) {
  const auto Sent = m_Sent.find(Sequence);
  if (Sent == m_Sent.end() || !std::ranges::count(Witnesses, Witness))
    return;
  std::set<SessionId> &Grants = m_Grants[Sequence];
  Grants.insert(Witness);
  if (Grants.size() < WitnessQuorum)
    return;
  const TimePoint Limit = m_CommittedSent + m_ExtensionLimit;
  extendTo(std::min(Sent->second + m_Lease, Limit), true);
}

void LeaseHolder::extendTo(TimePoint End, bool Extended) {
  if (End <= m_End)
    return;
  m_End = End;
  m_Extended = Extended;
}

void LeaseHolder::drop() { m_End = TimePoint{}; }

bool LeaseHolder::holds(TimePoint Now) const { return Now < m_End; }

TimePoint LeaseHolder::sentAt(std::uint64_t Sequence) const {
  const auto Sent = m_Sent.find(Sequence);
  return Sent == m_Sent.end() ? TimePoint{} : Sent->second;
}

} // namespace balsamwheel
