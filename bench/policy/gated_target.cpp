// Passes requests through an AdmissionGate to a modelled target.
#include "policy/gated_target.h"

#include <utility>

namespace balsamwheel::policy {

namespace {

/// Period of the checks for requests that can start or have expired.
constexpr Duration SweepPeriod = std::chrono::milliseconds(5);

} // namespace

GatedTarget::GatedTarget(EventLoop &Loop, const AdmissionOptions &Gate,
                         const ModelledTargetOptions &TargetOptions)
    : m_Loop(Loop), m_Gate(Gate, Loop.now()), m_Target(Loop, TargetOptions) {
  sweep();
}

RequestHandle GatedTarget::send(Urgency Class, Duration ServiceTime,
                                TimePoint Deadline,
                                CompletionHandler OnCompletion) {
  const RequestHandle Handle(m_NextHandle++);
  m_Sends[Handle] = {.m_Class = Class,
                     .m_ServiceTime = ServiceTime,
                     .m_OnCompletion = std::move(OnCompletion)};
  const AdmissionDecision Decision =
      m_Gate.offer(Handle, Class, Deadline, m_Loop.now());
  if (Decision.m_Verdict == AdmissionVerdict::Run)
    start(Handle);
  else if (Decision.m_Verdict == AdmissionVerdict::Refused)
    m_Loop.after(Duration(0),
                 [this, Handle] { end(Handle, SendResult::Refused); });
  return Handle;
}

void GatedTarget::cancel(RequestHandle Handle) {
  const auto Found = m_Sends.find(Handle);
  if (Found == m_Sends.end())
    return;
  const Send Cancelled = std::move(Found->second);
  m_Sends.erase(Found);
  if (Cancelled.m_TargetRequest == 0) {
    m_Gate.withdraw(Handle);
    return;
  }
  m_Target.cancel(Cancelled.m_TargetRequest);
  m_Gate.released(Cancelled.m_Class);
  processQueue();
}

void GatedTarget::start(RequestHandle Handle) {
  Send &Started = m_Sends.at(Handle);
  Started.m_TargetRequest = m_Target.start(
      Started.m_ServiceTime,
      [this, Handle](const OrderResult &Result) { finish(Handle, Result); });
}

void GatedTarget::finish(RequestHandle Handle, const OrderResult &Result) {
  const auto Found = m_Sends.find(Handle);
  if (Found == m_Sends.end())
    return;
  m_Gate.finished(Found->second.m_Class, Result, m_Loop.now());
  end(Handle, Result.m_Failed ? SendResult::Failed : SendResult::Answered);
  processQueue();
}

void GatedTarget::end(RequestHandle Handle, SendResult Result) {
  const auto Found = m_Sends.find(Handle);
  if (Found == m_Sends.end())
    return;
  const CompletionHandler OnCompletion =
      std::move(Found->second.m_OnCompletion);
  m_Sends.erase(Found);
  OnCompletion(Result);
}

void GatedTarget::processQueue() {
  while (const auto Handle = m_Gate.next(m_Loop.now()))
    start(*Handle);
  for (const RequestHandle Handle : m_Gate.expire(m_Loop.now()))
    end(Handle, SendResult::Refused);
}

void GatedTarget::sweep() {
  m_Loop.after(SweepPeriod, [this] { sweep(); });
  processQueue();
}

} // namespace balsamwheel::policy
