// The stored format of the configuration and of the deltas between its
// versions.
#include "balsamwheel/detail/manifest/document.h"

#include <array>
#include <utility>

namespace balsamwheel {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<Urgency, const char *>, UrgencyCount> Urgencies{
    {{Urgency::Urgent, "urgent"},
     {Urgency::Interactive, "interactive"},
     {Urgency::Bulk, "bulk"}}};

Json urgencyToJson(Urgency Value) {
  return Urgencies.at(static_cast<std::size_t>(Value)).second;
}

Urgency urgencyFromJson(const Json &Value) {
  for (const auto &[Level, Name] : Urgencies)
    if (Value == Name)
      return Level;
  return Urgency::Interactive;
}

Json classToJson(const RequestClass &Class) {
  return {{"name", Class.m_Name.value()},
          {"urgency", urgencyToJson(Class.m_Urgency)},
          {"idempotent", Class.m_Idempotent},
          {"deadline_us", Class.m_Deadline.count()},
          {"match", Class.m_Match}};
}

RequestClass classFromJson(const Json &Value) {
  return {.m_Name = ClassName(Value.at("name").get<std::string>()),
          .m_Urgency = urgencyFromJson(Value.at("urgency")),
          .m_Idempotent = Value.at("idempotent").get<bool>(),
          .m_Deadline = Duration(Value.at("deadline_us").get<std::int64_t>()),
          .m_Match = Value.at("match").get<std::vector<std::string>>()};
}

Json serviceToJson(const Service &Value) {
  Json Classes = Json::array();
  for (const RequestClass &Class : Value.m_Classes)
    Classes.push_back(classToJson(Class));
  return {{"name", Value.m_Name.value()},
          {"divided_by_key", Value.m_DividedByKey},
          {"shards", Value.m_Shards},
          {"checks_fences", Value.m_ChecksFences},
          {"slots", Value.m_Slots},
          {"connections", Value.m_Connections},
          {"queue_limit", Value.m_QueueLimit},
          {"max_body_bytes", Value.m_MaxBodyBytes},
          {"classes", std::move(Classes)}};
}

Service serviceFromJson(const Json &Value) {
  Service Result{.m_Name = ServiceName(Value.at("name").get<std::string>()),
                 .m_DividedByKey = Value.at("divided_by_key").get<bool>(),
                 .m_Shards = Value.at("shards").get<std::uint32_t>(),
                 .m_ChecksFences = Value.at("checks_fences").get<bool>(),
                 .m_Slots = Value.at("slots").get<std::uint32_t>(),
                 .m_Connections = Value.at("connections").get<std::uint32_t>(),
                 .m_QueueLimit = Value.at("queue_limit").get<std::uint32_t>(),
                 .m_MaxBodyBytes =
                     Value.at("max_body_bytes").get<std::uint64_t>(),
                 .m_Classes = {}};
  for (const Json &Class : Value.at("classes"))
    Result.m_Classes.push_back(classFromJson(Class));
  return Result;
}

template <typename Id> Json namesToJson(const std::vector<Id> &Names) {
  Json Result = Json::array();
  for (const Id &Name : Names)
    Result.push_back(Name.value());
  return Result;
}

template <typename Id> std::vector<Id> namesFromJson(const Json &Value) {
  std::vector<Id> Result;
  for (const Json &Name : Value)
    Result.emplace_back(Name.get<std::string>());
  return Result;
}

Config configFromJson(const Json &Document) {
  Config Result;
  Result.m_Version = ConfigVersion(Document.at("version").get<std::uint64_t>());
  Result.m_Manifest.m_Deployment = Document.at("deployment").get<std::string>();
  for (const Json &Domain : Document.at("domains"))
    Result.m_Manifest.m_Domains.push_back(
        {.m_Name = DomainName(Domain.at("name").get<std::string>()),
         .m_Region = RegionName(Domain.at("region").get<std::string>())});
  for (const Json &Entry : Document.at("services"))
    Result.m_Manifest.m_Services.push_back(serviceFromJson(Entry));
  Result.m_DomainsOut = namesFromJson<DomainName>(Document.at("domains_out"));
  Result.m_Draining = namesFromJson<InstanceName>(Document.at("draining"));
  return Result;
}

std::optional<Json> parseJson(const std::string &Text) {
  Json Result = Json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (Result.is_discarded())
    return std::nullopt;
  return Result;
}

} // namespace

nlohmann::json toDocument(const Config &Value) {
  Json Domains = Json::array();
  for (const FailureDomain &Domain : Value.m_Manifest.m_Domains)
    Domains.push_back(
        {{"name", Domain.m_Name.value()}, {"region", Domain.m_Region.value()}});
  Json Services = Json::array();
  for (const Service &Entry : Value.m_Manifest.m_Services)
    Services.push_back(serviceToJson(Entry));
  return {{"version", Value.m_Version.value()},
          {"deployment", Value.m_Manifest.m_Deployment},
          {"domains", std::move(Domains)},
          {"services", std::move(Services)},
          {"domains_out", namesToJson(Value.m_DomainsOut)},
          {"draining", namesToJson(Value.m_Draining)}};
}

std::optional<Config> fromDocument(const nlohmann::json &Document) {
  try {
    return configFromJson(Document);
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

RowKey configDeltaRowKey(ConfigVersion Version) {
  return RowKey(ConfigDeltaPrefix + std::to_string(Version.value()));
}

Transaction makeConfigCommit(const Row &Current, const Config &Base,
                             const Config &Next, WriteId Id) {
  const Json Document = toDocument(Next);
  const Json Patch = Json::diff(toDocument(Base), Document);
  const std::uint64_t Version = Next.m_Version.value();
  const Json Head = {
      {"version", Version}, {"write_id", Id.value()}, {"document", Document}};
  const Json Delta = {{"version", Version}, {"patch", Patch}};

  Transaction Result;
  Result.m_Id = Id;
  Result.m_Conditions.push_back({ConfigHeadRowKey, Current.m_Version});
  Result.m_Writes.push_back({ConfigHeadRowKey, Head.dump()});
  Result.m_Writes.push_back({configDeltaRowKey(Next.m_Version), Delta.dump()});
  if (Version > KeptConfigDeltas)
    Result.m_Writes.push_back(
        {configDeltaRowKey(ConfigVersion(Version - KeptConfigDeltas)),
         std::nullopt});
  return Result;
}

std::optional<Config> applyDelta(const Config &Base, const std::string &Delta) {
  const std::optional<Json> Parsed = parseJson(Delta);
  if (!Parsed)
    return std::nullopt;
  try {
    if (Parsed->at("version") != Base.m_Version.value() + 1)
      return std::nullopt;
    return fromDocument(toDocument(Base).patch(Parsed->at("patch")));
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::optional<Config> configFromRow(const Row &Stored) {
  if (Stored.m_Version.value() == 0)
    return std::nullopt;
  const std::optional<Json> Value = parseJson(Stored.m_Value);
  if (!Value || !Value->is_object() || !Value->contains("document"))
    return std::nullopt;
  return fromDocument(Value->at("document"));
}

} // namespace balsamwheel
