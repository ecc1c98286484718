// The platform's table as used by the router; implemented by adapters.
#pragma once

#include "balsamwheel/detail/router/table_mirror.h"

#include "balsamwheel/detail/core/time.h"

#include <functional>
#include <vector>

namespace balsamwheel {

enum class TableCallOutcome : std::uint8_t {
  Ok,
  /// The condition wasn't met; nothing was written. The reply contains the row
  /// that the condition named.
  Conflict,
  /// The table no longer keeps the changes asked for; it has to be read
  /// completely.
  HistoryLost,
  /// The call failed and changed nothing.
  Refused,
  /// No valid answer: a write may or may not have taken effect, or may still do
  /// so.
  Unanswered,
};

struct TableServiceReply {
  TableCallOutcome m_CallOutcome = TableCallOutcome::Refused;
  std::vector<MirroredRow> m_Rows;
  /// Latest version of the whole store; without an answer that contains one,
  /// only the era is set, to the latest known one.
  StoreVersion m_Version;
  /// The store's clock when it had m_Version; none if the answer shows none.
  std::optional<StoreTime> m_Time;
  /// The reply to a read contains only the first rows.
  bool m_HasMore = false;
  const char *m_Error = "";
};

/// A conditional write to the daemons' own table.
struct OwnRowCommit {
  RowKey m_Key;
  /// Version that the row must have; 0 means that it must not exist. The store
  /// compares it in its present era, see the key of a key map's row.
  RowVersion m_Expected;
  /// False writes the row unconditionally.
  bool m_Conditional = true;
  /// New value; none only checks the condition.
  std::optional<std::string> m_Value;
};

class TableService {
public:
  using OnReply = std::function<void(TableServiceReply)>;

  virtual ~TableService() = default;
  /// Reads a complete table as of one version.
  virtual void read(TableName Table, OnReply Done) = 0;
  /// Waits for changes after a version, for at most \p Wait.
  virtual void watch(TableName Table, RowVersion After, Duration Wait,
                     OnReply Done) = 0;
  virtual void commit(OwnRowCommit Commit, OnReply Done) = 0;
  /// Makes the next calls on new connections: open ones may have failed without
  /// a sign.
  virtual void renewConnections() {}
};

} // namespace balsamwheel
