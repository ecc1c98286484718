// Conditional transactions on a map of rows.
#include "bench/core/table_store.h"

namespace balsamwheel::bench {

Row TableStore::currentRow(const std::string &Key) const {
  const auto Found = m_Rows.find(Key);
  if (Found == m_Rows.end() || !Found->second.m_Present)
    return {.m_Key = RowKey(Key), .m_Version = RowVersion(0), .m_Value = ""};
  return {.m_Key = RowKey(Key),
          .m_Version = RowVersion(Found->second.m_Version),
          .m_Value = Found->second.m_Value};
}

std::vector<Row> TableStore::read(const TableRead &Read) const {
  std::vector<Row> Rows;
  Rows.reserve(Read.m_Keys.size());
  for (const RowKey &Key : Read.m_Keys)
    Rows.push_back(currentRow(Key.value()));
  for (const std::string &Prefix : Read.m_Prefixes)
    for (auto StoredRow = m_Rows.lower_bound(Prefix);
         StoredRow != m_Rows.end() && StoredRow->first.starts_with(Prefix);
         ++StoredRow)
      if (StoredRow->second.m_Present)
        Rows.push_back(currentRow(StoredRow->first));
  return Rows;
}

TableReply TableStore::commit(const Transaction &Transaction) {
  TableReply Reply;
  for (const RowCondition &Condition : Transaction.m_Conditions) {
    Row Current = currentRow(Condition.m_Key.value());
    if (Current.m_Version != Condition.m_Version)
      Reply.m_Rows.push_back(std::move(Current));
  }
  if (!Reply.m_Rows.empty()) {
    Reply.m_Status = TableStatus::Conflict;
    return Reply;
  }
  for (const RowWrite &Write : Transaction.m_Writes) {
    StoredRow &Updated = m_Rows[Write.m_Key.value()];
    ++Updated.m_Version;
    Updated.m_Present = Write.m_Value.has_value();
    Updated.m_Value = Write.m_Value.value_or("");
    Reply.m_Rows.push_back({.m_Key = Write.m_Key,
                            .m_Version = RowVersion(Updated.m_Version),
                            .m_Value = ""});
  }
  Reply.m_Status = TableStatus::Ok;
  return Reply;
}

} // namespace balsamwheel::bench
