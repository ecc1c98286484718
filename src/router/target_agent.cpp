// State of the local target, and the requests that wait for it or run there.
#include "target_agent.h"

#include <algorithm>
#include <cmath>

namespace balsamwheel {

namespace {

/// Half-life of the request rates of slices.
constexpr double SliceHalfLifeSeconds = 2;
/// Added to the deadline, so that the target's own time-out answer still
/// arrives.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(60);
/// Connections to the target beyond its slots, for those still occupied by
/// cancelled requests.
constexpr std::uint32_t SpareConnections = 2;
/// Unacknowledged data for this long means that the target is gone: it is on
/// the same machine.
constexpr Duration TargetUnacknowledged = std::chrono::seconds(1);
/// Maximum idle time of a connection that is reused for a non-idempotent
/// request.
constexpr Duration FreshConnection = std::chrono::milliseconds(500);
/// Requests with less time left are refused instead of sent.
constexpr Duration LeastTimeLeft = std::chrono::milliseconds(5);

} // namespace

TargetAgent::TargetAgent(EventLoop &Loop, EventLog &Log,
                         const RouterSettings &Settings,
                         const ExchangeFormat &Format,
                         TargetAgentOptions Options)
    : m_Loop(Loop), m_Log(Log), m_Settings(Settings), m_Format(Format),
      m_Options(Options), m_StartedAt(Loop.now()), m_Gate(Options.m_Gate),
      m_Link({.m_BytesPerSecond = Settings.m_LinkBytesPerSecond}) {}

std::optional<KeyOwner> TargetAgent::owner() const {
  if (!m_Target)
    return std::nullopt;
  return KeyOwner{.m_Instance = m_Settings.m_Instance, .m_Target = *m_Target};
}

bool TargetAgent::beat(const TargetBeat &Beat) {
  if (m_Target && Beat.m_Target != *m_Target &&
      Beat.m_Target.m_BornMs <= m_Target->m_BornMs)
    return false;
  if (m_Target == Beat.m_Target && Beat.m_Sequence <= m_LastSequence)
    return false;
  if (m_Target != Beat.m_Target)
    startTarget(Beat);
  m_LastSequence = Beat.m_Sequence;
  m_LastBeat = m_Loop.now();
  if (m_Slots != Beat.m_Slots) {
    m_Slots = Beat.m_Slots;
    if (m_Gate.isOpen())
      openGate();
  }
  m_ColdUntil = Beat.m_ColdLeft > Duration::zero()
                    ? m_Loop.now() + Beat.m_ColdLeft + m_Settings.m_Heartbeat
                    : TimePoint();
  limitColdRate();
  if (Beat.m_Draining && !m_Leaving)
    leave("draining");
  m_Ledger->report(Beat.m_Keys);
  return true;
}

void TargetAgent::startTarget(const TargetBeat &Beat) {
  m_Log.write(LogClass::Belief, LogLine("target_started")
                                    .add("target", Beat.m_Target.m_Id)
                                    .add("born_ms", Beat.m_Target.m_BornMs)
                                    .add("slots", std::int64_t{Beat.m_Slots})
                                    .add("cold_left", Beat.m_ColdLeft));
  shutGate(Reason::TargetFailed);
  if (m_Client) {
    m_Client->reset();
    m_Loop.retire(std::move(m_Client));
  }
  m_Target = Beat.m_Target;
  m_Ledger.emplace(m_Options.m_Holds,
                   KeyOwner{m_Settings.m_Instance, *m_Target});
  m_LastSequence = 0;
  m_Slots = Beat.m_Slots;
  m_Leaving = false;
  m_Loop.cancel(m_ShutTimer);
  HttpClientOptions Client;
  Client.m_MaxConnections = Beat.m_Slots + SpareConnections;
  Client.m_UnacknowledgedLimit = TargetUnacknowledged;
  m_Client = std::make_unique<HttpClient>(m_Loop, m_Settings.m_Target, Client);
  openGate();
}

void TargetAgent::setService(const ServiceSpec *Spec) {
  const bool First = Spec && !m_Spec;
  m_Spec = Spec ? std::optional(*Spec) : std::nullopt;
  limitColdRate();
  if (First)
    openGate();
}

void TargetAgent::limitColdRate() {
  if (m_Spec && m_Spec->m_ColdRate > 0 && m_ColdUntil > m_Loop.now())
    m_Gate.limitRate(m_Spec->m_ColdRate, m_ColdUntil, m_Loop.now());
}

void TargetAgent::openGate() {
  if (!m_Target || !m_Spec || leaving() || m_RefuseNew)
    return;
  limitColdRate();
  m_Gate.open(std::min(m_Slots, m_Spec->m_MaxConnections));
  m_Loop.post([this] { pump(); });
}

void TargetAgent::shutGate(Reason Why) {
  std::vector<JobId> Turned = m_Gate.shut();
  Turned.insert(Turned.end(), m_AwaitingGrant.begin(), m_AwaitingGrant.end());
  m_AwaitingGrant.clear();
  for (JobId Each : Turned)
    finish(Each, {.m_Outcome = Outcome::NotRun, .m_Reason = Why});
}

void TargetAgent::scheduleShut(Duration Limit, Reason Why) {
  m_Loop.cancel(m_ShutTimer);
  // Keys need time to be handed over; requests without a key can go to other
  // instances immediately.
  const bool Keyed = m_Ledger && m_Ledger->heldUntil() > m_Loop.now();
  if (!Keyed)
    return shutGate(Why);
  m_ShutTimer = m_Loop.after(Limit - m_Options.m_LeaveMargin,
                             [this, Why] { shutGate(Why); });
}

void TargetAgent::leave(const char *Why) {
  if (m_Leaving)
    return;
  m_Leaving = true;
  m_Log.write(LogClass::Belief,
              LogLine("target_leaving")
                  .add("target", m_Target ? m_Target->m_Id : "")
                  .add("why", Why)
                  .add("waiting", static_cast<std::int64_t>(m_Gate.waiting())));
  scheduleShut(m_Settings.m_DrainLimit, Reason::Draining);
}

void TargetAgent::refuseNew() {
  if (m_RefuseNew)
    return;
  m_RefuseNew = true;
  shutGate(Reason::Draining);
}

void TargetAgent::setEvacuated(bool Evacuated) {
  if (Evacuated == m_Evacuated)
    return;
  m_Evacuated = Evacuated;
  m_Log.write(LogClass::Belief,
              LogLine(Evacuated ? "domain_out" : "domain_in")
                  .add("domain", m_Settings.m_Domain.value()));
  if (Evacuated) {
    scheduleShut(m_Settings.m_EvacuationLimit, Reason::DomainOut);
  } else if (!m_Leaving) {
    m_Loop.cancel(m_ShutTimer);
    openGate();
  }
}

TargetCondition TargetAgent::condition() const {
  const TimePoint Now = m_Loop.now();
  if (!m_Target)
    return Now - m_StartedAt > m_Options.m_EarlierGrants
               ? TargetCondition::Ended
               : TargetCondition::Shaken;
  const bool Silent = Now - m_LastBeat >
                      Duration(static_cast<Duration::rep>(
                          m_Options.m_MissedBeats *
                          static_cast<double>(m_Settings.m_Heartbeat.count())));
  if (Silent && Now > m_Ledger->heldUntil() &&
      Now - m_StartedAt > m_Options.m_EarlierGrants)
    return TargetCondition::Ended;
  if (leaving())
    return TargetCondition::Leaving;
  return Silent || m_Stopping ? TargetCondition::Shaken : TargetCondition::Fit;
}

GateReport TargetAgent::gateReport() const {
  return {.m_Running = m_Gate.running(),
          .m_Waiting = static_cast<std::uint32_t>(m_Gate.waiting()),
          .m_Slots = leaving() || m_Stopping ? 0 : m_Gate.slots(),
          .m_Service = m_Gate.meanService(),
          .m_RateLimit = m_Gate.rateLimit(m_Loop.now()),
          .m_LinkWait = m_Link.wait(m_Loop.now())};
}

double TargetAgent::capacity() const {
  // Slots divided by the mean service time.
  const double Service =
      static_cast<double>(m_Gate.meanService().count()) / 1e6;
  return m_Slots / std::max(Service, 0.001);
}

void TargetAgent::decaySliceRates(Duration Interval) {
  const double Seconds = static_cast<double>(Interval.count()) / 1e6;
  const auto Kept =
      static_cast<float>(std::exp2(-Seconds / SliceHalfLifeSeconds));
  for (float &Rate : m_SliceRates)
    Rate *= Kept;
}

TargetAgent::JobId TargetAgent::submit(TargetJob Request, const KeyMap *Map,
                                       OnResult Done) {
  const JobId Id(++m_LastJob);
  Job &Added = m_Jobs[Id];
  Added.m_Job = std::move(Request);
  Added.m_Done = std::move(Done);
  Added.m_Submitted = m_Loop.now();
  if (Added.m_Job.m_Key) {
    const KeyIndex Key = *Added.m_Job.m_Key;
    // Adds one request to an exponentially decaying rate; 0.6931 is ln 2.
    m_SliceRates[Key / KeysPerSlice] +=
        static_cast<float>(0.6931 / SliceHalfLifeSeconds);
    if (!m_Ledger || !m_Ledger->holds(Key, m_Loop.now())) {
      if (!m_Ledger || !Map || !m_Ledger->owns(*Map, Key) || leaving()) {
        finish(Id,
               {.m_Outcome = Outcome::NotRun, .m_Reason = Reason::NotOwner});
        return Id;
      }
      m_AwaitingGrant.push_back(Id);
      m_Loop.after(grantWait(Added.m_Job), [this, Id] {
        if (std::erase(m_AwaitingGrant, Id) > 0)
          finish(Id, {.m_Outcome = Outcome::Wait,
                      .m_Reason = Reason::HandoverPending,
                      .m_RetryAfter = m_Settings.m_Heartbeat / 2});
      });
      return Id;
    }
  }
  const TimePoint Now = m_Loop.now();
  if (Added.m_Job.m_LargeOverLink &&
      !m_Link.reserve(Added.m_Job.m_Objective - Now, Now)) {
    finish(Id, {.m_Outcome = Outcome::Wait,
                .m_Reason = Reason::Overloaded,
                .m_RetryAfter = m_Link.wait(Now) / 2});
    return Id;
  }
  offer(Id);
  return Id;
}

Duration TargetAgent::grantWait(const TargetJob &Of) const {
  const TimePoint Now = m_Loop.now();
  const Duration Timely =
      Of.m_Objective - Now - m_Gate.expectedService(Of.m_Route);
  return std::min(m_Options.m_GrantWait,
                  std::max(Timely, (Of.m_Deadline - Now) / 4));
}

void TargetAgent::grantsChanged() {
  std::vector<JobId> Still;
  std::vector<JobId> Ready;
  for (JobId Each : m_AwaitingGrant) {
    const Job &Of = m_Jobs.at(Each);
    (m_Ledger->holds(*Of.m_Job.m_Key, m_Loop.now()) ? Ready : Still)
        .push_back(Each);
  }
  m_AwaitingGrant = std::move(Still);
  for (JobId Each : Ready)
    offer(Each);
}

void TargetAgent::offer(JobId Id) {
  const Job &Of = m_Jobs.at(Id);
  const GateDecision Decision =
      m_Gate.offer({.m_Handle = Id,
                    .m_Route = Of.m_Job.m_Route,
                    .m_Priority = Of.m_Job.m_Priority,
                    .m_Nested = Of.m_Job.m_Nested,
                    .m_Objective = Of.m_Job.m_Objective,
                    .m_Deadline = Of.m_Job.m_Deadline},
                   m_Loop.now());
  switch (Decision.m_Verdict) {
  case GateVerdict::Send:
    return send(Id);
  case GateVerdict::Wait:
    if (m_Gate.waiting() == 1)
      expireWaiting();
    return pump();
  case GateVerdict::Refuse:
    break;
  }
  const Reason Why = m_Gate.isOpen() ? Reason::Overloaded
                     : m_Leaving     ? Reason::Draining
                     : m_Evacuated   ? Reason::DomainOut
                                     : Reason::TargetFailed;
  finish(Id, {.m_Outcome = Outcome::Wait,
              .m_Reason = Why,
              .m_RetryAfter = Decision.m_RetryAfter});
}

void TargetAgent::send(JobId Id) {
  Job &Of = m_Jobs.at(Id);
  const TimePoint Now = m_Loop.now();
  const Duration Left = Of.m_Job.m_Deadline - Now;
  const bool KeyLost = Of.m_Job.m_Key && !m_Ledger->holds(*Of.m_Job.m_Key, Now);
  if (Left < LeastTimeLeft || KeyLost) {
    m_Gate.finished(Of.m_Job.m_Route, Duration::zero(), false);
    finish(Id,
           {.m_Outcome = Outcome::NotRun,
            .m_Reason = KeyLost ? Reason::NotOwner : Reason::DeadlinePassed});
    return pump();
  }
  Of.m_Sent = true;
  Of.m_SentAt = Now;
  m_RunningIds.insert(Of.m_Job.m_Id);
  m_Format.mark(Of.m_Job.m_Request,
                {.m_DeadlineLeft = Left, .m_TargetId = m_Target->m_Id});
  HttpCall Call{.m_Timeout = Left + DeadlineGrace,
                .m_IdHeader = m_Format.idHeader(),
                .m_Id = Of.m_Job.m_Id};
  if (!Of.m_Job.m_Idempotent)
    Call.m_MaxIdle = FreshConnection;
  Call.m_Request = std::move(Of.m_Job.m_Request);
  Of.m_Call =
      m_Client->call(std::move(Call), [this, Id](HttpCallResult Result) {
        completed(Id, std::move(Result));
      });
}

void TargetAgent::completed(JobId Id, HttpCallResult Result) {
  Job &Of = m_Jobs.at(Id);
  forgetRunning(Of.m_Job.m_Id);
  const Duration Service = m_Loop.now() - Of.m_SentAt;
  TargetJobResult Out{.m_ReachedTarget = Result.m_End != HttpCallEnd::NotSent};
  bool Served = false;
  switch (Result.m_End) {
  case HttpCallEnd::NotSent:
    Out.m_Reason = Reason::TargetFailed;
    Out.m_RetryAfter = m_Options.m_RefusedPause;
    Out.m_Outcome = Outcome::Wait;
    break;
  case HttpCallEnd::Broken:
  case HttpCallEnd::TimedOut:
    Out.m_Outcome = Outcome::Unknown;
    Out.m_Reason = Reason::TargetFailed;
    break;
  case HttpCallEnd::Answered:
    switch (m_Format.judge(Result.m_Answer)) {
    case TargetVerdict::Ran:
      Out.m_Outcome = Outcome::Done;
      Out.m_Answer = std::move(Result.m_Answer);
      Served = Out.m_Answer.m_Status < 500;
      if (Of.m_Job.m_LargeOverLink && Served)
        m_Link.sent(Out.m_Answer.m_Body.size());
      break;
    case TargetVerdict::Shed:
      Out.m_Outcome = Outcome::Wait;
      Out.m_Reason = Reason::Overloaded;
      Out.m_RetryAfter = m_Gate.meanService();
      break;
    case TargetVerdict::Misdirected:
      Out.m_Reason = Reason::NotOwner;
      Out.m_ReachedTarget = false; // Doesn't count as an attempt.
      break;
    case TargetVerdict::Spoiled:
      Out.m_Outcome = Outcome::Unknown;
      Out.m_Reason = Reason::TargetFailed;
      break;
    }
    break;
  }
  if (Out.m_Outcome != Outcome::Done)
    m_Log.write(LogClass::Failure,
                LogLine("target_call_failed")
                    .add("request", Of.m_Job.m_Id)
                    .add("target", m_Target ? m_Target->m_Id : "")
                    .add("error", Result.m_Error)
                    .add("status", std::int64_t{Result.m_Answer.m_Status})
                    .add("outcome", toString(Out.m_Outcome))
                    .add("running", std::int64_t{m_Gate.running()})
                    .add("took", Service));
  m_Gate.finished(Of.m_Job.m_Route, Service, Served);
  if (Result.m_End == HttpCallEnd::NotSent)
    targetRefused();
  finish(Id, std::move(Out));
  pump();
}

void TargetAgent::forgetRunning(const std::string &RequestId) {
  if (auto Found = m_RunningIds.find(RequestId); Found != m_RunningIds.end())
    m_RunningIds.erase(Found);
}

void TargetAgent::targetRefused() {
  if (!m_Gate.isOpen())
    return;
  m_Log.write(LogClass::Belief,
              LogLine("target_unreachable")
                  .add("target", m_Target->m_Id)
                  .add("since_beat", m_Loop.now() - m_LastBeat));
  shutGate(Reason::TargetFailed);
  const TargetIncarnation Refused = *m_Target;
  m_Loop.after(m_Options.m_RefusedPause, [this, Refused] {
    if (m_Target == Refused)
      openGate();
  });
}

void TargetAgent::finish(JobId Id, TargetJobResult Result) {
  auto Node = m_Jobs.extract(Id);
  if (Node.empty() || Node.mapped().m_Abandoned)
    return;
  // Posted, so that submit() returns before the callback is called.
  m_Loop.post([Done = std::move(Node.mapped().m_Done),
               Out = std::make_shared<TargetJobResult>(std::move(Result))] {
    Done(std::move(*Out));
  });
}

void TargetAgent::cancel(JobId Id) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return;
  Job &Of = Found->second;
  if (!Of.m_Sent) {
    m_Gate.withdraw(Id);
    std::erase(m_AwaitingGrant, Id);
    m_Jobs.erase(Found);
    return;
  }
  if (!Of.m_Job.m_Idempotent) {
    Of.m_Abandoned = true;
    return;
  }
  forgetRunning(Of.m_Job.m_Id);
  m_Client->cancel(Of.m_Call);
  m_Gate.finished(Of.m_Job.m_Route, Duration::zero(), false);
  m_Jobs.erase(Found);
  pump();
}

void TargetAgent::pump() {
  while (auto Next = m_Gate.next(m_Loop.now()))
    send(*Next);
  m_Loop.cancel(m_PumpTimer);
  if (const auto Wake = m_Gate.nextWake(m_Loop.now()))
    m_PumpTimer = m_Loop.after(*Wake - m_Loop.now(), [this] { pump(); });
}

void TargetAgent::expireWaiting() {
  m_Loop.cancel(m_ExpireTimer);
  for (JobId Each : m_Gate.expire(m_Loop.now()))
    finish(Each, {.m_Outcome = Outcome::Wait,
                  .m_Reason = Reason::DeadlinePassed,
                  .m_RetryAfter = m_Gate.meanService()});
  if (m_Gate.waiting() > 0)
    m_ExpireTimer = m_Loop.after(m_Options.m_Gate.m_ExpireInterval,
                                 [this] { expireWaiting(); });
}

} // namespace balsamwheel
