// Commands that show the state of the deployment, read from the table.
#include "cli/view_commands.h"

#include "balsamwheel/detail/coordination/map_row.h"
#include "balsamwheel/detail/core/hash.h"
#include "cli/cluster_rows.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace balsamwheel::cli {

namespace {

using Json = nlohmann::json;

bool isOut(const Config &Known, const DomainName &Name) {
  return std::ranges::binary_search(Known.m_DomainsOut, Name);
}

const Member *findSession(const ClusterRows &Rows, SessionId Session) {
  for (const GroupMember &Value : Rows.m_Members)
    if (Value.m_Member.m_Session == Session)
      return &Value.m_Member;
  return nullptr;
}

std::string stateOf(const ClusterRows &Rows, const Member &Value) {
  if (isOut(Rows.m_Config, Value.m_Domain))
    return "domain out";
  if (std::ranges::binary_search(Rows.m_Config.m_Draining, Value.m_Instance))
    return "draining";
  if (Value.m_Leaving)
    return "leaving";
  return Value.m_Service.value().empty() ? "no target" : "in service";
}

Json memberJson(const ClusterRows &Rows, const Member &Value) {
  return {{"instance", Value.m_Instance.value()},
          {"domain", Value.m_Domain.value()},
          {"service", Value.m_Service.value()},
          {"state", stateOf(Rows, Value)},
          {"config_applied", Value.m_ConfigApplied.value()},
          {"callers", Value.m_CallerAddress},
          {"session", std::to_string(Value.m_Session.value())}};
}

/// Reads the shard map of one service; none if the table can't be reached.
/// Malformed rows are skipped.
std::optional<std::vector<MapRow>> readMap(TableSession &Table,
                                           const ServiceName &Service) {
  const auto Rows = Table.read(
      {.m_Keys = {}, .m_Prefixes = {MapRowPrefix + Service.value() + "/"}});
  if (!Rows)
    return std::nullopt;
  std::vector<MapRow> Result;
  for (const Row &Stored : *Rows)
    if (auto Map = parseMapRow(Stored))
      Result.push_back(std::move(*Map));
  return Result;
}

const ShardEntry *findEntry(const std::vector<MapRow> &Map, ShardIndex Shard) {
  const std::uint32_t Part = Shard.value() / ShardsPerRow;
  const std::uint32_t Place = Shard.value() % ShardsPerRow;
  for (const MapRow &Value : Map)
    if (Value.m_Part == Part && Place < Value.m_Entries.size())
      return &Value.m_Entries[Place];
  return nullptr;
}

std::string ownerName(const ClusterRows &Rows, SessionId Session) {
  const Member *Owner = findSession(Rows, Session);
  if (Owner != nullptr)
    return Owner->m_Instance.value();
  return Session == SessionId() ? "none" : "lost";
}

/// Counts the shards of one service by owner.
CommandResult ownersOf(const ClusterRows &Rows, const Service &Requested,
                       const std::vector<MapRow> &Map) {
  std::map<std::string, std::size_t> Counts;
  std::size_t Unsettled = 0;
  for (const MapRow &Part : Map)
    for (const ShardEntry &Entry : Part.m_Entries) {
      ++Counts[ownerName(Rows, Entry.m_Owner)];
      Unsettled += Entry.m_FormerOwner != SessionId() ? 1 : 0;
    }
  CommandResult Result;
  std::ostringstream Text;
  Text << Requested.m_Name.value() << ": " << Requested.m_Shards << " shards, "
       << Unsettled << " being handed over";
  Json Owners = Json::object();
  for (const auto &[Name, Count] : Counts) {
    Text << "\n  " << Name << " " << Count;
    Owners[Name] = Count;
  }
  Result.m_Text = Text.str();
  Result.m_Json = {{"shards", Requested.m_Shards},
                   {"unsettled", Unsettled},
                   {"owners", std::move(Owners)}};
  return Result;
}

std::string explainRoute(const ClusterRows &Rows, const ShardEntry &Entry) {
  if (Entry.m_Owner == SessionId())
    return "no owner was assigned yet";
  const Member *Owner = findSession(Rows, Entry.m_Owner);
  if (Owner == nullptr)
    return "the owner was lost; an heir is about to be assigned";
  if (findSession(Rows, Entry.m_FormerOwner) != nullptr)
    return "handed over from " + ownerName(Rows, Entry.m_FormerOwner) +
           ", which may still finish requests";
  return "assigned by the map";
}

} // namespace

CommandResult showStatus(const CommonOptions &Common) {
  TableSession Table(Common.m_Platform, Common.m_TableLimit);
  ClusterRows Rows;
  if (const std::error_code Error = readCluster(Table, Rows))
    return failure(Error);
  const ConfigVersion Version = Rows.m_Config.m_Version;
  const auto Lagging = findLagging(Rows.m_Members, Version);
  std::ostringstream Text;
  Text << "configuration version " << Version.value() << ", "
       << Rows.m_Members.size() - Lagging.size() << " of "
       << Rows.m_Members.size() << " instances have applied it";
  CommandResult Result;
  Result.m_Json = {{"version", Version.value()},
                   {"in_force", Lagging.empty()},
                   {"lagging", Lagging.size()},
                   {"instances", Json::array()},
                   {"domains", Json::object()}};
  for (const FailureDomain &Domain : Rows.m_Config.m_Manifest.m_Domains) {
    const char *State = isOut(Rows.m_Config, Domain.m_Name) ? "out" : "in";
    Text << "\ndomain " << Domain.m_Name.value() << " " << State;
    Result.m_Json["domains"][Domain.m_Name.value()] = State;
  }
  std::ranges::sort(Rows.m_Members, {}, [](const GroupMember &Value) {
    return Value.m_Member.m_Instance;
  });
  for (const GroupMember &Value : Rows.m_Members) {
    const Member &Shown = Value.m_Member;
    Text << "\ninstance " << Shown.m_Instance.value() << " domain "
         << Shown.m_Domain.value() << " service "
         << (Shown.m_Service.value().empty() ? "-" : Shown.m_Service.value())
         << " version " << Shown.m_ConfigApplied.value() << ": "
         << stateOf(Rows, Shown);
    Result.m_Json["instances"].push_back(memberJson(Rows, Shown));
  }
  Result.m_Text = Text.str();
  return Result;
}

CommandResult showOwners(const CommonOptions &Common,
                         const std::string &Service) {
  TableSession Table(Common.m_Platform, Common.m_TableLimit);
  ClusterRows Rows;
  if (const std::error_code Error = readCluster(Table, Rows))
    return failure(Error);
  CommandResult Result;
  for (const auto &Candidate : Rows.m_Config.m_Manifest.m_Services) {
    if (!Candidate.m_DividedByKey ||
        (!Service.empty() && Candidate.m_Name.value() != Service))
      continue;
    const auto Map = readMap(Table, Candidate.m_Name);
    if (!Map)
      return failure(CliError::Unreachable, "");
    CommandResult ServiceResult = ownersOf(Rows, Candidate, *Map);
    Result.m_Text += (Result.m_Text.empty() ? "" : "\n") + ServiceResult.m_Text;
    Result.m_Json[Candidate.m_Name.value()] = std::move(ServiceResult.m_Json);
  }
  if (Result.m_Text.empty())
    return failure(CliError::InvalidInput,
                   "no service divided by key is named '" + Service + "'");
  return Result;
}

CommandResult showRoute(const CommonOptions &Common, const std::string &Service,
                        const std::string &Key) {
  TableSession Table(Common.m_Platform, Common.m_TableLimit);
  ClusterRows Rows;
  if (const std::error_code Error = readCluster(Table, Rows))
    return failure(Error);
  const ServiceName Name(Service);
  const auto *Known = Rows.m_Config.m_Manifest.findService(Name);
  if (Known == nullptr || !Known->m_DividedByKey)
    return failure(CliError::InvalidInput,
                   "no service divided by key is named '" + Service + "'");
  const auto Map = readMap(Table, Name);
  if (!Map)
    return failure(CliError::Unreachable, "");
  const ShardIndex Shard = shardOf(hashKey(Key), Known->m_Shards);
  const ShardEntry *Entry = findEntry(*Map, Shard);
  const ShardEntry Found = Entry != nullptr ? *Entry : ShardEntry{};
  const Member *Owner = findSession(Rows, Found.m_Owner);
  CommandResult Result;
  Result.m_Json = {{"service", Service},
                   {"key", Key},
                   {"shard", Shard.value()},
                   {"owner", ownerName(Rows, Found.m_Owner)},
                   {"address", Owner ? Owner->m_CallerAddress : ""},
                   {"epoch", Found.m_Epoch.value()},
                   {"why", explainRoute(Rows, Found)}};
  std::ostringstream Text;
  Text << "shard " << Shard.value() << " owner "
       << ownerName(Rows, Found.m_Owner) << " epoch " << Found.m_Epoch.value()
       << ": " << explainRoute(Rows, Found);
  Result.m_Text = Text.str();
  return Result;
}

} // namespace balsamwheel::cli
