// Decides what should change in the ownership map; pure.
#pragma once

#include "balsamwheel/detail/coordination/cluster_view.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// A wish of the load balancer: one shard to another member.
struct LoadMove {
  ShardRef m_Shard;
  SessionId m_From;
  SessionId m_To;
};

/// Shards whose new owner has no more dealings with the former one.
using SettledShards = std::unordered_map<ShardRef, Epoch>;

struct PlanRequest {
  const ClusterView *m_View = nullptr;
  const SettledShards *m_Settled = nullptr;
  std::vector<LoadMove> m_LoadMoves;
  /// Services whose counts are being balanced until all are at their share.
  std::set<ServiceName> m_Balancing;
  /// Plan also the moves between live owners, which are paced.
  bool m_Paced = true;
};

struct Plan {
  /// Rows to write, with their new contents.
  std::vector<MapRow> m_Rows;
  /// Shards that get another owner.
  std::size_t m_Moves = 0;
  /// Services to go on balancing in the next round.
  std::set<ServiceName> m_Balancing;
  /// There are paced moves left for the next round.
  bool m_MoreLater = false;
};

/// Plans the next step for all services of the configuration.
///
/// Shards of gone owners get heirs at once. Shards of leaving owners go in
/// rounds that shrink geometrically; shards that balance the counts go in
/// small rounds, only once a count is far from its share. A shard whose
/// former owner is live and unsettled stays.
///
/// Complexity: linear in the shards, times the members for those that move.
Plan planNextStep(const PlanRequest &Request);

} // namespace balsamwheel
