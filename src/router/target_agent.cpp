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
constexpr Duration AnswerGrace = std::chrono::milliseconds(60);
/// Connections to the target beyond its slots, for those still occupied by
/// cancelled requests.
constexpr std::uint32_t SpareConnections = 2;
/// Unacknowledged data for this long means that the target is gone: it is on
/// the same machine.
constexpr Duration TargetTcpUserTimeout = std::chrono::seconds(1);
/// Maximum idle time of a connection that is reused for a non-idempotent
/// request.
constexpr Duration NonIdempotentMaxIdle = std::chrono::milliseconds(500);
/// Runs that have broken off within this time of each other can have ended with
/// the same crash.
constexpr Duration CrashSpread = std::chrono::milliseconds(200);
/// How long after a run has broken off the target's end may be noticed.
constexpr Duration CrashNoticeTime = std::chrono::seconds(3);
constexpr std::size_t MaxBrokenRuns = 64;
/// Requests with less time left are refused instead of sent.
constexpr Duration MinTimeLeft = std::chrono::milliseconds(5);

} // namespace

const char *toString(CancelledAttempt State) {
  switch (State) {
  case CancelledAttempt::Ended:
    return "ended";
  case CancelledAttempt::Waiting:
    return "waiting";
  case CancelledAttempt::Unsent:
    return "unsent";
  case CancelledAttempt::Sent:
    return "sent";
  }
  return "";
}

TargetAgent::TargetAgent(EventLoop &Loop, EventLog &Log,
                         const RouterSettings &Settings,
                         const ExchangeFormat &Format,
                         TargetAgentOptions Options,
                         const CrashSuspects &Suspects,
                         TargetAgentCallbacks Callbacks)
    : m_Loop(Loop), m_Log(Log), m_Settings(Settings), m_Format(Format),
      m_Options(Options), m_StartedAt(Loop.now()), m_Gate(Options.m_Gate),
      m_LinkBudget({.m_BytesPerSecond = Settings.m_LinkBytesPerSecond}),
      m_Suspects(Suspects), m_Callbacks(std::move(Callbacks)) {}

std::optional<KeyOwner> TargetAgent::owner() const {
  if (!m_Target)
    return std::nullopt;
  return KeyOwner{.m_Instance = m_Settings.m_Instance, .m_Target = *m_Target};
}

bool TargetAgent::onHeartbeat(const TargetHeartbeat &Heartbeat) {
  if (m_Target && Heartbeat.m_Target != *m_Target &&
      Heartbeat.m_Target.m_StartTimeMs <= m_Target->m_StartTimeMs)
    return false;
  if (m_Target == Heartbeat.m_Target && Heartbeat.m_Sequence <= m_LastSequence)
    return false;
  const bool First = m_Target != Heartbeat.m_Target;
  if (First)
    startTarget(Heartbeat);
  m_LastSequence = Heartbeat.m_Sequence;
  m_LastHeartbeat = m_Loop.now();
  if (m_Slots != Heartbeat.m_Slots) {
    m_Slots = Heartbeat.m_Slots;
    if (m_Gate.isOpen())
      openGate();
  }
  m_ColdUntil =
      Heartbeat.m_ColdLeft > Duration::zero()
          ? m_Loop.now() + Heartbeat.m_ColdLeft + m_Settings.m_HeartbeatInterval
          : TimePoint();
  limitColdRate();
  // A previous daemon may have acknowledged at any time that the target leaves.
  if (Heartbeat.m_Draining && First)
    leaveUntil(m_Loop.now(), "draining since before the first heartbeat");
  else if (Heartbeat.m_Draining)
    leave("draining");
  m_Keys->report(Heartbeat.m_Keys);
  return true;
}

void TargetAgent::startTarget(const TargetHeartbeat &Heartbeat) {
  m_Log.write(LogClass::StateChange,
              LogLine("target_started")
                  .add("target", Heartbeat.m_Target.m_Id.value())
                  .add("born_ms", Heartbeat.m_Target.m_StartTimeMs)
                  .add("slots", std::int64_t{Heartbeat.m_Slots})
                  .add("cold_left", Heartbeat.m_ColdLeft));
  reportCrash();
  closeGate(Reason::TargetFailed);
  if (m_Client) {
    m_Client->reset();
    m_Loop.destroyLater(std::move(m_Client));
  }
  m_Target = Heartbeat.m_Target;
  // Only the first target that this daemon hears of can have grants of a
  // previous daemon.
  const TimePoint EarlierGrantsEnd =
      m_Keys || m_Settings.m_SystemStart
          ? TimePoint()
          : m_StartedAt +
                revocationWait(m_Options.m_Keys.m_Holds, Duration::zero());
  if (m_Keys)
    m_Loop.destroyLater(std::move(m_Keys));
  m_Keys = std::make_unique<TargetKeys>(
      m_Loop, m_Log, m_Format, m_Settings.m_Target, *owner(), m_Options.m_Keys,
      EarlierGrantsEnd, m_Callbacks.m_Keys);
  if (m_ServiceSpec)
    m_Keys->setMode(m_ServiceSpec->m_GrantMode);
  m_CrashReported = false;
  m_LastSequence = 0;
  m_Slots = Heartbeat.m_Slots;
  startMeasuring();
  m_NamedLimit.reset();
  m_LastEnded.reset();
  m_Gate.setNamedLimit(std::nullopt, m_Loop.now());
  m_Leaving = false;
  m_LeaveLimit.reset();
  scheduleClose();
  HttpClientOptions Client;
  Client.m_MaxConnections = Heartbeat.m_Slots + SpareConnections;
  Client.m_TcpUserTimeout = TargetTcpUserTimeout;
  Client.m_Limits.m_MaxBodyBytes = m_Settings.m_MaxAnswerBytes;
  Client.m_BodyRoom = m_Options.m_AnswerBodyRoom;
  // An answer with a length has an end, so that it may take all the room.
  const std::size_t Room =
      Client.m_BodyRoom ? Client.m_BodyRoom->maxBytes() : 0;
  Client.m_Limits.m_MaxAnnouncedBodyBytes =
      Room != 0 ? Room : ParseLimits().m_MaxBodyBytes;
  m_Client = std::make_unique<HttpClient>(m_Loop, m_Settings.m_Target, Client);
  openGate();
}

void TargetAgent::setService(const ServiceSpec *Spec) {
  const bool First = Spec && !m_ServiceSpec;
  m_ServiceSpec = Spec ? std::optional(*Spec) : std::nullopt;
  if (Spec && m_Keys)
    m_Keys->setMode(Spec->m_GrantMode);
  limitColdRate();
  if (First)
    openGate();
}

TargetCondition TargetAgent::condition() const {
  const TimePoint Now = m_Loop.now();
  if (!m_Target)
    return Now - m_StartedAt > m_Options.m_EarlierGrantsExpiry
               ? TargetCondition::Ended
               : TargetCondition::NoNewKeys;
  const bool Silent =
      Now - m_LastHeartbeat >
      Duration(static_cast<Duration::rep>(
          m_Options.m_MaxMissedHeartbeats *
          static_cast<double>(m_Settings.m_HeartbeatInterval.count())));
  if (Silent && Now > m_Keys->heldUntil() &&
      Now - m_StartedAt > m_Options.m_EarlierGrantsExpiry)
    return TargetCondition::Ended;
  if (leaving())
    return TargetCondition::Leaving;
  return Silent || m_Stopping ? TargetCondition::NoNewKeys
                              : TargetCondition::Eligible;
}

EndedTargets TargetAgent::endedTargets() const {
  return {.m_Instance = m_Settings.m_Instance,
          .m_All = condition() == TargetCondition::Ended,
          .m_Present = m_Target};
}

void TargetAgent::decaySliceRates(Duration Interval) {
  const double Seconds = static_cast<double>(Interval.count()) / 1e6;
  const auto Factor =
      static_cast<float>(std::exp2(-Seconds / SliceHalfLifeSeconds));
  for (float &Rate : m_SliceRates)
    Rate *= Factor;
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
    if (!m_Keys || !m_Keys->holds(Key)) {
      if (!m_Keys || !Map || !isAssigned(*Map, Key, *owner()) || leaving()) {
        finish(Id,
               {.m_Outcome = Outcome::NotRun, .m_Reason = Reason::NotOwner});
        return Id;
      }
      m_AwaitingGrant.push_back(Id);
      m_Loop.after(grantWaitLimit(Added.m_Job), [this, Id] {
        if (std::erase(m_AwaitingGrant, Id) > 0)
          finish(Id, {.m_Outcome = Outcome::Wait,
                      .m_Reason = Reason::HandoverPending,
                      .m_RetryAfter = m_Settings.m_HeartbeatInterval / 2});
      });
      return Id;
    }
  }
  const TimePoint Now = m_Loop.now();
  if (Added.m_Job.m_LargeOverLink &&
      !m_LinkBudget.reserve(Added.m_Job.m_Objective - Now, Now)) {
    finish(Id, {.m_Outcome = Outcome::Wait,
                .m_Reason = Reason::Overloaded,
                .m_RetryAfter = m_LinkBudget.wait(Now) / 2});
    return Id;
  }
  offer(Id);
  return Id;
}

Duration TargetAgent::grantWaitLimit(const TargetJob &Entry) const {
  const TimePoint Now = m_Loop.now();
  const Duration TimeToObjective =
      Entry.m_Objective - Now - m_Gate.expectedService(Entry.m_Route);
  return std::min(m_Options.m_MaxGrantWait,
                  std::max(TimeToObjective, (Entry.m_Deadline - Now) / 4));
}

void TargetAgent::grantsChanged() {
  std::vector<JobId> StillWaiting;
  std::vector<JobId> Ready;
  for (JobId Each : m_AwaitingGrant) {
    const Job &Entry = m_Jobs.at(Each);
    (m_Keys->holds(*Entry.m_Job.m_Key) ? Ready : StillWaiting).push_back(Each);
  }
  m_AwaitingGrant = std::move(StillWaiting);
  for (JobId Each : Ready)
    offer(Each);
}

void TargetAgent::send(JobId Id) {
  Job &Entry = m_Jobs.at(Id);
  const TimePoint Now = m_Loop.now();
  const Duration TimeLeft = Entry.m_Job.m_Deadline - Now;
  if (const auto Refused = m_Suspects.refusedFor(Entry.m_Job.m_Digest, Now)) {
    m_Gate.finished(Entry.m_Job.m_Route, Entry.m_Job.m_Priority,
                    Duration::zero(), false);
    finish(Id, {.m_Outcome = Outcome::Wait,
                .m_Reason = Reason::CrashesTargets,
                .m_RetryAfter = *Refused});
    return sendQueued();
  }
  const bool KeyLost = Entry.m_Job.m_Key && !m_Keys->holds(*Entry.m_Job.m_Key);
  if (TimeLeft < MinTimeLeft || KeyLost) {
    m_Gate.finished(Entry.m_Job.m_Route, Entry.m_Job.m_Priority,
                    Duration::zero(), false);
    finish(Id,
           {.m_Outcome = Outcome::NotRun,
            .m_Reason = KeyLost ? Reason::NotOwner : Reason::DeadlinePassed});
    return sendQueued();
  }
  Entry.m_Sent = true;
  Entry.m_SentAt = Now;
  Entry.m_Incarnation = m_Target;
  if (m_Capacity)
    Entry.m_Run = m_Capacity->started(Now);
  m_RunningIds.emplace(Entry.m_Job.m_Id, Entry.m_Job.m_Priority);
  if (Entry.m_Job.m_Repeated)
    m_RunningRepeats.insert(Entry.m_Job.m_Id);
  m_Format.addTargetMetadata(
      Entry.m_Job.m_Request,
      {.m_DeadlineLeft = TimeLeft, .m_TargetId = m_Target->m_Id});
  HttpCall Call{.m_Timeout = TimeLeft + AnswerGrace,
                .m_IdHeader = m_Format.idHeader(),
                .m_Id = Entry.m_Job.m_Id};
  if (!Entry.m_Job.m_Idempotent)
    Call.m_MaxIdle = NonIdempotentMaxIdle;
  Call.m_Request = std::move(Entry.m_Job.m_Request);
  Entry.m_Call =
      m_Client->call(std::move(Call), [this, Id](HttpCallResult Result) {
        callEnded(Id, std::move(Result));
      });
}

void TargetAgent::callEnded(JobId Id, HttpCallResult Result) {
  Job &Entry = m_Jobs.at(Id);
  forgetRunning(Entry.m_Job);
  const Duration ServiceTime = m_Loop.now() - Entry.m_SentAt;
  TargetJobResult JobResult{.m_ReachedTarget = Result.m_CallOutcome !=
                                               HttpCallOutcome::NotSent};
  bool Served = false;
  bool Shed = false;
  switch (Result.m_CallOutcome) {
  case HttpCallOutcome::NotSent:
    JobResult.m_Reason = Reason::TargetFailed;
    JobResult.m_RetryAfter = m_Options.m_ConnectRetryDelay;
    JobResult.m_Outcome = Outcome::Wait;
    break;
  case HttpCallOutcome::Broken:
    m_BrokenRuns.push_back({.m_Digest = Entry.m_Job.m_Digest,
                            .m_StartedAt = Entry.m_SentAt,
                            .m_CrashedAt = m_Loop.now()});
    if (m_BrokenRuns.size() > MaxBrokenRuns)
      m_BrokenRuns.pop_front();
    [[fallthrough]];
  case HttpCallOutcome::TimedOut:
    JobResult.m_Outcome = Outcome::Unknown;
    JobResult.m_Reason = Reason::TargetFailed;
    break;
  case HttpCallOutcome::Answered: {
    const TargetAnswerKind Kind = m_Format.classify(Result.m_Answer);
    const TargetNotice Notice = m_Format.notice(Result.m_Answer);
    onNotice(Notice, Kind);
    if (Notice.m_Leaving && Kind == TargetAnswerKind::Ran)
      JobResult.m_LeavingTarget = m_Target;
    switch (Kind) {
    case TargetAnswerKind::Ran:
      if (m_Suspects.isSuspect(Entry.m_Job.m_Digest, m_Loop.now()))
        m_Callbacks.m_OnSuspectCompleted(Entry.m_Job.m_Digest);
      JobResult.m_Outcome = Outcome::Done;
      JobResult.m_Answer = std::move(Result.m_Answer);
      Served = JobResult.m_Answer.m_Status < 500;
      if (Entry.m_Job.m_LargeOverLink && Served)
        m_LinkBudget.sent(JobResult.m_Answer.m_Body.size());
      break;
    case TargetAnswerKind::Shed:
      Shed = true;
      JobResult.m_Outcome = Outcome::Wait;
      JobResult.m_Reason = Reason::Overloaded;
      JobResult.m_RetryAfter = m_Gate.meanService();
      break;
    case TargetAnswerKind::Misdirected:
      JobResult.m_Reason = Reason::NotOwner;
      if (Entry.m_Job.m_Key)
        m_Keys->refuted(*Entry.m_Job.m_Key);
      break;
    case TargetAnswerKind::Invalid:
      JobResult.m_Outcome = Outcome::Unknown;
      JobResult.m_Reason = Reason::TargetFailed;
      break;
    }
    break;
  }
  }
  if (JobResult.m_Outcome != Outcome::Done)
    m_Log.write(LogClass::Failure,
                LogLine("target_call_failed")
                    .add("request", Entry.m_Job.m_Id)
                    .add("target", m_Target ? m_Target->m_Id.value() : "")
                    .add("error", Result.m_Error)
                    .add("status", std::int64_t{Result.m_Answer.m_Status})
                    .add("outcome", toString(JobResult.m_Outcome))
                    .add("running", std::int64_t{m_Gate.running()})
                    .add("took", ServiceTime));
  m_LastEnded = m_Loop.now();
  m_Gate.finished(Entry.m_Job.m_Route, Entry.m_Job.m_Priority, ServiceTime,
                  Served);
  measureEnd(Entry, Served ? CapacityEnd::Served
                    : Shed ? CapacityEnd::Refused
                           : CapacityEnd::Other);
  if (Result.m_CallOutcome == HttpCallOutcome::NotSent)
    onConnectionRefused();
  finish(Id, std::move(JobResult));
  sendQueued();
}

void TargetAgent::onNotice(const TargetNotice &Notice, TargetAnswerKind Kind) {
  // Other answers may come from another target at the same address, or be
  // damaged.
  if (Kind != TargetAnswerKind::Ran && Kind != TargetAnswerKind::Shed)
    return;
  if (Notice.m_Leaving)
    leave("its answers say so");
  // A refusal may lack the limit that the target's own answers name.
  if (Notice.m_RateLimit == m_NamedLimit ||
      (Kind == TargetAnswerKind::Shed && !Notice.m_RateLimit))
    return;
  m_NamedLimit = Notice.m_RateLimit;
  m_Gate.setNamedLimit(m_NamedLimit, m_Loop.now());
  m_Log.write(LogClass::StateChange,
              LogLine("target_limit")
                  .add("target", m_Target->m_Id.value())
                  .add("limited", std::int64_t{m_NamedLimit.has_value()})
                  .add("per_1000_s", static_cast<std::int64_t>(
                                         1000 * m_NamedLimit.value_or(0))));
}

std::optional<std::uint32_t>
TargetAgent::runningPriority(const std::string &RequestId) const {
  std::optional<std::uint32_t> Result;
  const auto [First, Last] = m_RunningIds.equal_range(RequestId);
  for (auto Each = First; Each != Last; ++Each)
    Result = std::min(Result.value_or(Each->second), Each->second);
  return Result;
}

void TargetAgent::forgetRunning(const TargetJob &Request) {
  const auto [First, Last] = m_RunningIds.equal_range(Request.m_Id);
  const auto Found = std::find_if(First, Last, [&](const auto &Each) {
    return Each.second == Request.m_Priority;
  });
  if (Found != Last)
    m_RunningIds.erase(Found);
  if (auto Repeat = m_RunningRepeats.find(Request.m_Id);
      Request.m_Repeated && Repeat != m_RunningRepeats.end())
    m_RunningRepeats.erase(Repeat);
}

void TargetAgent::onConnectionRefused() {
  if (!m_Gate.isOpen())
    return;
  m_Log.write(LogClass::StateChange,
              LogLine("target_unreachable")
                  .add("target", m_Target->m_Id.value())
                  .add("since_beat", m_Loop.now() - m_LastHeartbeat));
  reportCrash();
  closeGate(Reason::TargetFailed);
  const TargetIncarnation RefusedTarget = *m_Target;
  m_Loop.after(m_Options.m_ConnectRetryDelay, [this, RefusedTarget] {
    if (m_Target == RefusedTarget)
      openGate();
  });
}

void TargetAgent::reportCrash() {
  const std::deque<CrashedRun> Broken = std::exchange(m_BrokenRuns, {});
  // A target that ends as announced breaks off what it can't complete, and each
  // incarnation ends once.
  if (Broken.empty() || leaving() || m_CrashReported ||
      m_Loop.now() - Broken.back().m_CrashedAt > CrashNoticeTime)
    return;
  const TimePoint Last = Broken.back().m_CrashedAt;
  std::vector<CrashedRun> Runs;
  for (const CrashedRun &Each : Broken) {
    if (Last - Each.m_CrashedAt > CrashSpread)
      continue;
    // A target that ends may break off the same request several times.
    const auto Same =
        std::find_if(Runs.begin(), Runs.end(), [&](const CrashedRun &Known) {
          return Known.m_Digest == Each.m_Digest;
        });
    if (Same == Runs.end()) {
      Runs.push_back(Each);
      continue;
    }
    Same->m_StartedAt = std::min(Same->m_StartedAt, Each.m_StartedAt);
    Same->m_CrashedAt = std::max(Same->m_CrashedAt, Each.m_CrashedAt);
  }
  m_CrashReported = true;
  m_Callbacks.m_OnCrash(Runs);
}

void TargetAgent::finish(JobId Id, TargetJobResult Result) {
  auto Node = m_Jobs.extract(Id);
  if (Node.empty() || Node.mapped().m_Cancelled)
    return;
  // Posted, so that submit() returns before the callback is called.
  m_Loop.post([Done = std::move(Node.mapped().m_Done),
               JobResult = std::make_shared<TargetJobResult>(
                   std::move(Result))] { Done(std::move(*JobResult)); });
}

void TargetAgent::withdraw(JobId Id) {
  const auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end() || Found->second.m_Sent)
    return;
  stopWaiting(Id);
  refuseWaiting(Id, "withdrawn", Reason::DeadlinePassed, m_Gate.meanService());
}

void TargetAgent::stopWaiting(JobId Id) {
  m_Gate.withdraw(Id);
  std::erase(m_AwaitingGrant, Id);
}

CancelledAttempt TargetAgent::cancel(JobId Id) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return CancelledAttempt::Ended;
  Job &Entry = Found->second;
  CancelledAttempt State = CancelledAttempt::Waiting;
  if (Entry.m_Sent)
    State = m_Client->isUnsent(Entry.m_Call) ? CancelledAttempt::Unsent
                                             : CancelledAttempt::Sent;
  m_Log.write(LogClass::Failure,
              LogLine("attempt_cancelled")
                  .add("request", Entry.m_Job.m_Id)
                  .add("state", toString(State))
                  .add("age", m_Loop.now() - Entry.m_Submitted));
  if (State == CancelledAttempt::Waiting) {
    stopWaiting(Id);
    m_Jobs.erase(Found);
    return State;
  }
  if (State == CancelledAttempt::Sent && !Entry.m_Job.m_Idempotent) {
    Entry.m_Cancelled = true;
    return State;
  }
  forgetRunning(Entry.m_Job);
  m_Client->cancel(Entry.m_Call);
  m_Gate.finished(Entry.m_Job.m_Route, Entry.m_Job.m_Priority, Duration::zero(),
                  false);
  measureEnd(Entry, CapacityEnd::Other);
  m_Jobs.erase(Found);
  // Not at once: the present event may cancel those that wait, too.
  m_Loop.post([this] { sendQueued(); });
  return State;
}

} // namespace balsamwheel
