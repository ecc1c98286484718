// Counts of the orders that run at the local target, by shard and key.
#pragma once

#include "balsamwheel/detail/core/ids.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// The keys that have orders running at the local target.
class InFlightKeys {
public:
  void start(const ShardRef &Shard, KeyHash Key);
  /// \returns whether this was the last running order of the key.
  bool finish(const ShardRef &Shard, KeyHash Key);
  bool empty() const { return m_Shards.empty(); }
  bool empty(const ShardRef &Shard) const { return !m_Shards.contains(Shard); }
  std::vector<KeyHash> keys(const ShardRef &Shard) const;

private:
  /// Number of running orders of each key. Invariant: no number is 0 and every
  /// listed shard has at least one key.
  std::unordered_map<ShardRef, std::unordered_map<KeyHash, std::uint32_t>>
      m_Shards;
};

} // namespace balsamwheel
