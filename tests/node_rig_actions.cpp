// Implements the actions of the test rig: caller requests, faults, and operator
// commands.
#include "node_rig.h"

#include "balsamwheel/detail/coordination/head_row.h"

#include <algorithm>
#include <array>

namespace balsamwheel::testing {

namespace {

/// A service divided by key, and one that is not.
const ServiceName Keyed("timetables");
const ServiceName Pool("orders");
/// Time in which the cluster must recover once all faults have ended.
constexpr Duration SettleTime = std::chrono::seconds(4);
/// How long after its deadline a request may remain without an answer.
constexpr Duration AnswerGrace = std::chrono::milliseconds(100);
/// Maximum number of attempts of one request.
constexpr std::uint32_t MaxAttempts = 5;
/// Percentage of attempts after which the caller sends the next one before the
/// answer.
constexpr unsigned EarlyRetryPercent = 8;
/// Number of requests of a burst.
constexpr std::size_t BurstSize = 12;

} // namespace

std::string NodeRig::nameOf(RigAction Kind) {
  static constexpr std::array Names{
      "run",        "request",    "burst",          "pause",
      "resume",     "kill",       "restart",        "cut-peer",
      "cut-table",  "table-down", "table-slow",     "table-ambiguous",
      "silence",    "loss",       "doubles",        "late",
      "freeze",     "thaw",       "restart-target", "leave-target",
      "domain-out", "domain-in",  "drain",          "race",
      "shutdown",   "heal",       "settle"};
  return Names.at(static_cast<std::size_t>(Kind));
}

void NodeRig::run(Duration Time) {
  const TimePoint End = m_Queue.now() + Time;
  while (!failed() && m_Queue.step(End)) {
  }
}

void NodeRig::perform(RigAction Kind, std::uint64_t First,
                      std::uint64_t Second) {
  const std::size_t Index = First % m_Daemons.size();
  const std::size_t Other = Second % m_Daemons.size();
  Daemon &ThisDaemon = m_Daemons[Index];
  m_Oracle.addTraceLine("== " + nameOf(Kind) + " " + std::to_string(Index) +
                        " " + std::to_string(Other));
  switch (Kind) {
  case RigAction::Run:
    run(milliseconds(First % 400));
    break;
  case RigAction::Request:
    request(First, Second);
    break;
  case RigAction::Burst:
    for (std::size_t I = 0; I < BurstSize; ++I)
      request(First / 7 + I * 5, Second / 3 + I);
    break;
  case RigAction::Pause:
    markFault();
    ThisDaemon.m_Paused = ThisDaemon.m_Alive;
    if (Second % 2 == 0)
      ThisDaemon.m_Target->freeze();
    break;
  case RigAction::Resume:
    resumeDaemon(Index);
    break;
  case RigAction::Kill:
    markFault();
    killDaemon(Index);
    if (Second % 2 == 0)
      ThisDaemon.m_Target->restart();
    break;
  case RigAction::Restart:
    if (!ThisDaemon.m_Alive)
      startDaemon(Index);
    break;
  case RigAction::CutPeer:
    markFault();
    m_Network.cut(Index, Other);
    if (Second % 3 != 0)
      m_Network.cut(Other, Index);
    break;
  case RigAction::CutTable:
    markFault();
    m_Table.m_CutOff[Index] = true;
    break;
  case RigAction::TableDown:
    markFault();
    m_Table.m_Down = First % 3 != 0;
    break;
  case RigAction::TableSlow:
    markFault();
    m_Table.m_Delay = milliseconds(1 + First % 1000);
    break;
  case RigAction::TableAmbiguous:
    markFault();
    m_Table.m_AmbiguousPercent = First % 60;
    break;
  case RigAction::Silence:
    markFault();
    m_Network.silence(Index, Other);
    break;
  case RigAction::Loss:
    markFault();
    m_Network.m_LossPercent = First % 30;
    break;
  case RigAction::Duplicates:
    markFault();
    m_Network.m_DuplicatePercent = First % 40;
    break;
  case RigAction::Late:
    markFault();
    m_Network.m_LatePercent = First % 40;
    m_Network.m_LateDelay = milliseconds(1 + Second % 3000);
    break;
  case RigAction::FreezeTarget:
    markFault();
    ThisDaemon.m_Target->freeze();
    break;
  case RigAction::ThawTarget:
    ThisDaemon.m_Target->thaw();
    break;
  case RigAction::RestartTarget:
    markFault();
    ThisDaemon.m_Target->restart();
    announceTarget(Index);
    break;
  case RigAction::LeaveTarget:
    if (!ThisDaemon.m_LeavingSince && ThisDaemon.m_Alive &&
        !ThisDaemon.m_Paused)
      ThisDaemon.m_LeavingSince = m_Queue.now();
    callNode(Index,
             [](Node &Self, TimePoint Now) { Self.onTargetLeaving(Now); });
    break;
  case RigAction::DomainOut:
    changeConfig([&ThisDaemon](Config &Next) {
      Next.m_DomainsOut = {DomainName(ThisDaemon.m_Domain)};
    });
    break;
  case RigAction::DomainIn:
    changeConfig([](Config &Next) { Next.m_DomainsOut.clear(); });
    break;
  case RigAction::Drain:
    changeConfig([Index, Second](Config &Next) {
      Next.m_Draining.clear();
      if (Second % 2 == 0)
        Next.m_Draining = {InstanceName("instance" + std::to_string(Index))};
    });
    break;
  case RigAction::Race:
    raceConfigs(First);
    break;
  case RigAction::Shutdown:
    if (ThisDaemon.m_Alive && !ThisDaemon.m_Paused) {
      ThisDaemon.m_ShuttingDown = true;
      ThisDaemon.m_LeavingSince = m_Queue.now();
      callNode(Index,
               [](Node &Self, TimePoint Now) { Self.beginShutdown(Now); });
    }
    break;
  case RigAction::Heal:
    heal();
    break;
  case RigAction::Settle:
    settle();
    break;
  case RigAction::Count:
    break;
  }
}

void NodeRig::request(std::uint64_t First, std::uint64_t Second) {
  const bool DividedByKey = Second % 4 != 0;
  const bool Idempotent = First % 2 == 0;
  auto ThisCaller = std::make_shared<Caller>();
  ThisCaller->m_Meta.m_Id = RequestId("id" + std::to_string(++m_LastId));
  ThisCaller->m_Meta.m_Service = DividedByKey ? Keyed : Pool;
  ThisCaller->m_Meta.m_Class = ClassName(Idempotent ? "read" : "write");
  ThisCaller->m_Meta.m_Idempotent = Idempotent;
  if (DividedByKey)
    ThisCaller->m_Meta.m_Key = m_Keys[(First / 2) % m_Keys.size()];
  ThisCaller->m_Meta.m_Attempt = 0;
  sendAttempt(ThisCaller, (Second / 4) % m_Daemons.size(),
              milliseconds(200 + First % 1800));
}

void NodeRig::sendAttempt(const std::shared_ptr<Caller> &ThisCaller,
                          std::size_t Index, Duration TimeToDeadline) {
  Daemon &ThisDaemon = m_Daemons[Index];
  if (!ThisDaemon.m_Alive || ThisDaemon.m_ShuttingDown) {
    // The connection is refused, so the caller knows that nothing was sent.
    scheduleRetry(ThisCaller, TimeToDeadline);
    return;
  }
  ++m_Attempts;
  const TimePoint Now = m_Queue.now();
  RequestMeta &Meta = ThisCaller->m_Meta;
  ++Meta.m_Attempt;
  Meta.m_FirstAttemptAge = ThisCaller->m_UnsettledSends.empty()
                               ? Duration(0)
                               : Now - *ThisCaller->m_UnsettledSends.begin();
  ThisCaller->m_UnsettledSends.insert(Now);
  IncomingRequest Incoming;
  Incoming.m_Handle = RequestHandle(++m_LastHandle);
  Incoming.m_Meta = Meta;
  Incoming.m_Http.m_Path =
      Meta.m_Id.value() + "/" + std::to_string(Meta.m_Attempt);
  CallerAttempt Attempt;
  Attempt.m_Id = Meta.m_Id;
  Attempt.m_Tag = Incoming.m_Http.m_Path;
  Attempt.m_Idempotent = Meta.m_Idempotent;
  Attempt.m_Sent = Now;
  Attempt.m_Daemon = Index;
  Attempt.m_Run = ThisDaemon.m_Run;
  m_Callers[Incoming.m_Handle] = ThisCaller;
  m_Oracle.addTraceLine("request " + Attempt.m_Tag + " at " +
                        std::to_string(Index) + " " + Meta.m_Key);
  // The deadline counts from the moment the daemon reads the request.
  callNode(Index, [this, Index, Incoming, Attempt,
                   TimeToDeadline](Node &Self, TimePoint Local) mutable {
    Incoming.m_Deadline = Local + TimeToDeadline;
    Attempt.m_Deadline = Incoming.m_Deadline;
    m_Daemons[Index].m_OpenAttempts[Incoming.m_Handle] = Attempt;
    Self.onCallerRequest(Incoming, Local);
  });
  if (m_Random.chance(EarlyRetryPercent) && Meta.m_Attempt < MaxAttempts)
    m_Queue.after(
        m_Random.between(milliseconds(1), TimeToDeadline),
        [this, ThisCaller, Other = m_Random.below(m_Daemons.size()),
         TimeToDeadline] { sendAttempt(ThisCaller, Other, TimeToDeadline); });
  // A caller without an answer gives up shortly after its deadline and may
  // retry at another daemon.
  m_Queue.after(TimeToDeadline + AnswerGrace,
                [this, ThisCaller, Handle = Incoming.m_Handle] {
                  const auto It = m_Callers.find(Handle);
                  if (It == m_Callers.end())
                    return;
                  m_Callers.erase(It);
                  scheduleRetry(ThisCaller, milliseconds(1000));
                });
}

void NodeRig::scheduleRetry(const std::shared_ptr<Caller> &ThisCaller,
                            Duration TimeToDeadline) {
  if (m_Ending || ThisCaller->m_Meta.m_Attempt >= MaxAttempts ||
      m_Random.chance(30))
    return;
  const std::size_t Index = m_Random.below(m_Daemons.size());
  m_Queue.after(m_Random.between(milliseconds(5), milliseconds(1500)),
                [this, ThisCaller, Index, TimeToDeadline] {
                  sendAttempt(ThisCaller, Index, TimeToDeadline);
                });
}

Config NodeRig::currentConfig() const {
  return configFromRow(m_Table.get(ConfigHeadRowKey)).value_or(Config{});
}

void NodeRig::changeConfig(const std::function<void(Config &)> &Change) {
  const Row Current = m_Table.get(ConfigHeadRowKey);
  const Config Base = currentConfig();
  Config Next = Base;
  Change(Next);
  Next.m_Version = ConfigVersion(Base.m_Version.value() + 1);
  Transaction Commit = makeConfigCommit(Current, Base, Next,
                                        WriteId(m_Random.below(1ULL << 62U)));
  appendHeadUpdate(Commit, *parseHeadRow(m_Table.get(HeadRowKey)),
                   {{ConfigHeadRowKey, Next.m_Version.value()}});
  if (m_Table.commitNow(Commit).m_Status != TableStatus::Ok)
    return;
  std::map<std::string, TimePoint> OutSince;
  for (const DomainName &Out : Next.m_DomainsOut) {
    const auto Known = m_DomainOutSince.find(Out.value());
    OutSince[Out.value()] =
        Known == m_DomainOutSince.end() ? m_Queue.now() : Known->second;
  }
  m_DomainOutSince = OutSince;
}

void NodeRig::raceConfigs(std::uint64_t First) {
  // Two operators commit changes of the same version; exactly one must succeed.
  const Row Current = m_Table.get(ConfigHeadRowKey);
  const Config Base = currentConfig();
  const Row Head = m_Table.get(HeadRowKey);
  int Accepted = 0;
  for (const char *Name : {"x", "y"}) {
    Config Next = Base;
    Next.m_Version = ConfigVersion(Base.m_Version.value() + 1);
    Next.m_Manifest.m_Deployment = Name + std::to_string(First % 10);
    Transaction Commit = makeConfigCommit(Current, Base, Next,
                                          WriteId(m_Random.below(1ULL << 62U)));
    appendHeadUpdate(Commit, *parseHeadRow(Head),
                     {{ConfigHeadRowKey, Next.m_Version.value()}});
    Accepted += m_Table.commitNow(Commit).m_Status == TableStatus::Ok ? 1 : 0;
  }
  if (Accepted != 1)
    m_Oracle.fail("concurrent configuration changes: accepted " +
                  std::to_string(Accepted));
}

void NodeRig::heal() {
  m_Table.heal();
  m_Network.heal();
  for (std::size_t I = 0; I < m_Daemons.size(); ++I) {
    Daemon &ThisDaemon = m_Daemons[I];
    ThisDaemon.m_Target->thaw();
    ThisDaemon.m_Target->m_Cold = false;
    if (!ThisDaemon.m_Alive)
      startDaemon(I);
    resumeDaemon(I);
    if (!ThisDaemon.m_ShuttingDown)
      announceTarget(I);
  }
}

void NodeRig::settle() {
  heal();
  changeConfig([](Config &Next) {
    Next.m_DomainsOut.clear();
    Next.m_Draining.clear();
  });
  run(SettleTime);
  // Other daemons must have taken over from one that completed its shutdown.
  checkServed();
  // After this, no order or message from before remains.
  run(SettleTime);
  m_FaultFreeSince = m_Queue.now();
}

void NodeRig::traceNodeStates() {
  for (std::size_t I = 0; I < m_Daemons.size(); ++I) {
    const Daemon &Each = m_Daemons[I];
    if (!Each.m_Alive)
      continue;
    const CoordinatorStatus State =
        Each.m_Node->status(localTime(Each)).m_Coordinator;
    m_Oracle.addTraceLine("daemon " + std::to_string(I) + " lease " +
                          std::to_string(State.m_LeaseHeld) + " members " +
                          std::to_string(State.m_Members) + " owned " +
                          std::to_string(State.m_ShardsOwned) + " pending " +
                          std::to_string(State.m_ShardsPending) + " map " +
                          std::to_string(State.m_CompleteHeadVersion) +
                          " leader " + std::to_string(State.m_Leader));
    for (const std::string &Key : m_Keys) {
      const Coordinator &Source = Each.m_Node->coordinator();
      const Permit Answer = Source.permit(Keyed, hashKey(Key), localTime(Each));
      if (Source.route(Keyed, hashKey(Key)).m_Local && !Answer.m_Granted)
        m_Oracle.addTraceLine("  refuses " + Key + " " +
                              std::string(toString(Answer.m_Reason)));
    }
  }
}

void NodeRig::checkServed() {
  for (const std::string &Key : m_Keys) {
    const bool Served = std::ranges::any_of(m_Daemons, [&](const Daemon &Each) {
      return Each.m_Alive && Each.m_Node->coordinator()
                                 .permit(Keyed, hashKey(Key), localTime(Each))
                                 .m_Granted;
    });
    if (!Served && !failed())
      traceNodeStates();
    if (!Served && !failed())
      m_Oracle.fail("not served after 4 s without faults: " + Key);
  }
  for (const Daemon &Each : m_Daemons)
    for (const auto &[Handle, Attempt] : Each.m_OpenAttempts)
      if (localTime(Each) > Attempt.m_Deadline + AnswerGrace)
        m_Oracle.fail("no answer to " + Attempt.m_Tag);
}

} // namespace balsamwheel::testing
