// The rules that keep a single owner and at most one run. Each is checked at
// one place of its own; a build may disable one to prove that the tests
// notice.
#pragma once

#include <cstdint>

namespace balsamwheel {

enum class Rule : std::uint8_t {
  /// A permit needs a lease that still holds.
  LeaseCheck = 1,
  /// A permit needs the newest known assignment to name this session.
  EpochCompare = 2,
  /// A taker waits until the last renewal it saw has surely lapsed.
  TakerWait = 3,
  /// A commit without an answer counts only after a re-read shows its id.
  WriteIdSettling = 4,
  /// A non-idempotent request id is started at most once.
  AtMostOnceRecord = 5,
  /// The configuration never falls to a lower version.
  MonotoneVersion = 6,
  /// A new owner serves only after the former owner has yielded.
  YieldWait = 7,
  /// A witness that gave a promise grants no extension.
  WitnessPromise = 8,
};

/// Whether a rule is in force; true unless the build defines
/// BALSAMWHEEL_DISABLED_RULE as the rule's number.
template <Rule R> constexpr bool enforced() {
#ifdef BALSAMWHEEL_DISABLED_RULE
  return static_cast<int>(R) != BALSAMWHEEL_DISABLED_RULE;
#else
  return true;
#endif
}

} // namespace balsamwheel
