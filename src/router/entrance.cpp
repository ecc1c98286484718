// Handling of a caller's request, from reading it to its one answer.
#include "entrance.h"

#include "link/frame_headers.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Requests aren't held for an owner whose daemon has been unreachable for
/// longer.
constexpr Duration ShortOutage = std::chrono::milliseconds(700);
/// Status for callers whose request failed without proof that it hasn't run.
constexpr unsigned BadGateway = 502;
constexpr unsigned GatewayTimeout = 504;

std::int64_t micros(Duration Value) { return Value.count(); }

} // namespace

Entrance::Entrance(EventLoop &Loop, EventLog &Log,
                   const RouterSettings &Settings, const ExchangeFormat &Format,
                   TargetAgent &Agent, PeerMesh &Mesh, TargetBoard &Board,
                   RouterMetrics &Metrics, EntranceOptions Options,
                   EntranceView View)
    : m_Loop(Loop), m_Log(Log), m_Settings(Settings), m_Format(Format),
      m_Agent(Agent), m_Mesh(Mesh), m_Board(Board), m_Metrics(Metrics),
      m_Options(Options), m_View(std::move(View)), m_Retries(Options.m_Retries),
      m_Random(std::hash<InstanceName>()(Settings.m_Instance)) {}

void Entrance::accept(std::shared_ptr<HttpExchange> Exchange) {
  const Id Request = ++m_LastId;
  Active &Of = m_Active[Request];
  Of.m_Exchange = std::move(Exchange);
  Of.m_Arrived = m_Loop.now();
  Of.m_Marks = m_Format.read(Of.m_Exchange->request());
  Of.m_Nested =
      Of.m_Marks.m_ParentId && m_Agent.isRunning(*Of.m_Marks.m_ParentId);
  Of.m_Table = m_View.m_Routes();
  if (!Of.m_Table)
    return refuse(Request, Reason::UnknownService,
                  m_Options.m_DefaultRetryAfter);
  if (m_RefuseNew)
    return refuse(Request, Reason::Draining, m_Options.m_DefaultRetryAfter);
  if (!place(Of))
    return fail(Request, 404, Reason::UnknownService);
  m_Retries.onFirstAttempt();
  Of.m_Exchange->onGone([this, Request] { callerLeft(Request); });
  Of.m_Timer = m_Loop.after(Of.m_Deadline - m_Loop.now(),
                            [this, Request] { timedOut(Request); });
  dispatch(Request);
}

bool Entrance::place(Active &Of) {
  HttpRequest &Request = Of.m_Exchange->request();
  Of.m_Route = Of.m_Table->match(Of.m_Marks.m_Host, Request.m_Target);
  if (!Of.m_Route)
    return false;
  const Route &Chosen = *Of.m_Route;
  Of.m_Service = chooseShare(Chosen, std::hash<std::string>()(Of.m_Marks.m_Id) ^
                                         m_Random());
  const Duration Left = Of.m_Marks.m_DeadlineLeft.value_or(Chosen.m_Timeout);
  Duration &Full = m_FullDeadlines[Chosen.m_Name];
  Full = std::max(Full, Left);
  Of.m_Deadline = Of.m_Arrived + std::min(Left, Chosen.m_Timeout);
  Of.m_Objective = Of.m_Arrived + Chosen.m_LatencyObjective - (Full - Left);
  Of.m_Request = std::move(Request);
  m_Format.prepare(Of.m_Request, m_Settings.m_Service);
  return true;
}

bool Entrance::isKeyed(const Active &Of) {
  const ServiceSpec *Spec = Of.m_Table->service(Of.m_Service);
  return Spec && Spec->m_DividedByKey && Of.m_Marks.m_Key;
}

std::optional<InstanceName> Entrance::ownerOf(const Active &Of) const {
  const KeyMap *Map = m_View.m_KeyMap(Of.m_Service);
  if (!Map)
    return std::nullopt;
  const KeySpan &Span = Map->find(*Of.m_Marks.m_Key);
  const InstanceName &Owner = Span.m_Owner.m_Instance;
  switch (Span.m_State) {
  case SpanState::Free:
    return std::nullopt;
  case SpanState::Releasing:
    // The owner serves until its next heartbeat; once it has refused the
    // request, the next owner holds it until the keys are granted.
    return Of.m_Refused.contains(Owner) ? Span.m_Heir.m_Instance : Owner;
  case SpanState::Owned:
  case SpanState::Revoked:
    return Owner;
  }
  return std::nullopt;
}

std::optional<InstanceName> Entrance::choose(const Active &Of) {
  std::vector<TargetBoard::Candidate> Candidates =
      m_View.m_Candidates(Of.m_Service);
  std::erase_if(Candidates, [&](const TargetBoard::Candidate &Each) {
    return Of.m_Refused.contains(Each.m_Target);
  });
  return m_Board.choose(Candidates, Of.m_Route->m_Kind == RouteKind::Download,
                        m_Random(), m_Loop.now());
}

void Entrance::dispatch(Id Request) {
  auto Found = m_Active.find(Request);
  if (Found == m_Active.end())
    return;
  Active &Of = Found->second;
  if (!isKeyed(Of)) {
    const auto To = choose(Of);
    if (!To)
      return refuse(Request, Reason::Overloaded, m_Options.m_DefaultRetryAfter);
    return passOn(Request, *To);
  }
  const auto To = ownerOf(Of);
  const bool Local = To && *To == m_Settings.m_Instance;
  if (To && (Local || m_Mesh.isUp(*To)))
    return passOn(Request, *To);
  const auto Down = To ? m_Mesh.downSince(*To) : std::nullopt;
  if (Down && m_Loop.now() - *Down > ShortOutage)
    return refuse(Request, Reason::NoOwner, m_Options.m_DefaultRetryAfter);
  lookUpOwnerAgain(Request);
}

void Entrance::lookUpOwnerAgain(Id Request) {
  Active &Of = m_Active.at(Request);
  if (++Of.m_OwnerLookups > m_Options.m_MaxOwnerLookups)
    return refuse(Request, Reason::NoOwner, m_Options.m_DefaultRetryAfter);
  Of.m_Pause = m_Loop.after(m_Options.m_OwnerRetry,
                            [this, Request] { dispatch(Request); });
}

void Entrance::passOn(Id Request, const InstanceName &To) {
  Active &Of = m_Active.at(Request);
  Of.m_At = To;
  ++Of.m_Offers;
  m_Board.sent(To);
  const TimePoint Now = m_Loop.now();
  const Route &Via = *Of.m_Route;
  if (To == m_Settings.m_Instance) {
    TargetJob Job{.m_Request = Of.m_Request,
                  .m_Id = Of.m_Marks.m_Id,
                  .m_Route = Via.m_Name,
                  .m_Priority = Via.m_Priority,
                  .m_Idempotent = Via.idempotent(),
                  .m_Nested = Of.m_Nested,
                  .m_Key = Of.m_Marks.m_Key,
                  .m_Objective = Of.m_Objective,
                  .m_Deadline = Of.m_Deadline};
    const KeyMap *Map = m_View.m_KeyMap(Of.m_Service);
    if (!Map)
      Job.m_Key.reset();
    Of.m_Job = m_Agent.submit(std::move(Job), Map,
                              [this, Request](TargetJobResult Result) {
                                resulted(Request, std::move(Result));
                              });
    return;
  }
  LinkFrame Frame;
  Frame.service = Of.m_Service.value();
  Frame.method = Of.m_Request.m_Method;
  Frame.target = Of.m_Request.m_Target;
  setHeaders(Frame, Of.m_Request.m_Headers);
  Frame.request_id = Of.m_Marks.m_Id;
  Frame.route = Via.m_Name;
  Frame.non_idempotent = !Via.idempotent();
  Frame.priority = Via.m_Priority;
  Frame.nested = Of.m_Nested;
  Frame.large_answer = Via.m_Kind == RouteKind::Download;
  if (Of.m_Marks.m_Key)
    Frame.key = *Of.m_Marks.m_Key;
  Frame.objective_left = micros(Of.m_Objective - Now);
  Frame.deadline_left = micros(Of.m_Deadline - Now);
  Of.m_Stream =
      m_Mesh.request(To, std::move(Frame), Of.m_Request.m_Body,
                     [this, Request](PeerReply Reply) {
                       TargetJobResult Result;
                       if (!Reply.m_Answer) {
                         Result.m_Outcome = Outcome::Unknown;
                         Result.m_Reason = Reason::PeerLost;
                         Result.m_ReachedTarget = true;
                         return resulted(Request, std::move(Result));
                       }
                       const LinkFrame &From = *Reply.m_Answer;
                       Result.m_Outcome = static_cast<Outcome>(From.outcome);
                       Result.m_Reason = static_cast<Reason>(From.reason);
                       Result.m_ReachedTarget = From.reached_target;
                       Result.m_RetryAfter = Duration(From.retry_after);
                       Result.m_Answer.m_Status = From.status;
                       Result.m_Answer.m_Headers = headersOf(From);
                       Result.m_Answer.m_Body = std::move(Reply.m_Body);
                       resulted(Request, std::move(Result));
                     });
  if (Of.m_Stream == 0)
    m_Loop.post([this, Request] {
      resulted(Request,
               {.m_Outcome = Outcome::NotRun, .m_Reason = Reason::PeerLost});
    });
}

void Entrance::resulted(Id Request, TargetJobResult Result) {
  auto Found = m_Active.find(Request);
  if (Found == m_Active.end())
    return;
  Active &Of = Found->second;
  Of.m_Stream = 0;
  Of.m_Job = {};
  if (Result.m_ReachedTarget)
    ++Of.m_Arrivals;
  const bool Spoiled =
      Result.m_Outcome == Outcome::Unknown ||
      (Result.m_Outcome == Outcome::Done && Result.m_Answer.m_Status >= 500);
  m_Board.done(Of.m_At, Spoiled || Result.m_Reason == Reason::TargetFailed,
               m_Loop.now());
  if (Result.m_Outcome == Outcome::Done) {
    if (Spoiled && Of.m_Route->idempotent() && mayRepeat(Of))
      return dispatch(Request);
    Result.m_Answer.m_Headers.removeHopByHop();
    return answer(Request, std::move(Result.m_Answer), "done", Reason::None);
  }
  if (Result.m_Outcome != Outcome::Unknown)
    return notRun(Request, Result);
  if (Of.m_Route->idempotent() && mayRepeat(Of))
    return dispatch(Request);
  fail(Request, BadGateway, Result.m_Reason);
}

void Entrance::notRun(Id Request, const TargetJobResult &Result) {
  Active &Of = m_Active.at(Request);
  if (Result.m_Reason == Reason::NotOwner && Of.m_Marks.m_Key) {
    Of.m_Refused.insert(Of.m_At);
    const KeyMap *Map = m_View.m_KeyMap(Of.m_Service);
    const bool Moving =
        Map && Map->find(*Of.m_Marks.m_Key).m_State == SpanState::Releasing;
    if (Moving && Of.m_Offers < m_Options.m_MaxOffers)
      return dispatch(Request);
    return lookUpOwnerAgain(Request);
  }
  const bool Elsewhere = !isKeyed(Of) && Of.m_Offers < m_Options.m_MaxOffers;
  if (Elsewhere && (!Result.m_ReachedTarget || mayRepeat(Of))) {
    Of.m_Refused.insert(Of.m_At);
    const auto To = choose(Of);
    if (To)
      return passOn(Request, *To);
  }
  refuse(Request, Result.m_Reason, Result.m_RetryAfter);
}

bool Entrance::mayRepeat(Active &Of) {
  if (Of.m_Arrivals >= Of.m_Route->m_MaxAttempts)
    return false;
  Of.m_Refused.insert(Of.m_At);
  // A keyed request is retried at the same owner, any other at another
  // instance.
  const InstanceName To = choose(Of).value_or(Of.m_At);
  const auto Expected = m_Board.expectedCompletion(To, m_Loop.now());
  const double Needed = m_Options.m_RepeatCompletionPart *
                        static_cast<double>(micros(
                            Expected.value_or(m_Options.m_DefaultRetryAfter)));
  return static_cast<double>(micros(Of.m_Deadline - m_Loop.now())) >= Needed &&
         m_Retries.takeRetry();
}

void Entrance::withdraw(const Active &Of) {
  if (Of.m_Job.value() != 0)
    m_Agent.cancel(Of.m_Job);
  if (Of.m_Stream != 0)
    m_Mesh.cancel(Of.m_At, Of.m_Stream);
}

void Entrance::timedOut(Id Request) {
  Active &Of = m_Active.at(Request);
  withdraw(Of);
  const bool Placed = Of.m_Job.value() != 0 || Of.m_Stream != 0;
  if (!Placed && Of.m_Arrivals == 0)
    return refuse(Request, Reason::DeadlinePassed,
                  m_Options.m_DefaultRetryAfter);
  fail(Request, GatewayTimeout, Reason::DeadlinePassed);
}

void Entrance::callerLeft(Id Request) {
  auto Found = m_Active.find(Request);
  if (Found == m_Active.end())
    return;
  withdraw(Found->second);
  answer(Request, {}, "caller_left", Reason::Cancelled);
}

void Entrance::refuse(Id Request, Reason Why, Duration RetryAfter) {
  if (RetryAfter <= Duration::zero())
    RetryAfter = m_Options.m_DefaultRetryAfter;
  const double Spread = 1 + m_Options.m_RetryAfterSpread *
                                (static_cast<double>(m_Random()) / UINT32_MAX);
  HttpAnswer Answer = m_Format.notRun(Duration(static_cast<Duration::rep>(
      static_cast<double>(micros(RetryAfter)) * Spread)));
  answer(Request, std::move(Answer), "refused", Why);
}

void Entrance::fail(Id Request, unsigned Status, Reason Why) {
  answer(Request, {.m_Status = Status}, "failed", Why);
}

void Entrance::answer(Id Request, HttpAnswer Answer, std::string_view Outcome,
                      Reason Why) {
  auto Node = m_Active.extract(Request);
  Active &Of = Node.mapped();
  m_Loop.cancel(Of.m_Timer);
  m_Loop.cancel(Of.m_Pause);
  const Duration Took = m_Loop.now() - Of.m_Arrived;
  const bool Good = Why == Reason::None && Answer.m_Status < 500;
  m_Log.write(
      Good ? LogClass::Success : LogClass::Failure,
      LogLine("request_ended")
          .add("request", Of.m_Marks.m_Id)
          .add("route", Of.m_Route ? Of.m_Route->m_Name : "")
          .add("config", static_cast<std::int64_t>(
                             Of.m_Table ? Of.m_Table->version().value() : 0))
          .add("service", Of.m_Service.value())
          .add("nested", std::int64_t{Of.m_Nested})
          .add("key", std::int64_t{Of.m_Marks.m_Key ? *Of.m_Marks.m_Key : -1})
          .add("at", Of.m_At.value())
          .add("offers", std::int64_t{Of.m_Offers})
          .add("arrivals", std::int64_t{Of.m_Arrivals})
          .add("status", std::int64_t{Answer.m_Status})
          .add("outcome", Outcome)
          .add("reason", toString(Why))
          .add("deadline_left", Of.m_Deadline - m_Loop.now())
          .add("took", Took));
  m_Metrics.requestEnded(Of.m_Service.value(), std::string(Outcome), Took);
  if (Answer.m_Status != 0)
    Of.m_Exchange->answer(std::move(Answer));
}

} // namespace balsamwheel
