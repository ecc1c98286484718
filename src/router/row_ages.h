// Bounds the age of rows that operators write, by the store's steady clock.
//
// Load pattern: a limit runs from the moment at which operators have written a
// row, but a daemon may read the row seconds later: it was suspended, its
// connection was slow, or its peers told it late. A limit counted from the
// reading would end by as much too late.
//
// Each reply of the store shows its newest version and its clock. A row with a
// later version was written after that, whoever made the call and however long
// the reply, or a peer's report of it, was on the way.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/platform/table.h"

#include <algorithm>
#include <map>
#include <optional>

namespace balsamwheel {

struct RowAgesOptions {
  /// Rows are dated by what was known of the store within this time.
  Duration m_History = std::chrono::seconds(10);
  /// Precision in which the history is kept.
  Duration m_Resolution = std::chrono::milliseconds(100);
  /// Greatest difference between the rates of this daemon's clock and the
  /// store's.
  double m_MaxDrift = 200e-6;
};

/// Performs no I/O and reads no clock; not thread-safe. Invariant: no returned
/// time is later than the event whose time it bounds.
class RowAges {
public:
  explicit RowAges(RowAgesOptions Options = {}) : m_Options(Options) {}

  /// Records that a call which this daemon started at \p Started has shown the
  /// store's clock. Complexity: constant.
  void observeClock(StoreTime Shown, TimePoint Started) {
    const Duration Offset =
        Started.time_since_epoch() - Duration(Shown.value());
    const std::optional<Duration> Known = offset(Started);
    // A reply that has been overtaken by others shows an earlier time, too, but
    // no greater offset.
    const bool Restarted = Known && *Known + m_Options.m_Resolution < Offset &&
                           Duration(Shown.value()) + m_Options.m_Resolution <
                               Duration(m_LastShown.value());
    if (Restarted)
      m_Current.clear();
    m_LastShown = Restarted ? Shown : std::max(m_LastShown, Shown);
    if (Known && Offset < *Known)
      return;
    m_Offset = Offset;
    m_ObservedAt = Started;
  }

  /// Records that the store had no rows of the table later than \p Position
  /// when its clock showed \p At. Complexity: logarithmic in the history.
  void noteCurrent(StoreVersion Position, StoreTime At, TimePoint Now) {
    // A time that the store's clock can't have reached yet is of before its
    // restart.
    const std::optional<Duration> Offset = offset(Now);
    if (!Offset || TimePoint(Duration(At.value()) + *Offset) > Now)
      return;
    const auto [Slot, Added] =
        m_Current.try_emplace(At.value() / m_Options.m_Resolution.count(),
                              Current{.m_Position = Position, .m_At = At});
    Current &Known = Slot->second;
    if (!Added && Position == Known.m_Position)
      Known.m_At = std::max(Known.m_At, At);
    else if (!Added && Position < Known.m_Position)
      Known = {.m_Position = Position, .m_At = At};
    const std::int64_t Oldest = m_Current.rbegin()->first -
                                m_Options.m_History / m_Options.m_Resolution;
    m_Current.erase(m_Current.begin(), m_Current.lower_bound(Oldest));
  }

  /// Returns a time before which the row with this version wasn't written; none
  /// when it may have been there for any time. Complexity: linear in the
  /// history.
  std::optional<TimePoint> writtenAfter(StoreVersion Row, TimePoint Now) const {
    const auto Before = std::find_if(
        m_Current.rbegin(), m_Current.rend(), [&](const auto &Each) {
          const StoreVersion &Position = Each.second.m_Position;
          return Position < Row && Position.m_Era == Row.m_Era;
        });
    if (Before == m_Current.rend())
      return std::nullopt;
    return earliest(Before->second.m_At, Now);
  }

  /// Returns a time of this daemon's clock at or before the moment at which the
  /// store's clock showed \p Time; none while that can't be told. Complexity:
  /// constant.
  std::optional<TimePoint> earliest(StoreTime Time, TimePoint Now) const {
    const std::optional<Duration> Offset = offset(Now);
    if (!Offset)
      return std::nullopt;
    return std::min(TimePoint(Duration(Time.value()) + *Offset), Now);
  }

  /// Forgets everything, as the store has returned to an earlier copy.
  void reset() { *this = RowAges(m_Options); }

private:
  struct Current {
    StoreVersion m_Position;
    StoreTime m_At;
  };

  /// Lower bound of the difference between this daemon's clock and the store's.
  std::optional<Duration> offset(TimePoint Now) const {
    if (!m_Offset)
      return std::nullopt;
    // It is also applied to times of the history, before the observation.
    const Duration Span =
        std::max(Now - m_ObservedAt, Duration::zero()) + m_Options.m_History;
    return *m_Offset -
           Duration(static_cast<Duration::rep>(
               m_Options.m_MaxDrift * static_cast<double>(Span.count())));
  }

  RowAgesOptions m_Options;
  /// As of m_ObservedAt; the store's clock may have run ahead since.
  std::optional<Duration> m_Offset;
  TimePoint m_ObservedAt;
  StoreTime m_LastShown;
  /// By the time in units of the resolution; of several positions in one unit
  /// the first.
  std::map<std::int64_t, Current> m_Current;
};

} // namespace balsamwheel
