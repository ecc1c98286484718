// Compares manifests through their JSON documents, field by field.
#include "balsamwheel/detail/manifest/diff.h"

#include "balsamwheel/detail/manifest/document.h"

#include <map>

namespace balsamwheel {

namespace {

using Json = nlohmann::json;
using Fields = std::map<std::string, std::string>;

bool isNamedList(const Json &Value) {
  if (!Value.is_array() || Value.empty())
    return false;
  for (const Json &Item : Value)
    if (!Item.is_object() || !Item.contains("name"))
      return false;
  return true;
}

std::string childPath(const std::string &Path, const std::string &Name) {
  std::string Result = Path;
  if (!Result.empty())
    Result += '/';
  Result += Name;
  return Result;
}

/// Collects the leaf values of a document by path. Items of named lists appear
/// under their name instead of their index.
void flatten(const Json &Value, const std::string &Path, Fields &Output) {
  if (Value.is_object()) {
    for (const auto &[Key, Item] : Value.items())
      flatten(Item, childPath(Path, Key), Output);
  } else if (isNamedList(Value)) {
    for (const Json &Item : Value)
      flatten(Item, childPath(Path, Item.at("name").get<std::string>()),
              Output);
  } else {
    Output[Path] = Value.dump();
  }
}

Fields fieldsOf(const Manifest &Value) {
  Config Wrapper;
  Wrapper.m_Manifest = Value;
  Json Document = toDocument(Wrapper);
  for (const char *Key : {"version", "domains_out", "draining"})
    Document.erase(Key);
  Fields Result;
  flatten(Document, "", Result);
  return Result;
}

} // namespace

std::vector<ManifestChange> diffManifests(const Manifest &Before,
                                          const Manifest &After) {
  const Fields Old = fieldsOf(Before);
  const Fields New = fieldsOf(After);
  std::vector<ManifestChange> Result;
  for (const auto &[Path, Value] : Old) {
    const auto Found = New.find(Path);
    if (Found == New.end())
      Result.push_back({ChangeKind::Removed, Path, Value, ""});
    else if (Found->second != Value)
      Result.push_back({ChangeKind::Changed, Path, Value, Found->second});
  }
  for (const auto &[Path, Value] : New)
    if (!Old.contains(Path))
      Result.push_back({ChangeKind::Added, Path, "", Value});
  return Result;
}

std::vector<std::string> incompatibleChanges(const Manifest &Before,
                                             const Manifest &After) {
  std::vector<std::string> Result;
  if (!Before.m_Deployment.empty() && Before.m_Deployment != After.m_Deployment)
    Result.push_back("deployment '" + After.m_Deployment +
                     "' differs from the running deployment '" +
                     Before.m_Deployment + "'");
  for (const Service &Old : Before.m_Services) {
    const Service *New = After.findService(Old.m_Name);
    if (New == nullptr)
      continue;
    if (New->m_DividedByKey != Old.m_DividedByKey)
      Result.push_back("services/" + Old.m_Name.value() +
                       "/divided_by_key cannot change while the service runs");
    else if (New->m_Shards != Old.m_Shards)
      Result.push_back("services/" + Old.m_Name.value() +
                       "/shards cannot change while the service runs");
  }
  return Result;
}

} // namespace balsamwheel
