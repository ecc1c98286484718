// Maps outcomes and reasons to their names in answers to callers.
#include "balsamwheel/detail/core/outcome.h"

namespace balsamwheel {

std::string_view toString(Outcome Value) {
  switch (Value) {
  case Outcome::Done:
    return "done";
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Unknown:
    return "outcome_unknown";
  case Outcome::Wait:
    return "wait";
  }
  return "outcome_unknown";
}

std::string_view toString(Reason Value) {
  switch (Value) {
  case Reason::None:
    return "none";
  case Reason::NotOwner:
    return "not_owner";
  case Reason::NoOwner:
    return "no_owner";
  case Reason::LeaseExpired:
    return "lease_expired";
  case Reason::Overloaded:
    return "overloaded";
  case Reason::DeadlinePassed:
    return "deadline_passed";
  case Reason::DomainOut:
    return "domain_out";
  case Reason::Draining:
    return "draining";
  case Reason::UnknownService:
    return "unknown_service";
  case Reason::BadRequest:
    return "bad_request";
  case Reason::TargetFailed:
    return "target_failed";
  case Reason::PeerLost:
    return "peer_lost";
  case Reason::HandoverPending:
    return "handover_pending";
  case Reason::AlreadyRan:
    return "already_ran";
  case Reason::MemoryLost:
    return "memory_lost";
  case Reason::CrashesTargets:
    return "crashes_targets";
  case Reason::UnknownApiKey:
    return "unknown_api_key";
  case Reason::OverQuota:
    return "over_quota";
  case Reason::QuotaUnavailable:
    return "quota_unavailable";
  case Reason::Cancelled:
    return "cancelled";
  }
  return "none";
}

} // namespace balsamwheel
