// Decides who should own which keys: first assignment, replacement of lost
// owners, planned moves. Pure: every function edits a copy of the map, which
// counts only once it is committed against the version it was made from.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/keyspace/key_map.h"

#include <array>
#include <map>
#include <vector>

namespace balsamwheel {

/// Load of a service's keys, in slices of equal size. A hot stretch is some 60
/// to 200 keys long.
inline constexpr std::size_t KeySlices = 1024;
inline constexpr std::uint32_t KeysPerSlice = KeyCount / KeySlices;
/// Work a second, in busy slots, that the keys of each slice cause.
using SliceLoads = std::array<float, KeySlices>;

enum class TargetCondition : std::uint8_t {
  /// May own keys.
  Fit,
  /// Keeps what it owns, gets nothing new.
  Shaken,
  /// Alive, but is to give its keys up in order.
  Leaving,
  /// Known to hold nothing any more.
  Ended,
  /// Out of reach; what it holds is unknown.
  Lost,
};

struct KeyCandidate {
  KeyOwner m_Owner;
  TargetCondition m_Condition = TargetCondition::Fit;
  /// Relative capacity; 1 is usual.
  double m_Capacity = 1;
};

struct KeyPlannerOptions {
  /// From the moment a revocation is seen in the table until the revoked
  /// owner can hold nothing any more; see revocationWait().
  Duration m_RevocationWait = std::chrono::seconds(11);
  /// Share of a target's fair part of the load by which it may exceed it
  /// before keys move.
  double m_Tolerance = 0.4;
};

/// Keeps since when each revocation has been seen. Not thread-safe.
class KeyPlanner {
public:
  explicit KeyPlanner(KeyPlannerOptions Options) : m_Options(Options) {}

  /// Notes what a newly seen version of the map revokes.
  void observe(const KeyMap &Map, TimePoint Now);

  /// The next state of the map; equal to \p Map when nothing is to be done.
  ///
  /// Rules, in order: lost owners are revoked; revocations whose wait is over
  /// become free; owners that leave release to heirs; free keys go to the
  /// target with the least load for its capacity; a target with far more than
  /// its fair part releases the slices that exceed it.
  ///
  /// Complexity: linear in spans, plus slices times candidates.
  KeyMap plan(const KeyMap &Map, const std::vector<KeyCandidate> &Candidates,
              const SliceLoads &Loads, TimePoint Now) const;

private:
  struct RevocationKey {
    KeyIndex m_First;
    KeyIndex m_Last;
    Epoch m_Fence;
    auto operator<=>(const RevocationKey &) const = default;
  };

  static RevocationKey keyOf(const KeySpan &Span) {
    return {Span.m_First, Span.m_Last, Span.m_Fence};
  }

  KeyPlannerOptions m_Options;
  std::map<RevocationKey, TimePoint> m_RevokedSince;
};

/// Gives the keys of earlier incarnations on an instance to its present one:
/// a target that has started again proves that the earlier one has ended.
KeyMap adoptEarlierIncarnations(const KeyMap &Map, const KeyOwner &Present);

/// The owner gave the keys of [First, Last] up with \p Token: what it was to
/// release passes to the heirs, what was revoked becomes free.
KeyMap completeRelease(const KeyMap &Map, const KeyOwner &Owner, KeyIndex First,
                       KeyIndex Last, const std::string &Token);

/// The owner's hold has certainly ended without a handover.
KeyMap freeOwnedBy(const KeyMap &Map, const KeyOwner &Owner);

} // namespace balsamwheel
