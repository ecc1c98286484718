// The rows of the table as commands read them: configuration and members.
#pragma once

#include "balsamwheel/detail/coordination/group_row.h"
#include "balsamwheel/detail/coordination/head_row.h"
#include "balsamwheel/detail/manifest/document.h"
#include "cli/table_session.h"

#include <vector>

namespace balsamwheel::cli {

/// One snapshot of the rows that most commands need.
struct ClusterRows {
  HeadRow m_Head;
  /// ConfigHeadRow as read; version 0 when nothing was committed yet.
  Row m_ConfigRow;
  Config m_Config;
  std::vector<GroupMember> m_Members;
};

/// Reads the configuration and all members.
///
/// \param Into receives the snapshot.
/// \returns Unreachable or BadRow.
std::error_code readCluster(TableSession &Table, ClusterRows &Output);

/// Commits a new configuration on top of a snapshot.
///
/// A bump of the head row by others, such as a member that joins, is no
/// conflict: the snapshot is read again as long as the configuration is still
/// the one that \p Next was made from.
std::error_code commitConfig(TableSession &Table, ClusterRows Base,
                             const Config &Next);

/// Members that have not applied a version yet.
std::vector<InstanceName> findLagging(const std::vector<GroupMember> &Members,
                                      ConfigVersion Version);

/// Waits until each member has applied a version or has left.
///
/// \returns the instances that still lag at the time limit; none on success.
std::vector<InstanceName> waitInForce(TableSession &Table,
                                      ConfigVersion Version,
                                      std::chrono::milliseconds Limit);

} // namespace balsamwheel::cli
