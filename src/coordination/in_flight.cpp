// Counts of the orders that run at the local target.
#include "balsamwheel/detail/coordination/in_flight.h"

namespace balsamwheel {

void InFlightKeys::start(const ShardRef &Shard, KeyHash Key) {
  ++m_Shards[Shard][Key];
}

bool InFlightKeys::finish(const ShardRef &Shard, KeyHash Key) {
  const auto Keys = m_Shards.find(Shard);
  if (Keys == m_Shards.end())
    return false;
  const auto Count = Keys->second.find(Key);
  if (Count == Keys->second.end())
    return false;
  if (--Count->second != 0)
    return false;
  Keys->second.erase(Count);
  if (Keys->second.empty())
    m_Shards.erase(Keys);
  return true;
}

std::vector<KeyHash> InFlightKeys::keys(const ShardRef &Shard) const {
  std::vector<KeyHash> Result;
  const auto Keys = m_Shards.find(Shard);
  if (Keys == m_Shards.end())
    return Result;
  for (const auto &[Key, Count] : Keys->second)
    Result.push_back(Key);
  return Result;
}

} // namespace balsamwheel
