// Routing, retries and answers of callers' requests.
#include "balsamwheel/detail/node/entrance.h"

#include <algorithm>
#include <string>

namespace balsamwheel {

namespace {

/// How long a request waits for its key to have an owner.
constexpr Duration OwnerPatience = std::chrono::seconds(1);
constexpr Duration OwnerRetryAfter = std::chrono::milliseconds(200);
constexpr Duration RouteDelay = std::chrono::milliseconds(5);
constexpr Duration MaxRouteDelay = std::chrono::milliseconds(80);
constexpr std::uint32_t MaxRetries = 3;
/// A gap between calls that counts as a suspension of the process: above
/// IdleWake, and no longer than CallerTransit allows for.
constexpr Duration SuspensionGap = std::chrono::milliseconds(500);
/// The executor gives up this long before the caller's deadline.
constexpr Duration ReplyMargin = std::chrono::milliseconds(5);
constexpr Duration IdleWake = std::chrono::milliseconds(250);
constexpr Duration HistoryPeriod = std::chrono::milliseconds(250);
/// Longest time from a caller's send to this daemon's receipt.
constexpr Duration CallerTransit = std::chrono::milliseconds(500);
/// How much later than this daemon another one may learn of a new member: the
/// lease that its leader's last word gave it, and a heartbeat.
constexpr Duration MemberViewLag = std::chrono::milliseconds(2400);

} // namespace

void Entrance::noteTime(TimePoint Now) {
  if (m_LastCall != TimePoint::min() && Now - m_LastCall > SuspensionGap) {
    m_SuspectUntil = Now + SuspensionGap;
    m_SuspectAge = Now - m_LastCall + SuspensionGap;
  }
  m_LastCall = Now;
}

void Entrance::onCallerRequest(IncomingRequest Incoming, TimePoint Now) {
  const RequestHandle Handle = Incoming.m_Handle;
  Request &Value = m_Requests[Handle];
  Value.m_In = std::move(Incoming);
  Value.m_Received = Now;
  Value.m_FirstAt = Now;
  RequestMeta &Meta = Value.m_In.m_Meta;
  if (Meta.m_Id.value().empty())
    Meta.m_Id = RequestId("r" + std::to_string(m_Context.random()));
  if (!Meta.m_Idempotent && Now < m_SuspectUntil) {
    // It may have waited in the socket for as long as the process stood still,
    // and its caller may have tried elsewhere meanwhile.
    Meta.m_FirstAttemptAge += m_SuspectAge;
    Meta.m_Attempt = std::max(Meta.m_Attempt, 2U);
  }
  if (Meta.m_Attempt > 1)
    Value.m_FirstAt = Now - Meta.m_FirstAttemptAge - CallerTransit;
  Value.m_MustClear = !Meta.m_Idempotent && Meta.m_Attempt > 1;
  m_Budget.onFirstAttempt();
  dispatch(Handle, Now);
}

void Entrance::onCallerGone(RequestHandle Handle, TimePoint Now) {
  if (find(Handle) != nullptr)
    finish(Handle, {Outcome::Unknown, Reason::Cancelled}, Now);
}

Entrance::Request *Entrance::find(RequestHandle Handle) {
  const auto It = m_Requests.find(Handle);
  return It == m_Requests.end() ? nullptr : &It->second;
}

bool Entrance::mayHaveRun(const Request &Value) {
  const bool Open = std::ranges::any_of(Value.m_Legs, [](const Leg &Each) {
    return Each.m_Kind != LegKind::Clear;
  });
  const RequestMeta &Meta = Value.m_In.m_Meta;
  const bool Earlier =
      !Meta.m_Idempotent && Meta.m_Attempt > 1 && !Value.m_Cleared;
  return Open || Value.m_MaybeRan || Earlier;
}

void Entrance::reschedule(RequestHandle Handle, Request &Value) {
  TimePoint Wake =
      std::min({Value.m_In.m_Deadline, Value.m_NextTry, Value.m_HedgeAt});
  for (const Leg &Each : Value.m_Legs)
    Wake = std::min(Wake, Each.m_CheckAt);
  if (Wake == Value.m_Wake)
    return;
  m_Wakes.erase({Value.m_Wake, Handle});
  Value.m_Wake = Wake;
  m_Wakes.emplace(Wake, Handle);
}

void Entrance::onTick(TimePoint Now) {
  if (m_HistoryAt == TimePoint::min() || m_HistoryAt <= Now) {
    m_History.update(m_Context.coordinator().members(), Now);
    m_HistoryAt = Now + HistoryPeriod;
  }
  while (!m_Wakes.empty() && m_Wakes.begin()->first <= Now) {
    const RequestHandle Handle = m_Wakes.begin()->second;
    m_Wakes.erase(m_Wakes.begin());
    if (Request *Value = find(Handle))
      Value->m_Wake = TimePoint::max();
    process(Handle, Now);
  }
}

TimePoint Entrance::nextWake() const {
  const TimePoint Idle =
      m_LastCall == TimePoint::min() ? TimePoint::min() : m_LastCall + IdleWake;
  return m_Wakes.empty() ? Idle : std::min(Idle, m_Wakes.begin()->first);
}

void Entrance::process(RequestHandle Handle, TimePoint Now) {
  Request *Value = find(Handle);
  if (Value == nullptr)
    return;
  if (Value->m_In.m_Deadline <= Now) {
    finish(Handle, {Outcome::NotRun, Reason::DeadlinePassed}, Now);
    return;
  }
  if (Value->m_HedgeAt <= Now)
    hedge(Handle, *Value, Now);
  for (std::size_t I = 0; I < Value->m_Legs.size(); ++I) {
    if (Value->m_Legs[I].m_CheckAt > Now)
      continue;
    checkLeg(Handle, *Value, I, Now);
    Value = find(Handle);
    if (Value == nullptr)
      return;
  }
  if (Value->m_NextTry <= Now) {
    dispatch(Handle, Now);
    return;
  }
  reschedule(Handle, *Value);
}

void Entrance::dispatch(RequestHandle Handle, TimePoint Now) {
  Request &Value = *find(Handle);
  Value.m_NextTry = TimePoint::max();
  if (Value.m_In.m_Deadline <= Now) {
    finish(Handle, {Outcome::NotRun, Reason::DeadlinePassed}, Now);
    return;
  }
  std::shared_ptr<const Config> Held;
  const Service *Known =
      m_Context.findService(Value.m_In.m_Meta.m_Service, Held);
  if (!Held) {
    retryRoute(Handle, Value, {Outcome::Wait, Reason::NoOwner}, Now);
    return;
  }
  if (Known == nullptr) {
    finish(Handle, {Outcome::NotRun, Reason::UnknownService}, Now);
    return;
  }
  Value.m_Keyed = Known->m_DividedByKey;
  if (Value.m_Keyed)
    dispatchKeyed(Handle, Value, Now);
  else
    dispatchAny(Handle, Value, Now);
}

std::optional<Entrance::Destination>
Entrance::ownerOf(const Request &Value) const {
  const RequestMeta &Meta = Value.m_In.m_Meta;
  const Route Known =
      m_Context.coordinator().route(Meta.m_Service, hashKey(Meta.m_Key));
  if (Value.m_Redirect && Value.m_Redirect->m_Epoch > Known.m_Epoch)
    return Value.m_Redirect;
  if (Known.m_Owner == SessionId())
    return std::nullopt;
  if (Known.m_Local)
    return Destination{Known.m_Owner, m_Context.self(), Known.m_Epoch};
  return Destination{Known.m_Owner, Known.m_Peer, Known.m_Epoch};
}

void Entrance::dispatchKeyed(RequestHandle Handle, Request &Value,
                             TimePoint Now) {
  const std::optional<Destination> To = ownerOf(Value);
  if (!To) {
    retryRoute(Handle, Value, {Outcome::Wait, Reason::NoOwner}, Now);
    return;
  }
  const bool SameOwner =
      !Value.m_First || (Value.m_First->m_Session == To->m_Session &&
                         Value.m_First->m_Epoch == To->m_Epoch);
  if (!Value.m_In.m_Meta.m_Idempotent && (Value.m_MustClear || !SameOwner)) {
    const auto It = Value.m_Clearances.find(To->m_Session);
    const bool Cleared = Value.m_Cleared && It != Value.m_Clearances.end() &&
                         It->second.m_Epoch == To->m_Epoch;
    if (!Cleared) {
      clearKeyed(Handle, Value, *To, Now);
      return;
    }
  }
  if (!Value.m_First)
    Value.m_First = To;
  forward(Handle, Value, *To, Now);
}

std::vector<SessionId> Entrance::candidatesFor(const Request &Value) const {
  std::vector<SessionId> Result;
  for (const Member &Each :
       m_Context.coordinator().candidates(Value.m_In.m_Meta.m_Service))
    if (!Value.m_Cleared || Value.m_Clearances.contains(Each.m_Session))
      Result.push_back(Each.m_Session);
  return Result;
}

void Entrance::dispatchAny(RequestHandle Handle, Request &Value,
                           TimePoint Now) {
  if (Value.m_MustClear && !Value.m_Cleared) {
    clearAny(Handle, Value, Now);
    return;
  }
  const std::optional<SessionId> Picked =
      m_Picker.pick(candidatesFor(Value), Value.m_Avoid, Now);
  const Member *Chosen =
      Picked ? m_Context.coordinator().findMember(*Picked) : nullptr;
  if (Chosen == nullptr) {
    retryRoute(Handle, Value, {Outcome::Wait, Reason::NoOwner}, Now);
    return;
  }
  if (!Value.m_In.m_Meta.m_Idempotent && !Value.m_Cleared &&
      m_History.firstSeen(*Picked) > Value.m_Received - MemberViewLag) {
    // A later attempt may have been cleared before this member was known, so
    // the member can't tell that this one is superseded.
    Value.m_MustClear = true;
    clearAny(Handle, Value, Now);
    return;
  }
  m_Picker.started(*Picked, Now);
  if (Value.m_In.m_Meta.m_Idempotent && Value.m_Retries == 0)
    if (const std::optional<Duration> Delay = m_Picker.hedgeDelay(Now))
      Value.m_HedgeAt = Now + *Delay;
  forward(Handle, Value, {*Picked, Chosen->m_Peer, Epoch()}, Now);
}

void Entrance::hedge(RequestHandle Handle, Request &Value, TimePoint Now) {
  Value.m_HedgeAt = TimePoint::max();
  if (Value.m_Legs.size() != 1)
    return;
  const std::vector<SessionId> Busy{Value.m_Legs.front().m_Session};
  const std::optional<SessionId> Picked =
      m_Picker.pick(candidatesFor(Value), Busy, Now);
  if (!Picked || *Picked == Busy.front())
    return;
  const Member *Chosen = m_Context.coordinator().findMember(*Picked);
  if (Chosen == nullptr || !m_Picker.takeHedge(Now))
    return;
  m_Picker.started(*Picked, Now);
  forward(Handle, Value, {*Picked, Chosen->m_Peer, Epoch()}, Now);
}

Entrance::Leg &Entrance::openLeg(RequestHandle Handle, Request &Value,
                                 LegKind Kind, const Destination &To,
                                 TimePoint Now) {
  Leg Opened;
  Opened.m_Kind = Kind;
  Opened.m_Stream = m_Context.nextStream();
  Opened.m_Session = To.m_Session;
  Opened.m_Peer = To.m_Peer;
  Opened.m_SentAt = Now;
  Opened.m_Patience = m_ReceiptTimeout;
  Opened.m_CheckAt = Now + m_ReceiptTimeout;
  if (m_Context.isSelf(To.m_Peer)) {
    Opened.m_CheckAt = TimePoint::max();
    m_Context.localRequests()[Opened.m_Stream] = Handle;
  }
  m_Streams[Opened.m_Stream] = Handle;
  Value.m_Legs.push_back(std::move(Opened));
  return Value.m_Legs.back();
}

Entrance::Leg Entrance::closeLeg(Request &Value, std::size_t Index) {
  Leg Closed = std::move(Value.m_Legs[Index]);
  Value.m_Legs.erase(Value.m_Legs.begin() + static_cast<std::ptrdiff_t>(Index));
  m_Streams.erase(Closed.m_Stream);
  m_Context.localRequests().erase(Closed.m_Stream);
  return Closed;
}

void Entrance::forward(RequestHandle Handle, Request &Value,
                       const Destination &To, TimePoint Now) {
  const Leg &Opened = openLeg(Handle, Value, LegKind::Forward, To, Now);
  ForwardRequest Message;
  Message.m_Meta = Value.m_In.m_Meta;
  Message.m_Http = Value.m_In.m_Http;
  Message.m_TimeLeft = Value.m_In.m_Deadline - Now - ReplyMargin;
  Message.m_Stream = Opened.m_Stream;
  Message.m_To = To.m_Session;
  Message.m_Epoch = To.m_Epoch;
  if (const auto It = Value.m_Clearances.find(To.m_Session);
      It != Value.m_Clearances.end())
    Message.m_Query = It->second.m_Query;
  reschedule(Handle, Value);
  m_Context.send(To.m_Peer, std::move(Message));
}

void Entrance::onReceipt(std::uint64_t Stream, TimePoint Now) {
  const auto It = m_Streams.find(Stream);
  if (It == m_Streams.end())
    return;
  Request &Value = *find(It->second);
  for (Leg &Each : Value.m_Legs) {
    if (Each.m_Stream != Stream || Each.m_Receipt)
      continue;
    Each.m_Receipt = true;
    Each.m_Probe = 0;
    if (Each.m_CheckAt != TimePoint::max())
      Each.m_CheckAt = Now + LongSilence;
  }
  reschedule(It->second, Value);
}

void Entrance::onReply(ForwardReply Reply, TimePoint Now) {
  const auto It = m_Streams.find(Reply.m_Stream);
  if (It == m_Streams.end())
    return;
  const RequestHandle Handle = It->second;
  Request &Value = *find(Handle);
  std::size_t Index = 0;
  while (Value.m_Legs[Index].m_Stream != Reply.m_Stream)
    ++Index;
  const Leg Ended = closeLeg(Value, Index);
  if (!Value.m_Keyed && Ended.m_Kind == LegKind::Forward)
    m_Picker.finished(Ended.m_Session, Now - Ended.m_SentAt,
                      Reply.m_Outcome != Outcome::Done, Now);
  // A forward and the question for its fate settle each other.
  const std::uint64_t Settled =
      Ended.m_Kind == LegKind::Forward ? Ended.m_Stream : Ended.m_Forward;
  for (std::size_t I = Value.m_Legs.size(); I-- > 0;)
    if (Settled != 0 && (Value.m_Legs[I].m_Forward == Settled ||
                         Value.m_Legs[I].m_Stream == Settled))
      closeLeg(Value, I);

  switch (Reply.m_Outcome) {
  case Outcome::Done:
    finish(Handle, {Outcome::Done, Reason::None}, Now, std::move(Reply.m_Http),
           Ended.m_Session);
    return;
  case Outcome::Unknown:
    onUnknown(Handle, Value, Reply, Now);
    return;
  case Outcome::NotRun:
  case Outcome::Wait:
    if (Ended.m_Kind == LegKind::Clear)
      onCleared(Handle, Value, Ended, Reply, Now);
    else
      onNotRun(Handle, Value, Ended, Reply, Now);
    return;
  }
}

void Entrance::onNotRun(RequestHandle Handle, Request &Value, const Leg &Ended,
                        const ForwardReply &Reply, TimePoint Now) {
  if (!Value.m_Legs.empty()) {
    reschedule(Handle, Value);
    return;
  }
  const Verdict Last{Reply.m_Outcome, Reply.m_Reason, Reply.m_RetryAfter};
  Value.m_Avoid.push_back(Ended.m_Session);
  switch (Reply.m_Reason) {
  case Reason::NotOwner:
  case Reason::NoOwner:
  case Reason::LeaseExpired:
  case Reason::HandoverPending:
  case Reason::Draining:
  case Reason::DomainOut:
  case Reason::PeerLost: {
    Value.m_MustClear |= Value.m_Keyed;
    const Member *Owner = m_Context.coordinator().findMember(Reply.m_Owner);
    if (Value.m_Keyed && Owner != nullptr)
      Value.m_Redirect =
          Destination{Reply.m_Owner, Owner->m_Peer, Reply.m_Epoch};
    retryRoute(Handle, Value, Last, Now);
    return;
  }
  case Reason::Overloaded:
    if (Value.m_Keyed)
      finish(Handle, Last, Now);
    else
      retryTarget(Handle, Value, Last, Now);
    return;
  case Reason::TargetFailed:
    retryTarget(Handle, Value, Last, Now);
    return;
  default:
    finish(Handle, Last, Now);
    return;
  }
}

void Entrance::onUnknown(RequestHandle Handle, Request &Value,
                         const ForwardReply &Reply, TimePoint Now) {
  const Verdict Last{Outcome::Unknown, Reply.m_Reason, Reply.m_RetryAfter};
  if (!Value.m_In.m_Meta.m_Idempotent) {
    finish(Handle, Last, Now);
    return;
  }
  Value.m_MaybeRan = true;
  if (Value.m_Legs.empty())
    retryTarget(Handle, Value, Last, Now);
  else
    reschedule(Handle, Value);
}

void Entrance::retryRoute(RequestHandle Handle, Request &Value, Verdict Last,
                          TimePoint Now) {
  if (Now - Value.m_Received >= OwnerPatience) {
    Last.m_Outcome = Outcome::Wait;
    Last.m_RetryAfter = std::max(Last.m_RetryAfter, OwnerRetryAfter);
    finish(Handle, Last, Now);
    return;
  }
  const std::uint32_t Doubled = std::min(Value.m_RouteRetries++, 4U);
  const Duration Delay = std::min(RouteDelay * (1U << Doubled), MaxRouteDelay);
  Value.m_NextTry = Now + Delay;
  reschedule(Handle, Value);
}

void Entrance::retryTarget(RequestHandle Handle, Request &Value, Verdict Last,
                           TimePoint Now) {
  const Duration Delay =
      m_Budget.delay(Value.m_Retries + 1, m_Context.random());
  const bool InTime = Now + Delay < Value.m_In.m_Deadline;
  if (!InTime || Value.m_Retries >= MaxRetries || !m_Budget.takeRetry()) {
    finish(Handle, Last, Now);
    return;
  }
  ++Value.m_Retries;
  Value.m_NextTry = Now + Delay;
  reschedule(Handle, Value);
}

void Entrance::finish(RequestHandle Handle, Verdict Result, TimePoint Now,
                      HttpAnswer Http, SessionId Runner) {
  const auto It = m_Requests.find(Handle);
  Request Value = std::move(It->second);
  m_Requests.erase(It);
  m_Wakes.erase({Value.m_Wake, Handle});
  const bool ClaimsNotRun =
      Result.m_Outcome == Outcome::NotRun || Result.m_Outcome == Outcome::Wait;
  if (ClaimsNotRun && mayHaveRun(Value))
    Result.m_Outcome = Outcome::Unknown;

  while (!Value.m_Legs.empty()) {
    const Leg Open = closeLeg(Value, Value.m_Legs.size() - 1);
    if (Open.m_Kind != LegKind::Forward)
      continue;
    if (!Value.m_Keyed)
      m_Picker.abandoned(Open.m_Session, Now - Open.m_SentAt, Now);
    m_Context.send(Open.m_Peer, ForwardCancel{.m_Stream = Open.m_Stream});
  }
  AnswerCaller Answer;
  Answer.m_Request = Handle;
  Answer.m_Outcome = Result.m_Outcome;
  Answer.m_Reason = Result.m_Reason;
  Answer.m_RetryAfter = Result.m_RetryAfter;
  Answer.m_Http = std::move(Http);
  if (const Member *Owner = m_Context.coordinator().findMember(Runner))
    Answer.m_OwnerHint = Owner->m_CallerAddress;
  m_Context.emit(std::move(Answer));
}

} // namespace balsamwheel
