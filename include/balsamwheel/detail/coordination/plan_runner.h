// Writes plans into the table when it is this session's turn.
#pragma once

#include "balsamwheel/detail/coordination/context.h"
#include "balsamwheel/detail/coordination/head_poller.h"
#include "balsamwheel/detail/coordination/planner.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace balsamwheel {

/// Any member may write a plan, because the write is conditional on the head
/// row that the plan was made from. The members take turns only to keep
/// conflicting writes rare.
class PlanRunner {
public:
  PlanRunner(CoordinationContext &Context, HeadPoller &Poller)
      : m_Context(&Context), m_Poller(&Poller) {}

  void onViewChanged(TimePoint Now);
  /// An owner reported settled shards.
  void onSettled(const std::vector<std::pair<ShardRef, Epoch>> &Shards,
                 TimePoint Now);
  /// A load report was received, so that moves may be due.
  void onLoadReported(TimePoint Now) { keepEarlier(m_EvaluateAt, Now); }
  void onTick(TimePoint Now);
  TimePoint nextWake() const;
  /// The members in the order in which their turns come.
  std::vector<SessionId> plannerOrder() const;
  /// Returns the moves that the load balancer requests; may be empty.
  std::function<std::vector<LoadMove>(TimePoint)> m_TakeLoadMoves;

private:
  void evaluate(TimePoint Now);
  void commit(Plan Next, TimePoint Now);
  void onCommitted(CommitResult Result, const std::vector<Row> &Rows,
                   TimePoint Now);
  /// Sends the committed rows to the affected sessions.
  void pushRows(const std::vector<Row> &Rows);
  /// Position of this session in plannerOrder().
  std::size_t plannerRank() const;
  /// Drops settled shards that the map already shows as settled or has assigned
  /// again.
  void dropStaleSettled();

  CoordinationContext *m_Context;
  HeadPoller *m_Poller;
  SettledShards m_Settled;
  /// Sessions that gain or lose a shard in the pending commit.
  std::set<SessionId> m_AffectedSessions;
  /// Services whose counts are still being balanced.
  std::set<ServiceName> m_BalancingServices;
  bool m_CommitPending = false;
  /// Since when there have been changes to write; none while there are none.
  std::optional<TimePoint> m_ChangesDueSince;
  TimePoint m_EvaluateAt = Never;
  /// No paced moves are written before this time.
  TimePoint m_NextPacedRound;
};

} // namespace balsamwheel
