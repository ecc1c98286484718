// Converts table types to and from JSON.
#include "adapters/platform_http/table_codec.h"

#include <nlohmann/json.hpp>

namespace balsamwheel::platform_http {

namespace {

using Json = nlohmann::json;

Row rowFromJson(const Json &Value) {
  return {.m_Key = RowKey(Value.at("key").get<std::string>()),
          .m_Version = RowVersion(Value.at("version").get<std::uint64_t>()),
          .m_Value = Value.value("value", std::string())};
}

} // namespace

std::string encodeRead(const TableRead &Read) {
  Json Keys = Json::array();
  for (const RowKey &Key : Read.m_Keys)
    Keys.push_back(Key.value());
  return Json{{"keys", std::move(Keys)}, {"prefixes", Read.m_Prefixes}}.dump();
}

std::string encodeCommit(const Transaction &Commit) {
  Json Conditions = Json::array();
  for (const RowCondition &Condition : Commit.m_Conditions)
    Conditions.push_back({{"key", Condition.m_Key.value()},
                          {"version", Condition.m_Version.value()}});
  Json Writes = Json::array();
  for (const RowWrite &Write : Commit.m_Writes)
    Writes.push_back(
        {{"key", Write.m_Key.value()},
         {"value", Write.m_Value ? Json(*Write.m_Value) : Json()}});
  return Json{{"write_id", std::to_string(Commit.m_Id.value())},
              {"conditions", std::move(Conditions)},
              {"writes", std::move(Writes)}}
      .dump();
}

std::optional<std::vector<Row>> decodeRows(const std::string &Text) {
  const Json Document = Json::parse(Text, nullptr, /*allow_exceptions=*/false);
  try {
    std::vector<Row> Result;
    for (const Json &Value : Document.at("rows"))
      Result.push_back(rowFromJson(Value));
    return Result;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace balsamwheel::platform_http
