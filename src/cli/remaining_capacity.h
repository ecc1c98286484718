// Whether the targets that remain bear the load when others leave.
#pragma once

#include "balsamwheel/detail/coordination/group_row.h"
#include "balsamwheel/detail/manifest/model.h"

#include <string>
#include <vector>

namespace balsamwheel::cli {

/// A service whose remaining targets may not bear its load.
struct Shortage {
  ServiceName m_Service;
  /// Orders running or waiting, averaged over a short while.
  double m_Demand = 0;
  /// Slots of the targets that remain.
  double m_Remaining = 0;
};

/// Share of the remaining slots that may be in use without a shortage.
inline constexpr double UsableSlotShare = 0.8;

/// Judges demand against slots; a service with no remaining target is short.
bool isInsufficient(double Demand, double Remaining);

/// Asks the daemons for their load and compares it with what remains.
///
/// \param Before the configuration in force.
/// \param After the configuration with a failure domain taken out.
std::vector<Shortage> findShortages(const Config &Before, const Config &After,
                                    const std::vector<GroupMember> &Members);

/// One line for each shortage; empty when there is none.
std::string describeShortages(const std::vector<Shortage> &Shortages);

} // namespace balsamwheel::cli
