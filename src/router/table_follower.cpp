// Reading and watching the platform's tables.
#include "table_follower.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Shorter pauses between two watches are skipped.
constexpr Duration MinPause = std::chrono::milliseconds(20);
/// The reply to a watch with more rows or bytes than these may have been cut
/// short.
constexpr std::size_t MaxCompleteRows = 100;
constexpr std::size_t MaxCompleteBytes = std::size_t{500} << 10;
/// Shortest time for which a watch waits.
constexpr Duration MinMaxWait = std::chrono::seconds(1);
/// Shortest wait of a watch, as a part of the longest.
constexpr int MinWaitDivisor = 4;

const char *nameOf(TableName Table) {
  return Table == TableName::Operators ? "operators" : "own";
}

std::size_t bytesOf(const std::vector<MirroredRow> &Rows) {
  std::size_t Sum = 0;
  for (const MirroredRow &Row : Rows)
    Sum += Row.m_Value ? Row.m_Value->size() : 0;
  return Sum;
}

} // namespace

TableFollower::TableFollower(EventLoop &Loop, EventLog &Log,
                             TableService &Table, TableFollowerOptions Options,
                             std::uint64_t Seed, OnRow OnChange,
                             OnRead OnFirstRead, OnWatched OnWatchDone)
    : m_Loop(Loop), m_Log(Log), m_Service(Table), m_Options(Options),
      m_OnChange(std::move(OnChange)), m_OnFirstRead(std::move(OnFirstRead)),
      m_OnWatchDone(std::move(OnWatchDone)), m_Random(Seed) {}

void TableFollower::start() {
  startCall(m_Operators);
  startCall(m_Own);
}

bool TableFollower::hasRead(TableName Table) const {
  return followed(Table).m_ReadEra == m_Era;
}

bool TableFollower::isReachable(TableName Table) const {
  return followed(Table).m_Reachable;
}

void TableFollower::noteEra(StoreEra Era) {
  if (Era <= m_Era)
    return;
  m_Era = Era;
  m_Ages.reset();
  m_Current.reset();
  // A read in progress isn't repeated: its reply shows its own era.
  for (FollowedTable *Each : {&m_Operators, &m_Own})
    if (Each->m_Position)
      readAgain(*Each);
}

void TableFollower::readAgain(FollowedTable &Followed) {
  Followed.m_Position.reset();
  startCall(Followed);
}

void TableFollower::forgetLostRows(TableName Table) {
  const StoreVersion Now = m_Mirror.seenVersion(Table);
  for (const RowKey &Key : m_Mirror.forgetOlderEras(Table, Now)) {
    m_Log.write(LogClass::StateChange, LogLine("lost_row_dropped")
                                           .add("table", nameOf(Table))
                                           .add("key", Key.value()));
    m_OnChange({.m_Table = Table, .m_Key = Key, .m_Version = Now});
  }
}

bool TableFollower::apply(const MirroredRow &Row, const char *Source) {
  if (!m_Mirror.apply(Row))
    return false;
  m_Log.write(
      LogClass::StateChange,
      LogLine("row_changed")
          .add("table", nameOf(Row.m_Table))
          .add("key", Row.m_Key.value())
          .add("era", static_cast<std::int64_t>(Row.m_Version.m_Era.value()))
          .add("version",
               static_cast<std::int64_t>(Row.m_Version.m_Version.value()))
          .add("source", Source));
  m_OnChange(Row);
  return true;
}

void TableFollower::applyAll(FollowedTable &Followed,
                             const std::vector<MirroredRow> &Rows,
                             const char *Source) {
  for (const MirroredRow &Row : Rows) {
    apply(Row, Source);
    m_Mirror.markSeen(Followed.m_Table, Row.m_Version);
  }
}

void TableFollower::setMode(TableName Table, FollowMode Mode) {
  FollowedTable &Followed = followed(Table);
  Followed.m_Mode = Mode;
  if (Mode != FollowMode::FromPeers && Followed.m_Idle)
    resume(Followed);
}

void TableFollower::advance(TableName Table, StoreVersion Position) {
  FollowedTable &Followed = followed(Table);
  if (Followed.m_Idle && Position.m_Era == m_Era)
    Followed.m_Position = std::max(*Followed.m_Position, Position);
}

std::optional<TableFollower::Current> TableFollower::current() const {
  return m_Operators.m_Idle ? std::nullopt : m_Current;
}

void TableFollower::notePeerCurrent(const Current &Read) {
  if (Read.m_Position.m_Era == m_Era)
    m_Ages.noteCurrent(Read.m_Position, Read.m_At, m_Loop.now());
}

void TableFollower::noteCurrent(const FollowedTable &Followed,
                                const TableServiceReply &Reply) {
  if (!Reply.m_Time || Followed.m_Table != TableName::Operators)
    return;
  m_Current = {.m_Position = Reply.m_Version, .m_At = *Reply.m_Time};
  m_Ages.noteCurrent(Reply.m_Version, *Reply.m_Time, m_Loop.now());
}

void TableFollower::probe(TableName Table) {
  FollowedTable &Followed = followed(Table);
  if (!Followed.m_Idle)
    return;
  Followed.m_Reachable = false;
  resume(Followed);
}

void TableFollower::resume(FollowedTable &Followed) {
  // If the table's history doesn't reach back to it, the table is read again.
  Followed.m_Position =
      std::max(*Followed.m_Position, m_Mirror.seenVersion(Followed.m_Table));
  Followed.m_Resumed = true;
  m_Service.renewConnections();
  startCall(Followed);
}

void TableFollower::readNewer(TableName Table) {
  FollowedTable &Followed = followed(Table);
  if (!Followed.m_Position || Followed.m_Rereads)
    return;
  Followed.m_Rereads = true;
  Followed.m_Idle = false;
  // Replies to the call in progress don't count any more.
  ++Followed.m_Call;
  m_Service.renewConnections();
  startCallAfterPause(Followed);
}

void TableFollower::startCall(FollowedTable &Followed) {
  Followed.m_Idle = Followed.m_Position && Followed.m_Reachable &&
                    Followed.m_Mode == FollowMode::FromPeers &&
                    !Followed.m_Rereads;
  Followed.m_CallStartedAt = m_Loop.refreshNow();
  const std::uint64_t Call = ++Followed.m_Call;
  if (Followed.m_Idle)
    return;
  if (!Followed.m_Position || Followed.m_Rereads)
    m_Service.read(Followed.m_Table,
                   [this, &Followed, Call](const TableServiceReply &Reply) {
                     if (Followed.m_Call == Call)
                       readDone(Followed, Reply);
                   });
  else
    m_Service.watch(Followed.m_Table, Followed.m_Position->m_Version,
                    watchWait(Followed),
                    [this, &Followed, Call](const TableServiceReply &Reply) {
                      if (Followed.m_Call == Call)
                        watchDone(Followed, Reply);
                    });
}

void TableFollower::startCallAfter(FollowedTable &Followed, Duration Delay) {
  m_Loop.after(Delay, [this, &Followed, Call = Followed.m_Call] {
    if (Followed.m_Call == Call)
      startCall(Followed);
  });
}

void TableFollower::startCallAfterPause(FollowedTable &Followed) {
  const Duration Pause = Followed.m_PausedUntil - m_Loop.now();
  if (Pause <= Duration::zero())
    return startCall(Followed);
  m_Loop.after(Pause, [this, &Followed, Call = Followed.m_Call] {
    if (Followed.m_Call != Call)
      return;
    if (Followed.m_Table == TableName::Operators && Followed.m_Position)
      Followed.m_Rereads = Followed.m_Rereads || m_Heard > *Followed.m_Position;
    startCall(Followed);
  });
}

Duration TableFollower::watchWait(const FollowedTable &Followed) {
  if (Followed.m_Resumed)
    return m_Options.m_FirstWait;
  switch (Followed.m_Mode) {
  case FollowMode::FromPeers:
    return Duration::zero();
  case FollowMode::WatchForOthers:
    return m_Options.m_WaitForOthers;
  case FollowMode::Watch:
    break;
  }
  // The mean wait is that of all watchers together, times their number.
  const Duration Shared = 2 * m_Options.m_WatchSpacing * m_Watchers *
                          MinWaitDivisor / (MinWaitDivisor + 1);
  const Duration Max =
      std::min(std::max(Shared, MinMaxWait), m_Options.m_MaxWait);
  const Duration Min = Max / MinWaitDivisor;
  return Min + (Max - Min) * (m_Random() % 1024) / 1024;
}

bool TableFollower::recordReachability(FollowedTable &Followed,
                                       const TableServiceReply &Reply) {
  const bool Reached = Reply.m_CallOutcome == TableCallOutcome::Ok ||
                       Reply.m_CallOutcome == TableCallOutcome::HistoryLost;
  if (Reached != Followed.m_Reachable)
    m_Log.write(LogClass::StateChange,
                LogLine(Reached ? "table_regained" : "table_lost")
                    .add("table", nameOf(Followed.m_Table))
                    .add("error", Reply.m_Error));
  Followed.m_Reachable = Reached;
  if (Reached) {
    if (Reply.m_Time && Reply.m_Version.m_Era == m_Era)
      m_Ages.observeClock(*Reply.m_Time, Followed.m_CallStartedAt);
    Followed.m_RetryDelay = Duration::zero();
    return true;
  }
  Followed.m_RetryDelay =
      std::clamp(Followed.m_RetryDelay * 2, m_Options.m_MinRetryDelay,
                 m_Options.m_MaxRetryDelay);
  startCallAfter(Followed, Followed.m_RetryDelay);
  return false;
}

void TableFollower::readDone(FollowedTable &Followed,
                             const TableServiceReply &Reply) {
  noteEra(Reply.m_Version.m_Era);
  if (!recordReachability(Followed, Reply))
    return;
  if (Reply.m_Version.m_Era < m_Era) // The state before a rollback, read late.
    return startCallAfter(Followed, m_Options.m_MinRetryDelay);
  applyAll(Followed, Reply.m_Rows, "read");
  for (const RowKey &Key :
       m_Mirror.removeMissing(Followed.m_Table, Reply.m_Rows, Reply.m_Version))
    m_OnChange({.m_Table = Followed.m_Table,
                .m_Key = Key,
                .m_Version = Reply.m_Version});
  Followed.m_Position = Reply.m_Version;
  noteCurrent(Followed, Reply);
  const bool FirstInEra = Followed.m_ReadEra != m_Era;
  Followed.m_ReadEra = m_Era;
  Followed.m_Rereads = false;
  Followed.m_PausedUntil = m_Loop.now() + bandwidthPause(Reply.m_Rows);
  if (Followed.m_Mode == FollowMode::FromPeers)
    startCall(Followed);
  else
    startCallAfterPause(Followed);
  if (FirstInEra && m_OnFirstRead)
    m_OnFirstRead(Followed.m_Table, m_Era);
}

void TableFollower::watchDone(FollowedTable &Followed,
                              const TableServiceReply &Reply) {
  const std::uint64_t Call = Followed.m_Call;
  noteEra(Reply.m_Version.m_Era);
  if (Followed.m_Call != Call)
    return; // The table is read again.
  if (!recordReachability(Followed, Reply))
    return;
  if (Reply.m_CallOutcome == TableCallOutcome::HistoryLost ||
      Reply.m_Version.m_Era != Followed.m_Position->m_Era)
    return readAgain(Followed);
  Followed.m_Resumed = false;
  applyAll(Followed, Reply.m_Rows, "watch");
  Followed.m_Position = std::max(*Followed.m_Position, Reply.m_Version);
  if (Reply.m_Rows.size() < MaxCompleteRows &&
      bytesOf(Reply.m_Rows) < MaxCompleteBytes)
    noteCurrent(Followed, Reply);
  // A reply that was delayed, e.g. while this daemon was suspended, says
  // nothing about the present.
  const bool Timely = m_Loop.refreshNow() - Followed.m_CallStartedAt <
                      2 * m_Options.m_WaitForOthers;
  if (Followed.m_Mode == FollowMode::WatchForOthers && Timely && m_OnWatchDone)
    m_OnWatchDone(Followed.m_Table);
  Followed.m_PausedUntil = m_Loop.now() + pauseAfter(Followed, Reply.m_Rows);
  startCallAfterPause(Followed);
}

Duration TableFollower::pauseAfter(const FollowedTable &Followed,
                                   const std::vector<MirroredRow> &Rows) const {
  if (Rows.empty())
    return Duration::zero();
  return std::max(Followed.m_Table == TableName::Own ? m_Options.m_OwnTablePause
                                                     : Duration::zero(),
                  bandwidthPause(Rows));
}

Duration
TableFollower::bandwidthPause(const std::vector<MirroredRow> &Rows) const {
  if (m_Options.m_BytesPerSecond <= 0)
    return Duration::zero();
  const Duration Pause(static_cast<Duration::rep>(
      static_cast<double>(bytesOf(Rows)) / m_Options.m_BytesPerSecond * 1e6));
  return Pause < MinPause ? Duration::zero()
                          : std::min(Pause, m_Options.m_MaxPause);
}

} // namespace balsamwheel
