// Safety rules that guarantee a single owner per shard and at most one run per
// non-idempotent request. Each rule is checked in exactly one place; a build
// may disable one of them to verify that the tests detect its absence.
#pragma once

#include <cstdint>

namespace balsamwheel {

enum class Rule : std::uint8_t {
  /// A permit requires a lease that has not expired.
  LeaseCheck = 1,
  /// A permit requires that the newest known assignment of the shard names this
  /// session.
  EpochCompare = 2,
  /// A daemon takes over from a member only after the lease granted by the
  /// member's last observed renewal has certainly expired.
  TakeoverWait = 3,
  /// A commit without a reply counts as applied only after a re-read shows its
  /// write id.
  WriteIdConfirmation = 4,
  /// A non-idempotent request id is started at most once.
  AtMostOnceRecord = 5,
  /// A lower configuration version is never applied.
  MonotoneVersion = 6,
  /// A new owner serves only after the former owner has yielded.
  YieldWait = 7,
  /// A witness grants no lease extension after it promised not to.
  WitnessPromise = 8,
};

/// Whether a rule is enforced; true unless the build defines
/// BALSAMWHEEL_DISABLED_RULE as the rule's number.
template <Rule R> constexpr bool enforced() {
#ifdef BALSAMWHEEL_DISABLED_RULE
  return static_cast<int>(R) != BALSAMWHEEL_DISABLED_RULE;
#else
  return true;
#endif
}

} // namespace balsamwheel
