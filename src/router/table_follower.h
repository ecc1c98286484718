// Keeps the mirror of the platform's tables up to date, from the table itself
// and, while that can't be reached, from other daemons.
#pragma once

#include "event_log.h"
#include "table_service.h"

#include <pcg_random.hpp>

namespace balsamwheel {

struct TableFollowerOptions {
  /// Time that one watch waits for a change: between these, so that the watches
  /// of many daemons end at different times. A watch whose connection has gone
  /// silent is noticed after it.
  Duration m_ShortestWait = std::chrono::seconds(2);
  Duration m_LongestWait = std::chrono::seconds(8);
  Duration m_FirstRetry = std::chrono::milliseconds(150);
  Duration m_LongestRetry = std::chrono::milliseconds(1200);
  /// Bytes a second that changes may take of the machine's link; 0 means no
  /// limit. Large rows that change often are then read less often.
  double m_BytesPerSecond = 0;
  /// Longest pause between two watches for that.
  Duration m_LongestPause = std::chrono::milliseconds(700);
};

class TableFollower {
public:
  using OnRow = std::function<void(const MirroredRow &)>;

  TableFollower(EventLoop &Loop, EventLog &Log, TableService &Table,
                TableFollowerOptions Options, std::uint64_t Seed,
                OnRow Changed);

  void start();
  /// Whether this daemon watches the own table itself. Others learn changes
  /// from those who do, so that a change doesn't cost a call for each daemon.
  void setWatching(bool Watching);
  /// Applies a row that another daemon passed on, or a reply to a commit.
  void apply(const MirroredRow &Row, const char *Source);
  const TableMirror &mirror() const { return m_Mirror; }
  /// Whether the table has been read since the start.
  bool hasRead(TableName Table) const;
  /// Whether the last call about the table succeeded.
  bool isReachable(TableName Table) const;

private:
  struct Followed {
    TableName m_Table;
    /// Changes after it are watched for; none before the table has been read.
    std::optional<RowVersion> m_Position;
    bool m_EverRead = false;
    bool m_Reachable = false;
    Duration m_Pause{0};
    bool m_Watching = true;
    /// No call is under way or planned.
    bool m_Resting = false;
  };

  Followed &of(TableName Table) {
    return Table == TableName::Operators ? m_Operators : m_Own;
  }
  void next(Followed &Of);
  Duration watchWait();
  /// Until the next watch, after one that brought \p Rows.
  Duration pauseAfter(const std::vector<MirroredRow> &Rows) const;
  void readDone(Followed &Of, const TableServiceReply &Reply);
  void watchDone(Followed &Of, const TableServiceReply &Reply);
  /// \returns whether the call succeeded; else it is repeated later.
  bool settle(Followed &Of, const TableServiceReply &Reply);

  EventLoop &m_Loop;
  EventLog &m_Log;
  TableService &m_Service;
  TableFollowerOptions m_Options;
  OnRow m_Changed;
  TableMirror m_Mirror;
  pcg32 m_Random;
  Followed m_Operators{.m_Table = TableName::Operators};
  Followed m_Own{.m_Table = TableName::Own};
};

} // namespace balsamwheel
