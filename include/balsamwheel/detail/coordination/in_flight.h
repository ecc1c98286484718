// Orders that run at the local target, by shard and key.
#pragma once

#include "balsamwheel/detail/core/ids.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

class InFlightKeys {
public:
  void start(const ShardRef &Shard, KeyHash Key);
  /// \returns whether it was the key's last order.
  bool finish(const ShardRef &Shard, KeyHash Key);
  bool empty() const { return m_Shards.empty(); }
  bool empty(const ShardRef &Shard) const { return !m_Shards.contains(Shard); }
  std::vector<KeyHash> keys(const ShardRef &Shard) const;

private:
  /// Invariant: no count is 0 and no shard is without keys.
  std::unordered_map<ShardRef, std::unordered_map<KeyHash, std::uint32_t>>
      m_Shards;
};

} // namespace balsamwheel
