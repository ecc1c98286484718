// The head row: one counter for each row whose changes every daemon must learn
// of.
#pragma once

#include "balsamwheel/detail/platform/table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

/// Value: {"rows": {row key: counter}, "write_id": W}. Every transaction that
/// changes membership, the map or the configuration is conditional on this row
/// and writes it, so that all such changes have one total order.
inline const RowKey HeadRowKey{"head"};

struct HeadRow {
  RowVersion m_Version;
  std::map<std::string, std::uint64_t> m_Counters;

  /// The counter of a row, 0 if it was never written.
  std::uint64_t counter(const RowKey &Key) const;
};

/// Parses the head row; an absent row has no counters.
///
/// \returns none when the value is malformed.
std::optional<HeadRow> parseHeadRow(const Row &Stored);

/// Adds to a transaction the condition on the head row and its new value.
///
/// \param Current the head row as last read.
/// \param Counters the new counter of each row that the transaction writes.
void appendHeadUpdate(
    Transaction &Commit, const HeadRow &Current,
    const std::vector<std::pair<RowKey, std::uint64_t>> &Counters);

/// The id of the transaction that wrote a value, 0 if it contains none.
WriteId writeIdOf(const std::string &Value);

} // namespace balsamwheel
