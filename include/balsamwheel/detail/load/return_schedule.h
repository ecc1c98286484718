// Times at which refused callers are told to return.
//
// Load pattern: a burst is refused in part, and the refused callers return when
// told. If all are told the same time, they return as the same burst. Each one
// is told the time at which the queue will have drained far enough for it and
// for those that were refused before and haven't returned yet.
#pragma once

#include "balsamwheel/detail/core/time.h"

namespace balsamwheel {

struct ReturnScheduleOptions {
  /// Time constant over which the usual load is measured: much longer than a
  /// burst, whose requests aren't there any more when callers return.
  Duration m_UsualTime = std::chrono::seconds(30);
  /// Fraction of the spare starts that is counted on for callers that return:
  /// arrivals are uneven.
  double m_UsableSpare = 0.75;
  /// Least share of the starts that is counted on for callers that return.
  double m_MinSpareShare = 0.25;
};

/// Performs no I/O and reads no clock; not thread-safe. Invariant: the times
/// told do not decrease unless they are limited.
class ReturnSchedule {
public:
  explicit ReturnSchedule(ReturnScheduleOptions Options = {})
      : m_Options(Options) {}

  /// Counts a request that has arrived.
  void arrived(TimePoint Now);
  /// Returns the time after which the next refused caller is to return.
  /// \param Wait time until a slot is free for it.
  /// \param StartGap mean time between two requests that leave the queue.
  /// \param Longest limit of the result.
  Duration next(Duration Wait, Duration StartGap, Duration Longest,
                TimePoint Now);

private:
  /// Share of the starts that usual requests leave.
  double spareShare(Duration StartGap, TimePoint Now) const;

  ReturnScheduleOptions m_Options;
  TimePoint m_Since;
  TimePoint m_LastArrival;
  /// Arrivals, weighted by age, at m_LastArrival.
  double m_Recent = 0;
  /// The last time told.
  TimePoint m_LastReturn;
};

} // namespace balsamwheel
