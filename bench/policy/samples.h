// Latency samples of a run and their quantiles.
#pragma once

#include "balsamwheel/coordination.h"

#include <algorithm>
#include <vector>

namespace balsamwheel::policy {

class Samples {
public:
  void add(Duration Latency) { m_Values.push_back(Latency); }
  std::size_t count() const { return m_Values.size(); }

  /// Returns the exact quantile at \p Share, in [0, 1]; 0 without samples.
  /// Complexity: sorts a copy of the samples.
  Duration quantile(double Share) const {
    if (m_Values.empty())
      return Duration(0);
    std::vector<Duration> Sorted = m_Values;
    std::ranges::sort(Sorted);
    const auto Rank = static_cast<std::size_t>(
        Share * static_cast<double>(Sorted.size() - 1));
    return Sorted.at(Rank);
  }

private:
  std::vector<Duration> m_Values;
};

} // namespace balsamwheel::policy
