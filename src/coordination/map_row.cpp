// The JSON format of a map row. Each session is listed once; entries refer to
// it by index.
#include "balsamwheel/detail/coordination/map_row.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <unordered_map>

namespace balsamwheel {

namespace {

using Json = nlohmann::json;

/// Numbers the sessions of a row in the order of their first use.
class SessionIndex {
public:
  std::size_t indexOf(SessionId Session) {
    const auto [Found, Inserted] = m_Index.emplace(Session, m_Index.size());
    if (Inserted)
      m_Sessions.push_back(Session.value());
    return Found->second;
  }
  const std::vector<std::uint64_t> &sessions() const { return m_Sessions; }

private:
  std::unordered_map<SessionId, std::size_t> m_Index;
  std::vector<std::uint64_t> m_Sessions;
};

bool parseKey(const RowKey &Key, MapRow &Result) {
  const std::string &Text = Key.value();
  const std::size_t Begin = sizeof(MapRowPrefix) - 1;
  const std::size_t Slash = Text.rfind('/');
  if (!isMapRowKey(Key) || Slash == std::string::npos || Slash <= Begin)
    return false;
  Result.m_Service = ServiceName(Text.substr(Begin, Slash - Begin));
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, Error] =
      std::from_chars(Text.data() + Slash + 1, End, Result.m_Part);
  return Error == std::errc() && ParsedEnd == End;
}

void parseEntries(const Json &Value, MapRow &Result) {
  const auto Sessions = Value.at("sessions").get<std::vector<std::uint64_t>>();
  for (const Json &Fields : Value.at("shards"))
    Result.m_Entries.push_back(
        {.m_Owner = SessionId(Sessions.at(Fields.at(0).get<std::size_t>())),
         .m_Epoch = Epoch(Fields.at(1).get<std::uint64_t>()),
         .m_FormerOwner =
             Fields.size() < 3
                 ? SessionId()
                 : SessionId(Sessions.at(Fields.at(2).get<std::size_t>()))});
}

} // namespace

RowKey mapRowKey(const ServiceName &Service, std::uint32_t Part) {
  return RowKey(MapRowPrefix + Service.value() + "/" + std::to_string(Part));
}

bool isMapRowKey(const RowKey &Key) {
  return Key.value().starts_with(MapRowPrefix);
}

std::string toValue(const MapRow &Map, WriteId Id) {
  SessionIndex Sessions;
  Json Shards = Json::array();
  for (const ShardEntry &Entry : Map.m_Entries) {
    Json Fields = {Sessions.indexOf(Entry.m_Owner), Entry.m_Epoch.value()};
    if (Entry.m_FormerOwner.value() != 0)
      Fields.push_back(Sessions.indexOf(Entry.m_FormerOwner));
    Shards.push_back(std::move(Fields));
  }
  return Json{{"write_id", Id.value()},
              {"counter", Map.m_Counter},
              {"shard_count", Map.m_ShardCount},
              {"sessions", Sessions.sessions()},
              {"shards", std::move(Shards)}}
      .dump();
}

std::optional<MapRow> parseMapRow(const Row &Stored) {
  MapRow Result;
  Result.m_Version = Stored.m_Version;
  if (Stored.m_Version.value() == 0 || !parseKey(Stored.m_Key, Result))
    return std::nullopt;
  const Json Value = Json::parse(Stored.m_Value, nullptr, false);
  try {
    Result.m_Counter = Value.at("counter").get<std::uint64_t>();
    Result.m_ShardCount = Value.at("shard_count").get<std::uint32_t>();
    parseEntries(Value, Result);
  } catch (const std::exception &) {
    return std::nullopt;
  }
  return Result;
}

MapRow makeMapRow(const ServiceName &Service, std::uint32_t Part,
                  std::uint32_t ShardCount) {
  MapRow Result;
  Result.m_Service = Service;
  Result.m_Part = Part;
  Result.m_ShardCount = ShardCount;
  const std::uint32_t Remaining = ShardCount - Part * ShardsPerRow;
  Result.m_Entries.resize(std::min(Remaining, ShardsPerRow));
  return Result;
}

} // namespace balsamwheel
