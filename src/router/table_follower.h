// Keeps the mirror of the platform's tables up to date, from the tables
// themselves and, while they are unreachable, from other daemons.
#pragma once

#include "event_log.h"
#include "row_ages.h"
#include "table_service.h"

#include <pcg_random.hpp>

namespace balsamwheel {

/// How a daemon learns of the changes of a table.
enum class FollowMode : std::uint8_t {
  /// From the table itself.
  Watch,
  /// Likewise; others get them from this daemon, so that each watch is short.
  WatchForOthers,
  /// From daemons that watch the table.
  FromPeers,
};

struct TableFollowerOptions {
  /// Each watch waits for a change for a random time, at most this long and at
  /// least a quarter of it, so that the watches of many daemons end at
  /// different times. A connection that has failed silently is noticed when the
  /// time has passed.
  Duration m_MaxWait = std::chrono::seconds(8);
  /// Mean time between the ends of two watches of different daemons: the fewer
  /// there are, the shorter their watches.
  Duration m_WatchSpacing = std::chrono::milliseconds(360);
  /// Of a watch that others rely on.
  Duration m_WaitForOthers = std::chrono::seconds(1);
  /// Of the first watch after others have read the table: an open connection
  /// may have failed silently meanwhile, and a change may be overdue.
  Duration m_FirstWait = std::chrono::milliseconds(100);
  Duration m_MinRetryDelay = std::chrono::milliseconds(150);
  Duration m_MaxRetryDelay = std::chrono::milliseconds(1200);
  /// Bandwidth for reading changes, in bytes per second; 0 means no limit.
  /// Large rows that change often are then read less often.
  double m_BytesPerSecond = 0;
  /// Maximum delay between two watches because of the bandwidth limit.
  Duration m_MaxPause = std::chrono::milliseconds(500);
  /// Delay between two watches of the daemons' own table after a change.
  /// Daemons also tell each other of their changes.
  Duration m_OwnTablePause = std::chrono::milliseconds(400);
};

/// Invariants: a position is used only in the era that it was read in; the
/// first read of a table in an era is complete.
class TableFollower {
public:
  using OnRow = std::function<void(const MirroredRow &)>;
  /// A table has been read completely for the first time in the era.
  using OnRead = std::function<void(TableName, StoreEra)>;
  /// A watch for others has succeeded, and its changes have been applied.
  using OnWatched = std::function<void(TableName)>;

  TableFollower(EventLoop &Loop, EventLog &Log, TableService &Table,
                TableFollowerOptions Options, std::uint64_t Seed,
                OnRow OnChange, OnRead OnFirstRead = {},
                OnWatched OnWatchDone = {});

  void start();
  /// Reports an era that another daemon or the reply to a commit has shown. If
  /// it is new, both tables are read again: versions of earlier eras say
  /// nothing about the rows any more.
  void noteEra(StoreEra Era);
  /// Latest known era.
  StoreEra era() const { return m_Era; }
  /// Removes the rows of a table that the store has lost and that nobody has
  /// written again.
  void forgetLostRows(TableName Table);
  /// Sets how this daemon learns of the changes of a table. Most get them from
  /// a few that watch it, so that a change doesn't cost a call by each daemon.
  void setMode(TableName Table, FollowMode Mode);
  /// Sets how many daemons watch the operators' table.
  void setWatchers(std::size_t Count) { m_Watchers = Count; }
  /// Tests whether the table is reachable, if it isn't watched: another call to
  /// it has failed. Until it is, it counts as unreachable.
  void probe(TableName Table);
  /// Reads the table anew on a new connection, instead of a watch in progress:
  /// others know newer rows. Pauses for the bandwidth are kept. Ignored while
  /// the table is being read.
  void readNewer(TableName Table);
  /// Reports the version of the operators' table that another daemon knows.
  void noteHeard(StoreVersion Operators) {
    m_Heard = std::max(m_Heard, Operators);
  }
  /// Whether this daemon watches the table and has reached it.
  bool follows(TableName Table) const {
    return !followed(Table).m_Idle && followed(Table).m_Reachable;
  }
  /// Applies a row that another daemon has sent or a commit has returned.
  /// \param Source where the row comes from, for the log.
  /// \returns false when the known row is as new.
  bool apply(const MirroredRow &Row, const char *Source);
  /// Reports that all changes of a table up to a version have been applied.
  void markSeen(TableName Table, StoreVersion Version) {
    m_Mirror.markSeen(Table, Version);
  }
  /// Version up to which all changes of a table are known, in the latest era;
  /// none while it has to be read.
  std::optional<StoreVersion> position(TableName Table) const {
    return followed(Table).m_Position;
  }
  /// Reports that this daemon knows all changes of a table up to a version of
  /// the latest era.
  void advance(TableName Table, StoreVersion Position);
  /// A version and a time of the store.
  struct Current {
    StoreVersion m_Position;
    StoreTime m_At;
  };
  /// The last version up to which this daemon itself has read all changes of
  /// the operators' table, and when it was the latest; none while it is read by
  /// others.
  std::optional<Current> current() const;
  /// Reports that another daemon has read all changes of the operators' table
  /// up to a version, and when it was the latest.
  void notePeerCurrent(const Current &Read);
  /// Returns a time before which this version of an operators' row wasn't
  /// written; none when it may have been there for any time.
  std::optional<TimePoint> writtenAfter(StoreVersion Row) const {
    return m_Ages.writtenAfter(Row, m_Loop.now());
  }
  /// Returns a time of this daemon's clock at or before the moment at which the
  /// store's clock showed \p Time; none while that can't be told.
  std::optional<TimePoint> earliest(StoreTime Time) const {
    return m_Ages.earliest(Time, m_Loop.now());
  }
  const TableMirror &mirror() const { return m_Mirror; }
  /// Whether the table has been read completely in the latest known era.
  bool hasRead(TableName Table) const;
  /// Whether the last call to the table succeeded.
  bool isReachable(TableName Table) const;

private:
  struct FollowedTable {
    TableName m_Table;
    /// Version after which changes are watched for; none while the table has to
    /// be read first.
    std::optional<StoreVersion> m_Position;
    /// Era of the last complete read.
    std::optional<StoreEra> m_ReadEra;
    /// Number of the current call; replies to earlier ones are discarded.
    std::uint64_t m_Call = 0;
    bool m_Reachable = false;
    Duration m_RetryDelay{0};
    FollowMode m_Mode = FollowMode::Watch;
    /// No call is in progress or scheduled.
    bool m_Idle = false;
    /// No watch has succeeded since the table was idle.
    bool m_Resumed = false;
    /// The next call, or the one in progress, reads the table although its
    /// changes could be watched for.
    bool m_Rereads = false;
    /// The next call has to wait until then for the bandwidth.
    TimePoint m_PausedUntil;
    TimePoint m_CallStartedAt;
  };

  FollowedTable &followed(TableName Table) {
    return Table == TableName::Operators ? m_Operators : m_Own;
  }
  const FollowedTable &followed(TableName Table) const {
    return Table == TableName::Operators ? m_Operators : m_Own;
  }
  void startCall(FollowedTable &Followed);
  void startCallAfter(FollowedTable &Followed, Duration Delay);
  /// Starts the next call when the pause has passed. A watch returns each
  /// version of a row that was written meanwhile, a read only the last one: it
  /// is chosen if there is a newer one.
  void startCallAfterPause(FollowedTable &Followed);
  /// Gives up the current call and reads the table again.
  void readAgain(FollowedTable &Followed);
  void applyAll(FollowedTable &Followed, const std::vector<MirroredRow> &Rows,
                const char *Source);
  /// Dates the rows of the table by a reply that contains all rows up to its
  /// version.
  void noteCurrent(const FollowedTable &Followed,
                   const TableServiceReply &Reply);
  Duration watchWait(const FollowedTable &Followed);
  /// Continues to follow a table that was idle, from the version up to which
  /// all changes are known.
  void resume(FollowedTable &Followed);
  /// Delay after a reply with \p Rows for the bandwidth.
  Duration bandwidthPause(const std::vector<MirroredRow> &Rows) const;
  /// Delay before the next watch, after one that returned \p Rows.
  Duration pauseAfter(const FollowedTable &Followed,
                      const std::vector<MirroredRow> &Rows) const;
  void readDone(FollowedTable &Followed, const TableServiceReply &Reply);
  void watchDone(FollowedTable &Followed, const TableServiceReply &Reply);
  /// Records whether the table was reachable; schedules a retry if not.
  /// \returns whether the call succeeded.
  bool recordReachability(FollowedTable &Followed,
                          const TableServiceReply &Reply);

  EventLoop &m_Loop;
  EventLog &m_Log;
  TableService &m_Service;
  TableFollowerOptions m_Options;
  OnRow m_OnChange;
  OnRead m_OnFirstRead;
  OnWatched m_OnWatchDone;
  TableMirror m_Mirror;
  RowAges m_Ages;
  std::optional<Current> m_Current;
  /// Latest version of the operators' table that others have reported.
  StoreVersion m_Heard;
  std::size_t m_Watchers = 1;
  pcg32 m_Random;
  StoreEra m_Era;
  FollowedTable m_Operators{.m_Table = TableName::Operators};
  FollowedTable m_Own{.m_Table = TableName::Own};
};

} // namespace balsamwheel
