// Tracks which keys one target holds that is granted keys by calls, and decides
// which call to send next. Performs no I/O and reads no clock.
//
// At the target a hold starts when the call arrives. A call that gets no answer
// counts as applied at its latest possible arrival, which is when its
// connection was closed, and may still be applied after later calls.
#pragma once

#include "balsamwheel/detail/keyspace/hold_ledger.h"

#include <map>
#include <optional>
#include <vector>

namespace balsamwheel {

struct CallHoldOptions {
  HoldOptions m_Holds;
  /// Interval at which a grant is renewed.
  Duration m_RenewInterval = std::chrono::milliseconds(2200);
  /// Delay before a call that failed is sent again.
  Duration m_RetryDelay = std::chrono::milliseconds(250);
  /// Maximum number of grants, and of releases, in progress at a time.
  std::size_t m_MaxCalls = 4;
  /// Maximum time from the decision to send a grant until its answer; its
  /// connection is closed then.
  Duration m_GrantTimeout = std::chrono::milliseconds(500);
};

enum class HoldCallKind : std::uint8_t { Grant, Release };

/// A call to the target; a part of a grant may be released.
struct HoldCall {
  HoldCallKind m_Kind = HoldCallKind::Grant;
  GrantSpan m_Span;
};

enum class HoldCallOutcome : std::uint8_t {
  Applied,
  /// The target has seen a higher fencing token for one of the keys.
  FenceTooLow,
  /// No byte of the call was sent.
  NotSent,
  /// No valid answer: the call may have been applied or may be applied later.
  Unknown,
};

/// Invariants: a key for which holds() is true was granted with the present
/// fencing token, by an answered call, and no release of it was decided since;
/// a key is reported by completedReleases() only if no call can still make the
/// target hold it. Not thread-safe.
class CallHoldLedger {
public:
  using CallId = StrongId<struct HoldCallIdTag, std::uint64_t>;

  /// \param EarlierGrantsEnd until then the target may hold any keys, from
  ///        calls of a previous daemon.
  CallHoldLedger(CallHoldOptions Options, KeyOwner Self,
                 TimePoint EarlierGrantsEnd)
      : m_Options(Options), m_Self(std::move(Self)),
        m_EarlierGrantsEnd(EarlierGrantsEnd) {}

  struct StartedCall {
    CallId m_Id;
    HoldCall m_Call;
  };

  /// Returns the next call to send now and counts it as in progress; none if
  /// nothing is due. Keys that the map takes away count as not held from now
  /// on.
  ///
  /// \param MayGrant whether \p Map is known to be in force.
  /// Complexity: spans of the map times spans of this target.
  std::optional<StartedCall> nextCall(const KeyMap &Map, bool MayGrant,
                                      TimePoint Now);
  /// Processes the end of a call.
  /// \param Token handover token of an applied release.
  void callEnded(CallId Call, HoldCallOutcome Outcome,
                 const HandoverToken &Token, TimePoint Now);
  /// The target has refused a request although holds() was true for its key.
  void refuted(KeyIndex Key, TimePoint Now);

  bool holds(KeyIndex Key, TimePoint Now) const;
  std::vector<HeldSpan> held(TimePoint Now) const;
  TimePoint heldUntil() const;
  std::vector<ReleasedSpan> completedReleases(const KeyMap &Map,
                                              TimePoint Now) const;
  /// The spans whose fencing tokens the target has refused as too low.
  const std::vector<HeldSpan> &refusedGrants() const { return m_Refused; }

private:
  /// Keys that the target may hold with one fencing token.
  struct Hold {
    KeyIndex m_First = 0;
    KeyIndex m_Last = 0;
    Epoch m_Fence;
    /// Until then the target holds the keys, on any permitted clock.
    TimePoint m_CertainUntil;
    /// Until then the target may hold the keys, on any permitted clock.
    TimePoint m_PossibleUntil;
    TimePoint m_GrantedAt;
  };
  /// A grant without an answer.
  struct LateGrant {
    KeyIndex m_First = 0;
    KeyIndex m_Last = 0;
    TimePoint m_PossibleUntil;
  };
  struct Release {
    KeyIndex m_First = 0;
    KeyIndex m_Last = 0;
    Epoch m_Fence;
    HandoverToken m_Token;
  };
  /// Keys for which no call is sent until a time.
  struct Delay {
    KeyIndex m_First = 0;
    KeyIndex m_Last = 0;
    TimePoint m_Until;
  };
  struct CallInProgress {
    HoldCall m_Call;
    TimePoint m_StartedAt;
  };

  TimePoint possibleUntil(TimePoint LatestArrival) const;
  void dropExpired(TimePoint Now);
  bool mayCall(HoldCallKind Kind, KeyIndex First, KeyIndex Last,
               TimePoint Now) const;
  bool isOwned(const KeySpan &Span) const {
    return Span.m_State == SpanState::Owned && Span.m_Owner == m_Self;
  }
  std::optional<HoldCall> nextRelease(const KeyMap &Map, TimePoint Now);
  std::optional<HoldCall> nextGrant(const KeyMap &Map, TimePoint Now) const;
  /// When the grant of an owned span is due; in the past if a part of it isn't
  /// held.
  TimePoint grantDue(const KeySpan &Span, TimePoint Now) const;
  /// Ends the holds of a range with fencing tokens up to \p Fence.
  void removeHolds(KeyIndex First, KeyIndex Last, Epoch Fence);
  /// Splits the holds that contain \p First or \p Last, so that no hold is
  /// partly in the range.
  void splitHolds(KeyIndex First, KeyIndex Last);

  CallHoldOptions m_Options;
  KeyOwner m_Self;
  TimePoint m_EarlierGrantsEnd;
  std::uint64_t m_LastCall = 0;
  std::map<CallId, CallInProgress> m_Calls;
  std::vector<Hold> m_Holds;
  std::vector<LateGrant> m_Late;
  std::vector<Release> m_Released;
  std::vector<Delay> m_Delays;
  std::vector<HeldSpan> m_Refused;
};

/// Gives new fencing tokens to the spans of \p Owner whose tokens its target
/// has refused as too low.
KeyMap reissueFences(const KeyMap &Map, const KeyOwner &Owner,
                     const std::vector<HeldSpan> &Refused);

/// Maximum time after a revocation for which the revoked owner may still hold
/// its keys; see revocationWait() for targets that are granted keys in the
/// answers to heartbeats.
inline Duration revocationWait(const CallHoldOptions &Options,
                               Duration MaxMapAge) {
  return revocationWait(Options.m_Holds, MaxMapAge) + Options.m_GrantTimeout;
}

} // namespace balsamwheel
