// Requests at the gate to the local target: admission, refusal, and sending
// when there is room.
#include "target_agent.h"

namespace balsamwheel {

void TargetAgent::offer(JobId Id) {
  closeIfDue();
  const Job &Entry = m_Jobs.at(Id);
  const GateDecision Decision =
      m_Gate.offer({.m_Handle = Id,
                    .m_Route = Entry.m_Job.m_Route,
                    .m_Priority = Entry.m_Job.m_Priority,
                    .m_Organisation = Entry.m_Job.m_Organisation,
                    .m_Nested = Entry.m_Job.m_Nested,
                    .m_Objective = Entry.m_Job.m_Objective,
                    .m_Deadline = Entry.m_Job.m_Deadline},
                   m_Loop.now());
  if (Decision.m_Displaced)
    refuseWaiting(*Decision.m_Displaced, "displaced", Reason::Overloaded,
                  Decision.m_RetryAfter);
  switch (Decision.m_Verdict) {
  case GateVerdict::Send:
    return send(Id);
  case GateVerdict::Wait:
    if (m_Gate.waiting() == 1)
      expireWaiting();
    return sendQueued();
  case GateVerdict::Refuse:
    break;
  }
  const Reason Why = m_Gate.isOpen() ? Reason::Overloaded
                     : m_Leaving     ? Reason::Draining
                     : m_Evacuated   ? Reason::DomainOut
                                     : Reason::TargetFailed;
  refuseWaiting(Id, toString(Decision.m_Why), Why, Decision.m_RetryAfter);
}

void TargetAgent::refuseWaiting(JobId Id, std::string_view Cause, Reason Why,
                                Duration RetryAfter) {
  const auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return;
  const Job &Entry = Found->second;
  m_Log.write(LogClass::Failure,
              LogLine("gate_refused")
                  .add("request", Entry.m_Job.m_Id)
                  .add("route", Entry.m_Job.m_Route)
                  .add("organisation", Entry.m_Job.m_Organisation.value())
                  .add("priority", std::int64_t{Entry.m_Job.m_Priority})
                  .add("nested", std::int64_t{Entry.m_Job.m_Nested})
                  .add("cause", Cause)
                  .add("reason", toString(Why))
                  .add("running", std::int64_t{m_Gate.running()})
                  .add("waiting", static_cast<std::int64_t>(m_Gate.waiting()))
                  .add("waited", m_Loop.now() - Entry.m_Submitted)
                  .add("retry_after", RetryAfter));
  finish(Id, {.m_Outcome = Outcome::Wait,
              .m_Reason = Why,
              .m_RetryAfter = RetryAfter});
}

void TargetAgent::sendQueued() {
  closeIfDue();
  while (auto Next = m_Gate.next(m_Loop.now()))
    send(*Next);
  m_Loop.cancel(m_SendTimer);
  if (const auto Wake = m_Gate.nextWake(m_Loop.now()))
    m_SendTimer = m_Loop.after(*Wake - m_Loop.now(), [this] { sendQueued(); });
}

void TargetAgent::expireWaiting() {
  m_Loop.cancel(m_ExpireTimer);
  for (JobId Each : m_Gate.expire(m_Loop.now()))
    refuseWaiting(Each, "expired", Reason::DeadlinePassed,
                  m_Gate.meanService());
  if (m_Gate.waiting() > 0)
    m_ExpireTimer = m_Loop.after(m_Options.m_Gate.m_ExpireInterval,
                                 [this] { expireWaiting(); });
}

} // namespace balsamwheel
