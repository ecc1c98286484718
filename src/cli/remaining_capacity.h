// Checks whether the remaining targets have enough capacity when others are
// taken out of service.
#pragma once

#include "balsamwheel/detail/coordination/group_row.h"
#include "balsamwheel/detail/manifest/model.h"

#include <string>
#include <vector>

namespace balsamwheel::cli {

/// A service whose remaining targets may lack capacity for its load.
struct Shortage {
  ServiceName m_Service;
  /// Orders running or waiting, averaged over a few samples.
  double m_Demand = 0;
  /// Slots of the targets that remain.
  double m_Remaining = 0;
};

/// Fraction of the remaining slots that may be in use without a shortage.
inline constexpr double UsableSlotShare = 0.8;

/// Whether \p Demand (orders) exceeds the usable share of the \p Remaining
/// slots. Always true if no slots remain.
bool isInsufficient(double Demand, double Remaining);

/// Queries the daemons for their load and compares it with the remaining slots.
/// Daemons that don't answer count as idle. Blocks for several samples.
///
/// \param Before the configuration in force.
/// \param After the proposed configuration.
std::vector<Shortage> findShortages(const Config &Before, const Config &After,
                                    const std::vector<GroupMember> &Members);

/// Describes each shortage on one line; empty if there is none.
std::string describeShortages(const std::vector<Shortage> &Shortages);

} // namespace balsamwheel::cli
