// Implements the execution of forwarded requests at the local target.
#include "balsamwheel/detail/node/executor.h"

#include <algorithm>
#include <utility>

namespace balsamwheel {

namespace {

/// Maximum time that a request waits for the handover of its key.
constexpr Duration MaxHandoverWait = std::chrono::milliseconds(500);
/// Default interval between two tries of a parked request.
constexpr Duration HandoverRetryDelay = std::chrono::milliseconds(10);
/// Interval at which queued requests are checked for a free slot.
constexpr Duration QueueCheckInterval = std::chrono::milliseconds(20);

} // namespace

void Executor::onForward(ForwardRequest Request, const PeerAddress &From,
                         TimePoint Now) {
  if (!m_Context.isSelf(From))
    m_Context.send(From, ForwardReceipt{.m_Stream = Request.m_Stream});
  if (!m_ReplayWindow.accept(Request.m_Stream))
    return;
  Job CurrentJob;
  CurrentJob.m_From = From;
  CurrentJob.m_Stream = Request.m_Stream;
  CurrentJob.m_Meta = std::move(Request.m_Meta);
  CurrentJob.m_Http = std::move(Request.m_Http);
  CurrentJob.m_ExpectedEpoch = Request.m_Epoch;
  CurrentJob.m_Arrived = Now;
  CurrentJob.m_Deadline = Now + Request.m_TimeLeft;
  if (!m_Context.isOwnSession(Request.m_To)) {
    // The request is addressed to another run of this daemon, which may have
    // received another copy of it.
    reply(From, CurrentJob.m_Stream, {Outcome::Unknown, Reason::PeerLost}, {},
          CurrentJob.m_Meta);
    return;
  }
  if (Request.m_To != m_Context.coordinator().session()) {
    reply(From, CurrentJob.m_Stream, {Outcome::NotRun, Reason::NotOwner}, {},
          CurrentJob.m_Meta);
    return;
  }
  if (!classify(CurrentJob, Now)) {
    reply(From, CurrentJob.m_Stream, {Outcome::NotRun, Reason::UnknownService},
          {}, CurrentJob.m_Meta);
    return;
  }
  if (!CurrentJob.m_Meta.m_Idempotent &&
      !admitRequestId(CurrentJob, Request.m_ClearingQuery, Now))
    return;
  const JobHandle Handle(++m_LastHandle);
  m_Deadlines.emplace(CurrentJob.m_Deadline, Handle);
  m_Jobs.emplace(Handle, std::move(CurrentJob));
  tryStartJob(Handle, Now);
  drainQueue(Now);
}

bool Executor::classify(Job &CurrentJob, TimePoint Now) const {
  std::shared_ptr<const Config> KeepAlive;
  const Service *Found =
      m_Context.findService(CurrentJob.m_Meta.m_Service, KeepAlive);
  if (Found == nullptr)
    return false;
  CurrentJob.m_Key = hashKey(CurrentJob.m_Meta.m_Key);
  CurrentJob.m_Shard = shardFor(CurrentJob.m_Meta);
  for (const RequestClass &Class : Found->m_Classes) {
    if (Class.m_Name != CurrentJob.m_Meta.m_Class)
      continue;
    CurrentJob.m_Urgency = Class.m_Urgency;
    CurrentJob.m_Deadline =
        std::min(CurrentJob.m_Deadline, Now + Class.m_Deadline);
  }
  return true;
}

std::optional<ShardRef> Executor::shardFor(const RequestMeta &Meta) const {
  std::shared_ptr<const Config> KeepAlive;
  const Service *Found = m_Context.findService(Meta.m_Service, KeepAlive);
  if (Found == nullptr || !Found->m_DividedByKey || Found->m_Shards == 0)
    return std::nullopt;
  return ShardRef{.m_Service = Meta.m_Service,
                  .m_Shard = shardOf(hashKey(Meta.m_Key), Found->m_Shards)};
}

Permit Executor::permitFor(const Job &CurrentJob, TimePoint Now) const {
  const Coordinator &Source = m_Context.coordinator();
  Permit Result =
      Source.permit(CurrentJob.m_Meta.m_Service, CurrentJob.m_Key, Now);
  if (!Result.m_Granted || !CurrentJob.m_Shard ||
      CurrentJob.m_Meta.m_Idempotent || CurrentJob.m_Stream == 0)
    return Result;
  // Ownership alone is not sufficient: the records of this shard must reach
  // back to the arrival of the request, and the sender must have addressed the
  // same assignment.
  const std::optional<TimePoint> Since =
      Source.activeSince(*CurrentJob.m_Shard);
  if (CurrentJob.m_ExpectedEpoch > Result.m_Epoch) {
    Result.m_Granted = false;
    Result.m_Reason = Reason::HandoverPending;
  } else if (CurrentJob.m_ExpectedEpoch < Result.m_Epoch || !Since ||
             *Since > CurrentJob.m_Arrived) {
    Result.m_Granted = false;
    Result.m_Reason = Reason::NotOwner;
  }
  return Result;
}

void Executor::tryStartJob(JobHandle Handle, TimePoint Now) {
  Job &CurrentJob = m_Jobs.at(Handle);
  if (CurrentJob.m_Deadline <= Now) {
    refuse(Handle, {Outcome::NotRun, Reason::DeadlinePassed}, Now);
    return;
  }
  const bool ServedHere =
      m_Gate && CurrentJob.m_Meta.m_Service == m_TargetService;
  if (!ServedHere) {
    refuse(Handle, {Outcome::NotRun, Reason::NotOwner}, Now);
    return;
  }
  const Permit Current = permitFor(CurrentJob, Now);
  if (!Current.m_Granted) {
    parkOrRefuse(Handle, Current, Now);
    return;
  }
  const AdmissionDecision Decision =
      m_Gate->offer(Handle, CurrentJob.m_Urgency, CurrentJob.m_Deadline, Now);
  switch (Decision.m_Verdict) {
  case AdmissionVerdict::Run:
    startJob(Handle, Now);
    return;
  case AdmissionVerdict::Queued:
    CurrentJob.m_Stage = Stage::Queued;
    return;
  case AdmissionVerdict::Refused:
    refuse(Handle, {Outcome::Wait, Reason::Overloaded, Decision.m_RetryAfter},
           Now);
    return;
  }
}

void Executor::startJob(JobHandle Handle, TimePoint Now) {
  Job &CurrentJob = m_Jobs.at(Handle);
  Permit Current = permitFor(CurrentJob, Now);
  if (!Current.m_Granted) {
    m_Gate->released(CurrentJob.m_Urgency);
    parkOrRefuse(Handle, Current, Now);
    return;
  }
  TimePoint Deadline = CurrentJob.m_Deadline;
  if (Current.m_OrderDeadline != TimePoint())
    Deadline = std::min(Deadline, Current.m_OrderDeadline);
  if (Deadline <= Now) {
    m_Gate->released(CurrentJob.m_Urgency);
    refuse(Handle, {Outcome::NotRun, Reason::LeaseExpired}, Now);
    return;
  }
  CurrentJob.m_Stage = Stage::Running;
  CurrentJob.m_Order = OrderId(++m_LastOrder);
  CurrentJob.m_Epoch = Current.m_Epoch;
  m_Orders.emplace(CurrentJob.m_Order, Handle);
  if (CurrentJob.m_Shard) {
    m_Context.coordinator().orderStarted(*CurrentJob.m_Shard, CurrentJob.m_Key,
                                         CurrentJob.m_Epoch);
  }
  if (OutcomeRecord *Record = findRecord(CurrentJob.m_Meta);
      Record != nullptr && !CurrentJob.m_Meta.m_Idempotent)
    Record->m_State = RecordState::Running;
  StartOrder Order;
  Order.m_Order = CurrentJob.m_Order;
  if (const auto It = m_Context.localRequests().find(CurrentJob.m_Stream);
      m_Context.isSelf(CurrentJob.m_From) &&
      It != m_Context.localRequests().end())
    Order.m_Request = It->second;
  Order.m_Meta = CurrentJob.m_Meta;
  Order.m_Http = std::move(CurrentJob.m_Http);
  if (CurrentJob.m_Shard)
    Order.m_Shard = *CurrentJob.m_Shard;
  Order.m_Epoch = CurrentJob.m_Epoch;
  Order.m_Deadline = Deadline;
  m_Context.emit(std::move(Order));
}

void Executor::parkOrRefuse(JobHandle Handle, const Permit &Denied,
                            TimePoint Now) {
  Job &CurrentJob = m_Jobs.at(Handle);
  const bool WorthWaiting =
      Denied.m_Reason == Reason::HandoverPending &&
      Now < std::min(CurrentJob.m_Deadline,
                     CurrentJob.m_Arrived + MaxHandoverWait);
  if (!WorthWaiting) {
    refuse(Handle, {Outcome::NotRun, Denied.m_Reason, Denied.m_RetryAfter},
           Now);
    return;
  }
  CurrentJob.m_Stage = Stage::Parked;
  const Duration Delay = Denied.m_RetryAfter > Duration(0) ? Denied.m_RetryAfter
                                                           : HandoverRetryDelay;
  m_Parked.emplace(std::min(CurrentJob.m_Deadline, Now + Delay), Handle);
}

void Executor::drainQueue(TimePoint Now) {
  if (!m_Gate)
    return;
  while (const std::optional<RequestHandle> Next = m_Gate->next(Now))
    startJob(*Next, Now);
}

void Executor::refuse(JobHandle Handle, RequestResult Result, TimePoint Now) {
  finish(Handle, Result, {}, Now);
}

void Executor::finish(JobHandle Handle, RequestResult Result,
                      const HttpAnswer &Http, TimePoint Now) {
  const auto It = m_Jobs.find(Handle);
  const Job CurrentJob = std::move(It->second);
  m_Jobs.erase(It);
  if (!CurrentJob.m_AnswerHeadSent)
    reply(CurrentJob.m_From, CurrentJob.m_Stream, Result, Http,
          CurrentJob.m_Meta);
  if (!CurrentJob.m_Meta.m_Idempotent)
    completeRecord(CurrentJob, Result, Http, Now);
}

void Executor::reply(const PeerAddress &Receiver, std::uint64_t Stream,
                     const RequestResult &Result, HttpAnswer Http,
                     const RequestMeta &Meta) {
  ForwardReply Reply;
  Reply.m_Stream = Stream;
  Reply.m_Outcome = Result.m_Outcome;
  Reply.m_Reason = Result.m_Reason;
  Reply.m_RetryAfter = Result.m_RetryAfter;
  Reply.m_Http = std::move(Http);
  sendReply(Receiver, std::move(Reply), Meta);
}

void Executor::sendReply(const PeerAddress &Receiver, ForwardReply Reply,
                         const RequestMeta &Meta) {
  if (shardFor(Meta)) {
    const Route Current =
        m_Context.coordinator().route(Meta.m_Service, hashKey(Meta.m_Key));
    Reply.m_Owner = Current.m_Owner;
    Reply.m_Epoch = Current.m_Epoch;
  }
  m_Context.send(Receiver, std::move(Reply));
}

void Executor::onCancel(std::uint64_t Stream, const PeerAddress &From,
                        TimePoint Now) {
  for (auto &[Handle, CurrentJob] : m_Jobs) {
    if (CurrentJob.m_Stream != Stream || CurrentJob.m_From != From)
      continue;
    if (CurrentJob.m_Stage == Stage::Running) {
      if (CurrentJob.m_Meta.m_Idempotent) {
        CurrentJob.m_Cancelled = true;
        m_Context.emit(CancelOrder{.m_Order = CurrentJob.m_Order});
      }
      return;
    }
    if (CurrentJob.m_Stage == Stage::Queued)
      m_Gate->withdraw(Handle);
    refuse(Handle, {Outcome::NotRun, Reason::Cancelled}, Now);
    return;
  }
}

void Executor::onAnswerHead(OrderId Order, HttpAnswer Head) {
  const auto It = m_Orders.find(Order);
  if (It == m_Orders.end())
    return;
  Job &CurrentJob = m_Jobs.at(It->second);
  if (std::exchange(CurrentJob.m_AnswerHeadSent, true))
    return;
  reply(CurrentJob.m_From, CurrentJob.m_Stream, {Outcome::Done, Reason::None},
        std::move(Head), CurrentJob.m_Meta);
}

void Executor::onOrderEnd(const OrderReport &Report, TimePoint Now) {
  const auto It = m_Orders.find(Report.m_Order);
  if (It == m_Orders.end())
    return;
  const JobHandle Handle = It->second;
  m_Orders.erase(It);
  const Job &CurrentJob = m_Jobs.at(Handle);
  if (CurrentJob.m_Shard)
    m_Context.coordinator().orderFinished(*CurrentJob.m_Shard, CurrentJob.m_Key,
                                          CurrentJob.m_Epoch, Now);
  reportToGate(CurrentJob, Report, Now);
  RequestResult Result{Outcome::Unknown, Reason::TargetFailed};
  switch (Report.m_End) {
  case OrderEnd::Answered:
    Result = {Outcome::Done, Reason::None};
    break;
  case OrderEnd::Shed:
    Result = {Outcome::Wait, Reason::Overloaded,
              m_Gate->expectedWait(CurrentJob.m_Urgency)};
    break;
  case OrderEnd::NotSent:
    Result = {Outcome::NotRun, Reason::TargetFailed};
    break;
  case OrderEnd::Failed:
    break;
  case OrderEnd::Aborted:
    Result = {Outcome::Unknown, Reason::DeadlinePassed};
    break;
  }
  finish(Handle, Result, Report.m_Http, Now);
  drainQueue(Now);
}

void Executor::reportToGate(const Job &CurrentJob, const OrderReport &Report,
                            TimePoint Now) {
  if (CurrentJob.m_Cancelled && Report.m_End == OrderEnd::Aborted) {
    m_Gate->released(CurrentJob.m_Urgency);
    return;
  }
  const bool Failed = Report.m_End == OrderEnd::Failed ||
                      Report.m_End == OrderEnd::Aborted ||
                      Report.m_End == OrderEnd::NotSent;
  m_Gate->finished(CurrentJob.m_Urgency,
                   {.m_Latency = Report.m_Latency,
                    .m_Failed = Failed,
                    .m_Shed = Report.m_End == OrderEnd::Shed},
                   Now);
}

void Executor::onTargetReady(const ServiceName &Service, std::uint32_t Slots,
                             TimePoint Now) {
  m_TargetService = Service;
  if (m_Gate) {
    m_Gate->targetRestarted(Now);
    return;
  }
  m_Admission.m_Slots = Slots;
  m_Gate.emplace(m_Admission, Now);
}

void Executor::onTick(TimePoint Now) {
  m_Outcomes.expire(Now);
  while (!m_Deadlines.empty() && m_Deadlines.begin()->first <= Now) {
    const JobHandle Handle = m_Deadlines.begin()->second;
    m_Deadlines.erase(m_Deadlines.begin());
    const auto It = m_Jobs.find(Handle);
    if (It == m_Jobs.end() || It->second.m_Stage == Stage::Running)
      continue;
    if (It->second.m_Stage == Stage::Queued)
      m_Gate->withdraw(Handle);
    refuse(Handle, {Outcome::NotRun, Reason::DeadlinePassed}, Now);
  }
  while (!m_Parked.empty() && m_Parked.begin()->first <= Now) {
    const JobHandle Handle = m_Parked.begin()->second;
    m_Parked.erase(m_Parked.begin());
    const auto It = m_Jobs.find(Handle);
    if (It != m_Jobs.end() && It->second.m_Stage == Stage::Parked)
      tryStartJob(Handle, Now);
  }
  if (!m_Gate)
    return;
  for (const RequestHandle Handle : m_Gate->expire(Now))
    refuse(Handle, {Outcome::NotRun, Reason::DeadlinePassed}, Now);
  drainQueue(Now);
  if (m_Gate->queued() > 0)
    m_QueueWake = Now + QueueCheckInterval;
  else
    m_QueueWake = TimePoint::max();
}

TimePoint Executor::nextWake() const {
  TimePoint Result = m_QueueWake;
  if (!m_Parked.empty())
    Result = std::min(Result, m_Parked.begin()->first);
  if (!m_Deadlines.empty())
    Result = std::min(Result, m_Deadlines.begin()->first);
  return Result;
}

} // namespace balsamwheel
