// The platform's transactional table as the state machines see it.
#pragma once

#include "balsamwheel/detail/core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

using RowKey = StrongId<struct RowKeyTag, std::string>;

/// Grows with each write of a row; 0 means the row is absent.
using RowVersion = StrongId<struct RowVersionTag, std::uint64_t>;

/// Chosen at random for each transaction. Stored inside the written rows, so
/// that a commit whose answer was lost can be recognised on a re-read.
using WriteId = StrongId<struct WriteIdTag, std::uint64_t>;

struct Row {
  RowKey m_Key;
  RowVersion m_Version;
  std::string m_Value;

  bool operator==(const Row &) const = default;
};

struct RowCondition {
  RowKey m_Key;
  RowVersion m_Version;
};

struct RowWrite {
  RowKey m_Key;
  /// The new value; none deletes the row.
  std::optional<std::string> m_Value;
};

/// Applied whole when every condition holds, else not at all.
struct Transaction {
  WriteId m_Id;
  std::vector<RowCondition> m_Conditions;
  std::vector<RowWrite> m_Writes;
};

/// Rows to read in one snapshot.
struct TableRead {
  std::vector<RowKey> m_Keys;
  std::vector<std::string> m_Prefixes;
};

enum class TableStatus : std::uint8_t {
  Ok,
  /// A condition failed; nothing was written.
  Conflict,
  /// The request did not reach the table; nothing was written.
  Unavailable,
  /// No answer came; the transaction may have been applied, or may yet be.
  Ambiguous,
};

struct TableReply {
  TableStatus m_Status = TableStatus::Unavailable;
  /// A read's rows, the rows that a commit wrote (without values), or the
  /// rows whose conditions failed. Absent rows have version 0.
  std::vector<Row> m_Rows;
};

} // namespace balsamwheel
