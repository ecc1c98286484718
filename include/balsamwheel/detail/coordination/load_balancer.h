// Decides which shards change owners because of their load.
#pragma once

#include "balsamwheel/detail/coordination/cluster_view.h"
#include "balsamwheel/detail/coordination/planner.h"
#include "balsamwheel/detail/core/time.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// Works on the reports of a service's owners, once all of them are fresh.
///
/// Invariant: within a minute no more than 1 % of a service's shards are
/// moved, and never less than one may be; no move makes its receiver the new
/// peak.
class LoadBalancer {
public:
  void onReport(const OwnerReport &Report, TimePoint Now);
  /// The moves that are due; counts them as made.
  ///
  /// \param MaxAge reports older than this are not used.
  std::vector<LoadMove> takeMoves(const ClusterView &View, Duration MaxAge,
                                  TimePoint Now);

private:
  struct Kept {
    OwnerReport m_Report;
    TimePoint m_At{};
  };
  struct Budget {
    std::vector<TimePoint> m_Moves;
    /// Since when the load has been out of bounds; none while within.
    std::optional<TimePoint> m_UnevenSince;
    TimePoint m_NotBefore{};
  };
  struct Owner {
    SessionId m_Session;
    double m_Rate = 0;
    std::vector<OwnerReport::Load> m_Hottest;
  };

  std::vector<Owner> freshOwners(const ClusterView &View,
                                 const ServiceName &Service, Duration MaxAge,
                                 TimePoint Now) const;
  void planService(const ClusterView &View, const ServiceName &Service,
                   std::vector<Owner> Owners, TimePoint Now,
                   std::vector<LoadMove> &Result);

  std::unordered_map<SessionId, Kept> m_Reports;
  std::unordered_map<ServiceName, Budget> m_Budgets;
};

} // namespace balsamwheel
