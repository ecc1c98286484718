// Reads and commits with a continuation each; settles commits whose answer
// was lost.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/node/effects.h"
#include "balsamwheel/detail/platform/table.h"

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

enum class CommitResult : std::uint8_t {
  Applied,
  /// Not applied, or not known to be: re-read before anything else.
  Refused,
  /// The table is out of reach.
  Unavailable,
};

class TableClient {
public:
  /// Called with none when the read failed.
  using ReadDone =
      std::function<void(const std::vector<Row> *Rows, TimePoint Now)>;
  /// Called with the rows as written, their versions included.
  using CommitDone = std::function<void(
      CommitResult Result, const std::vector<Row> &Rows, TimePoint Now)>;

  explicit TableClient(Effects &Out) : m_Effects(&Out) {}

  void read(TableRead Read, TimePoint Now, ReadDone Done);
  void commit(Transaction Commit, TimePoint Now, CommitDone Done);
  void onReply(TableTicket Ticket, const TableReply &Reply, TimePoint Now);
  /// Gives up on requests that the table has not answered for long.
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
  void resolveAmbiguous(PendingCommit Pending, TimePoint Now);

  Effects *m_Effects;
  std::uint64_t m_LastTicket = 0;
  std::unordered_map<TableTicket, PendingRead> m_Reads;
  std::unordered_map<TableTicket, PendingCommit> m_Commits;
};

} // namespace balsamwheel
