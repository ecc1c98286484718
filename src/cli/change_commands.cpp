// Commands that validate, compare, show or change the configuration.
#include "cli/change_commands.h"

#include "balsamwheel/manifest.h"
#include "cli/cluster_rows.h"
#include "cli/remaining_capacity.h"

#include <algorithm>
#include <functional>

namespace balsamwheel::cli {

namespace {

using Json = nlohmann::json;

CommandResult invalidManifest(const std::vector<Problem> &Problems) {
  CommandResult Result{.m_Error = CliError::InvalidInput,
                       .m_Text = "",
                       .m_Json = {{"problems", Json::array()}}};
  for (const Problem &Found : Problems) {
    Result.m_Text += toString(Found) + "\n";
    Result.m_Json["problems"].push_back({{"file", Found.m_File},
                                         {"line", Found.m_Line},
                                         {"field", Found.m_Field},
                                         {"reason", Found.m_Reason}});
  }
  Result.m_Text += "invalid manifest; nothing was changed";
  return Result;
}

const char *changeSign(ChangeKind Kind) {
  switch (Kind) {
  case ChangeKind::Added:
    return "+";
  case ChangeKind::Removed:
    return "-";
  case ChangeKind::Changed:
    return "~";
  }
  return "?";
}

std::string describe(const ManifestChange &Change) {
  std::string Result =
      std::string(changeSign(Change.m_Kind)) + " " + Change.m_Path;
  if (!Change.m_Before.empty())
    Result += " " + Change.m_Before;
  if (Change.m_Kind == ChangeKind::Changed)
    Result += " ->";
  if (!Change.m_After.empty())
    Result += " " + Change.m_After;
  return Result;
}

std::string joinLines(const std::vector<std::string> &Lines) {
  std::string Result;
  for (const std::string &Line : Lines)
    Result += (Result.empty() ? "" : "\n") + Line;
  return Result;
}

std::string joinNames(const std::vector<InstanceName> &Instances) {
  std::string Result;
  for (const InstanceName &Name : Instances)
    Result += (Result.empty() ? "" : ", ") + Name.value();
  return Result;
}

/// Commits a configuration and waits until all members have applied it. Doesn't
/// wait if the time limit is 0.
CommandResult commitAndWait(const CommonOptions &Common, TableSession &Table,
                            const ClusterRows &Base, const Config &Next,
                            const std::string &Action) {
  if (const std::error_code Error = commitConfig(Table, Base, Next))
    return failure(Error, Action);
  const std::uint64_t Version = Next.m_Version.value();
  CommandResult Result;
  Result.m_Json = {{"version", Version}, {"in_force", false}};
  Result.m_Text = Action + ": committed as version " + std::to_string(Version);
  if (Common.m_InForceLimit.count() == 0)
    return Result;
  const auto Lagging =
      waitInForce(Table, Next.m_Version, Common.m_InForceLimit);
  if (Lagging.empty()) {
    Result.m_Json["in_force"] = true;
    Result.m_Text += ", in force everywhere";
    return Result;
  }
  Result.m_Error = CliError::NotInForce;
  Result.m_Text += ", but not yet in force at: " + joinNames(Lagging);
  for (const InstanceName &Name : Lagging)
    Result.m_Json["lagging"].push_back(Name.value());
  return Result;
}

Config nextVersionOf(const Config &Base) {
  Config Next = Base;
  Next.m_Version = ConfigVersion(Base.m_Version.value() + 1);
  return Next;
}

/// Adds or removes a name in a sorted list.
///
/// \returns false if the list already was as required.
template <typename Name>
bool setPresent(std::vector<Name> &List, const Name &Value, bool Present) {
  const auto Place = std::ranges::lower_bound(List, Value);
  const bool Found = Place != List.end() && *Place == Value;
  if (Found == Present)
    return false;
  if (Present)
    List.insert(Place, Value);
  else
    List.erase(Place);
  return true;
}

bool hasDomain(const Config &Known, const DomainName &Name) {
  return std::ranges::any_of(
      Known.m_Manifest.m_Domains,
      [&](const FailureDomain &Domain) { return Domain.m_Name == Name; });
}

CommandResult unchanged(const Config &Current, const std::string &Explanation) {
  CommandResult Result;
  Result.m_Text = Explanation + "; nothing was changed";
  Result.m_Json = {{"version", Current.m_Version.value()}, {"changed", false}};
  return Result;
}

CommandResult setDomainState(const CommonOptions &Common,
                             const std::string &Name, bool TakeOut) {
  TableSession Table(Common.m_Platform, Common.m_TableLimit);
  ClusterRows Current;
  if (const std::error_code Error = readCluster(Table, Current))
    return failure(Error);
  const DomainName Domain(Name);
  if (!hasDomain(Current.m_Config, Domain))
    return failure(CliError::InvalidInput,
                   "the manifest has no failure domain '" + Name + "'");
  Config Next = nextVersionOf(Current.m_Config);
  if (!setPresent(Next.m_DomainsOut, Domain, TakeOut))
    return unchanged(Current.m_Config, "failure domain '" + Name + "' is " +
                                           (TakeOut ? "out" : "in") +
                                           " already");
  std::string Warning;
  if (TakeOut) {
    const auto Shortages =
        findShortages(Current.m_Config, Next, Current.m_Members);
    Warning = describeShortages(Shortages);
    if (!Shortages.empty() && !Common.m_Force)
      return failure(CliError::Refused,
                     Warning + "\nrepeat with --force to do it all the same");
  }
  CommandResult Result = commitAndWait(Common, Table, Current, Next,
                                       "failure domain '" + Name + "' " +
                                           (TakeOut ? "out" : "in"));
  if (!Warning.empty())
    Result.m_Text = "warning: " + Warning + "\n" + Result.m_Text;
  return Result;
}

} // namespace

CommandResult checkManifest(const std::string &File) {
  const ManifestResult Read = readManifestFile(File);
  if (!Read.m_Manifest)
    return invalidManifest(Read.m_Problems);
  CommandResult Result;
  Result.m_Text =
      File + ": valid, " + std::to_string(Read.m_Manifest->m_Services.size()) +
      " services in " + std::to_string(Read.m_Manifest->m_Domains.size()) +
      " failure domains";
  Result.m_Json = {{"valid", true}};
  return Result;
}

CommandResult diffManifest(const CommonOptions &Common,
                           const std::string &File) {
  const ManifestResult Read = readManifestFile(File);
  if (!Read.m_Manifest)
    return invalidManifest(Read.m_Problems);
  TableSession Table(Common.m_Platform, Common.m_TableLimit);
  ClusterRows Current;
  if (const std::error_code Error = readCluster(Table, Current))
    return failure(Error);
  const Manifest &Before = Current.m_Config.m_Manifest;
  std::vector<std::string> Lines;
  CommandResult Result;
  Result.m_Json = {{"base", Current.m_Config.m_Version.value()},
                   {"changes", Json::array()}};
  for (const ManifestChange &Change : diffManifests(Before, *Read.m_Manifest)) {
    Lines.push_back(describe(Change));
    Result.m_Json["changes"].push_back({{"path", Change.m_Path},
                                        {"before", Change.m_Before},
                                        {"after", Change.m_After}});
  }
  Result.m_Text = "against version " +
                  std::to_string(Current.m_Config.m_Version.value()) +
                  (Lines.empty() ? ": no changes" : ":\n" + joinLines(Lines));
  return Result;
}

CommandResult commitManifest(const CommonOptions &Common,
                             const std::string &File, std::uint64_t Base) {
  const ManifestResult Read = readManifestFile(File);
  if (!Read.m_Manifest)
    return invalidManifest(Read.m_Problems);
  TableSession Table(Common.m_Platform, Common.m_TableLimit);
  ClusterRows Current;
  if (const std::error_code Error = readCluster(Table, Current))
    return failure(Error);
  const std::uint64_t Version = Current.m_Config.m_Version.value();
  if (Version != Base)
    return failure(CliError::Conflict, "the version in force is " +
                                           std::to_string(Version) + ", not " +
                                           std::to_string(Base));
  const auto Reasons =
      incompatibleChanges(Current.m_Config.m_Manifest, *Read.m_Manifest);
  if (!Reasons.empty())
    return failure(CliError::InvalidInput, joinLines(Reasons));
  Config Next = nextVersionOf(Current.m_Config);
  Next.m_Manifest = *Read.m_Manifest;
  std::erase_if(Next.m_DomainsOut, [&Next](const DomainName &Name) {
    return !hasDomain(Next, Name);
  });
  return commitAndWait(Common, Table, Current, Next, "manifest");
}

CommandResult showManifest(const CommonOptions &Common) {
  TableSession Table(Common.m_Platform, Common.m_TableLimit);
  ClusterRows Current;
  if (const std::error_code Error = readCluster(Table, Current))
    return failure(Error);
  if (Current.m_Config.m_Version == ConfigVersion())
    return failure(CliError::InvalidInput, "no manifest was committed yet");
  CommandResult Result;
  Result.m_Json = toDocument(Current.m_Config);
  Result.m_Text = Result.m_Json.dump(2);
  return Result;
}

CommandResult takeDomainOut(const CommonOptions &Common,
                            const std::string &Name) {
  return setDomainState(Common, Name, /*TakeOut=*/true);
}

CommandResult bringDomainIn(const CommonOptions &Common,
                            const std::string &Name) {
  return setDomainState(Common, Name, /*TakeOut=*/false);
}

CommandResult drainInstance(const CommonOptions &Common,
                            const std::string &Name, bool Undo) {
  TableSession Table(Common.m_Platform, Common.m_TableLimit);
  ClusterRows Current;
  if (const std::error_code Error = readCluster(Table, Current))
    return failure(Error);
  const InstanceName Instance(Name);
  const bool Known =
      std::ranges::any_of(Current.m_Members, [&](const GroupMember &Value) {
        return Value.m_Member.m_Instance == Instance;
      });
  if (!Known && !Undo)
    return failure(CliError::InvalidInput, "no instance '" + Name + "'");
  Config Next = nextVersionOf(Current.m_Config);
  if (!setPresent(Next.m_Draining, Instance, !Undo))
    return unchanged(Current.m_Config,
                     "instance '" + Name + "' " +
                         (Undo ? "is not draining" : "is already draining"));
  return commitAndWait(Common, Table, Current, Next,
                       "instance '" + Name + "' " +
                           (Undo ? "stays" : "drains"));
}

} // namespace balsamwheel::cli
