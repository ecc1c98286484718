// State of an owner of keys whose target is no longer reported by any daemon.
#pragma once

#include "balsamwheel/detail/keyspace/key_planner.h"

#include <map>
#include <optional>
#include <vector>

namespace balsamwheel {

/// Known facts about an owner that the key map names but that isn't the target
/// which its instance reports.
struct UnreportedOwner {
  /// The daemon of the owner's instance is reachable.
  bool m_Reachable = false;
  /// That daemon now serves a target of another service: the instance was
  /// reassigned, and no target there will adopt the keys.
  bool m_ServesOtherService = false;
  /// Condition of that daemon's current target, or of its instance while it has
  /// none; none if it isn't reported.
  std::optional<TargetCondition> m_Reported;
  /// The current target was started after the owner, which has thus ended.
  bool m_Restarted = false;
  /// For how long that daemon has had another target than the owner.
  Duration m_ReplacedFor{0};
  /// How long that daemon has been unreachable; none while it is reachable.
  std::optional<Duration> m_DownFor;
};

/// How long an unreachable owner of keys is assumed to be restarting.
inline constexpr Duration OwnerLossTimeout = std::chrono::milliseconds(2500);
/// How long the next target of an instance may take to adopt the keys of its
/// earlier one. Longer only if nobody who would do it can: the target is silent
/// and its daemon doesn't reach the table, or the clock was set back between
/// the two starts.
inline constexpr Duration AdoptionTimeout = std::chrono::milliseconds(2500);

/// Derives the condition of the owner. Lost: its keys are to be revoked, and
/// become free when its hold has expired. Ended: no target holds its keys any
/// more. NoNewKeys: it keeps its keys for now, since the next target of its
/// instance is expected to adopt them.
///
/// No facts that last keep an owner at NoNewKeys: while an instance has no
/// target it becomes Ended, the other cases end with a time-out.
inline TargetCondition conditionOf(const UnreportedOwner &Owner) {
  if (Owner.m_Reachable && Owner.m_ServesOtherService)
    return TargetCondition::Lost;
  if (Owner.m_Reachable && Owner.m_Reported) {
    if (*Owner.m_Reported == TargetCondition::Ended)
      return TargetCondition::Ended;
    // A target that leaves adopts no keys.
    if (*Owner.m_Reported == TargetCondition::Leaving && Owner.m_Restarted)
      return TargetCondition::Ended;
    return Owner.m_ReplacedFor <= AdoptionTimeout ? TargetCondition::NoNewKeys
                                                  : TargetCondition::Lost;
  }
  if (Owner.m_DownFor && *Owner.m_DownFor <= OwnerLossTimeout)
    return TargetCondition::NoNewKeys;
  return TargetCondition::Lost;
}

/// Remembers since when the owners in a key map have been replaced by other
/// targets on their instances. Not thread-safe.
class ReplacedOwners {
public:
  /// Notes the owners that are replaced at \p Now; the others are forgotten.
  void observe(const std::vector<KeyOwner> &Replaced, TimePoint Now) {
    std::map<KeyOwner, TimePoint> Seen;
    // What happened during a long pause isn't known.
    const bool Continued = Now - m_ObservedAt <= MaxPause;
    for (const KeyOwner &Each : Replaced) {
      const auto Known = m_Since.find(Each);
      Seen[Each] = Continued && Known != m_Since.end() ? Known->second : Now;
    }
    m_Since = std::move(Seen);
    m_ObservedAt = Now;
  }
  /// For how long the owner has been replaced; zero if it isn't.
  Duration replacedFor(const KeyOwner &Owner, TimePoint Now) const {
    const auto Known = m_Since.find(Owner);
    return Known == m_Since.end() ? Duration::zero() : Now - Known->second;
  }

private:
  static constexpr Duration MaxPause = std::chrono::seconds(2);

  std::map<KeyOwner, TimePoint> m_Since;
  TimePoint m_ObservedAt;
};

} // namespace balsamwheel
