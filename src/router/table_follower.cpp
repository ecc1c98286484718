// Reading and watching the platform's tables.
#include "table_follower.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Shorter pauses between two watches are skipped.
constexpr Duration MinPause = std::chrono::milliseconds(20);

const char *nameOf(TableName Table) {
  return Table == TableName::Operators ? "operators" : "own";
}

} // namespace

TableFollower::TableFollower(EventLoop &Loop, EventLog &Log,
                             TableService &Table, TableFollowerOptions Options,
                             std::uint64_t Seed, OnRow OnChange)
    : m_Loop(Loop), m_Log(Log), m_Service(Table), m_Options(Options),
      m_OnChange(std::move(OnChange)), m_Random(Seed) {}

void TableFollower::start() {
  startCall(m_Operators);
  startCall(m_Own);
}

bool TableFollower::hasRead(TableName Table) const {
  return Table == TableName::Operators ? m_Operators.m_HasBeenRead
                                       : m_Own.m_HasBeenRead;
}

bool TableFollower::isReachable(TableName Table) const {
  return Table == TableName::Operators ? m_Operators.m_Reachable
                                       : m_Own.m_Reachable;
}

void TableFollower::apply(const MirroredRow &Row, const char *Source) {
  if (!m_Mirror.apply(Row))
    return;
  m_Log.write(
      LogClass::StateChange,
      LogLine("row_changed")
          .add("table", nameOf(Row.m_Table))
          .add("key", Row.m_Key.value())
          .add("version", static_cast<std::int64_t>(Row.m_Version.value()))
          .add("source", Source));
  m_OnChange(Row);
}

void TableFollower::setWatching(bool Watching) {
  m_Own.m_Watching = Watching;
  if (!Watching || !m_Own.m_Idle)
    return;
  // The changes since the last call may no longer be in the table's history, so
  // it is read again.
  m_Own.m_Position.reset();
  startCall(m_Own);
}

void TableFollower::startCall(FollowedTable &Followed) {
  Followed.m_Idle = Followed.m_Position && !Followed.m_Watching;
  if (Followed.m_Idle)
    return;
  if (!Followed.m_Position)
    m_Service.read(Followed.m_Table,
                   [this, &Followed](const TableServiceReply &Reply) {
                     readDone(Followed, Reply);
                   });
  else
    m_Service.watch(Followed.m_Table, *Followed.m_Position, randomWatchWait(),
                    [this, &Followed](const TableServiceReply &Reply) {
                      watchDone(Followed, Reply);
                    });
}

Duration TableFollower::randomWatchWait() {
  const Duration Range = m_Options.m_MaxWait - m_Options.m_MinWait;
  return m_Options.m_MinWait + Range * (m_Random() % 1024) / 1024;
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
    Followed.m_RetryDelay = Duration::zero();
    return true;
  }
  Followed.m_RetryDelay =
      std::clamp(Followed.m_RetryDelay * 2, m_Options.m_MinRetryDelay,
                 m_Options.m_MaxRetryDelay);
  m_Loop.after(Followed.m_RetryDelay,
               [this, &Followed] { startCall(Followed); });
  return false;
}

void TableFollower::readDone(FollowedTable &Followed,
                             const TableServiceReply &Reply) {
  if (!recordReachability(Followed, Reply))
    return;
  for (const MirroredRow &Row : Reply.m_Rows)
    apply(Row, "read");
  for (const RowKey &Key :
       m_Mirror.removeMissing(Followed.m_Table, Reply.m_Rows, Reply.m_Version))
    m_OnChange({.m_Table = Followed.m_Table,
                .m_Key = Key,
                .m_Version = Reply.m_Version});
  Followed.m_Position = Reply.m_Version;
  Followed.m_HasBeenRead = true;
  startCall(Followed);
}

void TableFollower::watchDone(FollowedTable &Followed,
                              const TableServiceReply &Reply) {
  if (!recordReachability(Followed, Reply))
    return;
  if (Reply.m_CallOutcome == TableCallOutcome::HistoryLost) {
    Followed.m_Position.reset();
    return startCall(Followed);
  }
  for (const MirroredRow &Row : Reply.m_Rows)
    apply(Row, "watch");
  Followed.m_Position = std::max(*Followed.m_Position, Reply.m_Version);
  const Duration Pause = pauseAfter(Reply.m_Rows);
  if (Pause <= Duration::zero())
    return startCall(Followed);
  m_Loop.after(Pause, [this, &Followed] { startCall(Followed); });
}

Duration TableFollower::pauseAfter(const std::vector<MirroredRow> &Rows) const {
  if (m_Options.m_BytesPerSecond <= 0)
    return Duration::zero();
  double Bytes = 0;
  for (const MirroredRow &Row : Rows)
    Bytes += Row.m_Value ? static_cast<double>(Row.m_Value->size()) : 0;
  const Duration Pause(
      static_cast<Duration::rep>(Bytes / m_Options.m_BytesPerSecond * 1e6));
  return Pause < MinPause ? Duration::zero()
                          : std::min(Pause, m_Options.m_MaxPause);
}

} // namespace balsamwheel
