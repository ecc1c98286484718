// State of an owner of keys whose target is no longer reported by any daemon.
#pragma once

#include "balsamwheel/detail/keyspace/key_planner.h"

#include <optional>

namespace balsamwheel {

/// Known facts about an owner that the key map names but that isn't the target
/// which its instance reports.
struct UnreportedOwner {
  /// The daemon of the owner's instance is reachable.
  bool m_Reachable = false;
  /// That daemon now serves a target of another service: the instance was
  /// reassigned, and no target there will adopt the keys.
  bool m_ServesOtherService = false;
  /// Condition of that daemon's current target, if reported.
  std::optional<TargetCondition> m_Reported;
  /// How long that daemon has been unreachable; none while it is reachable.
  std::optional<Duration> m_DownFor;
};

/// How long an unreachable owner of keys is assumed to be restarting.
inline constexpr Duration OwnerLossTimeout = std::chrono::milliseconds(2500);

/// Derives the condition of the owner. Lost: its keys are to be revoked, and
/// become free when its hold has expired. Ended: no target holds its keys any
/// more. NoNewKeys: it keeps its keys, since the next target of its instance is
/// expected to adopt them.
inline TargetCondition conditionOf(const UnreportedOwner &Owner) {
  if (Owner.m_Reachable && Owner.m_ServesOtherService)
    return TargetCondition::Lost;
  if (Owner.m_Reachable && Owner.m_Reported)
    return *Owner.m_Reported == TargetCondition::Ended
               ? TargetCondition::Ended
               : TargetCondition::NoNewKeys;
  if (Owner.m_DownFor && *Owner.m_DownFor <= OwnerLossTimeout)
    return TargetCondition::NoNewKeys;
  return TargetCondition::Lost;
}

} // namespace balsamwheel
