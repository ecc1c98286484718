// Wiring of a router process, and what its parts ask of each other.
#include "router.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace balsamwheel {

namespace {

constexpr const char *MemberPrefix = "member/";
constexpr const char *KeysPrefix = "keys/";
/// Pause before a member's entry is written again.
constexpr Duration AnnounceRetry = std::chrono::seconds(1);
/// How long callers may still come after SIGTERM: their readiness checks fail
/// twice, a second apart, before they go elsewhere.
constexpr Duration StopLinger = std::chrono::milliseconds(2300);
/// Kept from the grace time for the end of the process itself.
constexpr Duration StopMargin = std::chrono::milliseconds(400);
/// How long an unreachable owner of keys is taken to be restarting.
constexpr Duration OwnerLostAfter = std::chrono::milliseconds(2500);
/// Daemons that watch the own table themselves.
constexpr std::ptrdiff_t Watchers = 3;
/// Bodies from this size on leave one after the other, so that small answers
/// don't queue behind all of them.
constexpr std::size_t LargeBody = 24576;
/// How often loads of keys are told to the daemons of the same service.
constexpr Duration RatesInterval = std::chrono::milliseconds(700);
/// Requests a second of a slice of keys that are worth telling.
constexpr float LeastRate = 0.1F;
constexpr std::size_t MaxCallerConnections = 1024;

using nlohmann::json;

std::string memberText(const RouterSettings &Settings) {
  return json{{"address", Settings.m_Peers.toText()},
              {"domain", Settings.m_Domain.value()},
              {"service", Settings.m_Service.value()}}
      .dump();
}

std::optional<Member> memberFrom(const MirroredRow &Row) {
  try {
    const json From = json::parse(*Row.m_Value);
    const auto Address =
        Endpoint::fromText(From.at("address").get<std::string>());
    if (!Address)
      return std::nullopt;
    return Member{
        .m_Instance = InstanceName(
            Row.m_Key.value().substr(std::string_view(MemberPrefix).size())),
        .m_Domain = DomainName(From.at("domain").get<std::string>()),
        .m_Service = ServiceName(From.at("service").get<std::string>()),
        .m_Address = *Address};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

TargetAgentOptions agentOptions(const RouterSettings &Settings) {
  TargetAgentOptions Options;
  Options.m_Holds.m_Hold = std::min(Options.m_Holds.m_Hold, Settings.m_MaxHold);
  Options.m_EarlierGrants =
      revocationWait(Options.m_Holds, KeyCoordinatorOptions{}.m_Authority);
  return Options;
}

KeyCoordinatorOptions coordinatorOptions(const RouterSettings &Settings) {
  KeyCoordinatorOptions Options;
  Options.m_Planner.m_RevocationWait =
      revocationWait(agentOptions(Settings).m_Holds, Options.m_Authority);
  return Options;
}

HttpServerOptions callerOptions() {
  HttpServerOptions Options;
  Options.m_MaxConnections = MaxCallerConnections;
  return Options;
}

link_wire::TableRowT wireRow(const MirroredRow &Row) {
  link_wire::TableRowT Result;
  Result.table_name = Row.m_Table == TableName::Operators ? "operators" : "own";
  Result.key = Row.m_Key.value();
  Result.version = Row.m_Version.value();
  Result.removed = !Row.m_Value;
  Result.value = Row.m_Value.value_or("");
  return Result;
}

MirroredRow rowFromWire(const link_wire::TableRowT &From) {
  MirroredRow Row{.m_Table = From.table_name == "operators"
                                 ? TableName::Operators
                                 : TableName::Own,
                  .m_Key = RowKey(From.key),
                  .m_Version = RowVersion(From.version)};
  if (!From.removed)
    Row.m_Value = From.value;
  return Row;
}

GateReport gateFrom(const link_wire::GateStateT &From) {
  return {.m_Running = From.running,
          .m_Waiting = From.waiting,
          .m_Slots = From.slots,
          .m_Service = Duration(From.service),
          .m_RateLimit = From.rate_limit,
          .m_LinkWait = Duration(From.link_wait)};
}

std::unique_ptr<link_wire::GateStateT> gateToWire(const GateReport &Report) {
  auto Result = std::make_unique<link_wire::GateStateT>();
  Result->running = Report.m_Running;
  Result->waiting = Report.m_Waiting;
  Result->slots = Report.m_Slots;
  Result->service = Report.m_Service.count();
  Result->rate_limit = Report.m_RateLimit;
  Result->link_wait = Report.m_LinkWait.count();
  return Result;
}

} // namespace

Router::Router(EventLoop &Loop, RouterSettings Settings,
               const ExchangeFormat &Format, const OperatorRows &Operators,
               TableService &Table, RouterMetrics &Metrics, EventLog &Log)
    : m_Loop(Loop), m_Log(Log), m_Settings(std::move(Settings)),
      m_Operators(Operators), m_Table(Table), m_Board({}),
      m_Agent(Loop, Log, m_Settings, Format, agentOptions(m_Settings)),
      m_Mesh(
          Loop, Log, m_Settings, {},
          {.m_OnRequest =
               [this](std::uint64_t Link, LinkFrame &Frame, std::string Body) {
                 peerRequest(Link, Frame, std::move(Body));
               },
           .m_OnCancel =
               [this](std::uint64_t Link, std::uint64_t Stream) {
                 if (auto Job = m_PeerJobs.extract({Link, Stream}))
                   m_Agent.cancel(Job.mapped());
               },
           .m_OnCallerLost =
               [this](std::uint64_t Link) {
                 while (true) {
                   auto First = m_PeerJobs.lower_bound({Link, 0});
                   if (First == m_PeerJobs.end() || First->first.m_Link != Link)
                     return;
                   m_Agent.cancel(First->second);
                   m_PeerJobs.erase(First);
                 }
               },
           .m_OnReport =
               [this](const InstanceName &Peer, const LinkFrame &Report) {
                 reported(Peer, Report);
               },
           .m_OnRows = [this](const LinkFrame &Rows) { takeRows(Rows); },
           .m_OnRowsWanted =
               [this](const LinkFrame &Wanted) { return rowsFor(Wanted); },
           .m_OnPeerDown =
               [this](const InstanceName &Peer) { m_Board.forget(Peer); }}),
      m_Follower(Loop, Log, Table, {},
                 std::hash<InstanceName>()(m_Settings.m_Instance),
                 [this](const MirroredRow &Row) { rowChanged(Row); }),
      m_Entrance(
          Loop, Log, m_Settings, Format, m_Agent, m_Mesh, m_Board, Metrics,
          {.m_Retries = {.m_Ratio = m_Settings.m_RetryRatio / 2, .m_Burst = 4}},
          {.m_Routes = [this] { return m_Routes; },
           .m_KeyMap =
               [this](const ServiceName &Service) { return keyMap(Service); },
           .m_Candidates =
               [this](const ServiceName &Service) {
                 return candidates(Service);
               }}),
      m_Callers(Loop, callerOptions(),
                [this](std::shared_ptr<HttpExchange> Exchange) {
                  m_Entrance.accept(std::move(Exchange));
                }),
      m_Metrics(Metrics) {}

Router::~Router() = default;

bool Router::start() {
  if (!m_Mesh.listen() || !m_Callers.listen(m_Settings.m_Callers))
    return false;
  m_Follower.start();
  sendReports();
  announce();
  return true;
}

void Router::beginStop() {
  if (m_StopBegan)
    return;
  m_StopBegan = m_Loop.now();
  m_Log.write(LogClass::Belief, LogLine("stopping")
                                    .add("requests", static_cast<std::int64_t>(
                                                         m_Entrance.active())));
  m_Agent.setStopping();
  m_Callers.closeAfterAnswers();
}

bool Router::stopped() {
  if (!m_StopBegan)
    return false;
  const Duration Since = m_Loop.now() - *m_StopBegan;
  if (Since > StopLinger) {
    m_Entrance.refuseNew();
    m_Agent.refuseNew();
  }
  const bool Idle = m_Entrance.active() == 0 && m_Agent.jobs() == 0;
  return (Since > StopLinger && Idle) ||
         Since > m_Settings.m_Grace - StopMargin;
}

bool Router::ready() const { return m_Routes && !m_StopBegan; }

BeatReply Router::beat(const TargetBeat &Beat) {
  if (!m_Agent.beat(Beat))
    return {};
  BeatReply Reply{.m_Accepted = true};
  ensureCoordinator();
  if (!m_Coordinator)
    return Reply;
  m_Coordinator->step();
  const TimePoint Now = m_Loop.refreshNow();
  if (m_Coordinator->mayGrant(Now)) {
    Reply.m_Grants = m_Agent.ledger()->grant(*m_Coordinator->map(), Now);
    Reply.m_Hold = agentOptions(m_Settings).m_Holds.m_Hold;
    // The target may not have read the answer when a request overtakes it.
    m_Loop.post([this] { m_Agent.grantsChanged(); });
  }
  return Reply;
}

void Router::targetLeaves(const std::string &Id) {
  const auto Owner = m_Agent.owner();
  if (Owner && Owner->m_Target.m_Id == Id)
    m_Agent.leave("deregistered");
}

void Router::rowChanged(const MirroredRow &Row) {
  if (Row.m_Table == TableName::Operators) {
    if (m_Operators.isConfiguration(Row.m_Key))
      return configurationChanged(Row);
    const auto Domain = m_Operators.evacuatedDomain(Row.m_Key);
    if (Domain && *Domain == m_Settings.m_Domain) {
      m_Agent.setEvacuated(Row.m_Value.has_value());
      sendReports();
    }
    return;
  }
  if (Row.m_Key.value().starts_with(MemberPrefix))
    return membersChanged();
  if (Row.m_Key.value().starts_with(KeysPrefix))
    keyMapChanged(Row);
}

void Router::configurationChanged(const MirroredRow &Row) {
  if (!Row.m_Value)
    return; // The last configuration stays in force.
  std::string Problem;
  auto Table = m_Operators.configuration(Row, Problem);
  const bool Older =
      Table && m_Routes && Table->version() <= m_Routes->version();
  LogLine Line(Table && !Older ? "config_applied" : "config_rejected");
  Line.add("version",
           static_cast<std::int64_t>(Table ? Table->version().value() : 0))
      .add("row_version", static_cast<std::int64_t>(Row.m_Version.value()))
      .add("problem", Older ? "not newer than the one in force" : Problem);
  m_Log.write(LogClass::Belief, Line);
  if (!Table || Older)
    return;
  m_Routes = std::move(Table);
  m_Metrics.configVersion(m_Routes->version().value());
  const CallerLimits &Limits = m_Routes->limits();
  HttpServerOptions Options = callerOptions();
  Options.m_Limits = {.m_MaxHeaderBytes = Limits.m_MaxHeaderBytes,
                      .m_MaxBodyBytes = Limits.m_MaxBodyBytes};
  Options.m_HeaderTimeout = Limits.m_HeaderTimeout;
  Options.m_IdleTimeout = Limits.m_IdleTimeout;
  m_Callers.setOptions(Options);
  m_Agent.setService(m_Routes->service(m_Settings.m_Service));
  ensureCoordinator();
}

void Router::membersChanged() {
  m_Members.clear();
  for (const MirroredRow *Row :
       m_Follower.mirror().withPrefix(TableName::Own, MemberPrefix))
    if (auto Each = memberFrom(*Row))
      m_Members.push_back(std::move(*Each));
    else
      m_Log.write(
          LogClass::Belief,
          LogLine("member_row_rejected").add("key", Row->m_Key.value()));
  m_Mesh.setMembers(m_Members);
}

void Router::keyMapChanged(const MirroredRow &Row) {
  const ServiceName Service(
      Row.m_Key.value().substr(std::string_view(KeysPrefix).size()));
  std::optional<KeyMap> Map;
  if (Row.m_Value)
    Map = KeyMap::fromText(*Row.m_Value);
  if (Row.m_Value && !Map) {
    m_Log.write(LogClass::Belief,
                LogLine("key_map_rejected").add("service", Service.value()));
    return;
  }
  if (Map)
    m_KeyMaps[Service] = *Map;
  else
    m_KeyMaps.erase(Service);
  ensureCoordinator();
  if (m_Coordinator && Service == m_Settings.m_Service)
    m_Coordinator->mapChanged(std::move(Map), Row.m_Version);
}

void Router::announce() {
  const RowKey Key(MemberPrefix + m_Settings.m_Instance.value());
  const MirroredRow *Row = m_Follower.mirror().find(TableName::Own, Key);
  const std::string Text = memberText(m_Settings);
  const bool Current = Row && *Row->m_Value == Text;
  if (!Current && m_Follower.hasRead(TableName::Own))
    m_Table.commit({.m_Key = Key, .m_Conditional = false, .m_Value = Text},
                   [this](const TableServiceReply &Reply) {
                     m_Log.write(LogClass::Belief,
                                 LogLine("member_row_commit")
                                     .add("end", std::int64_t{static_cast<int>(
                                                     Reply.m_End)})
                                     .add("error", Reply.m_Error));
                     for (const MirroredRow &Each : Reply.m_Rows)
                       passOn(Each);
                   });
  if (!Current)
    m_Loop.after(m_Follower.hasRead(TableName::Own) ? AnnounceRetry
                                                    : AnnounceRetry / 20,
                 [this] { announce(); });
}

void Router::ensureCoordinator() {
  const ServiceSpec *Spec =
      m_Routes ? m_Routes->service(m_Settings.m_Service) : nullptr;
  if (!Spec || !Spec->m_DividedByKey) {
    m_Coordinator.reset();
    return;
  }
  if (!m_Coordinator) {
    m_Coordinator = std::make_unique<KeyCoordinator>(
        m_Loop, m_Log, m_Table, m_Agent, m_Settings.m_Service,
        coordinatorOptions(m_Settings),
        KeyCoordinatorView{.m_Candidates = [this] { return keyCandidates(); },
                           .m_Loads = [this] { return keyLoads(); },
                           .m_IsPlanner = [this] { return isKeyPlanner(); },
                           .m_OnRow =
                               [this](const MirroredRow &Row) {
                                 m_Follower.apply(Row, "commit");
                               }});
    if (const MirroredRow *Row = m_Follower.mirror().find(
            TableName::Own, keyMapRow(m_Settings.m_Service)))
      m_Coordinator->mapChanged(KeyMap::fromText(*Row->m_Value),
                                Row->m_Version);
  }
  if (m_Follower.hasRead(TableName::Own))
    m_Coordinator->tableRead();
}

void Router::passOn(const MirroredRow &Row) {
  const MirroredRow *Known = m_Follower.mirror().find(Row.m_Table, Row.m_Key);
  if (Known && Known->m_Version >= Row.m_Version)
    return;
  m_Follower.apply(Row, "commit");
  LinkFrame Frame;
  Frame.kind = LinkFrameKind::Rows;
  Frame.rows.push_back(std::make_unique<link_wire::TableRowT>(wireRow(Row)));
  m_Mesh.broadcast(Frame, std::nullopt);
}

LinkFrame Router::makeReport(bool WithRates) const {
  LinkFrame Report;
  Report.kind = LinkFrameKind::Report;
  Report.gate = gateToWire(m_Agent.gateReport());
  if (const auto Owner = m_Agent.owner()) {
    Report.target_id = Owner->m_Target.m_Id;
    Report.target_born = Owner->m_Target.m_BornMs;
  }
  Report.condition = static_cast<std::uint8_t>(m_Agent.condition());
  Report.capacity = m_Agent.capacity();
  Report.leaving = m_Agent.leaving();
  Report.has_rates = WithRates;
  Report.sees_table = m_Follower.isReachable(TableName::Operators);
  Report.operator_rows_seen =
      m_Follower.mirror().seen(TableName::Operators).value();
  Report.own_rows_seen = m_Follower.mirror().seen(TableName::Own).value();
  if (m_Coordinator && WithRates)
    for (std::size_t Slice = 0; Slice < KeySlices; ++Slice)
      if (const float Rate = m_Agent.sliceRates()[Slice]; Rate > LeastRate) {
        auto Each = std::make_unique<link_wire::SliceRateT>();
        Each->slice = static_cast<std::uint16_t>(Slice);
        Each->rate = Rate;
        Report.slice_rates.push_back(std::move(Each));
      }
  return Report;
}

void Router::sendReports() {
  m_Loop.cancel(m_ReportTimer);
  ensureCoordinator();
  const TimePoint Now = m_Loop.now();
  m_Agent.decaySliceRates(Now - m_LastReport);
  m_LastReport = Now;
  m_Board.report(m_Settings.m_Instance, m_Agent.gateReport());
  const bool WithRates = m_Coordinator && Now - m_LastRates >= RatesInterval;
  if (WithRates)
    m_LastRates = Now;
  m_Mesh.broadcast(makeReport(false),
                   WithRates ? std::optional(makeReport(true)) : std::nullopt);
  m_Metrics.gate(m_Agent.gateReport().m_Running,
                 m_Agent.gateReport().m_Waiting);
  m_Follower.setWatching(isWatcher());
  m_ReportTimer =
      m_Loop.after(m_Mesh.reportInterval(), [this] { sendReports(); });
}

void Router::reported(const InstanceName &Peer, const LinkFrame &Report) {
  if (Report.gate)
    m_Board.report(Peer, gateFrom(*Report.gate));
  if (Report.kind != LinkFrameKind::Report)
    return;
  PeerTarget &Known = m_PeerTargets[Peer];
  Known.m_Owner = {
      .m_Instance = Peer,
      .m_Target = {.m_Id = Report.target_id, .m_BornMs = Report.target_born}};
  Known.m_Condition = static_cast<TargetCondition>(Report.condition);
  Known.m_Capacity = Report.capacity;
  Known.m_SeesTable = Report.sees_table;
  if (Report.has_rates)
    Known.m_Rates.fill(0);
  for (const auto &Each : Report.slice_rates)
    if (Each->slice < KeySlices)
      Known.m_Rates[Each->slice] = Each->rate;
  const TableMirror &Mirror = m_Follower.mirror();
  const RowVersion OperatorsSeen = Mirror.seen(TableName::Operators);
  const RowVersion OwnSeen = Mirror.seen(TableName::Own);
  if (Report.operator_rows_seen <= OperatorsSeen.value() &&
      Report.own_rows_seen <= OwnSeen.value())
    return;
  LinkFrame Wanted;
  Wanted.kind = LinkFrameKind::RowsWanted;
  Wanted.operator_rows_seen = OperatorsSeen.value();
  Wanted.own_rows_seen = OwnSeen.value();
  m_Mesh.askForRows(Peer, Wanted);
}

LinkFrame Router::rowsFor(const LinkFrame &Wanted) const {
  LinkFrame Reply;
  Reply.kind = LinkFrameKind::Rows;
  const auto Append = [&](TableName Table, std::uint64_t Since) {
    for (const MirroredRow &Row :
         m_Follower.mirror().newerThan(Table, RowVersion(Since)))
      Reply.rows.push_back(
          std::make_unique<link_wire::TableRowT>(wireRow(Row)));
  };
  Append(TableName::Operators, Wanted.operator_rows_seen);
  Append(TableName::Own, Wanted.own_rows_seen);
  return Reply;
}

void Router::takeRows(const LinkFrame &Rows) {
  for (const auto &Each : Rows.rows)
    m_Follower.apply(rowFromWire(*Each), "peer");
}

void Router::peerRequest(std::uint64_t Link, LinkFrame &Frame,
                         std::string Body) {
  TargetJob Job;
  Job.m_Request.m_Method = std::move(Frame.method);
  Job.m_Request.m_Target = std::move(Frame.target);
  for (const auto &Each : Frame.headers)
    Job.m_Request.m_Headers.add(Each->name, Each->value);
  Job.m_Request.m_Body = std::move(Body);
  Job.m_Id = Frame.request_id;
  Job.m_Route = Frame.route;
  Job.m_Priority = Frame.priority;
  Job.m_Idempotent = !Frame.non_idempotent;
  Job.m_Nested = Frame.nested;
  Job.m_LargeOverLink = Frame.large_answer;
  const KeyMap *Map = keyMap(m_Settings.m_Service);
  if (Frame.key >= 0 && Map)
    Job.m_Key = static_cast<KeyIndex>(Frame.key);
  Job.m_Objective = m_Loop.now() + Duration(Frame.objective_left);
  Job.m_Deadline = m_Loop.now() + Duration(Frame.deadline_left);
  const std::uint64_t Stream = Frame.stream;
  if (Frame.service != m_Settings.m_Service.value())
    return peerAnswer(Link, Stream, {.m_Reason = Reason::UnknownService});
  m_PeerJobs[{Link, Stream}] = m_Agent.submit(
      std::move(Job), Map, [this, Link, Stream](TargetJobResult Result) {
        peerAnswer(Link, Stream, std::move(Result));
      });
}

void Router::peerAnswer(std::uint64_t Link, std::uint64_t Stream,
                        const TargetJobResult &Result) {
  m_PeerJobs.erase({Link, Stream});
  LinkFrame Frame;
  Frame.kind = LinkFrameKind::Answer;
  Frame.stream = Stream;
  Frame.outcome = static_cast<std::uint8_t>(Result.m_Outcome);
  Frame.reason = static_cast<std::uint8_t>(Result.m_Reason);
  Frame.reached_target = Result.m_ReachedTarget;
  Frame.status = static_cast<std::uint16_t>(Result.m_Answer.m_Status);
  Frame.retry_after = Result.m_RetryAfter.count();
  for (const HttpHeader &Each : Result.m_Answer.m_Headers.all()) {
    auto Header = std::make_unique<link_wire::HeaderT>();
    Header->name = Each.m_Name;
    Header->value = Each.m_Value;
    Frame.headers.push_back(std::move(Header));
  }
  Frame.gate = gateToWire(m_Agent.gateReport());
  if (Result.m_Answer.m_Body.size() >= LargeBody)
    m_Mesh.answerLarge(Link, Frame, Result.m_Answer.m_Body);
  else
    m_Mesh.answer(Link, Frame, Result.m_Answer.m_Body);
}

std::vector<KeyCandidate> Router::keyCandidates() const {
  std::vector<KeyCandidate> Result;
  double Total = 0;
  if (const auto Self = m_Agent.owner())
    Result.push_back({.m_Owner = *Self,
                      .m_Condition = m_Agent.condition(),
                      .m_Capacity = m_Agent.capacity()});
  for (const Member &Each : m_Members) {
    if (Each.m_Service != m_Settings.m_Service ||
        Each.m_Instance == m_Settings.m_Instance)
      continue;
    auto Known = m_PeerTargets.find(Each.m_Instance);
    if (Known == m_PeerTargets.end() ||
        Known->second.m_Owner.m_Target.m_Id.empty())
      continue;
    const auto Down = m_Mesh.downSince(Each.m_Instance);
    TargetCondition Condition = Known->second.m_Condition;
    if (Down)
      Condition = m_Loop.now() - *Down > OwnerLostAfter
                      ? TargetCondition::Lost
                      : TargetCondition::Shaken;
    Result.push_back({.m_Owner = Known->second.m_Owner,
                      .m_Condition = Condition,
                      .m_Capacity = Known->second.m_Capacity});
  }
  // Owners that the map names and nobody reports: their daemon or target has
  // just been started again, or they are lost.
  if (const KeyMap *Map = keyMap(m_Settings.m_Service))
    for (const KeySpan &Span : Map->spans()) {
      const KeyOwner &Owner = Span.m_Owner;
      if (Owner.m_Target.m_Id.empty() ||
          std::any_of(
              Result.begin(), Result.end(),
              [&](const KeyCandidate &Each) { return Each.m_Owner == Owner; }))
        continue;
      const bool Local = Owner.m_Instance == m_Settings.m_Instance;
      const auto Down = m_Mesh.downSince(Owner.m_Instance);
      const bool Up = Local || m_Mesh.isUp(Owner.m_Instance);
      auto Known = m_PeerTargets.find(Owner.m_Instance);
      TargetCondition Condition = TargetCondition::Lost;
      if (Local)
        Condition =
            m_Agent.owner() ? TargetCondition::Ended : m_Agent.condition();
      else if (Up && Known != m_PeerTargets.end())
        Condition = Known->second.m_Condition == TargetCondition::Ended
                        ? TargetCondition::Ended
                        : TargetCondition::Shaken;
      else if (Down && m_Loop.now() - *Down <= OwnerLostAfter)
        Condition = TargetCondition::Shaken;
      Result.push_back({.m_Owner = Owner, .m_Condition = Condition});
    }
  for (const KeyCandidate &Each : Result)
    Total += Each.m_Capacity;
  // Measured speeds differ by noise as well: only half of what is seen counts.
  const double Mean = Total / std::max(1.0, static_cast<double>(Result.size()));
  for (KeyCandidate &Each : Result)
    Each.m_Capacity = std::clamp(
        0.5 + 0.5 * Each.m_Capacity / std::max(Mean, 1e-6), 0.5, 2.0);
  return Result;
}

SliceLoads Router::keyLoads() const {
  SliceLoads Sum = m_Agent.sliceRates();
  for (const auto &[Peer, Known] : m_PeerTargets)
    if (m_Mesh.isUp(Peer))
      for (std::size_t Slice = 0; Slice < KeySlices; ++Slice)
        Sum[Slice] += Known.m_Rates[Slice];
  return Sum;
}

bool Router::isWatcher() const {
  const auto Before = std::count_if(
      m_Members.begin(), m_Members.end(), [&](const Member &Each) {
        const auto Known = m_PeerTargets.find(Each.m_Instance);
        return Each.m_Instance < m_Settings.m_Instance &&
               m_Mesh.isUp(Each.m_Instance) && Known != m_PeerTargets.end() &&
               Known->second.m_SeesTable;
      });
  return Before < Watchers;
}

bool Router::isKeyPlanner() const {
  if (m_StopBegan || !m_Follower.isReachable(TableName::Operators))
    return false;
  return std::none_of(m_Members.begin(), m_Members.end(),
                      [&](const Member &Each) {
                        return Each.m_Service == m_Settings.m_Service &&
                               Each.m_Instance < m_Settings.m_Instance &&
                               m_Mesh.isUp(Each.m_Instance);
                      });
}

std::vector<TargetBoard::Candidate>
Router::candidates(const ServiceName &Service) const {
  std::vector<TargetBoard::Candidate> Result;
  for (const Member &Each : m_Members) {
    const bool Local = Each.m_Instance == m_Settings.m_Instance;
    if (Each.m_Service == Service && (Local || m_Mesh.isUp(Each.m_Instance)))
      Result.push_back({.m_Target = Each.m_Instance,
                        .m_SameDomain = Each.m_Domain == m_Settings.m_Domain,
                        .m_Local = Local});
  }
  return Result;
}

const KeyMap *Router::keyMap(const ServiceName &Service) const {
  auto Found = m_KeyMaps.find(Service);
  return Found == m_KeyMaps.end() ? nullptr : &Found->second;
}

} // namespace balsamwheel
