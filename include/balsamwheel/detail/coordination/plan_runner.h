// Writes plans into the table, when this session's turn has come.
#pragma once

#include "balsamwheel/detail/coordination/context.h"
#include "balsamwheel/detail/coordination/head_poller.h"
#include "balsamwheel/detail/coordination/planner.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace balsamwheel {

/// Any member may plan; the writes are conditional on the head row that the
/// plan was made from. The order of members only keeps attempts few.
class PlanRunner {
public:
  PlanRunner(CoordinationContext &Context, HeadPoller &Poller)
      : m_Context(&Context), m_Poller(&Poller) {}

  void onViewChanged(TimePoint Now);
  void onSettled(const std::vector<std::pair<ShardRef, Epoch>> &Shards,
                 TimePoint Now);
  /// Reports of load came in: moves may be due.
  void onLoadReported(TimePoint Now) { keepEarlier(m_EvaluateAt, Now); }
  void onTick(TimePoint Now);
  TimePoint nextWake() const;
  /// The members in the order in which they plan.
  std::vector<SessionId> order() const;
  /// Supplies wishes of the load balancer.
  std::function<std::vector<LoadMove>(TimePoint)> m_LoadMoves;

private:
  void evaluate(TimePoint Now);
  void commit(Plan Next, TimePoint Now);
  void onCommitted(CommitResult Result, const std::vector<Row> &Rows,
                   TimePoint Now);
  void push(const std::vector<Row> &Rows);
  std::size_t rank() const;
  void dropOldSettled();

  CoordinationContext *m_Context;
  HeadPoller *m_Poller;
  SettledShards m_Settled;
  /// Sessions that the commit under way gives a shard to or takes one from.
  std::set<SessionId> m_Affected;
  std::set<ServiceName> m_Balancing;
  bool m_Writing = false;
  /// When work was first noticed; none while there is none.
  std::optional<TimePoint> m_WorkSince;
  TimePoint m_EvaluateAt = Never;
  TimePoint m_PacedAt{};
};

} // namespace balsamwheel
