// The rows of the platform stand-in: conditional transactions in memory.
#pragma once

#include "balsamwheel/detail/platform/table.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamwheel::bench {

/// Invariant: the version of a row grows with each write, deletions included.
/// Not thread-safe.
class TableStore {
public:
  /// Returns the rows of a read; absent ones with version 0.
  std::vector<Row> read(const TableRead &Read) const;
  /// Applies a transaction whole or not at all.
  TableReply commit(const Transaction &Transaction);

private:
  struct Cell {
    std::uint64_t m_Version = 0;
    std::string m_Value;
    bool m_Present = false;
  };

  Row currentRow(const std::string &Key) const;

  std::map<std::string, Cell> m_Cells;
};

} // namespace balsamwheel::bench
