// Mirror of the platform's tables, with a version for each row.
#include "balsamwheel/detail/router/table_mirror.h"

#include <algorithm>

namespace balsamwheel {

bool TableMirror::apply(const MirroredRow &Row) {
  MirroredRow &Known = m_Rows[{Row.m_Table, Row.m_Key}];
  if (Known.m_Version >= Row.m_Version)
    return false;
  Known = Row;
  RowVersion &Seen = m_Seen[Row.m_Table];
  Seen = std::max(Seen, Row.m_Version);
  return true;
}

std::vector<RowKey>
TableMirror::removeMissing(TableName Table,
                           const std::vector<MirroredRow> &Read,
                           RowVersion ReadVersion) {
  std::vector<RowKey> Removed;
  for (auto &[TableAndKey, Row] : m_Rows) {
    const bool Present =
        std::any_of(Read.begin(), Read.end(), [&](const MirroredRow &Each) {
          return Each.m_Key == TableAndKey.second;
        });
    if (TableAndKey.first != Table || Present || !Row.m_Value ||
        Row.m_Version >= ReadVersion)
      continue;
    Row.m_Value.reset();
    Row.m_Version = ReadVersion;
    Removed.push_back(TableAndKey.second);
  }
  return Removed;
}

const MirroredRow *TableMirror::find(TableName Table, const RowKey &Key) const {
  auto Found = m_Rows.find({Table, Key});
  return Found == m_Rows.end() || !Found->second.m_Value ? nullptr
                                                         : &Found->second;
}

std::vector<const MirroredRow *>
TableMirror::withPrefix(TableName Table, const std::string &Prefix) const {
  std::vector<const MirroredRow *> Result;
  for (auto Each = m_Rows.lower_bound({Table, RowKey(Prefix)});
       Each != m_Rows.end() && Each->first.first == Table &&
       Each->first.second.value().starts_with(Prefix);
       ++Each)
    if (Each->second.m_Value)
      Result.push_back(&Each->second);
  return Result;
}

std::vector<MirroredRow> TableMirror::newerThan(TableName Table,
                                                RowVersion Since) const {
  std::vector<MirroredRow> Result;
  for (const auto &[TableAndKey, Row] : m_Rows)
    if (TableAndKey.first == Table && Row.m_Version > Since)
      Result.push_back(Row);
  return Result;
}

RowVersion TableMirror::highestVersion(TableName Table) const {
  auto Found = m_Seen.find(Table);
  return Found == m_Seen.end() ? RowVersion() : Found->second;
}

} // namespace balsamwheel
