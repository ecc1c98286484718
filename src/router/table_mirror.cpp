// Mirror of the platform's tables, with a version for each row.
#include "balsamwheel/detail/router/table_mirror.h"

#include <algorithm>

namespace balsamwheel {

bool TableMirror::apply(const MirroredRow &Row) {
  MirroredRow &Known = m_Rows[{Row.m_Table, Row.m_Key}];
  if (Known.m_Version >= Row.m_Version)
    return false;
  Known = Row;
  return true;
}

void TableMirror::markSeen(TableName Table, StoreVersion Version) {
  StoreVersion &Seen = m_Seen[Table];
  Seen = std::max(Seen, Version);
}

template <typename Predicate>
std::vector<RowKey> TableMirror::removeIf(TableName Table,
                                          StoreVersion RemovedIn,
                                          Predicate IsRemoved) {
  std::vector<RowKey> Removed;
  for (auto &[TableAndKey, Row] : m_Rows) {
    if (TableAndKey.first != Table || !Row.m_Value || !IsRemoved(Row))
      continue;
    Row.m_Value.reset();
    Row.m_Version = RemovedIn;
    Removed.push_back(TableAndKey.second);
  }
  return Removed;
}

std::vector<RowKey>
TableMirror::removeMissing(TableName Table,
                           const std::vector<MirroredRow> &Read,
                           StoreVersion ReadVersion) {
  return removeIf(Table, ReadVersion, [&](const MirroredRow &Row) {
    return Row.m_Version.m_Era == ReadVersion.m_Era &&
           Row.m_Version < ReadVersion &&
           std::none_of(
               Read.begin(), Read.end(),
               [&](const MirroredRow &Each) {
                 return Each.m_Key == Row.m_Key;
               });
  });
}

std::vector<RowKey> TableMirror::forgetOlderEras(TableName Table,
                                                 StoreVersion Now) {
  return removeIf(Table, Now, [&](const MirroredRow &Row) {
    return Row.m_Version.m_Era < Now.m_Era;
  });
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
                                                StoreVersion Since) const {
  std::vector<MirroredRow> Result;
  for (const auto &[TableAndKey, Row] : m_Rows)
    if (TableAndKey.first == Table && Row.m_Version > Since)
      Result.push_back(Row);
  return Result;
}

StoreVersion TableMirror::seenVersion(TableName Table) const {
  auto Found = m_Seen.find(Table);
  return Found == m_Seen.end() ? StoreVersion() : Found->second;
}

} // namespace balsamwheel
