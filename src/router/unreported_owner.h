// What becomes of an owner of keys whose target nobody reports any more.
#pragma once

#include "balsamwheel/detail/keyspace/key_planner.h"

#include <optional>

namespace balsamwheel {

/// What is known of an owner that the key map names, but that isn't the target
/// which its instance reports.
struct UnreportedOwner {
  /// The daemon of its instance is in reach.
  bool m_Up = false;
  /// That daemon serves a target of another service now: the instance was given
  /// away, and nobody there will adopt the keys.
  bool m_ServesOtherwise = false;
  /// What that daemon says of its present target.
  std::optional<TargetCondition> m_Reported;
  /// Since when the daemon has been out of reach.
  std::optional<Duration> m_DownFor;
};

/// How long an unreachable owner of keys is taken to be restarting.
inline constexpr Duration OwnerLostAfter = std::chrono::milliseconds(2500);

/// Lost means that the keys are revoked, which waits their hold out; Shaken
/// that they stay, as the instance is expected to take them up again.
inline TargetCondition conditionOf(const UnreportedOwner &Owner) {
  if (Owner.m_Up && Owner.m_ServesOtherwise)
    return TargetCondition::Lost;
  if (Owner.m_Up && Owner.m_Reported)
    return *Owner.m_Reported == TargetCondition::Ended
               ? TargetCondition::Ended
               : TargetCondition::Shaken;
  if (Owner.m_DownFor && *Owner.m_DownFor <= OwnerLostAfter)
    return TargetCondition::Shaken;
  return TargetCondition::Lost;
}

} // namespace balsamwheel
