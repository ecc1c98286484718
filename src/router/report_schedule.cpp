// Compares what a peer was told with what a report would tell now.
#include "report_schedule.h"

#include <cmath>

namespace balsamwheel {

namespace {

/// Change of the load, as a part of the slots, that is told to other failure
/// domains without delay.
constexpr double MuchLoad = 0.25;

} // namespace

bool changedMuch(const GateReport &Old, const GateReport &New) {
  if (Old.m_Slots == 0 || New.m_Slots == 0)
    return Old.m_Slots != New.m_Slots;
  const auto Load = [](const GateReport &Gate) {
    return static_cast<double>(Gate.m_Running) +
           static_cast<double>(Gate.m_Waiting);
  };
  return std::abs(Load(New) - Load(Old)) > MuchLoad * New.m_Slots;
}

bool ReportSchedule::gateIsDue(const GateReport &Gate,
                               const ReportIntervals &Intervals,
                               TimePoint Now) const {
  const bool News =
      m_OwnDomain ? Gate != m_Told->m_Gate : changedMuch(m_Told->m_Gate, Gate);
  // The calls of due() come at about the interval: rather half of it early than
  // half of it late.
  return News || Now - m_LastSent >=
                     Intervals.m_IdleInterval - Intervals.m_Interval / 2;
}

DueReport ReportSchedule::due(const ReportedState &State,
                              const ReportIntervals &Intervals,
                              TimePoint Now) const {
  if (!m_Told || State.m_FullRevision != m_Told->m_FullRevision ||
      Now - m_LastFull >= Intervals.m_FullInterval)
    return {.m_Full = true};
  const bool Rows = State.m_RowsRevision != m_Told->m_RowsRevision;
  const bool Age = State.m_AgeRevision != m_Told->m_AgeRevision;
  return {.m_Beat = Rows || Age || gateIsDue(State.m_Gate, Intervals, Now),
          .m_Rows = Rows,
          .m_Age = Age};
}

void ReportSchedule::sent(const ReportedState &State, const DueReport &Sent,
                          TimePoint Now) {
  if (!Sent.m_Full && !Sent.m_Beat)
    return;
  m_Told = State; // Parts that a beat leaves out are unchanged.
  m_LastSent = Now;
  if (Sent.m_Full)
    m_LastFull = Now;
}

} // namespace balsamwheel
