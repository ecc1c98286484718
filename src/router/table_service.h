// The platform's table as the router needs it; adapters implement it.
#pragma once

#include "balsamwheel/detail/router/table_mirror.h"

#include "balsamwheel/detail/core/time.h"

#include <functional>
#include <vector>

namespace balsamwheel {

enum class TableEnd : std::uint8_t {
  Ok,
  /// A condition failed; nothing was written. The rows of the conditions come
  /// with the reply.
  Conflict,
  /// The changes asked for are no longer kept; read the table whole.
  HistoryLost,
  /// Nothing was done.
  Refused,
  /// No answer: a write may have been done or may yet be.
  Unanswered,
};

struct TableServiceReply {
  TableEnd m_End = TableEnd::Refused;
  std::vector<MirroredRow> m_Rows;
  /// Newest version of the whole store.
  RowVersion m_Version;
  const char *m_Error = "";
};

/// A write to this daemons' own table under a condition.
struct OwnRowCommit {
  RowKey m_Key;
  /// Version that the row must have; 0: it must not exist.
  RowVersion m_Expected;
  /// False leaves the condition on the row out.
  bool m_Conditional = true;
  /// None only checks the condition.
  std::optional<std::string> m_Value;
};

class TableService {
public:
  using OnReply = std::function<void(TableServiceReply)>;

  virtual ~TableService() = default;
  /// Reads a table whole, as of one moment.
  virtual void read(TableName Table, OnReply Done) = 0;
  /// Waits for changes after a version, for at most \p Wait.
  virtual void watch(TableName Table, RowVersion After, Duration Wait,
                     OnReply Done) = 0;
  virtual void commit(OwnRowCommit Commit, OnReply Done) = 0;
};

} // namespace balsamwheel
