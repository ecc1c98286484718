// JSON encoding of the head row.
#include "balsamwheel/detail/coordination/head_row.h"

#include <nlohmann/json.hpp>

namespace balsamwheel {

using Json = nlohmann::json;

std::uint64_t HeadRow::counter(const RowKey &Key) const {
  const auto Found = m_Counters.find(Key.value());
  return Found == m_Counters.end() ? 0 : Found->second;
}

std::optional<HeadRow> parseHeadRow(const Row &Stored) {
  HeadRow Result;
  Result.m_Version = Stored.m_Version;
  if (Stored.m_Version.value() == 0)
    return Result;
  const Json Value = Json::parse(Stored.m_Value, nullptr, false);
  if (!Value.is_object() || !Value.contains("rows"))
    return std::nullopt;
  try {
    Value.at("rows").get_to(Result.m_Counters);
  } catch (const Json::exception &) {
    return std::nullopt;
  }
  return Result;
}

void appendHeadUpdate(
    Transaction &Commit, const HeadRow &Current,
    const std::vector<std::pair<RowKey, std::uint64_t>> &Counters) {
  std::map<std::string, std::uint64_t> Rows = Current.m_Counters;
  for (const auto &[Key, Counter] : Counters)
    Rows[Key.value()] = Counter;
  const Json Value = {{"rows", std::move(Rows)},
                      {"write_id", Commit.m_Id.value()}};
  Commit.m_Conditions.push_back({HeadRowKey, Current.m_Version});
  Commit.m_Writes.push_back({HeadRowKey, Value.dump()});
}

WriteId writeIdOf(const std::string &Value) {
  const Json Parsed = Json::parse(Value, nullptr, false);
  if (!Parsed.is_object())
    return WriteId();
  const auto Found = Parsed.find("write_id");
  if (Found == Parsed.end() || !Found->is_number_integer())
    return WriteId();
  return WriteId(Found->get<std::uint64_t>());
}

} // namespace balsamwheel
