// Sends load reports to the first member in the planner order.
#include "balsamwheel/detail/coordination/load_reporter.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Shortest time between two load reports of a session. In a large cluster the
/// period is longer, because one planner receives the reports of all sessions.
constexpr Duration MinReportPeriod = std::chrono::seconds(2);
/// The report period is at least this time multiplied by the number of members.
constexpr Duration ReportPeriodPerMember = std::chrono::milliseconds(50);
/// Maximum number of shards listed in a report.
constexpr std::size_t MaxReportedShards = 8;

} // namespace

LoadReporter::LoadReporter(CoordinationContext &Context, PlanRunner &Planner)
    : m_Context(&Context), m_Planner(&Planner) {
  Planner.m_TakeLoadMoves = [this](TimePoint Now) {
    return m_Balancer.takeMoves(m_Context->m_View, 2 * period(), Now);
  };
}

void LoadReporter::start(TimePoint Now) {
  m_Tracker.endPeriod(Now);
  m_ReportAt = Now + MinReportPeriod;
}

Duration LoadReporter::period() const {
  const auto Members = static_cast<int>(m_Context->m_View.memberCount());
  return std::max(MinReportPeriod, ReportPeriodPerMember * Members);
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
  const std::vector<SessionId> Planners = m_Planner->plannerOrder();
  if (Planners.empty() || !m_Context->m_View.isLive(m_Context->m_Session))
    return;
  OwnerReport Message;
  Message.m_From = m_Context->m_Session;
  Message.m_Hottest = m_Tracker.hottest(MaxReportedShards);
  Message.m_TotalRate = m_Tracker.totalRate();
  if (Planners.front() == m_Context->m_Session)
    onReport(Message, Now);
  else
    m_Context->sendTo(Planners.front(), std::move(Message));
}

} // namespace balsamwheel
