// Contents of the JSON status documents.
#include "daemon/status_json.h"

#include "balsamwheel/detail/core/hash.h"

namespace balsamwheel::daemon {

namespace {

using Json = nlohmann::json;

/// Session ids are written as strings, since they exceed the integers that many
/// JSON parsers represent exactly.
Json sessionJson(SessionId Id) { return std::to_string(Id.value()); }

Json memberJson(const Member &Value) {
  return {{"session", sessionJson(Value.m_Session)},
          {"instance", Value.m_Instance.value()},
          {"domain", Value.m_Domain.value()},
          {"region", Value.m_Region.value()},
          {"peer", Value.m_Peer.value()},
          {"callers", Value.m_CallerAddress},
          {"service", Value.m_Service.value()},
          {"slots", Value.m_Slots},
          {"config_applied", Value.m_ConfigApplied.value()},
          {"leaving", Value.m_Leaving}};
}

Json coordinatorJson(const CoordinatorStatus &Value, TimePoint Now) {
  const auto Remaining =
      Value.m_LeaseHeld ? Value.m_LeaseEnd - Now : Duration(0);
  return {{"session", sessionJson(Value.m_Session)},
          {"lease_held", Value.m_LeaseHeld},
          {"lease_extended", Value.m_LeaseExtended},
          {"lease_left_ms", Remaining.count() / 1000},
          {"config_version", Value.m_Config.value()},
          {"map_version", Value.m_CompleteHeadVersion},
          {"group", Value.m_Group},
          {"leader", Value.m_Leader},
          {"members", Value.m_Members},
          {"shards_owned", Value.m_ShardsOwned},
          {"shards_pending", Value.m_ShardsPending}};
}

/// Explains how the owner in a route was chosen.
const char *routeReason(const Route &Found, const Member *Owner) {
  if (Found.m_Owner == SessionId())
    return "no owner is known";
  if (Found.m_Local)
    return "this instance owns the shard";
  if (Owner == nullptr)
    return "the owner is no longer a member";
  return Owner->m_Leaving ? "the owner is leaving" : "the map names this owner";
}

Json routeFields(const Node &Subject, const Route &Found) {
  const Member *Owner = Subject.coordinator().findMember(Found.m_Owner);
  return {{"shard", Found.m_Shard.m_Shard.value()},
          {"epoch", Found.m_Epoch.value()},
          {"session", sessionJson(Found.m_Owner)},
          {"instance", Owner ? Owner->m_Instance.value() : std::string()},
          {"address", Found.m_CallerAddress},
          {"reason", routeReason(Found, Owner)}};
}

const Service *findService(const Node &Subject, const ServiceName &Name) {
  const auto Known = Subject.coordinator().config();
  return Known ? Known->m_Manifest.findService(Name) : nullptr;
}

Json unknownService(const ServiceName &Name) {
  return {{"error", "no service named '" + Name.value() + "'"}};
}

Json candidatesJson(const Node &Subject, const ServiceName &Name) {
  Json Result = Json::array();
  for (const Member &Value : Subject.coordinator().candidates(Name))
    Result.push_back(memberJson(Value));
  return Result;
}

} // namespace

Json statusJson(const Node &Subject, TimePoint Now) {
  const NodeStatus Status = Subject.status(Now);
  Json Members = Json::array();
  for (const Member &Value : Subject.coordinator().members())
    Members.push_back(memberJson(Value));
  return {{"coordinator", coordinatorJson(Status.m_Coordinator, Now)},
          {"limit", Status.m_Limit},
          {"running", Status.m_Running},
          {"queued", Status.m_Queued},
          {"outcomes_kept", Status.m_OutcomesKept},
          {"requests_open", Status.m_RequestsOpen},
          {"drained", Subject.drained()},
          {"config_version", Status.m_Coordinator.m_Config.value()},
          {"members", std::move(Members)}};
}

Json routeJson(const Node &Subject, const ServiceName &Service,
               const std::string &Key) {
  const auto *Known = findService(Subject, Service);
  if (Known == nullptr)
    return unknownService(Service);
  if (!Known->m_DividedByKey)
    return {{"service", Service.value()},
            {"reason", "the service is not divided by key; any of these"},
            {"candidates", candidatesJson(Subject, Service)}};
  Json Result =
      routeFields(Subject, Subject.coordinator().route(Service, hashKey(Key)));
  Result["service"] = Service.value();
  Result["key"] = Key;
  return Result;
}

Json ownersJson(const Node &Subject, const ServiceName &Service) {
  const auto *Known = findService(Subject, Service);
  if (Known == nullptr)
    return unknownService(Service);
  Json Result{{"service", Service.value()}};
  if (!Known->m_DividedByKey) {
    Result["candidates"] = candidatesJson(Subject, Service);
    return Result;
  }
  Result["shards"] = Known->m_Shards;
  Json Owners = Json::array();
  // A hash below the number of shards maps to the shard with that index.
  for (std::uint64_t Shard = 0; Shard < Known->m_Shards; ++Shard)
    Owners.push_back(routeFields(
        Subject, Subject.coordinator().route(Service, KeyHash(Shard))));
  Result["owners"] = std::move(Owners);
  return Result;
}

} // namespace balsamwheel::daemon
