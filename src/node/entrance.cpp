// Implements routing, retries and answers of callers' requests.
#include "balsamwheel/detail/node/entrance.h"

#include <algorithm>
#include <string>

namespace balsamwheel {

namespace {

/// Maximum time that a request waits for an available owner or target.
constexpr Duration MaxOwnerWait = std::chrono::seconds(1);
/// Retry-after time in the answer to a caller for whose request no owner became
/// available.
constexpr Duration NoOwnerRetryAfter = std::chrono::milliseconds(200);
/// Bounds of the exponential back-off between tries to find an owner.
constexpr Duration MinRoutingBackoff = std::chrono::milliseconds(5);
constexpr Duration MaxRoutingBackoff = std::chrono::milliseconds(80);
/// Maximum number of retries of a request within the retry budget.
constexpr std::uint32_t MaxRetries = 3;
/// A longer gap between calls of the node counts as a suspension of the
/// process. Greater than MaxTickInterval, so that an idle process does not
/// count as suspended, and at most MaxCallerTransit, which covers shorter gaps.
constexpr Duration SuspensionGap = std::chrono::milliseconds(500);
/// The executor's deadline is earlier than the caller's by this margin.
constexpr Duration ReplyMargin = std::chrono::milliseconds(5);
/// Maximum time between two ticks, also without open requests.
constexpr Duration MaxTickInterval = std::chrono::milliseconds(250);
constexpr Duration HistoryUpdateInterval = std::chrono::milliseconds(250);
/// Upper bound of the time from a caller's sending of a request to its receipt
/// by this daemon.
constexpr Duration MaxCallerTransit = std::chrono::milliseconds(500);
/// Upper bound of how much later than this daemon another daemon learns of a
/// new member: one lease duration, which the other daemon holds through its
/// leader's last acknowledgement, plus one heartbeat period (1800 ms and 600 ms
/// by default).
constexpr Duration MaxMemberViewLag = std::chrono::milliseconds(2400);

} // namespace

void Entrance::detectSuspension(TimePoint Now) {
  if (m_LastCall != TimePoint::min() && Now - m_LastCall > SuspensionGap) {
    m_PossiblyDelayedUntil = Now + SuspensionGap;
    m_PossibleDelay = Now - m_LastCall + SuspensionGap;
  }
  m_LastCall = Now;
}

void Entrance::onCallerRequest(IncomingRequest Incoming, TimePoint Now) {
  const RequestHandle Handle = Incoming.m_Handle;
  Request &Pending = m_Requests[Handle];
  Pending.m_Incoming = std::move(Incoming);
  Pending.m_Received = Now;
  Pending.m_EarliestFirstSend = Now;
  RequestMeta &Meta = Pending.m_Incoming.m_Meta;
  if (Meta.m_Id.value().empty())
    Meta.m_Id = RequestId("r" + std::to_string(m_Context.random()));
  if (!Meta.m_Idempotent && Now < m_PossiblyDelayedUntil) {
    // The request may have waited in the socket while the process was
    // suspended, and the caller may have retried at another daemon in the
    // meantime.
    Meta.m_FirstAttemptAge += m_PossibleDelay;
    Meta.m_Attempt = std::max(Meta.m_Attempt, 2U);
  }
  if (Meta.m_Attempt > 1)
    Pending.m_EarliestFirstSend =
        Now - Meta.m_FirstAttemptAge - MaxCallerTransit;
  Pending.m_MustClear = !Meta.m_Idempotent && Meta.m_Attempt > 1;
  m_Budget.onFirstAttempt();
  dispatch(Handle, Now);
}

void Entrance::onCallerDisconnected(RequestHandle Handle, TimePoint Now) {
  if (find(Handle) != nullptr)
    finish(Handle, {Outcome::Unknown, Reason::Cancelled}, Now);
}

Entrance::Request *Entrance::find(RequestHandle Handle) {
  const auto It = m_Requests.find(Handle);
  return It == m_Requests.end() ? nullptr : &It->second;
}

bool Entrance::mayHaveRun(const Request &Pending) {
  const bool Open =
      std::ranges::any_of(Pending.m_Exchanges, [](const PeerExchange &Each) {
        return Each.m_Kind != ExchangeKind::RetryClearance;
      });
  const RequestMeta &Meta = Pending.m_Incoming.m_Meta;
  const bool Earlier =
      !Meta.m_Idempotent && Meta.m_Attempt > 1 && !Pending.m_Cleared;
  return Open || Pending.m_MayHaveRun || Earlier;
}

void Entrance::reschedule(RequestHandle Handle, Request &Pending) {
  TimePoint Wake = std::min(
      {Pending.m_Incoming.m_Deadline, Pending.m_RetryAt, Pending.m_HedgeAt});
  for (const PeerExchange &Each : Pending.m_Exchanges)
    Wake = std::min(Wake, Each.m_CheckAt);
  if (Wake == Pending.m_WakeAt)
    return;
  m_WakeTimes.erase({Pending.m_WakeAt, Handle});
  Pending.m_WakeAt = Wake;
  m_WakeTimes.emplace(Wake, Handle);
}

void Entrance::onTick(TimePoint Now) {
  if (m_HistoryUpdateAt == TimePoint::min() || m_HistoryUpdateAt <= Now) {
    m_History.update(m_Context.coordinator().members(), Now);
    m_HistoryUpdateAt = Now + HistoryUpdateInterval;
  }
  while (!m_WakeTimes.empty() && m_WakeTimes.begin()->first <= Now) {
    const RequestHandle Handle = m_WakeTimes.begin()->second;
    m_WakeTimes.erase(m_WakeTimes.begin());
    if (Request *Pending = find(Handle))
      Pending->m_WakeAt = TimePoint::max();
    process(Handle, Now);
  }
}

TimePoint Entrance::nextWake() const {
  const TimePoint Idle = m_LastCall == TimePoint::min()
                             ? TimePoint::min()
                             : m_LastCall + MaxTickInterval;
  return m_WakeTimes.empty() ? Idle
                             : std::min(Idle, m_WakeTimes.begin()->first);
}

void Entrance::process(RequestHandle Handle, TimePoint Now) {
  Request *Pending = find(Handle);
  if (Pending == nullptr)
    return;
  if (Pending->m_Incoming.m_Deadline <= Now) {
    finish(Handle, {Outcome::NotRun, Reason::DeadlinePassed}, Now);
    return;
  }
  if (Pending->m_HedgeAt <= Now)
    hedge(Handle, *Pending, Now);
  for (std::size_t I = 0; I < Pending->m_Exchanges.size(); ++I) {
    if (Pending->m_Exchanges[I].m_CheckAt > Now)
      continue;
    checkExchange(Handle, *Pending, I, Now);
    Pending = find(Handle);
    if (Pending == nullptr)
      return;
  }
  if (Pending->m_RetryAt <= Now) {
    dispatch(Handle, Now);
    return;
  }
  reschedule(Handle, *Pending);
}

void Entrance::dispatch(RequestHandle Handle, TimePoint Now) {
  Request &Pending = *find(Handle);
  Pending.m_RetryAt = TimePoint::max();
  if (Pending.m_Incoming.m_Deadline <= Now) {
    finish(Handle, {Outcome::NotRun, Reason::DeadlinePassed}, Now);
    return;
  }
  std::shared_ptr<const Config> KeepAlive;
  const Service *Found =
      m_Context.findService(Pending.m_Incoming.m_Meta.m_Service, KeepAlive);
  if (!KeepAlive) {
    retryRouting(Handle, Pending, {Outcome::Wait, Reason::NoOwner}, Now);
    return;
  }
  if (Found == nullptr) {
    finish(Handle, {Outcome::NotRun, Reason::UnknownService}, Now);
    return;
  }
  Pending.m_Keyed = Found->m_DividedByKey;
  if (Pending.m_Keyed)
    dispatchKeyed(Handle, Pending, Now);
  else
    dispatchUnkeyed(Handle, Pending, Now);
}

std::optional<Entrance::Destination>
Entrance::ownerOf(const Request &Pending) const {
  const RequestMeta &Meta = Pending.m_Incoming.m_Meta;
  const Route Current =
      m_Context.coordinator().route(Meta.m_Service, hashKey(Meta.m_Key));
  if (Pending.m_Redirect && Pending.m_Redirect->m_Epoch > Current.m_Epoch)
    return Pending.m_Redirect;
  if (Current.m_Owner == SessionId())
    return std::nullopt;
  if (Current.m_Local)
    return Destination{Current.m_Owner, m_Context.self(), Current.m_Epoch};
  return Destination{Current.m_Owner, Current.m_Peer, Current.m_Epoch};
}

void Entrance::dispatchKeyed(RequestHandle Handle, Request &Pending,
                             TimePoint Now) {
  const std::optional<Destination> Receiver = ownerOf(Pending);
  if (!Receiver) {
    retryRouting(Handle, Pending, {Outcome::Wait, Reason::NoOwner}, Now);
    return;
  }
  const bool SameAssignment =
      !Pending.m_FirstDestination ||
      (Pending.m_FirstDestination->m_Session == Receiver->m_Session &&
       Pending.m_FirstDestination->m_Epoch == Receiver->m_Epoch);
  if (!Pending.m_Incoming.m_Meta.m_Idempotent &&
      (Pending.m_MustClear || !SameAssignment)) {
    const auto It = Pending.m_Clearances.find(Receiver->m_Session);
    const bool Cleared = Pending.m_Cleared &&
                         It != Pending.m_Clearances.end() &&
                         It->second.m_Epoch == Receiver->m_Epoch;
    if (!Cleared) {
      clearKeyed(Handle, Pending, *Receiver, Now);
      return;
    }
  }
  if (!Pending.m_FirstDestination)
    Pending.m_FirstDestination = Receiver;
  forward(Handle, Pending, *Receiver, Now);
}

std::vector<SessionId> Entrance::candidatesFor(const Request &Pending) const {
  std::vector<SessionId> Result;
  for (const Member &Each :
       m_Context.coordinator().candidates(Pending.m_Incoming.m_Meta.m_Service))
    if (!Pending.m_Cleared || Pending.m_Clearances.contains(Each.m_Session))
      Result.push_back(Each.m_Session);
  return Result;
}

void Entrance::dispatchUnkeyed(RequestHandle Handle, Request &Pending,
                               TimePoint Now) {
  if (Pending.m_MustClear && !Pending.m_Cleared) {
    clearUnkeyed(Handle, Pending, Now);
    return;
  }
  const std::optional<SessionId> Picked =
      m_Picker.pick(candidatesFor(Pending), Pending.m_Avoid, Now);
  const Member *Chosen =
      Picked ? m_Context.coordinator().findMember(*Picked) : nullptr;
  if (Chosen == nullptr) {
    retryRouting(Handle, Pending, {Outcome::Wait, Reason::NoOwner}, Now);
    return;
  }
  if (!Pending.m_Incoming.m_Meta.m_Idempotent && !Pending.m_Cleared &&
      m_History.firstSeen(*Picked) > Pending.m_Received - MaxMemberViewLag) {
    // A later attempt may have been cleared before the other daemons knew this
    // member, so the member cannot tell that this attempt is superseded.
    Pending.m_MustClear = true;
    clearUnkeyed(Handle, Pending, Now);
    return;
  }
  m_Picker.started(*Picked, Now);
  if (Pending.m_Incoming.m_Meta.m_Idempotent && Pending.m_Retries == 0)
    if (const std::optional<Duration> Delay = m_Picker.hedgeDelay(Now))
      Pending.m_HedgeAt = Now + *Delay;
  forward(Handle, Pending, {*Picked, Chosen->m_Peer, Epoch()}, Now);
}

void Entrance::hedge(RequestHandle Handle, Request &Pending, TimePoint Now) {
  Pending.m_HedgeAt = TimePoint::max();
  if (Pending.m_Exchanges.size() != 1)
    return;
  const std::vector<SessionId> InUse{Pending.m_Exchanges.front().m_Session};
  const std::optional<SessionId> Picked =
      m_Picker.pick(candidatesFor(Pending), InUse, Now);
  if (!Picked || *Picked == InUse.front())
    return;
  const Member *Chosen = m_Context.coordinator().findMember(*Picked);
  if (Chosen == nullptr || !m_Picker.takeHedge(Now))
    return;
  m_Picker.started(*Picked, Now);
  forward(Handle, Pending, {*Picked, Chosen->m_Peer, Epoch()}, Now);
}

Entrance::PeerExchange &Entrance::openExchange(RequestHandle Handle,
                                               Request &Pending,
                                               ExchangeKind Kind,
                                               const Destination &Receiver,
                                               TimePoint Now) {
  PeerExchange Opened;
  Opened.m_Kind = Kind;
  Opened.m_Stream = m_Context.nextStream();
  Opened.m_Session = Receiver.m_Session;
  Opened.m_Peer = Receiver.m_Peer;
  Opened.m_SentAt = Now;
  Opened.m_ReplyTimeout = m_ReceiptTimeout;
  Opened.m_CheckAt = Now + m_ReceiptTimeout;
  if (m_Context.isSelf(Receiver.m_Peer)) {
    Opened.m_CheckAt = TimePoint::max();
    m_Context.localRequests()[Opened.m_Stream] = Handle;
  }
  m_Streams[Opened.m_Stream] = Handle;
  Pending.m_Exchanges.push_back(std::move(Opened));
  return Pending.m_Exchanges.back();
}

Entrance::PeerExchange Entrance::closeExchange(Request &Pending,
                                               std::size_t Index) {
  PeerExchange Closed = std::move(Pending.m_Exchanges[Index]);
  Pending.m_Exchanges.erase(Pending.m_Exchanges.begin() +
                            static_cast<std::ptrdiff_t>(Index));
  m_Streams.erase(Closed.m_Stream);
  m_Context.localRequests().erase(Closed.m_Stream);
  return Closed;
}

void Entrance::forward(RequestHandle Handle, Request &Pending,
                       const Destination &Receiver, TimePoint Now) {
  const PeerExchange &Opened =
      openExchange(Handle, Pending, ExchangeKind::Forward, Receiver, Now);
  ForwardRequest Message;
  Message.m_Meta = Pending.m_Incoming.m_Meta;
  Message.m_Http = Pending.m_Incoming.m_Http;
  Message.m_TimeLeft = Pending.m_Incoming.m_Deadline - Now - ReplyMargin;
  Message.m_Stream = Opened.m_Stream;
  Message.m_To = Receiver.m_Session;
  Message.m_Epoch = Receiver.m_Epoch;
  if (const auto It = Pending.m_Clearances.find(Receiver.m_Session);
      It != Pending.m_Clearances.end())
    Message.m_ClearingQuery = It->second.m_ClearingQuery;
  reschedule(Handle, Pending);
  m_Context.send(Receiver.m_Peer, std::move(Message));
}

void Entrance::onReceipt(std::uint64_t Stream, TimePoint Now) {
  const auto It = m_Streams.find(Stream);
  if (It == m_Streams.end())
    return;
  Request &Pending = *find(It->second);
  for (PeerExchange &Each : Pending.m_Exchanges) {
    if (Each.m_Stream != Stream || Each.m_HasReceipt)
      continue;
    Each.m_HasReceipt = true;
    Each.m_ProbeNonce = 0;
    if (Each.m_CheckAt != TimePoint::max())
      Each.m_CheckAt = Now + ReceiptCheckDelay;
  }
  reschedule(It->second, Pending);
}

void Entrance::onReply(ForwardReply Reply, TimePoint Now) {
  const auto It = m_Streams.find(Reply.m_Stream);
  if (It == m_Streams.end())
    return;
  const RequestHandle Handle = It->second;
  Request &Pending = *find(Handle);
  std::size_t Index = 0;
  while (Pending.m_Exchanges[Index].m_Stream != Reply.m_Stream)
    ++Index;
  const PeerExchange Ended = closeExchange(Pending, Index);
  if (!Pending.m_Keyed && Ended.m_Kind == ExchangeKind::Forward)
    m_Picker.finished(Ended.m_Session, Now - Ended.m_SentAt,
                      Reply.m_Outcome != Outcome::Done, Now);
  // A reply to a forward also closes the query about its outcome, and vice
  // versa.
  const std::uint64_t SettledForward = Ended.m_Kind == ExchangeKind::Forward
                                           ? Ended.m_Stream
                                           : Ended.m_ForwardStream;
  for (std::size_t I = Pending.m_Exchanges.size(); I-- > 0;)
    if (SettledForward != 0 &&
        (Pending.m_Exchanges[I].m_ForwardStream == SettledForward ||
         Pending.m_Exchanges[I].m_Stream == SettledForward))
      closeExchange(Pending, I);

  switch (Reply.m_Outcome) {
  case Outcome::Done:
    finish(Handle, {Outcome::Done, Reason::None}, Now, std::move(Reply.m_Http),
           Ended.m_Session);
    return;
  case Outcome::Unknown:
    onUnknown(Handle, Pending, Reply, Now);
    return;
  case Outcome::NotRun:
  case Outcome::Wait:
    if (Ended.m_Kind == ExchangeKind::RetryClearance)
      onClearingReply(Handle, Pending, Ended, Reply, Now);
    else
      onNotRun(Handle, Pending, Ended, Reply, Now);
    return;
  }
}

void Entrance::onNotRun(RequestHandle Handle, Request &Pending,
                        const PeerExchange &Ended, const ForwardReply &Reply,
                        TimePoint Now) {
  if (!Pending.m_Exchanges.empty()) {
    reschedule(Handle, Pending);
    return;
  }
  const RequestResult Last{Reply.m_Outcome, Reply.m_Reason, Reply.m_RetryAfter};
  Pending.m_Avoid.push_back(Ended.m_Session);
  switch (Reply.m_Reason) {
  case Reason::NotOwner:
  case Reason::NoOwner:
  case Reason::LeaseExpired:
  case Reason::HandoverPending:
  case Reason::Draining:
  case Reason::DomainOut:
  case Reason::PeerLost: {
    Pending.m_MustClear |= Pending.m_Keyed;
    const Member *Owner = m_Context.coordinator().findMember(Reply.m_Owner);
    if (Pending.m_Keyed && Owner != nullptr)
      Pending.m_Redirect =
          Destination{Reply.m_Owner, Owner->m_Peer, Reply.m_Epoch};
    retryRouting(Handle, Pending, Last, Now);
    return;
  }
  case Reason::Overloaded:
    if (Pending.m_Keyed)
      finish(Handle, Last, Now);
    else
      retryForward(Handle, Pending, Last, Now);
    return;
  case Reason::TargetFailed:
    retryForward(Handle, Pending, Last, Now);
    return;
  default:
    finish(Handle, Last, Now);
    return;
  }
}

void Entrance::onUnknown(RequestHandle Handle, Request &Pending,
                         const ForwardReply &Reply, TimePoint Now) {
  const RequestResult Last{Outcome::Unknown, Reply.m_Reason,
                           Reply.m_RetryAfter};
  if (!Pending.m_Incoming.m_Meta.m_Idempotent) {
    finish(Handle, Last, Now);
    return;
  }
  Pending.m_MayHaveRun = true;
  if (Pending.m_Exchanges.empty())
    retryForward(Handle, Pending, Last, Now);
  else
    reschedule(Handle, Pending);
}

void Entrance::retryRouting(RequestHandle Handle, Request &Pending,
                            RequestResult Last, TimePoint Now) {
  if (Now - Pending.m_Received >= MaxOwnerWait) {
    Last.m_Outcome = Outcome::Wait;
    Last.m_RetryAfter = std::max(Last.m_RetryAfter, NoOwnerRetryAfter);
    finish(Handle, Last, Now);
    return;
  }
  const std::uint32_t Doublings = std::min(Pending.m_RouteRetries++, 4U);
  const Duration Delay =
      std::min(MinRoutingBackoff * (1U << Doublings), MaxRoutingBackoff);
  Pending.m_RetryAt = Now + Delay;
  reschedule(Handle, Pending);
}

void Entrance::retryForward(RequestHandle Handle, Request &Pending,
                            RequestResult Last, TimePoint Now) {
  const Duration Delay =
      m_Budget.delay(Pending.m_Retries + 1, m_Context.random());
  const bool InTime = Now + Delay < Pending.m_Incoming.m_Deadline;
  if (!InTime || Pending.m_Retries >= MaxRetries || !m_Budget.takeRetry()) {
    finish(Handle, Last, Now);
    return;
  }
  ++Pending.m_Retries;
  Pending.m_RetryAt = Now + Delay;
  reschedule(Handle, Pending);
}

void Entrance::finish(RequestHandle Handle, RequestResult Result, TimePoint Now,
                      HttpAnswer Http, SessionId Runner) {
  const auto It = m_Requests.find(Handle);
  Request Pending = std::move(It->second);
  m_Requests.erase(It);
  m_WakeTimes.erase({Pending.m_WakeAt, Handle});
  const bool ClaimsNotRun =
      Result.m_Outcome == Outcome::NotRun || Result.m_Outcome == Outcome::Wait;
  if (ClaimsNotRun && mayHaveRun(Pending))
    Result.m_Outcome = Outcome::Unknown;

  while (!Pending.m_Exchanges.empty()) {
    const PeerExchange Open =
        closeExchange(Pending, Pending.m_Exchanges.size() - 1);
    if (Open.m_Kind != ExchangeKind::Forward)
      continue;
    if (!Pending.m_Keyed)
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
