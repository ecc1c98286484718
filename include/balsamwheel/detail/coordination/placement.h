// Assigns shards to members by rendezvous hashing with a bounded number of
// shards per member.
#pragma once

#include "balsamwheel/detail/coordination/map_row.h"
#include "balsamwheel/detail/core/ids.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// A member that may own shards.
struct PlacementCandidate {
  SessionId m_Session;
  /// Hash of the instance's name, so that an instance keeps its scores when it
  /// restarts.
  std::uint64_t m_Hash = 0;
  /// The candidate's share of the shards is proportional to this, e.g. its
  /// slots.
  std::uint32_t m_Weight = 1;
};

/// Chooses an owner for one shard at a time: the candidate with the highest
/// score among those below their bound. The bound is the weighted share,
/// rounded up.
///
/// Invariant: no candidate is chosen beyond its bound while another one is
/// below its own bound.
class Placement {
public:
  Placement(const std::vector<PlacementCandidate> &Candidates,
            std::uint32_t ShardCount);

  /// Records that a candidate owns one shard more, or one less.
  void add(SessionId Owner);
  void remove(SessionId Owner);
  /// The candidate that should own a shard; none if there are no candidates.
  /// Complexity: linear in the candidates.
  std::optional<SessionId> choose(std::uint64_t ShardHash) const;
  bool contains(SessionId Session) const;
  std::uint32_t count(SessionId Session) const;
  /// The weighted share of a candidate, in shards.
  double share(SessionId Session) const;
  /// Whether a candidate owns far more or far fewer shards than its share.
  bool isUnbalanced() const;
  /// Whether a candidate owns more shards than its bound, or more than its
  /// share rounded down while another candidate owns fewer than that.
  bool hasSurplus(SessionId Session) const;
  bool empty() const { return m_Candidates.empty(); }

private:
  struct CandidateState {
    PlacementCandidate m_Candidate;
    double m_Share = 0;
    /// The share rounded down.
    std::uint32_t m_Floor = 0;
    /// The share rounded up.
    std::uint32_t m_Bound = 0;
    /// Number of shards owned.
    std::uint32_t m_Count = 0;
  };

  const CandidateState *find(SessionId Session) const;
  bool anyBelowFloor() const;

  std::vector<CandidateState> m_Candidates;
  /// Number of shards that remain when every candidate owns its share rounded
  /// down, and how many shards candidates own beyond that.
  std::uint32_t m_Remainder = 0;
  std::uint32_t m_RemainderUsed = 0;
  /// Position in m_Candidates by session.
  std::unordered_map<SessionId, std::size_t> m_Index;
};

} // namespace balsamwheel
