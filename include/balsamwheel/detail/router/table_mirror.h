// What this daemon knows of the platform's table, from the table itself or
// passed on by other daemons.
#pragma once

#include "balsamwheel/detail/platform/table.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

/// The tables that are mirrored.
enum class TableName : std::uint8_t {
  /// Written by operators: configuration, evacuations.
  Operators,
  /// Written by the daemons: members, key maps.
  Own,
};

/// One version of a row.
struct MirroredRow {
  TableName m_Table = TableName::Own;
  RowKey m_Key;
  RowVersion m_Version;
  /// None when the row was dropped in this version.
  std::optional<std::string> m_Value;
};

/// Invariant: a row's version never goes back, whatever arrives late.
class TableMirror {
public:
  /// \returns whether the row is newer than what was known of it.
  bool apply(const MirroredRow &Row);
  /// Drops the rows of a table that a whole read as of \p ReadVersion doesn't
  /// hold. \returns the keys that were dropped.
  std::vector<RowKey> dropMissing(TableName Table,
                                  const std::vector<MirroredRow> &Read,
                                  RowVersion ReadVersion);

  /// Null when the row is unknown or dropped.
  const MirroredRow *find(TableName Table, const RowKey &Key) const;
  std::vector<const MirroredRow *> withPrefix(TableName Table,
                                              const std::string &Prefix) const;
  /// Rows with a higher version, dropped ones included.
  std::vector<MirroredRow> newerThan(TableName Table, RowVersion Since) const;
  /// Highest version applied.
  RowVersion seen(TableName Table) const;

private:
  std::map<std::pair<TableName, RowKey>, MirroredRow> m_Rows;
  std::map<TableName, RowVersion> m_Seen;
};

} // namespace balsamwheel
