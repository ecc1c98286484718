// Plans the assignment of keys to targets: initial assignment, replacement of
// lost owners, planned moves. Performs no I/O and reads no clock: every
// function returns a changed copy of the map, which takes effect only when it
// is committed against the version that it was derived from.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/keyspace/hold_ledger.h"
#include "balsamwheel/detail/keyspace/key_map.h"
#include "balsamwheel/detail/platform/table.h"

#include <array>
#include <map>
#include <vector>

namespace balsamwheel {

/// The load of a service's keys is measured in slices of equal size. A hot
/// range is typically 60 to 200 keys long.
inline constexpr std::size_t KeySliceCount = 1024;
inline constexpr std::uint32_t KeysPerSlice = KeyCount / KeySliceCount;
/// Load of the keys of each slice, all in the same unit; the router measures
/// requests per second.
using SliceLoads = std::array<float, KeySliceCount>;

enum class TargetCondition : std::uint8_t {
  /// May keep and get keys.
  Eligible,
  /// Keeps its keys, but gets no new ones.
  NoNewKeys,
  /// Alive, but has to release its keys with a handover.
  Leaving,
  /// Held no keys when this was observed. It may be granted the keys of its
  /// owned spans again afterwards.
  Ended,
  /// Unreachable; it is unknown which keys it holds.
  Lost,
};

/// Name of a condition, for logs.
const char *conditionName(TargetCondition Condition);

struct KeyCandidate {
  KeyOwner m_Owner;
  TargetCondition m_Condition = TargetCondition::Eligible;
  /// Capacity relative to a usual target, whose capacity is 1.
  double m_Capacity = 1;
  /// Load that the target takes at most, in the unit of the loads; none without
  /// a limit.
  std::optional<double> m_LoadLimit;
};

struct KeyPlannerOptions {
  /// Time from seeing a revocation in the table until the revoked owner can't
  /// hold any key any more; see revocationWait().
  Duration m_RevocationWait = std::chrono::seconds(11);
  /// Fraction of a target's fair share of the load by which its load may differ
  /// from that share before keys move.
  double m_Tolerance = 0.4;
};

/// Plans changes of the key map of one era. Remembers when each revoked or
/// unconfirmed span was first seen. Not thread-safe.
class KeyPlanner {
public:
  explicit KeyPlanner(KeyPlannerOptions Options) : m_Options(Options) {}

  /// Records the revocations and unconfirmed spans in a new version of the map.
  void observe(const KeyMap &Map, TimePoint Now);

  /// Returns the next state of the map; equal to \p Map when there is nothing
  /// to do.
  ///
  /// Rules, in order: the keys of ended and of lost owners are revoked; a
  /// release is cancelled if the next owner can't get keys any more; revoked
  /// keys become free when the revocation wait is over, or return to their
  /// owner if it is reachable again before; unconfirmed keys become free when
  /// the revocation wait is over; leaving owners release their keys to next
  /// owners; free keys go to the target with the least load relative to its
  /// capacity; if few other changes are pending (none with less than eight
  /// targets) and the loads differ too much from the fair share, the most
  /// loaded targets release their hottest keys.
  ///
  /// No key of an ended owner becomes free in the version in which it may still
  /// be granted to that owner: a commit may take effect long after the owner
  /// has returned, if the row is unchanged. See freeEnded().
  ///
  /// Complexity: linear in the spans, plus slices times candidates.
  KeyMap plan(const KeyMap &Map, const std::vector<KeyCandidate> &Candidates,
              const SliceLoads &Loads, TimePoint Now) const;

private:
  struct RevocationId {
    KeyIndex m_First;
    KeyIndex m_Last;
    Epoch m_Fence;
    RowVersion m_RevokedFrom;
    auto operator<=>(const RevocationId &) const = default;
  };

  static RevocationId revocationId(const KeySpan &Span) {
    return {Span.m_First, Span.m_Last, Span.m_Fence, Span.m_RevokedFrom};
  }

  /// Whether no earlier hold of the keys can still be valid.
  bool waitIsOver(const KeySpan &Span, TimePoint Now) const;

  KeyPlannerOptions m_Options;
  std::map<RevocationId, TimePoint> m_RevokedSince;
};

/// Assigns the keys of earlier incarnations on instances to the present ones:
/// the restart of a target proves that its earlier incarnation has ended.
KeyMap adoptEarlierIncarnations(const KeyMap &Map,
                                const std::vector<KeyOwner> &Present);

/// Records in the map that \p Owner has released the keys in [First, Last] with
/// handover token \p Token: releasing spans pass to their next owners, revoked
/// spans become free.
KeyMap completeRelease(const KeyMap &Map, const KeyOwner &Owner, KeyIndex First,
                       KeyIndex Last, const HandoverToken &Token);

/// First map of an era, from the latest known one of an earlier era. The store
/// may have lost later ones: no span keeps its state, and the fencing tokens
/// issued from now on are above all that the lost maps can contain.
KeyMap restoreMap(const KeyMap &Earlier, StoreEra Era);

/// Confirms the unconfirmed spans of \p Owner whose keys it has held, with the
/// same fencing token, since before the store lost writes: no map, lost or not,
/// can have given them to another.
KeyMap confirmHeld(const KeyMap &Map, const KeyOwner &Owner,
                   const std::vector<HeldSpan> &Held);

/// Marks the spans of \p Next that aren't revoked in \p Map as revoked from
/// \p Version, the row version of \p Map, and removes the marks of spans that
/// aren't revoked any more. To be called before \p Next is committed: a planner
/// that has missed the versions between two revocations of the same keys would
/// count the wait from the first one.
KeyMap markRevocations(KeyMap Next, const KeyMap &Map, RowVersion Version);

/// What the daemon of an instance knows of the targets that have run there.
struct EndedTargets {
  InstanceName m_Instance;
  /// None of them holds keys.
  bool m_All = false;
  /// Those that were started earlier have ended; none if no target is known.
  std::optional<TargetIncarnation> m_Present;
};

/// Makes the revoked keys of targets whose holds have ended free, without a
/// handover. To be called by the daemon of the instance: it is the only one
/// that grants keys to these targets, and grants none that it sees revoked, so
/// that the result stays true for as long as the row has the version of \p Map.
KeyMap freeEnded(const KeyMap &Map, const EndedTargets &Ended);

} // namespace balsamwheel
