// Decides which changes to make in the ownership map; has no state and no I/O.
#pragma once

#include "balsamwheel/detail/coordination/cluster_view.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// A move that the load balancer requests: one shard to another member.
struct LoadMove {
  ShardRef m_Shard;
  SessionId m_OldOwner;
  SessionId m_NewOwner;
};

/// Shards whose handover is complete, so that the former owner can be removed
/// from the map, with the epoch of the new owner.
using SettledShards = std::unordered_map<ShardRef, Epoch>;

struct PlanRequest {
  const ClusterView *m_View = nullptr;
  const SettledShards *m_Settled = nullptr;
  std::vector<LoadMove> m_LoadMoves;
  /// Services that were being balanced in the last round; balancing goes on
  /// until every owner has its share.
  std::set<ServiceName> m_BalancingServices;
  /// Also plan paced moves: those off live owners, which are limited to a few
  /// in each round.
  bool m_IncludePaced = true;
};

struct Plan {
  /// Rows to write, with their new content.
  std::vector<MapRow> m_Rows;
  /// Number of shards that get another owner.
  std::size_t m_Moves = 0;
  /// Services that are still being balanced after this step.
  std::set<ServiceName> m_BalancingServices;
  /// Paced moves remain for a later round.
  bool m_MovesRemain = false;
};

/// Plans the next step for all services of the configuration.
///
/// Shards whose owner has ended get a new owner at once. Shards of leaving
/// owners move in rounds, half of the remaining ones in each. Shards move to
/// balance the counts in small rounds, and only once a count is far from its
/// share. A shard whose handover from a live former owner is not settled does
/// not move.
///
/// Complexity: linear in the shards, times the members for shards that move.
Plan planNextStep(const PlanRequest &Request);

} // namespace balsamwheel
