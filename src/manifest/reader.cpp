// Reads and validates manifests.
#include "balsamwheel/detail/manifest/reader.h"

#include "balsamwheel/detail/manifest/yaml_fields.h"

#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace balsamwheel {

namespace {

constexpr std::uint64_t MaxShards = 65'536;
constexpr std::uint64_t MaxSlots = 10'000;
constexpr std::uint64_t MaxConnections = 100'000;
constexpr std::uint64_t MaxQueue = 1'000'000;
constexpr std::uint64_t MaxBodyBytes = 1UL << 40U;
constexpr Duration MinDeadline = std::chrono::milliseconds(1);
constexpr Duration MaxDeadline = std::chrono::minutes(10);
/// Limit for services divided by key: an order must end within the owner's
/// lease.
constexpr Duration MaxKeyedDeadline = std::chrono::milliseconds(1500);
constexpr std::size_t MaxNameLength = 64;

const std::vector<std::string> UrgencyNames{"urgent", "interactive", "bulk"};
const std::vector<std::string> FenceNames{"none", "checked"};

bool isName(const std::string &Text) {
  constexpr const char *Allowed = "abcdefghijklmnopqrstuvwxyz"
                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  return !Text.empty() && Text.size() <= MaxNameLength &&
         Text.find_first_not_of(Allowed) == std::string::npos;
}

/// Reads a required name and checks its characters and length.
std::string readName(YamlMap &Map, const std::string &Key) {
  std::string Name = Map.requiredText(Key);
  if (!Name.empty() && !isName(Name))
    Map.problem(Key, "must consist of 1 to 64 letters, digits, '-', '_' "
                     "and '.'");
  return Name;
}

void checkUnique(YamlMap &Map, const std::string &Name,
                 std::set<std::string> &Seen) {
  if (!Name.empty() && !Seen.insert(Name).second)
    Map.problem("name", "'" + Name + "' is used twice");
}

FailureDomain readDomain(YamlMap Map, std::set<std::string> &Seen) {
  FailureDomain Result;
  Result.m_Name = DomainName(readName(Map, "name"));
  Result.m_Region = RegionName(readName(Map, "region"));
  checkUnique(Map, Result.m_Name.value(), Seen);
  Map.finish();
  return Result;
}

void checkPattern(YamlMap &Map, const std::string &Pattern) {
  const std::size_t Space = Pattern.find(' ');
  const bool HasMethod = Space != std::string::npos && Space > 0;
  const bool HasPath =
      HasMethod && Space + 1 < Pattern.size() && Pattern[Space + 1] == '/';
  if (!HasPath)
    Map.problem("match", "'" + Pattern + "' is not \"METHOD /path-prefix\"");
}

RequestClass readClass(YamlMap Map, bool Keyed, std::set<std::string> &Seen,
                       std::set<std::string> &Patterns) {
  RequestClass Result;
  Result.m_Name = ClassName(readName(Map, "name"));
  checkUnique(Map, Result.m_Name.value(), Seen);
  if (const auto Level = Map.choice("urgency", UrgencyNames))
    Result.m_Urgency = static_cast<Urgency>(*Level);
  Result.m_Idempotent = Map.flag("idempotent").value_or(true);
  const Duration Max = Keyed ? MaxKeyedDeadline : MaxDeadline;
  Result.m_Deadline =
      Map.duration("deadline", MinDeadline, Max).value_or(Result.m_Deadline);
  Result.m_Match = Map.texts("match");
  for (const std::string &Pattern : Result.m_Match) {
    checkPattern(Map, Pattern);
    if (!Patterns.insert(Pattern).second)
      Map.problem("match", "'" + Pattern + "' is used twice in the service");
  }
  Map.finish();
  return Result;
}

void readSharding(YamlMap &Map, Service &Result) {
  Result.m_DividedByKey = Map.flag("divided_by_key").value_or(false);
  const auto Shards = Map.number("shards", {1, MaxShards});
  if (Result.m_DividedByKey && !Map.has("shards"))
    Map.problem("shards", "is required for a service divided by key");
  if (!Result.m_DividedByKey && Map.has("shards"))
    Map.problem("shards", "requires divided_by_key: true");
  Result.m_Shards = static_cast<std::uint32_t>(Shards.value_or(0));
}

void readLimits(YamlMap &Map, Service &Result) {
  auto Limits = Map.map("limits");
  if (!Limits)
    return;
  const auto Read = [&](const char *Key, std::uint64_t Max, auto &Value) {
    using Number = std::remove_reference_t<decltype(Value)>;
    if (const auto Given = Limits->number(Key, {1, Max}))
      Value = static_cast<Number>(*Given);
  };
  Read("slots", MaxSlots, Result.m_Slots);
  Read("connections", MaxConnections, Result.m_Connections);
  Read("queue", MaxQueue, Result.m_QueueLimit);
  Read("body_bytes", MaxBodyBytes, Result.m_MaxBodyBytes);
  if (Result.m_Connections < Result.m_Slots)
    Limits->problem("connections", "is lower than slots");
  Limits->finish();
}

Service readService(YamlMap Map, std::set<std::string> &Seen) {
  Service Result;
  Result.m_Name = ServiceName(readName(Map, "name"));
  checkUnique(Map, Result.m_Name.value(), Seen);
  readSharding(Map, Result);
  Result.m_ChecksFences = Map.choice("fences", FenceNames).value_or(0) == 1;
  readLimits(Map, Result);
  std::set<std::string> Classes;
  std::set<std::string> Patterns;
  for (YamlMap &Entry : Map.maps("classes"))
    Result.m_Classes.push_back(
        readClass(std::move(Entry), Result.m_DividedByKey, Classes, Patterns));
  if (Result.m_Classes.empty())
    Map.problem("classes", "needs at least one class");
  Map.finish();
  return Result;
}

Manifest readDocument(const YAML::Node &Document, ProblemLog &Log) {
  Manifest Result;
  YamlMap Map(Document, "", Log);
  Result.m_Deployment = readName(Map, "deployment");
  std::set<std::string> Domains;
  for (YamlMap &Entry : Map.maps("failure_domains"))
    Result.m_Domains.push_back(readDomain(std::move(Entry), Domains));
  if (Result.m_Domains.empty())
    Map.problem("failure_domains", "needs at least one failure domain");
  std::set<std::string> Services;
  for (YamlMap &Entry : Map.maps("services"))
    Result.m_Services.push_back(readService(std::move(Entry), Services));
  if (Result.m_Services.empty())
    Map.problem("services", "needs at least one service");
  Map.finish();
  return Result;
}

} // namespace

ManifestResult readManifest(const std::string &Text, const std::string &File) {
  ProblemLog Log(File);
  Manifest Value;
  try {
    Value = readDocument(YAML::Load(Text), Log);
  } catch (const YAML::Exception &Error) {
    Log.addLine(Error.mark.line + 1, "", Error.msg);
  }
  ManifestResult Result{.m_Manifest = std::nullopt,
                        .m_Problems = Log.problems()};
  if (Result.m_Problems.empty())
    Result.m_Manifest = std::move(Value);
  return Result;
}

ManifestResult readManifestFile(const std::string &File) {
  std::ifstream Input(File);
  if (!Input) {
    return {.m_Manifest = std::nullopt,
            .m_Problems = {{.m_File = File,
                            .m_Line = 0,
                            .m_Field = "",
                            .m_Reason = "cannot be read"}}};
  }
  std::ostringstream Text;
  Text << Input.rdbuf();
  return readManifest(Text.str(), File);
}

} // namespace balsamwheel
