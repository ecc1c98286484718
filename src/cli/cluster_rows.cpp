// Reading and committing the table rows that commands use.
#include "cli/cluster_rows.h"

#include <algorithm>
#include <thread>

namespace balsamwheel::cli {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds PollPeriod{200};
/// Maximum number of commit attempts while only the head row has changed.
constexpr int MaxHeadConflicts = 50;

bool parseRow(const Row &Stored, ClusterRows &Output) {
  if (Stored.m_Key == HeadRowKey) {
    const auto Head = parseHeadRow(Stored);
    Output.m_Head = Head.value_or(HeadRow{});
    return Head.has_value();
  }
  if (Stored.m_Key == ConfigHeadRowKey) {
    Output.m_ConfigRow = Stored;
    if (Stored.m_Version == RowVersion())
      return true;
    const auto Found = configFromRow(Stored);
    Output.m_Config = Found.value_or(Config{});
    return Found.has_value();
  }
  const auto Group = parseGroupRow(Stored);
  if (!Group)
    return false;
  Output.m_Members.insert(Output.m_Members.end(), Group->m_Members.begin(),
                          Group->m_Members.end());
  return true;
}

} // namespace

std::error_code readCluster(TableSession &Table, ClusterRows &Output) {
  const auto Rows = Table.read({.m_Keys = {HeadRowKey, ConfigHeadRowKey},
                                .m_Prefixes = {GroupRowPrefix}});
  if (!Rows)
    return CliError::Unreachable;
  Output = {};
  for (const Row &Stored : *Rows)
    if (!parseRow(Stored, Output))
      return CliError::BadRow;
  return {};
}

std::error_code commitConfig(TableSession &Table, ClusterRows Base,
                             const Config &Next) {
  for (int Attempt = 0; Attempt < MaxHeadConflicts; ++Attempt) {
    Transaction Commit = makeConfigCommit(Base.m_ConfigRow, Base.m_Config, Next,
                                          randomWriteId());
    appendHeadUpdate(Commit, Base.m_Head,
                     {{ConfigHeadRowKey, Next.m_Version.value()}});
    const std::error_code Error = Table.commit(Commit, ConfigHeadRowKey);
    if (Error != CliError::Conflict)
      return Error;
    const RowVersion Known = Base.m_ConfigRow.m_Version;
    if (const std::error_code ReadError = readCluster(Table, Base))
      return ReadError;
    if (Base.m_ConfigRow.m_Version != Known)
      return CliError::Conflict;
  }
  return CliError::Conflict;
}

std::vector<InstanceName> findLagging(const std::vector<GroupMember> &Members,
                                      ConfigVersion Version) {
  std::vector<InstanceName> Result;
  for (const GroupMember &Value : Members)
    if (Value.m_Member.m_ConfigApplied < Version)
      Result.push_back(Value.m_Member.m_Instance);
  std::ranges::sort(Result);
  return Result;
}

std::vector<InstanceName> waitInForce(TableSession &Table,
                                      ConfigVersion Version,
                                      std::chrono::milliseconds Limit) {
  const Clock::time_point End = Clock::now() + Limit;
  std::vector<InstanceName> Lagging;
  do {
    ClusterRows Current;
    if (readCluster(Table, Current))
      continue;
    Lagging = findLagging(Current.m_Members, Version);
    if (Lagging.empty())
      return Lagging;
    std::this_thread::sleep_for(PollPeriod);
  } while (Clock::now() < End);
  return Lagging;
}

} // namespace balsamwheel::cli
