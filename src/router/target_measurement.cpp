// What is measured at the local target: the state of its gate, and its capacity
// with its effect on the gate.
#include "target_agent.h"

#include <algorithm>
#include <cmath>

namespace balsamwheel {

namespace {

/// A capacity that differs from the one last logged by this fraction, or by a
/// slot, is logged.
constexpr double LoggedChange = 0.1;

} // namespace

Duration TargetAgent::idleTime() const {
  const bool Idle = m_LastEnded && m_Gate.running() == 0;
  return Idle ? m_Loop.now() - *m_LastEnded : Duration::zero();
}

GateReport TargetAgent::gateReport() const {
  return {.m_Running = m_Gate.running(),
          .m_Waiting = static_cast<std::uint32_t>(m_Gate.waiting()),
          .m_Slots = leaving() || m_Stopping ? 0 : m_Gate.slots(),
          .m_Service = m_Gate.knowsService()
                           ? idleServiceTime(m_Gate.meanService(), idleTime())
                           : Duration::zero(),
          .m_RateLimit = m_Gate.rateLimit(m_Loop.now()),
          .m_SpareTokens = m_Gate.spareTokens(m_Loop.now()),
          .m_LinkWait = m_LinkBudget.wait(m_Loop.now())};
}

double TargetAgent::capacity() const {
  // Slots divided by the mean service time.
  const double ServiceTime =
      static_cast<double>(m_Gate.meanService().count()) / 1e6;
  const double Slots =
      m_Capacity ? m_Capacity->smoothed(m_Loop.now()) : m_Slots;
  return Slots / std::max(ServiceTime, 0.001);
}

std::uint32_t TargetAgent::namedSlots() const {
  return m_ServiceSpec ? std::min(m_Slots, m_ServiceSpec->m_MaxConnections)
                       : m_Slots;
}

std::uint32_t TargetAgent::gateSlots() const {
  return std::min(namedSlots(), measuredSlots().value_or(namedSlots()));
}

std::optional<std::uint32_t> TargetAgent::measuredSlots() const {
  return m_Capacity ? std::optional(m_Capacity->limit()) : std::nullopt;
}

void TargetAgent::startMeasuring() {
  if (!m_Settings.m_MeasureCapacity)
    return;
  m_Capacity = std::make_unique<TargetCapacity>(
      TargetCapacityOptions{.m_Slots = namedSlots()}, m_Loop.now());
  m_LoggedCapacity = m_Capacity->limit();
}

void TargetAgent::measureEnd(const Job &Entry, CapacityEnd How) {
  // A request of an earlier incarnation says nothing about this one.
  if (!m_Capacity || Entry.m_Incarnation != m_Target)
    return;
  m_Capacity->ended(Entry.m_Run, Entry.m_Job.m_Route, How, m_Loop.now());
  applyCapacity();
}

void TargetAgent::applyCapacity() {
  if (m_Gate.isOpen() && m_Gate.slots() != gateSlots())
    m_Gate.open(gateSlots());
  const double Smoothed = m_Capacity->smoothed(m_Loop.now());
  if (std::abs(Smoothed - m_LoggedCapacity) <
      std::max(1.0, LoggedChange * m_LoggedCapacity))
    return;
  m_LoggedCapacity = Smoothed;
  m_Log.write(
      LogClass::StateChange,
      LogLine("target_capacity")
          .add("target", m_Target->m_Id.value())
          .add("limit", std::int64_t{m_Capacity->limit()})
          .add("smoothed", static_cast<std::int64_t>(std::lround(Smoothed)))
          .add("slots", std::int64_t{namedSlots()})
          .add("running", std::int64_t{m_Gate.running()})
          .add("waiting", static_cast<std::int64_t>(m_Gate.waiting()))
          .add("cost_per_cent",
               static_cast<std::int64_t>(100 * m_Capacity->costAtLimit()))
          .add("changes", static_cast<std::int64_t>(m_Capacity->changes()))
          .add("mean_service", m_Gate.meanService()));
}

} // namespace balsamwheel
