// Exchange between routers: table rows and forwarded requests.
#include "report_format.h"
#include "router.h"

#include "link/frame_headers.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Answers with bodies of at least this size in bytes are sent one after the
/// other, so that small answers don't queue behind all of them.
constexpr std::size_t LargeBodyBytes = 24576;
/// How long after a peer's watch of the operators' table the table counts as
/// known.
constexpr Duration MaxFreshAge = std::chrono::milliseconds(1800);
/// A daemon that hears of no further watch has at least this time to read a
/// change itself before it has to be in force.
constexpr Duration OwnReadTime = std::chrono::milliseconds(700);
/// A daemon that has been missing an operators' row for this long reads the
/// table itself, on a new connection.
constexpr Duration MaxBehind = std::chrono::milliseconds(500);
/// Longest time that a peer's request can have left.
constexpr Duration MaxTimeLeft = std::chrono::hours(24);
/// Size in bytes from which on a configuration isn't requested from peers.
constexpr std::size_t LargeRowBytes = std::size_t{64} << 10;

link_wire::TableRowT rowToWire(const MirroredRow &Row) {
  link_wire::TableRowT Result;
  Result.table_name = Row.m_Table == TableName::Operators ? "operators" : "own";
  Result.key = Row.m_Key.value();
  Result.era = Row.m_Version.m_Era.value();
  Result.version = Row.m_Version.m_Version.value();
  Result.removed = !Row.m_Value;
  Result.value = Row.m_Value.value_or("");
  return Result;
}

MirroredRow rowFromWire(const link_wire::TableRowT &Wire) {
  MirroredRow Row{.m_Table = Wire.table_name == "operators"
                                 ? TableName::Operators
                                 : TableName::Own,
                  .m_Key = RowKey(Wire.key),
                  .m_Version = {.m_Era = StoreEra(Wire.era),
                                .m_Version = RowVersion(Wire.version)}};
  if (!Wire.removed)
    Row.m_Value = Wire.value;
  return Row;
}

} // namespace

void Router::publishRow(const MirroredRow &Row) {
  const MirroredRow *Known = m_Follower.mirror().find(Row.m_Table, Row.m_Key);
  if (Known && Known->m_Version >= Row.m_Version)
    return;
  m_Follower.apply(Row, "commit");
  LinkFrame Frame;
  Frame.kind = LinkFrameKind::Rows;
  Frame.rows.push_back(std::make_unique<link_wire::TableRowT>(rowToWire(Row)));
  m_Mesh.broadcast(Frame);
}

RowsSeen Router::rowsSeen() const {
  const TableMirror &Mirror = m_Follower.mirror();
  return {.m_Operators = Mirror.seenVersion(TableName::Operators),
          .m_Own = Mirror.seenVersion(TableName::Own),
          .m_Configuration = m_Routes ? m_Routes->version() : ConfigVersion()};
}

RowsSeen Router::rowsKnown() const {
  RowsSeen Result = rowsSeen();
  const auto Position = m_Follower.position(TableName::Operators);
  Result.m_Operators =
      std::max(Result.m_Operators, Position.value_or(StoreVersion()));
  return Result;
}

void Router::requestMissingRows(const InstanceName &Peer,
                                const RowsSeen &PeerSeen) {
  const RowsSeen Seen = rowsKnown();
  m_Follower.noteEra(
      std::max(PeerSeen.m_Operators.m_Era, PeerSeen.m_Own.m_Era));
  m_Follower.noteHeard(PeerSeen.m_Operators);
  const bool ReadsItself =
      m_Follower.follows(TableName::Operators) || hasLargeConfiguration();
  const auto Missing =
      m_RowCatchUp.onReport(PeerSeen, Seen, ReadsItself, m_Loop.now());
  readNewerInTime();
  if (!Missing)
    return;
  m_LastAsked = Peer;
  requestRows(Peer, *Missing);
}

bool Router::hasLargeConfiguration() const {
  return m_RoutesRow.m_Value && m_RoutesRow.m_Value->size() >= LargeRowBytes;
}

void Router::readNewerInTime() {
  const auto Since = m_RowCatchUp.behindSince();
  if (!Since || m_ReadNewerScheduled)
    return;
  // Peers would send a large row over one link to many.
  const bool AtOnce = hasLargeConfiguration() &&
                      !m_Follower.follows(TableName::Operators) &&
                      m_Follower.isReachable(TableName::Operators);
  if (AtOnce)
    m_Follower.readNewer(TableName::Operators);
  m_ReadNewerScheduled = true;
  m_Loop.after(*Since + MaxBehind - m_Loop.now(), [this] {
    m_ReadNewerScheduled = false;
    m_RowCatchUp.noteSeen(rowsKnown());
    const auto Since = m_RowCatchUp.behindSince();
    if (!Since)
      return;
    if (m_Loop.now() - *Since >= MaxBehind)
      m_Follower.readNewer(TableName::Operators);
    else
      readNewerInTime();
  });
}

void Router::requestRows(const InstanceName &Peer, const RowsSeen &After) {
  LinkFrame Wanted;
  Wanted.kind = LinkFrameKind::RowsWanted;
  setRowsSeen(Wanted, After);
  Wanted.operator_rows_wanted = After.m_Operators == rowsKnown().m_Operators;
  // The changes of one key map usually arrive before the row does.
  for (const auto &[Service, Known] : m_KeyMaps)
    if (Known.m_Era == Known.m_RowVersion.m_Era) {
      Wanted.service = Service.value();
      Wanted.map_era = Known.m_Era.value();
      Wanted.map_version = Known.m_RowVersion.m_Version.value();
    }
  m_Mesh.send(Peer, Wanted);
}

void Router::publishKeyMap(const MirroredRow &Row) {
  const auto Id = parseKeyMapRow(Row.m_Key);
  const auto Known = Id ? m_KeyMaps.find(Id->m_Service) : m_KeyMaps.end();
  const bool HasBase = Known != m_KeyMaps.end() &&
                       Known->second.m_Era == Id->m_Era &&
                       Known->second.m_RowVersion.m_Era == Id->m_Era;
  const std::optional<KnownKeyMap> Base =
      HasBase ? std::optional(Known->second) : std::nullopt;
  if (!m_Follower.apply(Row, "commit") || !Base)
    return;
  const KeyMap *Map = keyMap(Id->m_Service);
  LinkFrame Frame;
  Frame.kind = LinkFrameKind::MapChanges;
  Frame.service = Id->m_Service.value();
  Frame.map_era = Id->m_Era.value();
  Frame.map_version = Row.m_Version.m_Version.value();
  Frame.map_base_version = Base->m_RowVersion.m_Version.value();
  Frame.map_changes = Map->changesSince(Base->m_Map);
  m_Mesh.broadcast(Frame);
}

void Router::handleMapChanges(const InstanceName &Peer,
                              const LinkFrame &Frame) {
  const ServiceName Service(Frame.service);
  const StoreEra Era(Frame.map_era);
  const StoreVersion Version{.m_Era = Era,
                             .m_Version = RowVersion(Frame.map_version)};
  const auto Known = m_KeyMaps.find(Service);
  const bool SameEra = Known != m_KeyMaps.end() && Known->second.m_Era == Era &&
                       Known->second.m_RowVersion.m_Era == Era;
  if (SameEra && Known->second.m_RowVersion >= Version)
    return;
  std::optional<KeyMap> Map;
  if (SameEra && Known->second.m_RowVersion.m_Version ==
                     RowVersion(Frame.map_base_version))
    Map = Known->second.m_Map.withChanges(Frame.map_changes);
  if (Map) {
    m_Follower.apply({.m_Table = TableName::Own,
                      .m_Key = keyMapRow({.m_Service = Service, .m_Era = Era}),
                      .m_Version = Version,
                      .m_Value = Map->toText()},
                     "changes");
    return;
  }
  if (m_RowCatchUp.onGap(m_Loop.now()))
    requestRows(Peer, rowsKnown());
}

void Router::sendTableFresh() {
  LinkFrame Frame;
  Frame.kind = LinkFrameKind::TableFresh;
  setRowsSeen(Frame, rowsSeen());
  setCurrent(Frame, m_Follower.current());
  m_Mesh.broadcastInDomain(Frame);
}

void Router::handleTableFresh(const InstanceName &Peer,
                              const LinkFrame &Frame) {
  const RowsSeen PeerSeen = rowsSeenOf(Frame);
  const StoreVersion Seen =
      m_Follower.mirror().seenVersion(TableName::Operators);
  if (const auto Current = currentOf(Frame)) {
    m_Follower.notePeerCurrent(*Current);
    if (PeerSeen.m_Operators.m_Era == m_Follower.era() &&
        Seen >= PeerSeen.m_Operators) {
      m_Follower.advance(TableName::Operators, Current->m_Position);
      // Not from the arrival of the frame: it may have been on the way for
      // long.
      if (const auto ReadAt = m_Follower.earliest(Current->m_At))
        m_OperatorsFreshUntil =
            std::max(m_OperatorsFreshUntil,
                     *ReadAt + std::min(MaxFreshAge, m_Settings.m_ConfigLimit -
                                                         OwnReadTime));
    }
  }
  requestMissingRows(Peer, PeerSeen);
}

std::vector<InstanceName> Router::mapCheckers() const {
  std::vector<InstanceName> Result;
  for (const Member &Each : m_Members) {
    if (Each.m_Service != m_Settings.m_Service)
      continue;
    const bool Self = Each.m_Instance == m_Settings.m_Instance;
    if (Self || reachesTable(Each.m_Instance))
      Result.push_back(Each.m_Instance);
    if (Self)
      break;
  }
  return Result;
}

void Router::answerMapQuestion(const MapCheckQuestion &Question,
                               std::optional<StoreVersion> Checked) {
  LinkFrame Frame;
  Frame.kind = LinkFrameKind::MapChecked;
  Frame.stream = Question.m_Stream;
  if (Checked) {
    Frame.map_era = Checked->m_Era.value();
    Frame.map_version = Checked->m_Version.value();
  }
  m_Mesh.answer(Question.m_Link, Frame, {});
}

LinkFrame Router::rowsFor(const LinkFrame &Wanted) const {
  LinkFrame Reply;
  Reply.kind = LinkFrameKind::Rows;
  const RowsSeen Known = rowsSeenOf(Wanted);
  setRowsSeen(Reply, rowsSeen());
  Reply.operator_rows_wanted = Wanted.operator_rows_wanted;
  const auto Append = [&](const MirroredRow &Row) {
    Reply.rows.push_back(
        std::make_unique<link_wire::TableRowT>(rowToWire(Row)));
  };
  const auto Newer =
      m_Follower.mirror().newerThan(TableName::Operators, Known.m_Operators);
  std::for_each(Newer.begin(), Newer.end(), Append);
  // After a rollback, the configuration in force may be newer than the one in
  // the mirrored row.
  if (m_Routes && m_Routes->version() > Known.m_Configuration &&
      std::find(Newer.begin(), Newer.end(), m_RoutesRow) == Newer.end())
    Append(m_RoutesRow);
  const RowKey KnownMap = keyMapRow({.m_Service = ServiceName(Wanted.service),
                                     .m_Era = StoreEra(Wanted.map_era)});
  const StoreVersion KnownMapVersion{.m_Era = StoreEra(Wanted.map_era),
                                     .m_Version =
                                         RowVersion(Wanted.map_version)};
  for (const MirroredRow &Row :
       m_Follower.mirror().newerThan(TableName::Own, Known.m_Own))
    if (Row.m_Key != KnownMap || Row.m_Version > KnownMapVersion)
      Append(Row);
  return Reply;
}

void Router::applyRows(const LinkFrame &Rows) {
  m_RowCatchUp.onRows(Rows.operator_rows_wanted);
  for (const auto &Each : Rows.rows)
    if (isUtf8(Each->key))
      applyPeerRow(rowFromWire(*Each));
    else
      m_Log.write(LogClass::StateChange,
                  LogLine("peer_row_rejected").add("key", Each->key));
  const RowsSeen Seen = rowsSeenOf(Rows);
  if (Rows.operator_rows_wanted)
    m_Follower.markSeen(TableName::Operators, Seen.m_Operators);
  m_Follower.markSeen(TableName::Own, Seen.m_Own);
}

void Router::handlePeerRequest(std::uint64_t Link, LinkFrame &Frame,
                               HttpBody Body) {
  TargetJob Job;
  Job.m_Request.m_Method = std::move(Frame.method);
  Job.m_Request.m_Target = std::move(Frame.target);
  Job.m_Request.m_Headers = headersOf(Frame);
  Job.m_Request.m_Body = std::move(Body);
  Job.m_Id = Frame.request_id;
  Job.m_Route = Frame.route;
  Job.m_Priority = Frame.priority;
  Job.m_Organisation = OrganisationName(Frame.organisation);
  Job.m_Idempotent = !Frame.non_idempotent;
  Job.m_Nested = Frame.nested;
  Job.m_Repeated = Frame.repeated;
  Job.m_Digest = RequestDigest(Frame.digest);
  Job.m_LargeOverLink = Frame.large_answer;
  const KeyMap *Map = keyMap(m_Settings.m_Service);
  if (Frame.key >= 0 && Map)
    Job.m_Key = static_cast<KeyIndex>(Frame.key);
  const auto After = [&](std::int64_t Left) {
    return m_Loop.now() + std::clamp(Duration(Left), -MaxTimeLeft, MaxTimeLeft);
  };
  Job.m_Objective = After(Frame.objective_left);
  Job.m_Deadline = After(Frame.deadline_left);
  if (m_StopStartedAt)
    Job.m_Deadline = std::min(Job.m_Deadline, answerLimit());
  const std::uint64_t Stream = Frame.stream;
  if (Frame.service != m_Settings.m_Service.value() ||
      Frame.key >= static_cast<std::int64_t>(KeyCount))
    return sendPeerAnswer(Link, Stream, {.m_Reason = Reason::UnknownService});
  m_PeerJobs[{Link, Stream}] = m_Agent.submit(
      std::move(Job), Map, [this, Link, Stream](const TargetJobResult &Result) {
        sendPeerAnswer(Link, Stream, Result);
      });
}

void Router::cancelPeerJob(TargetAgent::JobId Job) {
  m_Metrics.attemptCancelled(toString(m_Agent.cancel(Job)));
}

void Router::sendPeerAnswer(std::uint64_t Link, std::uint64_t Stream,
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
  setHeaders(Frame, Result.m_Answer.m_Headers);
  Frame.gate = gateToWire(m_Agent.gateReport());
  if (Result.m_LeavingTarget) {
    Frame.target_id = Result.m_LeavingTarget->m_Id.value();
    Frame.target_born = Result.m_LeavingTarget->m_StartTimeMs;
  }
  if (Result.m_Answer.m_Body.size() >= LargeBodyBytes)
    m_Mesh.answerLarge(Link, Frame, Result.m_Answer.m_Body);
  else
    m_Mesh.answer(Link, Frame, Result.m_Answer.m_Body);
}

} // namespace balsamwheel
