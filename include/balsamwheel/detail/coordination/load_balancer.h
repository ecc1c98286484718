// Decides which shards move to other owners to even out the load.
#pragma once

#include "balsamwheel/detail/coordination/cluster_view.h"
#include "balsamwheel/detail/coordination/planner.h"
#include "balsamwheel/detail/core/time.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// Plans moves for a service when there is a recent load report from each of
/// its owners.
///
/// Invariant: within a minute no more than 1 % of a service's shards are moved,
/// or one shard if that is more; after a move, the new owner's load is lower
/// than the old owner's load before it.
class LoadBalancer {
public:
  void onReport(const OwnerReport &Report, TimePoint Now);
  /// Returns the moves that are due and counts them as made.
  ///
  /// \param MaxAge older reports are ignored.
  std::vector<LoadMove> takeMoves(const ClusterView &View, Duration MaxAge,
                                  TimePoint Now);

private:
  struct ReceivedReport {
    OwnerReport m_Report;
    TimePoint m_ReceivedAt;
  };
  struct ServiceState {
    /// Times of the moves that count against the budget of the current period.
    std::vector<TimePoint> m_MoveTimes;
    /// Since when the load has been imbalanced; none while it is balanced.
    std::optional<TimePoint> m_ImbalancedSince;
    TimePoint m_CooldownEnd;
  };
  struct Owner {
    SessionId m_Session;
    /// Requests per second over all its shards.
    double m_Rate = 0;
    std::vector<OwnerReport::Load> m_Hottest;
  };

  std::vector<Owner> freshOwners(const ClusterView &View,
                                 const ServiceName &Service, Duration MaxAge,
                                 TimePoint Now) const;
  void planService(const ClusterView &View, const ServiceName &Service,
                   std::vector<Owner> Owners, TimePoint Now,
                   std::vector<LoadMove> &Result);

  std::unordered_map<SessionId, ReceivedReport> m_Reports;
  std::unordered_map<ServiceName, ServiceState> m_ServiceStates;
};

} // namespace balsamwheel
