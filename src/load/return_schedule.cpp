// Spacing of the returns of refused callers.
#include "balsamwheel/detail/load/return_schedule.h"

#include <algorithm>
#include <cmath>

namespace balsamwheel {

namespace {

/// Shortest time over which the usual load is computed.
constexpr double MinMeasured = 1e6;

double micros(Duration Value) { return static_cast<double>(Value.count()); }

} // namespace

void ReturnSchedule::arrived(TimePoint Now) {
  if (m_Recent == 0)
    m_Since = Now;
  const double Elapsed = micros(Now - m_LastArrival);
  m_Recent = 1 + m_Recent * std::exp(-Elapsed / micros(m_Options.m_UsualTime));
  m_LastArrival = Now;
}

double ReturnSchedule::spareShare(Duration StartGap, TimePoint Now) const {
  const double Usual = micros(m_Options.m_UsualTime);
  const double Age = std::max(micros(Now - m_Since), MinMeasured);
  const double PerMicro = m_Recent / (Usual * (1 - std::exp(-Age / Usual)));
  return std::clamp(m_Options.m_UsableSpare * (1 - PerMicro * micros(StartGap)),
                    m_Options.m_MinSpareShare, 1.0);
}

Duration ReturnSchedule::next(Duration Wait, Duration StartGap,
                              Duration Longest, TimePoint Now) {
  TimePoint Return = Now + Wait;
  if (m_LastReturn > Now) {
    const auto Spacing = Duration(static_cast<Duration::rep>(
        micros(StartGap) / spareShare(StartGap, Now)));
    Return = std::max(Return, m_LastReturn + Spacing);
  }
  Return = std::min(Return, Now + Longest);
  m_LastReturn = std::max(m_LastReturn, Return);
  return Return - Now;
}

} // namespace balsamwheel
