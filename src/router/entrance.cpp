// Handling of a caller's request, from reading it to its one answer.
#include "entrance.h"

#include "core/http_syntax.h"
#include "link/frame_headers.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Requests aren't held for an owner whose daemon has been unreachable for
/// longer.
constexpr Duration MaxOwnerOutage = std::chrono::milliseconds(700);
/// For the way of a withdrawal to another daemon and of its answer.
constexpr Duration WithdrawalTime = std::chrono::milliseconds(300);
/// Statuses for callers whose request failed without proof that it hasn't run.
constexpr unsigned BadGateway = 502;
constexpr unsigned GatewayTimeout = 504;
/// Lower ones are of interim answers.
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;

std::int64_t micros(Duration Value) { return Value.count(); }

/// What the end of an attempt says about the target.
///
/// \param InTime the request's deadline has not passed.
AttemptEnd attemptEnd(const TargetJobResult &Result, bool InTime) {
  // A full target answers that it has not run the request, or breaks the
  // connection.
  const bool Shed = Result.m_ReachedTarget &&
                    Result.m_Outcome != Outcome::Done &&
                    Result.m_Reason == Reason::Overloaded;
  const bool Reset = InTime && Result.m_Outcome == Outcome::Unknown &&
                     Result.m_Reason == Reason::TargetFailed;
  if (Shed || Reset)
    return AttemptEnd::Rejected;
  const bool Failed =
      Result.m_Outcome == Outcome::Unknown ||
      Result.m_Reason == Reason::TargetFailed ||
      (Result.m_Outcome == Outcome::Done && Result.m_Answer.m_Status >= 500);
  return Failed ? AttemptEnd::Failed : AttemptEnd::Accepted;
}

/// Whether a peer's answer has an outcome that this version knows, with a
/// status that a final answer may have. Peers may be of other versions.
bool isValid(const LinkFrame &Answer) {
  if (Answer.outcome != static_cast<std::uint8_t>(Outcome::Done))
    return Answer.outcome <= static_cast<std::uint8_t>(Outcome::Wait);
  return Answer.status >= FirstFinalStatus && isAnswerStatus(Answer.status);
}

TargetJobResult resultOf(PeerReply Reply) {
  // Without a valid answer the request may have run.
  TargetJobResult Result{.m_Outcome = Outcome::Unknown,
                         .m_Reason = Reason::PeerLost,
                         .m_ReachedTarget = true};
  if (!Reply.m_Answer)
    return Result;
  const LinkFrame &Answer = *Reply.m_Answer;
  if (const auto Id = TargetId::fromText(Answer.target_id); Id && !Id->empty())
    Result.m_LeavingTarget = {.m_Id = *Id, .m_StartTimeMs = Answer.target_born};
  if (!isValid(Answer)) {
    Result.m_Reason = Reason::TargetFailed;
    return Result;
  }
  Result.m_Outcome = static_cast<Outcome>(Answer.outcome);
  Result.m_Reason = static_cast<Reason>(Answer.reason);
  Result.m_ReachedTarget = Answer.reached_target;
  Result.m_RetryAfter = Duration(Answer.retry_after);
  Result.m_Answer.m_Status = Answer.status;
  Result.m_Answer.m_Headers = headersOf(Answer);
  Result.m_Answer.m_Body = std::move(Reply.m_Body);
  return Result;
}

} // namespace

Entrance::Entrance(EventLoop &Loop, EventLog &Log,
                   const RouterSettings &Settings, const ExchangeFormat &Format,
                   TargetAgent &Agent, PeerMesh &Mesh, TargetSelector &Selector,
                   const CrashSuspects &Suspects, QuotaService &Quota,
                   RouterMetrics &Metrics, EntranceOptions Options,
                   EntranceCallbacks Callbacks)
    : m_Loop(Loop), m_Log(Log), m_Settings(Settings), m_Format(Format),
      m_Agent(Agent), m_Mesh(Mesh), m_Selector(Selector), m_Suspects(Suspects),
      m_Quota(Quota), m_Metrics(Metrics), m_Options(Options),
      m_Callbacks(std::move(Callbacks)),
      m_Random(std::hash<InstanceName>()(Settings.m_Instance)) {}

void Entrance::accept(std::shared_ptr<HttpExchange> Exchange) {
  const Id Request = ++m_LastId;
  ActiveRequest &Entry = m_Active[Request];
  Entry.m_Exchange = std::move(Exchange);
  Entry.m_ReceivedAt = Entry.m_Exchange->receivedAt();
  Entry.m_Metadata = m_Format.read(Entry.m_Exchange->request());
  Entry.m_Nested = Entry.m_Metadata.m_ParentId &&
                   m_Agent.isRunning(*Entry.m_Metadata.m_ParentId);
  Entry.m_OfRepeat =
      Entry.m_Nested && m_Agent.isRunningRepeat(*Entry.m_Metadata.m_ParentId);
  Entry.m_Table = m_Callbacks.m_Routes();
  if (!Entry.m_Table)
    return refuse(Request, Reason::UnknownService,
                  m_Options.m_DefaultRetryAfter);
  if (m_RefuseNew)
    return refuse(Request, Reason::Draining, m_Options.m_DefaultRetryAfter);
  if (!matchRoute(Entry))
    return fail(Request, NotFound, Reason::UnknownService);
  if (!authenticate(Entry))
    return refuseUnauthenticated(Request);
  applyRoute(Entry);
  // It may have waited long for others of its connection.
  if (Entry.m_Deadline <= m_Loop.now())
    return refuse(Request, Reason::DeadlinePassed,
                  m_Options.m_DefaultRetryAfter);
  const auto NoRoom = Entry.m_Route->m_Kind == RouteKind::Download
                          ? m_Callbacks.m_LargeAnswersRefusedFor()
                          : std::nullopt;
  if (NoRoom)
    return refuse(Request, Reason::Overloaded, *NoRoom);
  if (const auto Refused = m_Suspects.refusedFor(Entry.m_Digest, m_Loop.now()))
    return refuse(Request, Reason::CrashesTargets, *Refused);
  Entry.m_Exchange->onCallerDisconnected(
      [this, Request] { callerLeft(Request); });
  startDeadlineTimer(Request, Entry);
  if (needsToken(Entry))
    return acquireToken(Request);
  start(Request);
}

bool Entrance::needsToken(const ActiveRequest &Entry) const {
  return !Entry.m_Nested && Entry.m_Organisation &&
         m_Quota.isLimited(*Entry.m_Organisation);
}

void Entrance::acquireToken(Id Request) {
  ActiveRequest &Entry = m_Active.at(Request);
  const Duration Wait(static_cast<Duration::rep>(
      m_Options.m_QuotaWaitRatio *
      static_cast<double>(micros(Entry.m_Deadline - Entry.m_ReceivedAt))));
  Entry.m_Ticket =
      m_Quota.acquire(*Entry.m_Organisation, Entry.m_ReceivedAt + Wait,
                      [this, Request](QuotaVerdict Verdict, Duration After) {
                        tokenDecided(Request, Verdict, After);
                      });
}

void Entrance::tokenDecided(Id Request, QuotaVerdict Verdict,
                            Duration RetryAfter) {
  const auto Found = m_Active.find(Request);
  if (Found == m_Active.end())
    return;
  Found->second.m_Ticket.reset();
  if (Verdict != QuotaVerdict::Granted)
    return refuse(Request,
                  Verdict == QuotaVerdict::Denied ? Reason::OverQuota
                                                  : Reason::QuotaUnavailable,
                  RetryAfter);
  Found->second.m_TokenAt = m_Loop.now();
  start(Request);
}

void Entrance::returnToken(const ActiveRequest &Entry) {
  if (Entry.m_TokenAt && !Entry.m_MayHaveRun)
    m_Quota.giveBack(*Entry.m_Organisation, *Entry.m_TokenAt);
}

void Entrance::start(Id Request) {
  const ActiveRequest &Entry = m_Active.at(Request);
  if (Entry.m_OfRepeat)
    retryBudget(Entry.m_Service).onRepeat();
  else
    retryBudget(Entry.m_Service).onFirstAttempt();
  dispatch(Request);
}

bool Entrance::matchRoute(ActiveRequest &Entry) {
  Entry.m_Route = Entry.m_Table->match(Entry.m_Metadata.m_Host,
                                       Entry.m_Exchange->request().m_Target);
  return Entry.m_Route != nullptr;
}

bool Entrance::authenticate(ActiveRequest &Entry) const {
  // Where room is shared by priority, a nested request is as urgent as what its
  // parent's caller waits for.
  Entry.m_Priority =
      (Entry.m_Nested && m_Settings.m_ShareRoom
           ? m_Agent.runningPriority(*Entry.m_Metadata.m_ParentId)
           : std::nullopt)
          .value_or(Entry.m_Route->m_Priority);
  const OrganisationDirectory &Organisations = Entry.m_Table->organisations();
  if (Organisations.empty() || Entry.m_Route->m_Public || Entry.m_Nested)
    return true;
  const OrganisationDirectory::Entry *Found =
      Organisations.findByKey(Entry.m_Metadata.m_ApiKey);
  if (!Found)
    return false;
  Entry.m_Organisation = Found->m_Name;
  Entry.m_Priority = Found->m_Priority.value_or(Entry.m_Priority);
  return true;
}

void Entrance::refuseUnauthenticated(Id Request) {
  const RequestMetadata &Metadata = m_Active.at(Request).m_Metadata;
  // A target doesn't have a key for its nested requests. After a restart of
  // this daemon their parents aren't known.
  if (Metadata.m_ParentId && Metadata.m_ApiKey.empty())
    return refuse(Request, Reason::Cancelled, m_Options.m_DefaultRetryAfter);
  fail(Request, Unauthorized, Reason::UnknownApiKey);
}

void Entrance::applyRoute(ActiveRequest &Entry) {
  HttpRequest &Request = Entry.m_Exchange->request();
  const Route &Matched = *Entry.m_Route;
  Entry.m_Service = chooseShare(
      Matched, std::hash<std::string>()(Entry.m_Metadata.m_Id) ^ m_Random());
  const Duration TimeLeft =
      Entry.m_Metadata.m_DeadlineLeft.value_or(Matched.m_Timeout);
  Duration &Longest = m_LongestTimeLeft[Matched.m_Name];
  Longest = std::max(Longest, TimeLeft);
  Entry.m_Deadline =
      std::min(Entry.m_ReceivedAt + std::min(TimeLeft, Matched.m_Timeout),
               m_LatestDeadline);
  Entry.m_Objective =
      Entry.m_ReceivedAt + Matched.m_LatencyObjective - (Longest - TimeLeft);
  Entry.m_Digest = digestOf(Entry.m_Metadata.m_Host, Request.m_Method,
                            Request.m_Target, Request.m_Body);
  Entry.m_Request = std::move(Request);
  m_Format.prepare(Entry.m_Request, m_Settings.m_Service, Entry.m_Organisation);
}

bool Entrance::isKeyed(const ActiveRequest &Entry) {
  const ServiceSpec *Spec = Entry.m_Table->service(Entry.m_Service);
  return Spec && Spec->m_DividedByKey && Entry.m_Metadata.m_Key;
}

std::optional<InstanceName>
Entrance::ownerOf(const ActiveRequest &Entry) const {
  const KeyMap *Map = m_Callbacks.m_KeyMap(Entry.m_Service);
  if (!Map)
    return std::nullopt;
  const KeySpan &Span = Map->find(*Entry.m_Metadata.m_Key);
  const InstanceName &Owner = Span.m_Owner.m_Instance;
  switch (Span.m_State) {
  case SpanState::Free:
    return std::nullopt;
  case SpanState::Releasing:
    // The owner serves until its next heartbeat. Once it has refused the
    // request, the request is forwarded to the next owner and waits there until
    // the keys are granted.
    return Entry.m_Excluded.contains(Owner) ? Span.m_NextOwner.m_Instance
                                            : Owner;
  case SpanState::Owned:
  case SpanState::Revoked:
  case SpanState::Unconfirmed:
    return Owner;
  }
  return std::nullopt;
}

std::optional<Duration> Entrance::leavingFor(const InstanceName &Name) const {
  const auto Found = m_LeavingTargets.find(Name);
  if (Found == m_LeavingTargets.end() ||
      m_Callbacks.m_Target(Name) != Found->second.m_Target)
    return std::nullopt;
  return m_Loop.now() - Found->second.m_Since;
}

std::optional<InstanceName> Entrance::choose(const ActiveRequest &Entry) {
  std::vector<TargetSelector::Candidate> Candidates =
      m_Callbacks.m_Candidates(Entry.m_Service);
  std::erase_if(Candidates, [&](const TargetSelector::Candidate &Each) {
    return Entry.m_Excluded.contains(Each.m_Target) ||
           leavingFor(Each.m_Target);
  });
  return m_Selector.choose(
      Candidates, Entry.m_Route->m_Kind == RouteKind::Download, m_Random(),
      m_Loop.now(),
      m_Settings.m_PreferOwnDomain ? Entry.m_Objective - m_Loop.now()
                                   : Duration::zero());
}

void Entrance::dispatch(Id Request) {
  auto Found = m_Active.find(Request);
  if (Found == m_Active.end())
    return;
  ActiveRequest &Entry = Found->second;
  if (!isKeyed(Entry)) {
    const auto Destination = choose(Entry);
    if (!Destination)
      return refuse(Request, Reason::Overloaded, m_Options.m_DefaultRetryAfter);
    return forward(Request, *Destination);
  }
  const auto Destination = ownerOf(Entry);
  // A leaving owner serves until it has handed its keys over.
  if (Destination && leavingFor(*Destination).value_or(Duration::zero()) >
                         m_Settings.m_DrainLimit - m_Options.m_DrainMargin)
    return retryOwnerLookup(Request);
  const bool Local = Destination && *Destination == m_Settings.m_Instance;
  if (Destination && (Local || m_Mesh.isUp(*Destination)))
    return forward(Request, *Destination);
  const auto DownSince =
      Destination ? m_Mesh.downSince(*Destination) : std::nullopt;
  if (DownSince && m_Loop.now() - *DownSince > MaxOwnerOutage)
    return refuse(Request, Reason::NoOwner, m_Options.m_DefaultRetryAfter);
  retryOwnerLookup(Request);
}

void Entrance::retryOwnerLookup(Id Request) {
  ActiveRequest &Entry = m_Active.at(Request);
  if (++Entry.m_OwnerLookups > m_Options.m_MaxOwnerLookups)
    return refuse(Request, Reason::NoOwner, m_Options.m_DefaultRetryAfter);
  Entry.m_OwnerRetryTimer = m_Loop.after(
      m_Options.m_OwnerRetryDelay, [this, Request] { dispatch(Request); });
}

void Entrance::forward(Id Request, const InstanceName &Destination) {
  ActiveRequest &Entry = m_Active.at(Request);
  Entry.m_Destination = Destination;
  ++Entry.m_Forwards;
  m_Selector.sent(Destination);
  const TimePoint Now = m_Loop.now();
  const Route &Matched = *Entry.m_Route;
  const bool Repeated = Entry.m_OfRepeat || Entry.m_TargetAttempts > 0;
  if (Destination == m_Settings.m_Instance) {
    TargetJob Job{.m_Request = Entry.m_Request,
                  .m_Id = Entry.m_Metadata.m_Id,
                  .m_Route = Matched.m_Name,
                  .m_Priority = Entry.m_Priority,
                  .m_Organisation =
                      Entry.m_Organisation.value_or(OrganisationName()),
                  .m_Idempotent = Matched.idempotent(),
                  .m_Nested = Entry.m_Nested,
                  .m_Repeated = Repeated,
                  .m_Key = Entry.m_Metadata.m_Key,
                  .m_Digest = Entry.m_Digest,
                  .m_Objective = Entry.m_Objective,
                  .m_Deadline = Entry.m_Deadline};
    const KeyMap *Map = m_Callbacks.m_KeyMap(Entry.m_Service);
    if (!Map)
      Job.m_Key.reset();
    Entry.m_Job = m_Agent.submit(std::move(Job), Map,
                                 [this, Request](TargetJobResult Result) {
                                   attemptEnded(Request, std::move(Result));
                                 });
    return;
  }
  LinkFrame Frame;
  Frame.service = Entry.m_Service.value();
  Frame.method = Entry.m_Request.m_Method;
  Frame.target = Entry.m_Request.m_Target;
  setHeaders(Frame, Entry.m_Request.m_Headers);
  Frame.request_id = Entry.m_Metadata.m_Id;
  Frame.route = Matched.m_Name;
  Frame.non_idempotent = !Matched.idempotent();
  Frame.priority = Entry.m_Priority;
  if (Entry.m_Organisation)
    Frame.organisation = Entry.m_Organisation->value();
  Frame.nested = Entry.m_Nested;
  Frame.repeated = Repeated;
  Frame.digest = Entry.m_Digest.value();
  Frame.large_answer = Matched.m_Kind == RouteKind::Download;
  if (Entry.m_Metadata.m_Key)
    Frame.key = *Entry.m_Metadata.m_Key;
  Frame.objective_left = micros(Entry.m_Objective - Now);
  Frame.deadline_left = micros(Entry.m_Deadline - Now);
  Entry.m_Stream =
      m_Mesh.request(Destination, std::move(Frame), Entry.m_Request.m_Body,
                     [this, Request](PeerReply Reply) {
                       attemptEnded(Request, resultOf(std::move(Reply)));
                     });
  if (Entry.m_Stream == 0)
    m_Loop.post([this, Request] {
      attemptEnded(Request, {.m_Outcome = Outcome::NotRun,
                             .m_Reason = Reason::PeerLost});
    });
}

void Entrance::attemptEnded(Id Request, TargetJobResult Result) {
  auto Found = m_Active.find(Request);
  if (Found == m_Active.end())
    return;
  ActiveRequest &Entry = Found->second;
  Entry.m_Stream = 0;
  Entry.m_Job = {};
  if (Result.m_ReachedTarget)
    ++Entry.m_TargetAttempts;
  Entry.m_MayHaveRun = Entry.m_MayHaveRun ||
                       Result.m_Outcome == Outcome::Unknown ||
                       Result.m_Outcome == Outcome::Done;
  if (Result.m_LeavingTarget)
    noteLeaving(Entry.m_Destination, *Result.m_LeavingTarget);
  const bool AttemptFailed =
      Result.m_Outcome == Outcome::Unknown ||
      (Result.m_Outcome == Outcome::Done && Result.m_Answer.m_Status >= 500);
  m_Selector.done(Entry.m_Destination,
                  attemptEnd(Result, m_Loop.now() < Entry.m_Deadline),
                  m_Loop.now());
  if (Result.m_Outcome == Outcome::Done) {
    if (AttemptFailed && Entry.m_Route->idempotent() && acquireRetry(Entry))
      return dispatch(Request);
    Result.m_Answer.m_Headers.removeHopByHop();
    // A target that closes its own connection mustn't end the requests that the
    // caller has sent behind this one.
    Result.m_Answer.m_KeepAlive = true;
    return answer(Request, std::move(Result.m_Answer), "done", Reason::None);
  }
  if (Result.m_Outcome != Outcome::Unknown)
    return handleNotRun(Request, Result);
  // A request that may have crashed a target before isn't tried at another.
  if (Entry.m_Route->idempotent() &&
      !m_Suspects.isSuspect(Entry.m_Digest, m_Loop.now()) &&
      acquireRetry(Entry))
    return dispatch(Request);
  fail(Request, BadGateway, Result.m_Reason);
}

void Entrance::noteLeaving(const InstanceName &Name,
                           const TargetIncarnation &Leaving) {
  LeavingTarget &Known = m_LeavingTargets[Name];
  if (Known.m_Target != Leaving)
    Known = {.m_Target = Leaving, .m_Since = m_Loop.now()};
}

void Entrance::handleNotRun(Id Request, const TargetJobResult &Result) {
  ActiveRequest &Entry = m_Active.at(Request);
  if (Result.m_Reason == Reason::NotOwner && Entry.m_Metadata.m_Key) {
    // A target that refused the key has got the request, so that another
    // attempt is a repeat for the service.
    if (Result.m_ReachedTarget && !retryBudget(Entry.m_Service).takeRetry())
      return refuse(Request, Result.m_Reason, Result.m_RetryAfter);
    Entry.m_Excluded.insert(Entry.m_Destination);
    const KeyMap *Map = m_Callbacks.m_KeyMap(Entry.m_Service);
    const bool HandingOver =
        Map &&
        Map->find(*Entry.m_Metadata.m_Key).m_State == SpanState::Releasing;
    if (HandingOver && Entry.m_Forwards < m_Options.m_MaxForwards)
      return dispatch(Request);
    return retryOwnerLookup(Request);
  }
  if (retryAtOwner(Request, Result))
    return;
  const bool MayTryAnother =
      !isKeyed(Entry) && Entry.m_Forwards < m_Options.m_MaxForwards;
  if (MayTryAnother && (!Result.m_ReachedTarget || acquireRetry(Entry))) {
    Entry.m_Excluded.insert(Entry.m_Destination);
    const auto Destination = choose(Entry);
    if (Destination)
      return forward(Request, *Destination);
  }
  refuse(Request, Result.m_Reason, Result.m_RetryAfter);
}

bool Entrance::retryAtOwner(Id Request, const TargetJobResult &Result) {
  ActiveRequest &Entry = m_Active.at(Request);
  const bool Rejected =
      Result.m_ReachedTarget && Result.m_Reason == Reason::Overloaded;
  if (!m_Settings.m_ShareRoom || !Rejected || !isKeyed(Entry) ||
      Entry.m_RetriedAtOwner)
    return false;
  const Duration Pause =
      std::clamp(Result.m_RetryAfter / 2, m_Options.m_MinRejectedPause,
                 m_Options.m_MaxRejectedPause);
  if (!chargeRetry(Entry, Entry.m_Destination, Pause))
    return false;
  Entry.m_RetriedAtOwner = true;
  Entry.m_OwnerRetryTimer =
      m_Loop.after(Pause, [this, Request] { dispatch(Request); });
  return true;
}

bool Entrance::acquireRetry(ActiveRequest &Entry) {
  if (Entry.m_TargetAttempts >= Entry.m_Route->m_MaxAttempts)
    return false;
  Entry.m_Excluded.insert(Entry.m_Destination);
  // A keyed request is retried at the same owner, any other at another
  // instance.
  return chargeRetry(Entry, choose(Entry).value_or(Entry.m_Destination),
                     Duration::zero());
}

bool Entrance::chargeRetry(const ActiveRequest &Entry,
                           const InstanceName &Destination, Duration Pause) {
  if (Entry.m_TargetAttempts >= Entry.m_Route->m_MaxAttempts)
    return false;
  const auto Expected =
      m_Selector.expectedCompletion(Destination, m_Loop.now());
  const double MinTimeLeft =
      m_Options.m_MinRetryTimeRatio *
      static_cast<double>(
          micros(Expected.value_or(m_Options.m_DefaultRetryAfter)));
  return static_cast<double>(micros(Entry.m_Deadline - m_Loop.now() - Pause)) >=
             MinTimeLeft &&
         retryBudget(Entry.m_Service).takeRetry();
}

bool Entrance::cancelAttempt(const ActiveRequest &Entry) {
  if (Entry.m_Stream != 0)
    m_Mesh.cancel(Entry.m_Destination, Entry.m_Stream);
  if (Entry.m_Job.value() == 0)
    return Entry.m_Stream != 0;
  const CancelledAttempt State = m_Agent.cancel(Entry.m_Job);
  m_Metrics.attemptCancelled(toString(State));
  return State == CancelledAttempt::Sent || State == CancelledAttempt::Ended;
}

void Entrance::startDeadlineTimer(Id Request, ActiveRequest &Entry) {
  Entry.m_DeadlineTimer = m_Loop.after(Entry.m_Deadline - m_Loop.now(),
                                       [this, Request] { timedOut(Request); });
}

void Entrance::answerAllBy(TimePoint Limit) {
  m_LatestDeadline = Limit;
  std::vector<PassedOnRequest> PassedOn;
  for (auto &[Request, Entry] : m_Active) {
    if (Entry.m_Deadline <= Limit)
      continue;
    Entry.m_Deadline = Limit;
    m_Loop.cancel(Entry.m_DeadlineTimer);
    startDeadlineTimer(Request, Entry);
    if (Entry.m_Stream != 0)
      PassedOn.push_back({.m_Request = Request, .m_Stream = Entry.m_Stream});
  }
  m_Loop.after(std::max(Limit - WithdrawalTime - m_Loop.now(), Duration()),
               [this, PassedOn = std::move(PassedOn)] { withdraw(PassedOn); });
}

void Entrance::withdraw(const std::vector<PassedOnRequest> &PassedOn) {
  for (const PassedOnRequest &Each : PassedOn) {
    const auto Found = m_Active.find(Each.m_Request);
    if (Found != m_Active.end() && Found->second.m_Stream == Each.m_Stream)
      m_Mesh.withdraw(Found->second.m_Destination, Each.m_Stream);
  }
}

void Entrance::timedOut(Id Request) {
  ActiveRequest &Entry = m_Active.at(Request);
  const bool MayHaveReached = cancelAttempt(Entry);
  if (!MayHaveReached && Entry.m_TargetAttempts == 0)
    return refuse(Request, Reason::DeadlinePassed,
                  m_Options.m_DefaultRetryAfter);
  fail(Request, GatewayTimeout, Reason::DeadlinePassed);
}

void Entrance::callerLeft(Id Request) {
  auto Found = m_Active.find(Request);
  if (Found == m_Active.end())
    return;
  cancelAttempt(Found->second);
  answer(Request, {}, "caller_left", Reason::Cancelled);
}

void Entrance::refuse(Id Request, Reason Why, Duration RetryAfter) {
  if (RetryAfter <= Duration::zero())
    RetryAfter = m_Options.m_DefaultRetryAfter;
  const double Spread = 1 + m_Options.m_RetryAfterSpread *
                                (static_cast<double>(m_Random()) / UINT32_MAX);
  HttpAnswer Answer = m_Format.notRunAnswer(
      Why == Reason::OverQuota ? RefusalKind::OverQuota
                               : RefusalKind::Unavailable,
      Duration(static_cast<Duration::rep>(
          static_cast<double>(micros(RetryAfter)) * Spread)));
  const ActiveRequest &Entry = m_Active.at(Request);
  returnToken(Entry);
  m_Metrics.requestRefused(Entry.m_Service.value(), Entry.m_Priority,
                           toString(Why));
  answer(Request, std::move(Answer), "refused", Why);
}

void Entrance::fail(Id Request, unsigned Status, Reason Why) {
  answer(Request, {.m_Status = Status}, "failed", Why);
}

void Entrance::answer(Id Request, HttpAnswer Answer, std::string_view Outcome,
                      Reason Why) {
  auto Node = m_Active.extract(Request);
  ActiveRequest &Entry = Node.mapped();
  m_Loop.cancel(Entry.m_DeadlineTimer);
  m_Loop.cancel(Entry.m_OwnerRetryTimer);
  if (Entry.m_Ticket)
    m_Quota.cancel(*Entry.m_Ticket);
  const Duration Took = m_Loop.now() - Entry.m_ReceivedAt;
  const bool Good = Why == Reason::None && Answer.m_Status < 500;
  m_Log.write(
      Good ? LogClass::Success : LogClass::Failure,
      LogLine("request_ended")
          .add("request", Entry.m_Metadata.m_Id)
          .add("route", Entry.m_Route ? Entry.m_Route->m_Name : "")
          .add("config",
               static_cast<std::int64_t>(
                   Entry.m_Table ? Entry.m_Table->version().value() : 0))
          .add("service", Entry.m_Service.value())
          .add("organisation",
               Entry.m_Organisation ? Entry.m_Organisation->value() : "")
          .add("priority", std::int64_t{Entry.m_Priority})
          .add("nested", std::int64_t{Entry.m_Nested})
          .add("key",
               std::int64_t{Entry.m_Metadata.m_Key ? *Entry.m_Metadata.m_Key
                                                   : -1})
          .add("at", Entry.m_Destination.value())
          .add("offers", std::int64_t{Entry.m_Forwards})
          .add("arrivals", std::int64_t{Entry.m_TargetAttempts})
          .add("status", std::int64_t{Answer.m_Status})
          .add("outcome", Outcome)
          .add("reason", toString(Why))
          .add("deadline_left", Entry.m_Deadline - m_Loop.now())
          .add("took", Took));
  m_Metrics.requestEnded(Entry.m_Service.value(), std::string(Outcome), Took);
  if (Answer.m_Status != 0)
    Entry.m_Exchange->answer(std::move(Answer));
}

} // namespace balsamwheel
