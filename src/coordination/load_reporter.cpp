// Load reports to the first planner in order.
#include "balsamwheel/detail/coordination/load_reporter.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Load is reported in this period, or less often in a large cluster: the
/// planner receives all reports.
constexpr Duration LeastPeriod = std::chrono::seconds(2);
constexpr Duration PeriodPerMember = std::chrono::milliseconds(50);
constexpr std::size_t ReportedShards = 8;

} // namespace

LoadReporter::LoadReporter(CoordinationContext &Context, PlanRunner &Planner)
    : m_Context(&Context), m_Planner(&Planner) {
  Planner.m_LoadMoves = [this](TimePoint Now) {
    return m_Balancer.takeMoves(m_Context->m_View, 2 * period(), Now);
  };
}

void LoadReporter::start(TimePoint Now) {
  m_Tracker.endPeriod(Now);
  m_ReportAt = Now + LeastPeriod;
}

Duration LoadReporter::period() const {
  const auto Members = static_cast<int>(m_Context->m_View.memberCount());
  return std::max(LeastPeriod, PeriodPerMember * Members);
}

void LoadReporter::onReport(const OwnerReport &Message, TimePoint Now) {
  m_Balancer.onReport(Message, Now);
  m_Planner->onLoadReported(Now);
}

void LoadReporter::onTick(TimePoint Now) {
  if (Now < m_ReportAt)
    return;
  m_ReportAt = Now + period();
  m_Tracker.endPeriod(Now);
  const std::vector<SessionId> Order = m_Planner->order();
  if (Order.empty() || !m_Context->m_View.isLive(m_Context->m_Session))
    return;
  OwnerReport Message;
  Message.m_From = m_Context->m_Session;
  Message.m_Hottest = m_Tracker.hottest(ReportedShards);
  Message.m_TotalRate = m_Tracker.total();
  if (Order.front() == m_Context->m_Session)
    onReport(Message, Now);
  else
    m_Context->sendTo(Order.front(), std::move(Message));
}

} // namespace balsamwheel
