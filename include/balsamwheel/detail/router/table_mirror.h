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
  StoreVersion m_Version;
  /// None when the row was removed in this version.
  std::optional<std::string> m_Value;

  bool operator==(const MirroredRow &) const = default;
};

/// Invariants: the version of a row never decreases, even when older versions
/// arrive late; a row that the store has lost keeps its version of the earlier
/// era until the store has it again or forgetOlderEras() is called.
class TableMirror {
public:
  /// Stores the row if it is newer than the known version.
  /// \returns whether it was.
  bool apply(const MirroredRow &Row);
  /// Removes the rows of a table that a complete read as of \p ReadVersion
  /// lacks, except those of earlier eras: the store has lost these.
  /// \returns the keys of the removed rows.
  std::vector<RowKey> removeMissing(TableName Table,
                                    const std::vector<MirroredRow> &Read,
                                    StoreVersion ReadVersion);
  /// Removes the rows of a table whose versions are of an era before that of
  /// \p Now.
  /// \returns the keys of the removed rows.
  std::vector<RowKey> forgetOlderEras(TableName Table, StoreVersion Now);
  /// Records that all changes of a table up to a version have been applied.
  void markSeen(TableName Table, StoreVersion Version);

  /// Null when the row is unknown or removed.
  const MirroredRow *find(TableName Table, const RowKey &Key) const;
  std::vector<const MirroredRow *> withPrefix(TableName Table,
                                              const std::string &Prefix) const;
  /// Rows with a version above \p Since, including removed ones.
  std::vector<MirroredRow> newerThan(TableName Table, StoreVersion Since) const;
  /// Version up to which all changes have been applied. Single rows, e.g. those
  /// that a commit returns, may be newer.
  StoreVersion seenVersion(TableName Table) const;

private:
  template <typename Predicate>
  std::vector<RowKey> removeIf(TableName Table, StoreVersion RemovedIn,
                               Predicate IsRemoved);

  std::map<std::pair<TableName, RowKey>, MirroredRow> m_Rows;
  std::map<TableName, StoreVersion> m_Seen;
};

} // namespace balsamwheel
