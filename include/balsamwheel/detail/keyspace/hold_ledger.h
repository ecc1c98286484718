// Tracks which keys one target holds: the grants in the answers to its
// heartbeats, and the keys that it has released. Performs no I/O and reads no
// clock.
//
// At the target a hold starts when the heartbeat is sent. It therefore ends at
// most one hold time, on the slowest permitted clock, after the heartbeat
// arrived, however late the answer is delivered.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/keyspace/key_map.h"

#include <optional>
#include <vector>

namespace balsamwheel {

struct HoldOptions {
  /// Validity of a grant, on the target's clock.
  Duration m_Hold = std::chrono::seconds(7);
  /// Maximum length of a hold on a slow target clock, as a factor of m_Hold.
  double m_SlowClockFactor = 1.02;
  /// Added to the end of a hold to cover rounding by clocks and timers.
  Duration m_Margin = std::chrono::milliseconds(300);
};

/// Maximum time after a revocation for which the revoked owner may still hold
/// its keys: a daemon that has not seen the revocation grants keys for up to
/// \p MaxMapAge after its last check of the map, and the last grant is valid
/// for a hold time on the slowest permitted clock. The result includes twice
/// m_Margin.
Duration revocationWait(const HoldOptions &Holds, Duration MaxMapAge);

/// Keys that a target reports that it holds. The spans here and below include
/// both ends.
struct HeldSpan {
  KeyIndex m_First = 0;
  KeyIndex m_Last = 0;
  Epoch m_Fence;
};

/// Keys that a target has released.
struct ReleasedSpan {
  KeyIndex m_First = 0;
  KeyIndex m_Last = 0;
  /// Handover token, with which the next owner can start with a warm state;
  /// empty when there is none.
  HandoverToken m_HandoverToken;

  bool operator==(const ReleasedSpan &) const = default;
};

/// Keys that a target may hold.
struct GrantSpan {
  KeyIndex m_First = 0;
  KeyIndex m_Last = 0;
  Epoch m_Fence;
  HandoverToken m_HandoverToken;
};

/// The part of a heartbeat that concerns keys.
struct HoldReport {
  std::vector<HeldSpan> m_Holds;
  std::vector<ReleasedSpan> m_Released;
};

/// Whether the map assigns the key to \p Owner, now or once the present owner
/// has released it.
bool isAssigned(const KeyMap &Map, KeyIndex Key, const KeyOwner &Owner);

/// For targets that get their grants in the answers to heartbeats; see
/// CallHoldLedger for the others. Not thread-safe.
class HoldLedger {
public:
  HoldLedger(HoldOptions Options, KeyOwner Self)
      : m_Options(Options), m_Self(std::move(Self)) {}

  const KeyOwner &self() const { return m_Self; }

  /// Processes a heartbeat; to be called before grant().
  void report(const HoldReport &Report);
  /// Returns the grants for the answer to a heartbeat that arrived at
  /// \p Arrived; an empty result renews no hold. To be called only by a daemon
  /// that knows that \p Map is in force at \p Arrived.
  std::vector<GrantSpan> grant(const KeyMap &Map, TimePoint Arrived);

  /// Whether the target certainly holds the key at \p Now, on any permitted
  /// clock.
  bool holds(KeyIndex Key, TimePoint Now) const;
  /// The keys that the target certainly holds at \p Now.
  std::vector<HeldSpan> held(TimePoint Now) const;
  /// Time from which on the target certainly holds no keys, unless it gets
  /// another grant.
  TimePoint heldUntil() const { return m_HeldUntil; }

  /// Returns the keys that the map takes away from this target and that the
  /// target has released.
  std::vector<ReleasedSpan> completedReleases(const KeyMap &Map) const;

private:
  /// Heartbeats since the last change of the grants after which keys that are
  /// neither reported nor granted count as released.
  static constexpr int ReportsUntilReleased = 2;

  HoldOptions m_Options;
  KeyOwner m_Self;
  std::vector<GrantSpan> m_Granted;
  /// Until then the target holds m_Granted, even on the fastest permitted
  /// clock.
  TimePoint m_GrantedUntil;
  /// Until then the target may hold m_Granted, on the slowest permitted clock.
  TimePoint m_HeldUntil;
  std::vector<HeldSpan> m_Reported;
  /// Heartbeats since the last change of the granted spans.
  int m_ReportsSinceChange = 0;
  /// Invariants: disjoint; contains no key that the latest heartbeat reported
  /// as held or that m_Granted contains. A key of it was therefore released
  /// after its last grant.
  std::vector<ReleasedSpan> m_Released;
};

} // namespace balsamwheel
