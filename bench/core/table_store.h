// The table of the platform stand-in: rows in memory, with conditional
// transactions.
#pragma once

#include "balsamwheel/detail/platform/table.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamwheel::bench {

/// Invariant: the version of a row grows with each write, including deletions.
/// Not thread-safe.
class TableStore {
public:
  /// Returns the rows of the keys, absent ones with version 0, then the present
  /// rows of the prefixes.
  std::vector<Row> read(const TableRead &Read) const;
  /// Applies all writes of a transaction if all its conditions hold, otherwise
  /// none. \returns the written rows, or the rows whose condition failed.
  TableReply commit(const Transaction &Transaction);

private:
  struct StoredRow {
    /// Kept when the row is deleted.
    std::uint64_t m_Version = 0;
    std::string m_Value;
    bool m_Present = false;
  };

  Row currentRow(const std::string &Key) const;

  std::map<std::string, StoredRow> m_Rows;
};

} // namespace balsamwheel::bench
