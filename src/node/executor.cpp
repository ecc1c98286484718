// Runs forwarded requests at the local target.
#include "balsamwheel/detail/node/executor.h"

#include <algorithm>
#include <utility>

namespace balsamwheel {

namespace {

/// How long a request waits for its key's handover.
constexpr Duration HandoverPatience = std::chrono::milliseconds(500);
constexpr Duration ParkDelay = std::chrono::milliseconds(10);
/// How often waiting requests are offered the target again.
constexpr Duration QueuePeriod = std::chrono::milliseconds(20);

} // namespace

void Executor::onForward(ForwardRequest Request, const PeerAddress &From,
                         TimePoint Now) {
  if (!m_Context.isSelf(From))
    m_Context.send(From, ForwardReceipt{.m_Stream = Request.m_Stream});
  if (!m_Replays.accept(Request.m_Stream))
    return;
  Job Value;
  Value.m_From = From;
  Value.m_Stream = Request.m_Stream;
  Value.m_Meta = std::move(Request.m_Meta);
  Value.m_Http = std::move(Request.m_Http);
  Value.m_Expected = Request.m_Epoch;
  Value.m_Arrived = Now;
  Value.m_Deadline = Now + Request.m_TimeLeft;
  if (!m_Context.isOwnSession(Request.m_To)) {
    // The run it was meant for may have received another copy of it.
    reply(From, Value.m_Stream, {Outcome::Unknown, Reason::PeerLost}, {},
          Value.m_Meta);
    return;
  }
  if (Request.m_To != m_Context.coordinator().session()) {
    reply(From, Value.m_Stream, {Outcome::NotRun, Reason::NotOwner}, {},
          Value.m_Meta);
    return;
  }
  if (!classify(Value, Now)) {
    reply(From, Value.m_Stream, {Outcome::NotRun, Reason::UnknownService}, {},
          Value.m_Meta);
    return;
  }
  if (!Value.m_Meta.m_Idempotent && !admitId(Value, Request.m_Query, Now))
    return;
  const JobHandle Handle(++m_LastHandle);
  m_Deadlines.emplace(Value.m_Deadline, Handle);
  m_Jobs.emplace(Handle, std::move(Value));
  tryJob(Handle, Now);
  drainQueue(Now);
}

bool Executor::classify(Job &Value, TimePoint Now) const {
  std::shared_ptr<const Config> Held;
  const Service *Known = m_Context.findService(Value.m_Meta.m_Service, Held);
  if (Known == nullptr)
    return false;
  Value.m_Key = hashKey(Value.m_Meta.m_Key);
  Value.m_Shard = shardFor(Value.m_Meta);
  for (const RequestClass &Class : Known->m_Classes) {
    if (Class.m_Name != Value.m_Meta.m_Class)
      continue;
    Value.m_Urgency = Class.m_Urgency;
    Value.m_Deadline = std::min(Value.m_Deadline, Now + Class.m_Deadline);
  }
  return true;
}

std::optional<ShardRef> Executor::shardFor(const RequestMeta &Meta) const {
  std::shared_ptr<const Config> Held;
  const Service *Known = m_Context.findService(Meta.m_Service, Held);
  if (Known == nullptr || !Known->m_DividedByKey || Known->m_Shards == 0)
    return std::nullopt;
  return ShardRef{.m_Service = Meta.m_Service,
                  .m_Shard = shardOf(hashKey(Meta.m_Key), Known->m_Shards)};
}

Permit Executor::permitFor(const Job &Value, TimePoint Now) const {
  const Coordinator &Source = m_Context.coordinator();
  Permit Result = Source.permit(Value.m_Meta.m_Service, Value.m_Key, Now);
  if (!Result.m_Granted || !Value.m_Shard || Value.m_Meta.m_Idempotent ||
      Value.m_Stream == 0)
    return Result;
  // Beyond ownership, the memory of this shard must reach back to the arrival
  // of the request, and both sides must mean the same assignment.
  const std::optional<TimePoint> Since = Source.activeSince(*Value.m_Shard);
  if (Value.m_Expected > Result.m_Epoch) {
    Result.m_Granted = false;
    Result.m_Reason = Reason::HandoverPending;
  } else if (Value.m_Expected < Result.m_Epoch || !Since ||
             *Since > Value.m_Arrived) {
    Result.m_Granted = false;
    Result.m_Reason = Reason::NotOwner;
  }
  return Result;
}

void Executor::tryJob(JobHandle Handle, TimePoint Now) {
  Job &Value = m_Jobs.at(Handle);
  if (Value.m_Deadline <= Now) {
    refuse(Handle, {Outcome::NotRun, Reason::DeadlinePassed}, Now);
    return;
  }
  const bool Serves = m_Gate && Value.m_Meta.m_Service == m_TargetService;
  if (!Serves) {
    refuse(Handle, {Outcome::NotRun, Reason::NotOwner}, Now);
    return;
  }
  const Permit Current = permitFor(Value, Now);
  if (!Current.m_Granted) {
    parkOrRefuse(Handle, Current, Now);
    return;
  }
  const AdmissionDecision Decision =
      m_Gate->offer(Handle, Value.m_Urgency, Value.m_Deadline, Now);
  switch (Decision.m_Verdict) {
  case AdmissionVerdict::Run:
    startJob(Handle, Now);
    return;
  case AdmissionVerdict::Queued:
    Value.m_Stage = Stage::Queued;
    return;
  case AdmissionVerdict::Refused:
    refuse(Handle, {Outcome::Wait, Reason::Overloaded, Decision.m_RetryAfter},
           Now);
    return;
  }
}

void Executor::startJob(JobHandle Handle, TimePoint Now) {
  Job &Value = m_Jobs.at(Handle);
  Permit Current = permitFor(Value, Now);
  if (!Current.m_Granted) {
    m_Gate->released(Value.m_Urgency);
    parkOrRefuse(Handle, Current, Now);
    return;
  }
  TimePoint Deadline = Value.m_Deadline;
  if (Current.m_OrderDeadline != TimePoint())
    Deadline = std::min(Deadline, Current.m_OrderDeadline);
  if (Deadline <= Now) {
    m_Gate->released(Value.m_Urgency);
    refuse(Handle, {Outcome::NotRun, Reason::LeaseExpired}, Now);
    return;
  }
  Value.m_Stage = Stage::Running;
  Value.m_Order = OrderId(++m_LastOrder);
  Value.m_Epoch = Current.m_Epoch;
  m_Orders.emplace(Value.m_Order, Handle);
  if (Value.m_Shard) {
    m_Context.coordinator().orderStarted(*Value.m_Shard, Value.m_Key,
                                         Value.m_Epoch);
  }
  if (OutcomeRecord *Record = recordOf(Value.m_Meta);
      Record != nullptr && !Value.m_Meta.m_Idempotent)
    Record->m_State = RecordState::Running;
  StartOrder Order;
  Order.m_Order = Value.m_Order;
  if (const auto It = m_Context.localRequests().find(Value.m_Stream);
      m_Context.isSelf(Value.m_From) && It != m_Context.localRequests().end())
    Order.m_Request = It->second;
  Order.m_Meta = Value.m_Meta;
  Order.m_Http = std::move(Value.m_Http);
  if (Value.m_Shard)
    Order.m_Shard = *Value.m_Shard;
  Order.m_Epoch = Value.m_Epoch;
  Order.m_Deadline = Deadline;
  m_Context.emit(std::move(Order));
}

void Executor::parkOrRefuse(JobHandle Handle, const Permit &Denied,
                            TimePoint Now) {
  Job &Value = m_Jobs.at(Handle);
  const bool Worthwhile =
      Denied.m_Reason == Reason::HandoverPending &&
      Now < std::min(Value.m_Deadline, Value.m_Arrived + HandoverPatience);
  if (!Worthwhile) {
    refuse(Handle, {Outcome::NotRun, Denied.m_Reason, Denied.m_RetryAfter},
           Now);
    return;
  }
  Value.m_Stage = Stage::Parked;
  const Duration Delay =
      Denied.m_RetryAfter > Duration(0) ? Denied.m_RetryAfter : ParkDelay;
  m_Parked.emplace(std::min(Value.m_Deadline, Now + Delay), Handle);
}

void Executor::drainQueue(TimePoint Now) {
  if (!m_Gate)
    return;
  while (const std::optional<RequestHandle> Next = m_Gate->next(Now))
    startJob(*Next, Now);
}

void Executor::refuse(JobHandle Handle, Verdict Result, TimePoint Now) {
  finish(Handle, Result, {}, Now);
}

void Executor::finish(JobHandle Handle, Verdict Result, const HttpAnswer &Http,
                      TimePoint Now) {
  const auto It = m_Jobs.find(Handle);
  const Job Value = std::move(It->second);
  m_Jobs.erase(It);
  if (!Value.m_Answering)
    reply(Value.m_From, Value.m_Stream, Result, Http, Value.m_Meta);
  if (!Value.m_Meta.m_Idempotent)
    settleRecord(Value, Result, Http, Now);
}

void Executor::reply(const PeerAddress &To, std::uint64_t Stream,
                     const Verdict &Result, HttpAnswer Http,
                     const RequestMeta &Meta) {
  ForwardReply Reply;
  Reply.m_Stream = Stream;
  Reply.m_Outcome = Result.m_Outcome;
  Reply.m_Reason = Result.m_Reason;
  Reply.m_RetryAfter = Result.m_RetryAfter;
  Reply.m_Http = std::move(Http);
  sendReply(To, std::move(Reply), Meta);
}

void Executor::sendReply(const PeerAddress &To, ForwardReply Reply,
                         const RequestMeta &Meta) {
  if (shardFor(Meta)) {
    const Route Known =
        m_Context.coordinator().route(Meta.m_Service, hashKey(Meta.m_Key));
    Reply.m_Owner = Known.m_Owner;
    Reply.m_Epoch = Known.m_Epoch;
  }
  m_Context.send(To, std::move(Reply));
}

void Executor::onCancel(std::uint64_t Stream, const PeerAddress &From,
                        TimePoint Now) {
  for (auto &[Handle, Value] : m_Jobs) {
    if (Value.m_Stream != Stream || Value.m_From != From)
      continue;
    if (Value.m_Stage == Stage::Running) {
      if (Value.m_Meta.m_Idempotent) {
        Value.m_Cancelled = true;
        m_Context.emit(CancelOrder{.m_Order = Value.m_Order});
      }
      return;
    }
    if (Value.m_Stage == Stage::Queued)
      m_Gate->withdraw(Handle);
    refuse(Handle, {Outcome::NotRun, Reason::Cancelled}, Now);
    return;
  }
}

void Executor::onAnswering(OrderId Order, HttpAnswer Head) {
  const auto It = m_Orders.find(Order);
  if (It == m_Orders.end())
    return;
  Job &Value = m_Jobs.at(It->second);
  if (std::exchange(Value.m_Answering, true))
    return;
  reply(Value.m_From, Value.m_Stream, {Outcome::Done, Reason::None},
        std::move(Head), Value.m_Meta);
}

void Executor::onOrderEnd(const OrderReport &Report, TimePoint Now) {
  const auto It = m_Orders.find(Report.m_Order);
  if (It == m_Orders.end())
    return;
  const JobHandle Handle = It->second;
  m_Orders.erase(It);
  const Job &Value = m_Jobs.at(Handle);
  if (Value.m_Shard)
    m_Context.coordinator().orderFinished(*Value.m_Shard, Value.m_Key,
                                          Value.m_Epoch, Now);
  teachGate(Value, Report, Now);
  Verdict Result{Outcome::Unknown, Reason::TargetFailed};
  switch (Report.m_End) {
  case OrderEnd::Answered:
    Result = {Outcome::Done, Reason::None};
    break;
  case OrderEnd::Shed:
    Result = {Outcome::Wait, Reason::Overloaded,
              m_Gate->expectedWait(Value.m_Urgency)};
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

void Executor::teachGate(const Job &Value, const OrderReport &Report,
                         TimePoint Now) {
  if (Value.m_Cancelled && Report.m_End == OrderEnd::Aborted) {
    m_Gate->released(Value.m_Urgency);
    return;
  }
  const bool Failed = Report.m_End == OrderEnd::Failed ||
                      Report.m_End == OrderEnd::Aborted ||
                      Report.m_End == OrderEnd::NotSent;
  m_Gate->finished(Value.m_Urgency,
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
      tryJob(Handle, Now);
  }
  if (!m_Gate)
    return;
  for (const RequestHandle Handle : m_Gate->expire(Now))
    refuse(Handle, {Outcome::NotRun, Reason::DeadlinePassed}, Now);
  drainQueue(Now);
  if (m_Gate->queued() > 0)
    m_QueueWake = Now + QueuePeriod;
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
