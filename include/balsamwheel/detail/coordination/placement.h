// Which member owns which shard: rendezvous hashing with bounded counts.
#pragma once

#include "balsamwheel/detail/coordination/map_row.h"
#include "balsamwheel/detail/core/ids.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// A member that may be given shards.
struct PlacementCandidate {
  SessionId m_Session;
  /// Hash of the instance's name, so that a restart keeps its preferences.
  std::uint64_t m_Hash = 0;
  /// Share of the shards it gets, e.g. its slots.
  std::uint32_t m_Weight = 1;
};

/// Hands out shards one by one, each to the candidate with the highest score
/// that has room.
///
/// Invariant: no candidate is given a shard beyond its bound, the weighted
/// share rounded up, while another has room.
class Placement {
public:
  Placement(const std::vector<PlacementCandidate> &Candidates,
            std::uint32_t ShardCount);

  /// A candidate owns one shard more, or less.
  void add(SessionId Owner);
  void remove(SessionId Owner);
  /// The candidate that should own a shard; none without candidates.
  /// Complexity: linear in the candidates.
  std::optional<SessionId> choose(std::uint64_t ShardHash) const;
  bool contains(SessionId Session) const;
  std::uint32_t count(SessionId Session) const;
  /// The weighted share of a candidate.
  double share(SessionId Session) const;
  /// A candidate owns far more or less than its share.
  bool isUnbalanced() const;
  /// A candidate owns more than its bound, or as much while one has less than
  /// its share rounded down.
  bool hasSurplus(SessionId Session) const;
  bool empty() const { return m_Slots.empty(); }

private:
  struct Slot {
    PlacementCandidate m_Candidate;
    double m_Share = 0;
    /// The share rounded down and up.
    std::uint32_t m_Floor = 0;
    std::uint32_t m_Bound = 0;
    std::uint32_t m_Count = 0;
  };

  const Slot *find(SessionId Session) const;
  bool someoneLacks() const;

  std::vector<Slot> m_Slots;
  /// Shards that remain when every candidate has its share rounded down, and
  /// how many of them are given out.
  std::uint32_t m_Surplus = 0;
  std::uint32_t m_SurplusUsed = 0;
  std::unordered_map<SessionId, std::size_t> m_Index;
};

} // namespace balsamwheel
