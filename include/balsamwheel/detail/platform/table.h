// Data types of the platform's transactional table, as used by the state
// machines.
#pragma once

#include "balsamwheel/detail/core/ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

using RowKey = StrongId<struct RowKeyTag, std::string>;

/// Increases with each write of a row; 0 means that the row is absent.
using RowVersion = StrongId<struct RowVersionTag, std::uint64_t>;

/// Number of times that the store has returned to an earlier copy of its rows.
/// Versions are comparable within one era only.
using StoreEra = StrongId<struct StoreEraTag, std::uint64_t>;

/// Version of a row or a table that stays comparable when the store returns to
/// an earlier copy: a later era is newer, whatever the versions are.
struct StoreVersion {
  StoreEra m_Era;
  RowVersion m_Version;

  auto operator<=>(const StoreVersion &) const = default;
};

/// Reading of the store's steady clock, in microseconds.
using StoreTime = StrongId<struct StoreTimeTag, std::int64_t>;

/// Random id of a transaction. Stored in the rows that it writes, so that a
/// commit whose reply was lost can be recognised when the rows are read again.
using WriteId = StrongId<struct WriteIdTag, std::uint64_t>;

struct Row {
  RowKey m_Key;
  RowVersion m_Version;
  std::string m_Value;

  bool operator==(const Row &) const = default;
};

/// Holds while the row has this version; version 0 requires it to be absent.
struct RowCondition {
  RowKey m_Key;
  RowVersion m_Version;
};

struct RowWrite {
  RowKey m_Key;
  /// The new value; none deletes the row.
  std::optional<std::string> m_Value;
};

/// Applied completely when every condition holds, otherwise not at all.
struct Transaction {
  WriteId m_Id;
  std::vector<RowCondition> m_Conditions;
  std::vector<RowWrite> m_Writes;
};

/// Keys and key prefixes of the rows to read in one snapshot.
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
  /// There was no reply; the transaction may have been applied or may be
  /// applied later.
  Ambiguous,
};

struct TableReply {
  TableStatus m_Status = TableStatus::Unavailable;
  /// For a read, the rows read; for a commit, the rows written (without values)
  /// or the rows whose conditions failed. Absent rows have version 0.
  std::vector<Row> m_Rows;
};

} // namespace balsamwheel
