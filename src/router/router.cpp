// Construction and stop of the daemon's router, and its handling of table rows.
#include "router.h"

#include "core/json_fields.h"

#include <algorithm>

namespace balsamwheel {

namespace {

constexpr const char *MemberPrefix = "member/";
/// Delay before the daemon's member row is written again.
constexpr Duration MemberRowRetryDelay = std::chrono::seconds(1);
/// How long daemons have to restore their own member rows after the store has
/// lost writes, before others do it for them.
constexpr Duration MemberRestoreDelay = std::chrono::milliseconds(1200);
/// How long a lost row of the operators stays in force, so that they can write
/// it again.
constexpr Duration OperatorRestoreTime = std::chrono::seconds(10);
/// Maximum delay before an owner's keys are confirmed in a restored map.
constexpr Duration MaxConfirmDelay = std::chrono::milliseconds(500);
/// How long new requests are still accepted after SIGTERM: callers go elsewhere
/// only after two failed readiness checks, a second apart.
constexpr Duration StopAcceptPeriod = std::chrono::milliseconds(2300);
/// Time for the kernel to send the last bytes of answers.
constexpr Duration SendFlushTime = std::chrono::milliseconds(200);
/// Reserved from the grace period for the exit of the process itself.
constexpr Duration ProcessExitMargin = std::chrono::milliseconds(400);
/// Answers that aren't sent yet may take the memory divided by this, and those
/// that are being received as much.
constexpr std::size_t AnswersDivisor = 4;
/// The bodies of all requests may take the memory divided by this.
constexpr std::size_t BodiesDivisor = 2;
/// When a caller whose body has found no room may return.
constexpr Duration BodyRetryAfter = std::chrono::seconds(1);
/// Reason of these refusals, in metrics.
constexpr std::string_view NoRoomForBody = "no_room_for_body";
/// Number of daemons that watch the daemons' own table directly.
constexpr std::ptrdiff_t OwnTableWatchers = 3;
/// Number of daemons in a failure domain that watch the operators' table for
/// all of it.
constexpr std::ptrdiff_t DomainWatchers = 2;
/// In a failure domain with at most this many daemons, each watches the
/// operators' table for itself: that costs fewer calls than short watches.
constexpr std::ptrdiff_t MaxSeparateWatchers = 12;
constexpr Duration FollowCheckInterval = std::chrono::milliseconds(250);
/// Callers' connections may take the number of file descriptors divided by
/// this; peers, the target and the table need the rest.
constexpr std::size_t CallerHandlesDivisor = 2;
/// Fraction of the machine's link bandwidth that reading changed rows may take.
/// The rest is for requests, and for rows that other daemons fetch from this
/// one.
constexpr double RowsLinkRatio = 0.25;

using nlohmann::json;

std::string memberRowText(const RouterSettings &Settings) {
  return json{
      {"address", Settings.m_Advertised.value_or(Settings.m_Peers).toText()},
      {"domain", Settings.m_Domain.value()},
      {"service", Settings.m_Service.value()}}
      .dump();
}

std::optional<Member> parseMemberRow(const MirroredRow &Row) {
  try {
    const json Json = parseForeignJson(*Row.m_Value);
    const auto Address = Endpoint::fromText(textAt(Json, "address"));
    const std::string Instance =
        Row.m_Key.value().substr(std::string_view(MemberPrefix).size());
    if (!Address || Instance.empty())
      return std::nullopt;
    return Member{.m_Instance = InstanceName(Instance),
                  .m_Domain = DomainName(textAt(Json, "domain")),
                  .m_Service = ServiceName(textAt(Json, "service")),
                  .m_Address = *Address};
  } catch (const JsonFieldError &) {
    return std::nullopt;
  }
}

TargetAgentOptions agentOptions(const RouterSettings &Settings,
                                BodyRoom *AnswerRoom = nullptr) {
  TargetAgentOptions Options;
  Options.m_AnswerBodyRoom = AnswerRoom;
  Duration &Hold = Options.m_Keys.m_Holds.m_Holds.m_Hold;
  Hold = std::min(Hold, Settings.m_MaxHold);
  Options.m_EarlierGrantsExpiry = revocationWait(
      Options.m_Keys.m_Holds, KeyCoordinatorOptions{}.m_AuthorityDuration);
  Options.m_Gate.m_RoomByPriority = Settings.m_ShareRoom;
  Options.m_Gate.m_ScheduleReturns = Settings.m_ShareRoom;
  return Options;
}

KeyCoordinatorOptions coordinatorOptions(const RouterSettings &Settings) {
  KeyCoordinatorOptions Options;
  Options.m_Planner.m_RevocationWait = revocationWait(
      agentOptions(Settings).m_Keys.m_Holds, Options.m_AuthorityDuration);
  Options.m_ConfirmDelay =
      MaxConfirmDelay *
      (std::hash<InstanceName>()(Settings.m_Instance) % 1024) / 1024;
  Options.m_SystemStart = Settings.m_SystemStart;
  Options.m_Seed = std::hash<InstanceName>()(Settings.m_Instance);
  return Options;
}

} // namespace

Router::Router(EventLoop &Loop, RouterSettings Settings,
               const ExchangeFormat &Format, const OperatorRows &Operators,
               TableService &Table, RouterMetrics &Metrics, EventLog &Log)
    : m_Loop(Loop), m_Log(Log), m_Format(Format),
      m_Settings(std::move(Settings)), m_Operators(Operators), m_Table(Table),
      m_Selector({}), m_Suspects({}),
      m_AnswerBodyRoom(m_Settings.m_MemoryLimit / AnswersDivisor),
      m_Agent(
          Loop, Log, m_Settings, Format,
          agentOptions(m_Settings, &m_AnswerBodyRoom), m_Suspects,
          {.m_Keys = {.m_Map = [this] { return keyMap(m_Settings.m_Service); },
                      .m_MayGrant =
                          [this](TimePoint Now) {
                            return m_Coordinator &&
                                   m_Coordinator->mayGrant(Now);
                          },
                      .m_OnGranted = [this] { m_Agent.grantsChanged(); },
                      .m_OnReleased =
                          [this] {
                            if (m_Coordinator)
                              m_Coordinator->update();
                          }},
           .m_OnCrash =
               [this](const std::vector<CrashedRun> &Runs) {
                 onTargetCrashed(Runs);
               },
           .m_OnSuspectCompleted =
               [this](RequestDigest Digest) { onSuspectCompleted(Digest); }}),
      m_BodyRoom(m_Settings.m_MemoryLimit / BodiesDivisor),
      m_Mesh(
          Loop, Log, m_Settings, {.m_BodyRoom = &m_BodyRoom},
          {.m_OnRequest =
               [this](std::uint64_t Link, LinkFrame &Frame, HttpBody Body) {
                 handlePeerRequest(Link, Frame, std::move(Body));
               },
           .m_OnRequestWithoutRoom =
               [this](std::uint64_t Link, std::uint64_t Stream) {
                 m_Metrics.requestRefused(m_Settings.m_Service.value(), 0,
                                          NoRoomForBody);
                 sendPeerAnswer(Link, Stream,
                                {.m_Outcome = Outcome::Wait,
                                 .m_Reason = Reason::Overloaded,
                                 .m_RetryAfter = BodyRetryAfter});
               },
           .m_OnCancel =
               [this](std::uint64_t Link, std::uint64_t Stream) {
                 if (auto Job = m_PeerJobs.extract({Link, Stream}))
                   cancelPeerJob(Job.mapped());
               },
           .m_OnWithdraw =
               [this](std::uint64_t Link, std::uint64_t Stream) {
                 const auto Job = m_PeerJobs.find({Link, Stream});
                 if (Job != m_PeerJobs.end())
                   m_Agent.withdraw(Job->second);
               },
           .m_OnInboundClosed =
               [this](std::uint64_t Link) {
                 while (true) {
                   auto First = m_PeerJobs.lower_bound({Link, 0});
                   if (First == m_PeerJobs.end() || First->first.m_Link != Link)
                     return;
                   cancelPeerJob(First->second);
                   m_PeerJobs.erase(First);
                 }
               },
           .m_OnReport =
               [this](const InstanceName &Peer, const LinkFrame &Report) {
                 handleReport(Peer, Report);
               },
           .m_OnBeat = [this](const InstanceName &Peer,
                              const LinkBeat &Beat) { handleBeat(Peer, Beat); },
           .m_OnRows = [this](const LinkFrame &Rows) { applyRows(Rows); },
           .m_OnRowsWanted =
               [this](const LinkFrame &Wanted) { return rowsFor(Wanted); },
           .m_OnTableFresh =
               [this](const InstanceName &Peer, const LinkFrame &Frame) {
                 handleTableFresh(Peer, Frame);
               },
           .m_OnMapCheckWanted =
               [this](std::uint64_t Link, const LinkFrame &Frame) {
                 if (m_Coordinator &&
                     Frame.service == m_Settings.m_Service.value())
                   m_Coordinator->onQuestion(Link, Frame.stream);
               },
           .m_OnMapChecked =
               [this](const LinkFrame &Frame) {
                 const StoreVersion Checked{.m_Era = StoreEra(Frame.map_era),
                                            .m_Version =
                                                RowVersion(Frame.map_version)};
                 if (m_Coordinator)
                   m_Coordinator->onAnswer(Frame.stream,
                                           Frame.map_version == 0
                                               ? std::nullopt
                                               : std::optional(Checked));
               },
           .m_OnMapChanges =
               [this](const InstanceName &Peer, const LinkFrame &Frame) {
                 handleMapChanges(Peer, Frame);
               },
           .m_OnPeerConnected =
               [this](std::uint64_t Link) { sendRefusedRequests(Link); },
           .m_OnSuspects =
               [this](const InstanceName &Peer, const LinkFrame &Frame) {
                 handleSuspects(Peer, Frame);
               },
           .m_OnQuotaQuestion =
               [this](std::uint64_t Link, const InstanceName &Peer,
                      LinkFrameKind Kind, std::string_view Body) {
                 m_Quota.onQuestion(Link, Peer, Kind, Body);
               },
           .m_OnQuotaAnswer =
               [this](const InstanceName &Peer, LinkFrameKind Kind,
                      std::string_view Body) {
                 m_Quota.onAnswer(Peer, Kind, Body);
               },
           .m_OnPeerDown =
               [this](const InstanceName &Peer) {
                 m_Selector.forget(Peer);
                 m_Quota.onPeerDown();
                 if (Peer != m_LastAsked)
                   return;
                 m_RowCatchUp.onPeerLost();
                 m_Loop.post([this] { requestMissingRows(); });
               }}),
      m_Follower(
          Loop, Log, Table,
          {.m_BytesPerSecond = RowsLinkRatio * m_Settings.m_LinkBytesPerSecond},
          std::hash<InstanceName>()(m_Settings.m_Instance),
          [this](const MirroredRow &Row) { rowChanged(Row); },
          [this](TableName Table, StoreEra Era) { onFirstRead(Table, Era); },
          [this](TableName Table) {
            if (Table == TableName::Operators)
              sendTableFresh();
          }),
      m_Quota(Loop, Log, Table, Metrics, m_Settings.m_Instance, {},
              quotaCallbacks()),
      m_Entrance(
          Loop, Log, m_Settings, Format, m_Agent, m_Mesh, m_Selector,
          m_Suspects, m_Quota, Metrics,
          {.m_Retries = {.m_Ratio = m_Settings.m_RetryRatio / 2, .m_Burst = 4}},
          {.m_Routes = [this] { return m_Routes; },
           .m_KeyMap =
               [this](const ServiceName &Service) { return keyMap(Service); },
           .m_Candidates =
               [this](const ServiceName &Service) {
                 return candidates(Service);
               },
           .m_Target =
               [this](const InstanceName &Name) {
                 return reportedTarget(Name);
               },
           .m_LargeAnswersRefusedFor =
               [this] {
                 return m_AnswerRoom.refusedFor(heldAnswerBytes() +
                                                m_AnswerBodyRoom.reserved());
               }}),
      m_Callers(Loop, callerOptions(),
                [this](std::shared_ptr<HttpExchange> Exchange) {
                  m_Entrance.accept(std::move(Exchange));
                }),
      m_AnswerRoom({.m_MaxBytes = m_Settings.m_MemoryLimit / AnswersDivisor,
                    .m_BytesPerSecond = m_Settings.m_LinkBytesPerSecond}),
      m_Metrics(Metrics) {}

Router::~Router() = default;

HttpServerOptions Router::callerOptions() {
  HttpServerOptions Options;
  Options.m_MaxConnections = m_Settings.m_MaxHandles / CallerHandlesDivisor;
  Options.m_BodyRoom = &m_BodyRoom;
  Options.m_NoRoomAnswer = [this] {
    m_Metrics.requestRefused("", 0, NoRoomForBody);
    m_Log.write(
        LogClass::Failure,
        LogLine("body_refused")
            .add("reserved", static_cast<std::int64_t>(m_BodyRoom.reserved())));
    return m_Format.notRunAnswer(RefusalKind::Unavailable, BodyRetryAfter);
  };
  return Options;
}

bool Router::start() {
  if (!m_Mesh.listen() || !m_Callers.listen(m_Settings.m_Callers))
    return false;
  m_Follower.start();
  sendReports();
  updateFollowModes();
  writeMemberRow();
  return true;
}

void Router::beginStop() {
  if (m_StopStartedAt)
    return;
  m_StopStartedAt = m_Loop.now();
  m_Log.write(
      LogClass::StateChange,
      LogLine("stopping")
          .add("requests", static_cast<std::int64_t>(m_Entrance.active())));
  m_Agent.setStopping();
  m_Entrance.answerAllBy(answerLimit());
  m_Quota.end();
  m_Callers.closeAfterAnswers();
}

bool Router::stopped() {
  if (!m_StopStartedAt)
    return false;
  const Duration Since = m_Loop.now() - *m_StopStartedAt;
  if (Since > StopAcceptPeriod) {
    m_Entrance.refuseNew();
    m_Agent.refuseNew();
  }
  const bool Idle = m_Entrance.active() == 0 && m_Agent.jobs() == 0 &&
                    m_Callers.pendingBytes() == 0 &&
                    m_Mesh.pendingAnswerBytes() == 0;
  if (!Idle)
    m_IdleSince = m_Loop.now();
  return (Since > StopAcceptPeriod &&
          m_Loop.now() - m_IdleSince > SendFlushTime) ||
         m_Loop.now() > answerLimit() + SendFlushTime;
}

TimePoint Router::answerLimit() const {
  return *m_StopStartedAt + m_Settings.m_GracePeriod - ProcessExitMargin -
         SendFlushTime;
}

bool Router::ready() const { return m_Routes && !m_StopStartedAt; }

HeartbeatReply Router::onHeartbeat(const TargetHeartbeat &Heartbeat) {
  if (!m_Agent.onHeartbeat(Heartbeat))
    return {};
  HeartbeatReply Reply{.m_Accepted = true};
  ensureCoordinator();
  if (!m_Coordinator)
    return Reply;
  m_Coordinator->update();
  const TimePoint Now = m_Loop.refreshNow();
  if (m_Coordinator->mayGrant(Now))
    Reply.m_Grants = m_Agent.keys()->grants(*m_Coordinator->map(), Now);
  if (Reply.m_Grants) {
    Reply.m_Hold = agentOptions(m_Settings).m_Keys.m_Holds.m_Holds.m_Hold;
    // A request sent now could overtake the heartbeat's answer, so that the
    // target wouldn't know of its grant yet.
    m_Loop.post([this] { m_Agent.grantsChanged(); });
  }
  return Reply;
}

void Router::onDeregister(const TargetId &Id) {
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
      // A row of unknown age, e.g. of the first read, may be older than the
      // limit.
      const auto WrittenAfter = m_Follower.writtenAfter(Row.m_Version);
      m_Agent.setEvacuated(Row.m_Value.has_value(),
                           WrittenAfter
                               ? *WrittenAfter + m_Settings.m_EvacuationLimit
                               : m_Loop.now());
      sendReports();
    }
    return;
  }
  if (Row.m_Key.value().starts_with(MemberPrefix))
    return membersChanged();
  if (Row.m_Key == QuotaService::sharesRow())
    return m_Quota.rowChanged(Row);
  if (parseKeyMapRow(Row.m_Key))
    keyMapChanged(Row);
}

void Router::configurationChanged(const MirroredRow &Row) {
  if (!Row.m_Value)
    return; // The current configuration stays in force.
  std::string Problem;
  auto Table = m_Operators.configuration(Row, Problem);
  const bool Older =
      Table && m_Routes && Table->version() <= m_Routes->version();
  LogLine Line(Table && !Older ? "config_applied" : "config_rejected");
  Line.add("version",
           static_cast<std::int64_t>(Table ? Table->version().value() : 0))
      .add("era", static_cast<std::int64_t>(Row.m_Version.m_Era.value()))
      .add("row_version",
           static_cast<std::int64_t>(Row.m_Version.m_Version.value()))
      .add("problem", Older ? "not newer than the one in force" : Problem);
  const auto WrittenAfter = m_Follower.writtenAfter(Row.m_Version);
  const std::optional<Duration> Age =
      WrittenAfter ? std::optional(m_Loop.now() - *WrittenAfter) : std::nullopt;
  if (Age)
    Line.add("age_at_most", *Age);
  m_Log.write(LogClass::StateChange, Line);
  if (!Table || Older)
    return;
  m_Agent.keepRoutes(m_Routes ? keptRoutes(*m_Routes, *Table)
                              : std::set<std::string>());
  m_Routes = std::move(Table);
  m_RoutesRow = Row;
  m_Metrics.configApplied(m_Routes->version().value(), Age);
  const CallerLimits &Limits = m_Routes->limits();
  HttpServerOptions Options = callerOptions();
  Options.m_Limits = {.m_MaxHeaderBytes = Limits.m_MaxHeaderBytes,
                      .m_MaxBodyBytes = Limits.m_MaxBodyBytes};
  Options.m_HeaderTimeout = Limits.m_HeaderTimeout;
  Options.m_IdleTimeout = Limits.m_IdleTimeout;
  m_Callers.setOptions(Options);
  m_Agent.setService(m_Routes->service(m_Settings.m_Service));
  m_Quota.configure(m_Routes->organisations());
  ensureCoordinator();
}

void Router::applyPeerRow(const MirroredRow &Row) {
  if (!m_Follower.apply(Row, "peer") && Row.m_Table == TableName::Operators &&
      m_Operators.isConfiguration(Row.m_Key) && Row != m_RoutesRow)
    configurationChanged(Row);
}

void Router::onFirstRead(TableName Table, StoreEra Era) {
  if (Table == TableName::Operators) {
    m_Loop.after(OperatorRestoreTime, [this, Era] {
      if (m_Follower.era() == Era)
        m_Follower.forgetLostRows(TableName::Operators);
    });
    return;
  }
  writeMemberRow();
  ensureCoordinator();
  m_Loop.after(MemberRestoreDelay, [this, Era] {
    if (m_Follower.era() == Era)
      restoreMemberRows();
  });
}

void Router::restoreMemberRows() {
  if (!isWatcher())
    return;
  for (const MirroredRow *Row :
       m_Follower.mirror().withPrefix(TableName::Own, MemberPrefix))
    if (Row->m_Version.m_Era < m_Follower.era())
      commitMemberRow({.m_Key = Row->m_Key, .m_Value = Row->m_Value});
}

void Router::membersChanged() {
  m_Members.clear();
  for (const MirroredRow *Row :
       m_Follower.mirror().withPrefix(TableName::Own, MemberPrefix))
    if (auto Each = parseMemberRow(*Row))
      m_Members.push_back(std::move(*Each));
    else
      m_Log.write(
          LogClass::StateChange,
          LogLine("member_row_rejected").add("key", Row->m_Key.value()));
  m_Mesh.setMembers(m_Members);
}

void Router::keyMapChanged(const MirroredRow &Row) {
  const KeyMapRowId Id = *parseKeyMapRow(Row.m_Key);
  // No daemon writes a row of an era that hasn't begun.
  if (Id.m_Era > Row.m_Version.m_Era)
    return;
  auto Known = m_KeyMaps.find(Id.m_Service);
  // A row of an earlier era in the store is at most what was known of it then.
  const auto Age = std::pair(Id.m_Era, Row.m_Version.m_Version);
  if (Known != m_KeyMaps.end() &&
      Age <=
          std::pair(Known->second.m_Era, Known->second.m_RowVersion.m_Version))
    return;
  std::optional<KeyMap> Map;
  if (Row.m_Value)
    Map = KeyMap::fromText(*Row.m_Value);
  if (Row.m_Value && !Map) {
    m_Log.write(
        LogClass::StateChange,
        LogLine("key_map_rejected").add("service", Id.m_Service.value()));
    return;
  }
  if (Map)
    m_KeyMaps.insert_or_assign(Id.m_Service,
                               KnownKeyMap{.m_Era = Id.m_Era,
                                           .m_RowVersion = Row.m_Version,
                                           .m_Map = *Map});
  else if (Known != m_KeyMaps.end() && Known->second.m_Era == Id.m_Era)
    m_KeyMaps.erase(Known);
  ensureCoordinator();
  if (m_Coordinator && Id.m_Service == m_Settings.m_Service) {
    m_Coordinator->mapChanged(Id.m_Era, std::move(Map), Row.m_Version);
    updateGrants();
  }
}

void Router::updateGrants() {
  if (m_Agent.keys())
    m_Agent.keys()->update();
}

void Router::commitMemberRow(OwnRowCommit Commit) {
  m_Table.commit(std::move(Commit), [this](const TableServiceReply &Reply) {
    m_Log.write(
        LogClass::StateChange,
        LogLine("member_row_commit")
            .add("end", std::int64_t{static_cast<int>(Reply.m_CallOutcome)})
            .add("error", Reply.m_Error));
    m_Follower.noteEra(Reply.m_Version.m_Era);
    for (const MirroredRow &Each : Reply.m_Rows)
      publishRow(Each);
  });
}

void Router::writeMemberRow() {
  m_Loop.cancel(m_MemberRowTimer);
  const RowKey Key(MemberPrefix + m_Settings.m_Instance.value());
  const MirroredRow *Row = m_Follower.mirror().find(TableName::Own, Key);
  const std::string Text = memberRowText(m_Settings);
  const bool Read = m_Follower.hasRead(TableName::Own);
  const bool Current = Read && Row && *Row->m_Value == Text &&
                       Row->m_Version.m_Era == m_Follower.era();
  if (Current)
    return;
  if (Read)
    commitMemberRow({.m_Key = Key, .m_Conditional = false, .m_Value = Text});
  m_MemberRowTimer =
      m_Loop.after(Read ? MemberRowRetryDelay : MemberRowRetryDelay / 20,
                   [this] { writeMemberRow(); });
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
        KeyCoordinatorCallbacks{
            .m_Candidates = [this] { return keyCandidates(); },
            .m_Loads = [this] { return keyLoads(); },
            .m_IsPlanner = [this] { return isKeyPlanner(); },
            .m_OnRow = [this](const MirroredRow &Row) { publishKeyMap(Row); },
            .m_OnEra = [this](StoreEra Era) { m_Follower.noteEra(Era); },
            .m_OnAuthority = [this] { updateGrants(); },
            .m_Checkers = [this] { return mapCheckers(); },
            .m_Ask =
                [this](const InstanceName &Peer, std::uint64_t Stream) {
                  LinkFrame Frame;
                  Frame.kind = LinkFrameKind::MapCheckWanted;
                  Frame.service = m_Settings.m_Service.value();
                  Frame.stream = Stream;
                  return m_Mesh.send(Peer, Frame);
                },
            .m_Answer =
                [this](const MapCheckQuestion &Question,
                       std::optional<StoreVersion> Checked) {
                  answerMapQuestion(Question, Checked);
                },
            .m_OnFailure = [this] { m_Follower.probe(TableName::Operators); }});
    if (auto Known = m_KeyMaps.find(m_Settings.m_Service);
        Known != m_KeyMaps.end())
      m_Coordinator->mapChanged(Known->second.m_Era, Known->second.m_Map,
                                Known->second.m_RowVersion);
  }
  if (m_Follower.hasRead(TableName::Own))
    m_Coordinator->onTableRead(m_Follower.era());
}

template <typename Predicate>
std::ptrdiff_t Router::precedingWatchers(Predicate Counts) const {
  return std::count_if(m_Members.begin(), m_Members.end(),
                       [&](const Member &Each) {
                         return Each.m_Instance < m_Settings.m_Instance &&
                                Counts(Each) && reachesTable(Each.m_Instance);
                       });
}

bool Router::isWatcher() const {
  return precedingWatchers([](const Member &) { return true; }) <
         OwnTableWatchers;
}

FollowMode Router::operatorsMode() const {
  const auto InDomain = [&](const Member &Each) {
    return Each.m_Domain == m_Settings.m_Domain;
  };
  if (std::count_if(m_Members.begin(), m_Members.end(), InDomain) <=
      MaxSeparateWatchers)
    return FollowMode::Watch;
  if (precedingWatchers(InDomain) < DomainWatchers)
    return FollowMode::WatchForOthers;
  return m_Loop.now() < m_OperatorsFreshUntil ? FollowMode::FromPeers
                                              : FollowMode::Watch;
}

void Router::updateFollowModes() {
  m_FollowTimer =
      m_Loop.after(FollowCheckInterval, [this] { updateFollowModes(); });
  m_Follower.setMode(TableName::Own,
                     isWatcher() ? FollowMode::Watch : FollowMode::FromPeers);
  m_Follower.setWatchers(m_Members.size());
  m_Follower.setMode(TableName::Operators, operatorsMode());
  m_Mesh.watchService(m_Coordinator && isKeyPlanner()
                          ? std::optional(m_Settings.m_Service)
                          : std::nullopt);
}

std::vector<TargetSelector::Candidate>
Router::candidates(const ServiceName &Service) const {
  std::vector<TargetSelector::Candidate> Result;
  for (const Member &Each : m_Members) {
    const bool Local = Each.m_Instance == m_Settings.m_Instance;
    if (Each.m_Service == Service && (Local || m_Mesh.isUp(Each.m_Instance)))
      Result.push_back({.m_Target = Each.m_Instance,
                        .m_SameDomain = Each.m_Domain == m_Settings.m_Domain,
                        .m_Local = Local});
  }
  return Result;
}

std::optional<TargetIncarnation>
Router::reportedTarget(const InstanceName &Name) const {
  if (Name == m_Settings.m_Instance) {
    const auto Self = m_Agent.owner();
    return Self ? std::optional(Self->m_Target) : std::nullopt;
  }
  const auto Found = m_PeerTargets.find(Name);
  if (Found == m_PeerTargets.end() ||
      Found->second.m_Owner.m_Target.m_Id.empty())
    return std::nullopt;
  return Found->second.m_Owner.m_Target;
}

const KeyMap *Router::keyMap(const ServiceName &Service) const {
  auto Found = m_KeyMaps.find(Service);
  return Found == m_KeyMaps.end() ? nullptr : &Found->second.m_Map;
}

} // namespace balsamwheel
