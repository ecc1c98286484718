// Sends this session's load reports to the planner and passes received reports
// to the load balancer.
#pragma once

#include "balsamwheel/detail/coordination/context.h"
#include "balsamwheel/detail/coordination/load_balancer.h"
#include "balsamwheel/detail/coordination/load_tracker.h"
#include "balsamwheel/detail/coordination/plan_runner.h"

namespace balsamwheel {

class LoadReporter {
public:
  LoadReporter(CoordinationContext &Context, PlanRunner &Planner);
  // The planner holds a pointer to this object.
  LoadReporter(const LoadReporter &) = delete;
  LoadReporter &operator=(const LoadReporter &) = delete;

  void start(TimePoint Now);
  /// Records that an order for a shard started.
  void countOrder(const ShardRef &Shard) { m_Tracker.countOrder(Shard); }
  /// Discards the rates; called when the session was expelled.
  void clear() { m_Tracker.clear(); }
  void onReport(const OwnerReport &Message, TimePoint Now);
  void onTick(TimePoint Now);
  TimePoint nextWake() const { return m_ReportAt; }

private:
  Duration period() const;

  CoordinationContext *m_Context;
  PlanRunner *m_Planner;
  LoadTracker m_Tracker;
  LoadBalancer m_Balancer;
  TimePoint m_ReportAt = Never;
};

} // namespace balsamwheel
