// Opening of the gate to the local target, and its closing in time when the
// target leaves or its failure domain is out of service.
#include "target_agent.h"

#include <algorithm>

namespace balsamwheel {

void TargetAgent::limitColdRate() {
  if (m_ServiceSpec && m_ServiceSpec->m_ColdRate > 0 &&
      m_ColdUntil > m_Loop.now())
    m_Gate.limitRate(m_ServiceSpec->m_ColdRate, m_ColdUntil, m_Loop.now());
}

void TargetAgent::openGate() {
  if (!m_Target || !m_ServiceSpec || leaving() || m_RefuseNew)
    return;
  limitColdRate();
  if (m_Capacity)
    m_Capacity->setSlots(namedSlots(), m_Loop.now());
  m_Gate.open(gateSlots());
  m_Loop.post([this] { sendQueued(); });
}

void TargetAgent::closeGate(Reason Why) {
  std::vector<JobId> Rejected = m_Gate.close();
  Rejected.insert(Rejected.end(), m_AwaitingGrant.begin(),
                  m_AwaitingGrant.end());
  m_AwaitingGrant.clear();
  for (JobId Each : Rejected)
    finish(Each, {.m_Outcome = Outcome::NotRun, .m_Reason = Why});
}

void TargetAgent::scheduleClose() {
  m_Loop.cancel(m_CloseTimer);
  m_CloseAt.reset();
  if (!m_LeaveLimit && !m_EvacuationLimit)
    return;
  // Keys need time to be handed over; requests without a key can go to other
  // instances immediately.
  const TimePoint Now = m_Loop.now();
  const bool HoldsKeys = m_Keys && m_Keys->heldUntil() > Now;
  m_CloseAt = std::min(m_LeaveLimit.value_or(TimePoint::max()),
                       m_EvacuationLimit.value_or(TimePoint::max())) -
              m_Options.m_CloseMargin;
  if (!HoldsKeys)
    m_CloseAt = std::min(*m_CloseAt, Now);
  closeIfDue();
  if (m_CloseAt)
    m_CloseTimer = m_Loop.after(*m_CloseAt - Now, [this] { closeIfDue(); });
}

void TargetAgent::closeIfDue() {
  if (!m_CloseAt || m_Loop.now() < *m_CloseAt)
    return;
  const Reason Why = m_Leaving ? Reason::Draining : Reason::DomainOut;
  m_Log.write(LogClass::StateChange,
              LogLine("gate_closed")
                  .add("target", m_Target ? m_Target->m_Id.value() : "")
                  .add("why", m_Leaving ? "leaving" : "domain_out")
                  .add("late", m_Loop.now() - *m_CloseAt)
                  .add("waiting", static_cast<std::int64_t>(m_Gate.waiting())));
  m_Loop.cancel(m_CloseTimer);
  m_CloseAt.reset();
  closeGate(Why);
}

void TargetAgent::leave(const char *Why) {
  leaveUntil(m_Loop.now() + m_Settings.m_DrainLimit, Why);
}

void TargetAgent::leaveUntil(TimePoint Limit, const char *Why) {
  if (m_Leaving)
    return;
  m_Leaving = true;
  m_Log.write(LogClass::StateChange,
              LogLine("target_leaving")
                  .add("target", m_Target ? m_Target->m_Id.value() : "")
                  .add("why", Why)
                  .add("waiting", static_cast<std::int64_t>(m_Gate.waiting())));
  m_LeaveLimit = Limit;
  scheduleClose();
}

void TargetAgent::refuseNew() {
  if (m_RefuseNew)
    return;
  m_RefuseNew = true;
  closeGate(Reason::Draining);
}

void TargetAgent::setEvacuated(bool Evacuated, TimePoint Limit) {
  if (Evacuated == m_Evacuated)
    return;
  m_Evacuated = Evacuated;
  m_Log.write(LogClass::StateChange,
              LogLine(Evacuated ? "domain_out" : "domain_in")
                  .add("domain", m_Settings.m_Domain.value())
                  .add("limit_in", Evacuated ? std::max(Limit - m_Loop.now(),
                                                        Duration::zero())
                                             : Duration::zero()));
  m_EvacuationLimit = Evacuated ? std::optional(Limit) : std::nullopt;
  scheduleClose();
  openGate();
}

} // namespace balsamwheel
