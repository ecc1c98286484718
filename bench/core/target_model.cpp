// Slots, internal queue, cold start and collapse of the target stand-in.
#include "bench/core/target_model.h"

#include <algorithm>
#include <cmath>

namespace balsamwheel::bench {

namespace {

/// Interval at which a target that warms up checks for further usable slots.
constexpr Duration WarmUpTick = std::chrono::milliseconds(5);

} // namespace

TargetModel::TargetModel(TargetModelOptions Options, TimePoint Now)
    : m_Options(Options),
      m_ColdSince(Options.m_StartsCold ? Now : Now - Options.m_WarmUp) {}

std::uint32_t TargetModel::usableSlots(TimePoint Now) const {
  const double Age = std::chrono::duration<double>(Now - m_ColdSince).count();
  const double WarmUp =
      std::chrono::duration<double>(m_Options.m_WarmUp).count();
  const double WarmFraction = std::clamp(Age / WarmUp, 0.0, 1.0);
  const double Share =
      m_Options.m_ColdShare + (1 - m_Options.m_ColdShare) * WarmFraction;
  // 1e-9 makes up for rounding errors just below a whole number of slots.
  return std::max(1U, static_cast<std::uint32_t>(
                          std::floor(m_Options.m_Slots * Share + 1e-9)));
}

TimePoint TargetModel::nextWake(TimePoint Now) const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Ticket, Each] : m_Running)
    Next = std::min({Next, Each.m_EndsAt, Each.m_Deadline});
  for (const Waiting &Each : m_Waiting)
    Next = std::min(Next, Each.m_Deadline);
  const bool Warm = usableSlots(Now) >= m_Options.m_Slots;
  if (!m_Waiting.empty() && !Warm)
    Next = std::min<TimePoint>(Next, Now + WarmUpTick);
  return Next;
}

double TargetModel::load() const {
  return static_cast<double>(m_Running.size() + m_Waiting.size()) /
         m_Options.m_Slots;
}

bool TargetModel::isFenced(const TargetOrder &Order) {
  if (Order.m_Shard.empty())
    return false;
  Epoch &Highest = m_Epochs[{Order.m_Service, Order.m_Shard}];
  if (Order.m_Epoch < Highest)
    return m_Options.m_ChecksFences;
  Highest = Order.m_Epoch;
  return false;
}

void TargetModel::grant(const std::string &Service, const std::string &Shard,
                        Epoch Current) {
  Epoch &Highest = m_Epochs[{Service, Shard}];
  Highest = std::max(Highest, Current);
}

void TargetModel::arrive(std::uint64_t Ticket, TargetOrder Order,
                         TimePoint Now) {
  if (restarting(Now))
    return reportEnd(Ticket, TargetEnd::Lost);
  if (isFenced(Order))
    return reportEnd(Ticket, TargetEnd::Fenced);
  if (m_Running.size() + m_Waiting.size() >= m_Options.m_MaxOrders)
    return reportEnd(Ticket, TargetEnd::Shed);
  const TimePoint Deadline = Order.m_TimeLeft > Duration::zero()
                                 ? Now + Order.m_TimeLeft
                                 : TimePoint::max();
  m_Waiting.push_back({Ticket, std::move(Order), Deadline});
  m_PeakOrders =
      std::max(m_PeakOrders,
               static_cast<std::uint32_t>(m_Running.size() + m_Waiting.size()));
  startWaiting(Now);
}

bool TargetModel::cancel(const std::string &RequestId, TimePoint Now) {
  const auto WaitingOrder =
      std::ranges::find_if(m_Waiting, [&RequestId](const Waiting &Each) {
        return Each.m_Order.m_RequestId == RequestId;
      });
  if (WaitingOrder != m_Waiting.end()) {
    reportEnd(WaitingOrder->m_Ticket, TargetEnd::Withdrawn);
    m_Waiting.erase(WaitingOrder);
    return true;
  }
  const auto Found =
      std::ranges::find_if(m_Running, [&RequestId](const auto &Each) {
        return Each.second.m_Execution.m_RequestId == RequestId;
      });
  if (Found == m_Running.end())
    return false;
  endRunning(Found, TargetEnd::Aborted, Now);
  startWaiting(Now);
  return true;
}

void TargetModel::startWaiting(TimePoint Now) {
  while (!m_Waiting.empty() && m_Running.size() < usableSlots(Now)) {
    Waiting Next = std::move(m_Waiting.front());
    m_Waiting.pop_front();
    TargetOrder &Order = Next.m_Order;
    const Duration Time = std::chrono::duration_cast<Duration>(
        Order.m_ServiceTime * m_SlowFactor);
    Execution Started{.m_RequestId = std::move(Order.m_RequestId),
                      .m_Service = std::move(Order.m_Service),
                      .m_Key = std::move(Order.m_Key),
                      .m_Shard = std::move(Order.m_Shard),
                      .m_Epoch = Order.m_Epoch,
                      .m_Start = Now,
                      .m_End = std::nullopt,
                      .m_Completed = false};
    m_Started.emplace_back(Next.m_Ticket, Started);
    m_Running.emplace(Next.m_Ticket,
                      Running{std::move(Started), Now + Time, Next.m_Deadline});
  }
}

void TargetModel::reportEnd(std::uint64_t Ticket, TargetEnd EndKind) {
  m_Events.push_back(
      {.m_Ticket = Ticket, .m_End = EndKind, .m_Execution = std::nullopt});
}

void TargetModel::endRunning(std::map<std::uint64_t, Running>::iterator Order,
                             TargetEnd EndKind, TimePoint Now) {
  Execution &Ended = Order->second.m_Execution;
  Ended.m_End = Now;
  Ended.m_Completed = EndKind == TargetEnd::Done;
  m_Events.push_back({.m_Ticket = Order->first,
                      .m_End = EndKind,
                      .m_Execution = std::move(Ended)});
  m_Running.erase(Order);
}

void TargetModel::finishDue(TimePoint Now) {
  for (auto Order = m_Running.begin(); Order != m_Running.end();) {
    const auto Current = Order++;
    const TimePoint Deadline = Current->second.m_Deadline;
    if (Deadline <= Now)
      endRunning(Current, TargetEnd::Aborted, Deadline);
    else if (Current->second.m_EndsAt <= Now)
      endRunning(Current, TargetEnd::Done, Now);
  }
}

void TargetModel::expireWaiting(TimePoint Now) {
  std::erase_if(m_Waiting, [this, Now](const Waiting &Each) {
    if (Each.m_Deadline > Now)
      return false;
    reportEnd(Each.m_Ticket, TargetEnd::Withdrawn);
    return true;
  });
}

void TargetModel::checkCollapse(TimePoint Now) {
  const std::uint32_t Usable = usableSlots(Now);
  const auto Orders = static_cast<double>(m_Running.size() + m_Waiting.size());
  const bool Warm = Usable >= m_Options.m_Slots;
  if (Warm || Orders <= m_Options.m_CollapseFactor * Usable) {
    m_OverloadedSince.reset();
    return;
  }
  if (!m_OverloadedSince)
    m_OverloadedSince = Now;
  if (Now - *m_OverloadedSince < m_Options.m_CollapseAfter)
    return;
  ++m_Collapses;
  restart(Now + m_Options.m_RestartTime);
  dropAllOrders(Now);
  m_DownUntil = Now + m_Options.m_RestartTime;
}

void TargetModel::dropAllOrders(TimePoint Now) {
  while (!m_Running.empty())
    endRunning(m_Running.begin(), TargetEnd::Aborted, Now);
  for (const Waiting &Each : m_Waiting)
    reportEnd(Each.m_Ticket, TargetEnd::Lost);
  m_Waiting.clear();
  m_OverloadedSince.reset();
}

void TargetModel::becomeCold(TimePoint Now) { m_ColdSince = Now; }

void TargetModel::restart(TimePoint Now) {
  dropAllOrders(Now);
  becomeCold(Now);
  m_Epochs.clear();
}

std::vector<TargetEvent> TargetModel::advance(TimePoint Now) {
  finishDue(Now);
  expireWaiting(Now);
  startWaiting(Now);
  checkCollapse(Now);
  return std::exchange(m_Events, {});
}

std::vector<std::pair<std::uint64_t, Execution>> TargetModel::takeStarted() {
  return std::exchange(m_Started, {});
}

} // namespace balsamwheel::bench
