// The table rows that commands use: configuration and members.
#pragma once

#include "balsamwheel/detail/coordination/group_row.h"
#include "balsamwheel/detail/coordination/head_row.h"
#include "balsamwheel/detail/manifest/document.h"
#include "cli/table_session.h"

#include <vector>

namespace balsamwheel::cli {

/// A consistent snapshot of the configuration and members.
struct ClusterRows {
  HeadRow m_Head;
  /// The row of ConfigHeadRowKey; version 0 if nothing has been committed yet.
  Row m_ConfigRow;
  Config m_Config;
  std::vector<GroupMember> m_Members;
};

/// Reads the configuration and all members.
///
/// \param Output receives the snapshot.
/// \returns no error, Unreachable or BadRow.
std::error_code readCluster(TableSession &Table, ClusterRows &Output);

/// Commits a new configuration on top of a snapshot.
///
/// Concurrent updates of the head row, for example by a joining member, don't
/// count as a conflict: the snapshot is read again and the commit retried, as
/// long as the configuration is still the one that \p Next is based on.
std::error_code commitConfig(TableSession &Table, ClusterRows Base,
                             const Config &Next);

/// Returns the sorted names of the members that have not applied a version yet.
std::vector<InstanceName> findLagging(const std::vector<GroupMember> &Members,
                                      ConfigVersion Version);

/// Waits until every member has applied a version or has left.
///
/// \returns the instances that still lag at the time limit; empty on success.
std::vector<InstanceName> waitInForce(TableSession &Table,
                                      ConfigVersion Version,
                                      std::chrono::milliseconds Limit);

} // namespace balsamwheel::cli
