// What one target holds: the grants its heartbeats are answered with, and the
// keys it has given back. Pure.
//
// A hold runs from the moment at which the heartbeat was sent, so it never
// outlasts the heartbeat's arrival by more than the hold time on the slowest
// clock, however late the answer gets through.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/keyspace/key_map.h"

#include <optional>
#include <vector>

namespace balsamwheel {

struct HoldOptions {
  /// How long a grant lasts at the target.
  Duration m_Hold = std::chrono::seconds(7);
  /// How far a target's clock may run slow, as a factor on the hold.
  double m_SlowClockFactor = 1.02;
  /// Added to the end of a hold for what clocks and timers round.
  Duration m_Margin = std::chrono::milliseconds(300);
};

/// How long after a revocation its owner may still hold keys: a daemon that
/// knows nothing of it grants for \p Authority after its last check, and the
/// last grant lasts a hold on the slowest clock.
Duration revocationWait(const HoldOptions &Holds, Duration Authority);

struct HeldSpan {
  KeyIndex m_First = 0;
  KeyIndex m_Last = 0;
  Epoch m_Fence;
};

struct ReleasedSpan {
  KeyIndex m_First = 0;
  KeyIndex m_Last = 0;
  /// Lets the next owner start warm; empty when there is none.
  std::string m_Handover;

  bool operator==(const ReleasedSpan &) const = default;
};

struct GrantSpan {
  KeyIndex m_First = 0;
  KeyIndex m_Last = 0;
  Epoch m_Fence;
  std::string m_Handover;
};

/// What one heartbeat says of keys.
struct HoldReport {
  std::vector<HeldSpan> m_Holds;
  std::vector<ReleasedSpan> m_Released;
};

class HoldLedger {
public:
  HoldLedger(HoldOptions Options, KeyOwner Self)
      : m_Options(Options), m_Self(std::move(Self)) {}

  const KeyOwner &self() const { return m_Self; }

  /// Takes in a heartbeat; call before grant().
  void report(const HoldReport &Report);
  /// The grants that answer a heartbeat that arrived at \p Arrived; none
  /// renews nothing. Only a daemon that knows the map to be in force at
  /// \p Arrived may call it.
  std::vector<GrantSpan> grant(const KeyMap &Map, TimePoint Arrived);

  /// Whether the target holds the key for certain at \p Now.
  bool holds(KeyIndex Key, TimePoint Now) const;
  /// Whether the map gives the key to this target.
  bool owns(const KeyMap &Map, KeyIndex Key) const;
  /// From then on the target holds nothing any more, unless it gets a grant.
  TimePoint heldUntil() const { return m_HeldUntil; }

  /// Keys that the map wants back and the target has given up.
  std::vector<ReleasedSpan> completions(const KeyMap &Map) const;

private:
  /// Heartbeats in a row without a span before it counts as given up.
  static constexpr int SilentReports = 2;

  HoldOptions m_Options;
  KeyOwner m_Self;
  std::vector<GrantSpan> m_Granted;
  TimePoint m_GrantedUntil;
  TimePoint m_HeldUntil;
  std::vector<HeldSpan> m_Reported;
  /// Reports since the last grant changed.
  int m_ReportsSinceChange = 0;
  std::vector<ReleasedSpan> m_Released;
};

} // namespace balsamwheel
