// This daemon's copy of the platform's tables, received from the table itself
// or from other daemons.
#pragma once

#include "balsamwheel/detail/platform/table.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

/// The tables that are mirrored.
enum class TableName : std::uint8_t {
  /// Written by operators: configuration and evacuations.
  Operators,
  /// Written by the daemons: members and key maps.
  Own,
};

/// One version of a row.
struct MirroredRow {
  TableName m_Table = TableName::Own;
  RowKey m_Key;
  RowVersion m_Version;
  /// None when the row was removed in this version.
  std::optional<std::string> m_Value;
};

/// Invariant: the version of a row never decreases, even when older versions
/// arrive late.
class TableMirror {
public:
  /// Stores the row if it is newer than the known version.
  /// \returns whether it was.
  bool apply(const MirroredRow &Row);
  /// Removes the rows of a table that a complete read as of \p ReadVersion
  /// lacks.
  /// \returns the keys of the removed rows.
  std::vector<RowKey> removeMissing(TableName Table,
                                    const std::vector<MirroredRow> &Read,
                                    RowVersion ReadVersion);

  /// Null when the row is unknown or removed.
  const MirroredRow *find(TableName Table, const RowKey &Key) const;
  std::vector<const MirroredRow *> withPrefix(TableName Table,
                                              const std::string &Prefix) const;
  /// Rows with a version above \p Since, including removed ones.
  std::vector<MirroredRow> newerThan(TableName Table, RowVersion Since) const;
  /// Highest version of all rows applied.
  RowVersion highestVersion(TableName Table) const;

private:
  std::map<std::pair<TableName, RowKey>, MirroredRow> m_Rows;
  std::map<TableName, RowVersion> m_Seen;
};

} // namespace balsamwheel
