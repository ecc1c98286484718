// Result codes that callers receive for their requests.
#pragma once

#include <cstdint>
#include <string_view>

namespace balsamwheel {

/// The machine-readable result of a request.
enum class Outcome : std::uint8_t {
  /// The target ran the request; its complete answer follows.
  Done,
  /// No target ran any part of the request: it was not sent to a target, or the
  /// target refused it without running it.
  NotRun,
  /// The request may or may not have run.
  Unknown,
  /// As for NotRun; the caller may retry after the given time.
  Wait,
};

/// Why a request was not run, or why its outcome is unknown.
enum class Reason : std::uint8_t {
  None,
  NotOwner,
  NoOwner,
  LeaseExpired,
  Overloaded,
  DeadlinePassed,
  DomainOut,
  Draining,
  UnknownService,
  BadRequest,
  TargetFailed,
  PeerLost,
  HandoverPending,
  /// The request ran, but its answer was not kept.
  AlreadyRan,
  /// The records that could prove that an earlier attempt did not run are
  /// incomplete.
  MemoryLost,
  Cancelled,
  /// Targets that ran the request have crashed.
  CrashesTargets,
  /// No organisation holds the API key.
  UnknownApiKey,
  /// The organisation has used up its quota.
  OverQuota,
  /// The quota of the organisation can't be checked at the moment.
  QuotaUnavailable,
};

/// Returns the name used in answers to callers, e.g. "not_run".
std::string_view toString(Outcome Value);

/// Returns the name used in answers to callers, e.g. "not_owner".
std::string_view toString(Reason Value);

} // namespace balsamwheel
