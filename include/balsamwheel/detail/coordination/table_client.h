// Asynchronous reads and commits of the table, each with a callback; finds out
// whether a commit without a reply was applied.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/node/effects.h"
#include "balsamwheel/detail/platform/table.h"

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// Outcome of a commit as reported to the caller.
enum class CommitResult : std::uint8_t {
  Applied,
  /// Not applied, or not known to be: re-read the rows first.
  Refused,
  /// The table is unreachable; the commit may still have been applied.
  Unavailable,
};

class TableClient {
public:
  /// \p Rows is null when the read failed.
  using ReadDone =
      std::function<void(const std::vector<Row> *Rows, TimePoint Now)>;
  /// \p Rows are the written rows with their new versions; empty unless the
  /// commit was applied.
  using CommitDone = std::function<void(
      CommitResult Result, const std::vector<Row> &Rows, TimePoint Now)>;

  explicit TableClient(Effects &Out) : m_Effects(&Out) {}

  void read(TableRead Read, TimePoint Now, ReadDone Done);
  void commit(Transaction Commit, TimePoint Now, CommitDone Done);
  void onReply(TableTicket Ticket, const TableReply &Reply, TimePoint Now);
  /// Handles requests without a reply within the time-out: reads fail, commits
  /// are resolved by reading the rows again.
  void expire(TimePoint Now);

private:
  struct PendingRead {
    ReadDone m_Done;
    TimePoint m_Sent;
  };
  struct PendingCommit {
    Transaction m_Commit;
    CommitDone m_Done;
    TimePoint m_Sent;
  };

  void finishCommit(PendingCommit Pending, const TableReply &Reply,
                    TimePoint Now);
  /// Reads the written rows and looks for the write id of the transaction.
  void resolveAmbiguous(PendingCommit Pending, TimePoint Now);

  Effects *m_Effects;
  std::uint64_t m_LastTicket = 0;
  std::unordered_map<TableTicket, PendingRead> m_Reads;
  std::unordered_map<TableTicket, PendingCommit> m_Commits;
};

} // namespace balsamwheel
