// Reading and watching the platform's tables.
#include "table_follower.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Shorter delays are skipped.
constexpr Duration ShortestPause = std::chrono::milliseconds(20);

const char *nameOf(TableName Table) {
  return Table == TableName::Operators ? "operators" : "own";
}

} // namespace

TableFollower::TableFollower(EventLoop &Loop, EventLog &Log,
                             TableService &Table, TableFollowerOptions Options,
                             std::uint64_t Seed, OnRow Changed)
    : m_Loop(Loop), m_Log(Log), m_Service(Table), m_Options(Options),
      m_Changed(std::move(Changed)), m_Random(Seed) {}

void TableFollower::start() {
  next(m_Operators);
  next(m_Own);
}

bool TableFollower::hasRead(TableName Table) const {
  return Table == TableName::Operators ? m_Operators.m_EverRead
                                       : m_Own.m_EverRead;
}

bool TableFollower::isReachable(TableName Table) const {
  return Table == TableName::Operators ? m_Operators.m_Reachable
                                       : m_Own.m_Reachable;
}

void TableFollower::apply(const MirroredRow &Row, const char *Source) {
  if (!m_Mirror.apply(Row))
    return;
  m_Log.write(LogClass::Belief, LogLine("row_changed")
                                    .add("table", nameOf(Row.m_Table))
                                    .add("key", Row.m_Key.value())
                                    .add("version", static_cast<std::int64_t>(
                                                        Row.m_Version.value()))
                                    .add("source", Source));
  m_Changed(Row);
}

void TableFollower::setWatching(bool Watching) {
  m_Own.m_Watching = Watching;
  if (!Watching || !m_Own.m_Resting)
    return;
  // The changes since the last call may no longer be in the table's history, so
  // it is read again.
  m_Own.m_Position.reset();
  next(m_Own);
}

void TableFollower::next(Followed &Of) {
  Of.m_Resting = Of.m_Position && !Of.m_Watching;
  if (Of.m_Resting)
    return;
  if (!Of.m_Position)
    m_Service.read(Of.m_Table, [this, &Of](const TableServiceReply &Reply) {
      readDone(Of, Reply);
    });
  else
    m_Service.watch(
        Of.m_Table, *Of.m_Position, watchWait(),
        [this, &Of](const TableServiceReply &Reply) { watchDone(Of, Reply); });
}

Duration TableFollower::watchWait() {
  const Duration Range = m_Options.m_LongestWait - m_Options.m_ShortestWait;
  return m_Options.m_ShortestWait + Range * (m_Random() % 1024) / 1024;
}

bool TableFollower::settle(Followed &Of, const TableServiceReply &Reply) {
  const bool Reached =
      Reply.m_End == TableEnd::Ok || Reply.m_End == TableEnd::HistoryLost;
  if (Reached != Of.m_Reachable)
    m_Log.write(LogClass::Belief,
                LogLine(Reached ? "table_regained" : "table_lost")
                    .add("table", nameOf(Of.m_Table))
                    .add("error", Reply.m_Error));
  Of.m_Reachable = Reached;
  if (Reached) {
    Of.m_Pause = Duration::zero();
    return true;
  }
  Of.m_Pause = std::clamp(Of.m_Pause * 2, m_Options.m_FirstRetry,
                          m_Options.m_LongestRetry);
  m_Loop.after(Of.m_Pause, [this, &Of] { next(Of); });
  return false;
}

void TableFollower::readDone(Followed &Of, const TableServiceReply &Reply) {
  if (!settle(Of, Reply))
    return;
  for (const MirroredRow &Row : Reply.m_Rows)
    apply(Row, "read");
  for (const RowKey &Key :
       m_Mirror.dropMissing(Of.m_Table, Reply.m_Rows, Reply.m_Version))
    m_Changed(
        {.m_Table = Of.m_Table, .m_Key = Key, .m_Version = Reply.m_Version});
  Of.m_Position = Reply.m_Version;
  Of.m_EverRead = true;
  next(Of);
}

void TableFollower::watchDone(Followed &Of, const TableServiceReply &Reply) {
  if (!settle(Of, Reply))
    return;
  if (Reply.m_End == TableEnd::HistoryLost) {
    Of.m_Position.reset();
    return next(Of);
  }
  for (const MirroredRow &Row : Reply.m_Rows)
    apply(Row, "watch");
  Of.m_Position = std::max(*Of.m_Position, Reply.m_Version);
  const Duration Pause = pauseAfter(Reply.m_Rows);
  if (Pause <= Duration::zero())
    return next(Of);
  m_Loop.after(Pause, [this, &Of] { next(Of); });
}

Duration TableFollower::pauseAfter(const std::vector<MirroredRow> &Rows) const {
  if (m_Options.m_BytesPerSecond <= 0)
    return Duration::zero();
  double Bytes = 0;
  for (const MirroredRow &Row : Rows)
    Bytes += Row.m_Value ? static_cast<double>(Row.m_Value->size()) : 0;
  const Duration Pause(
      static_cast<Duration::rep>(Bytes / m_Options.m_BytesPerSecond * 1e6));
  return Pause < ShortestPause ? Duration::zero()
                               : std::min(Pause, m_Options.m_LongestPause);
}

} // namespace balsamwheel
