// The experiments of balsamwheel-policy: load policies compared with baselines.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamwheel::policy {

enum class Better : std::uint8_t { Lower, Higher };

/// One measure of one experiment, for the policy and for one baseline.
struct Comparison {
  std::string m_Experiment;
  std::string m_Measure;
  std::string m_BaselineName;
  double m_Policy = 0;
  double m_Baseline = 0;
  Better m_Better = Better::Lower;
  /// Bound that the policy has to meet, in the direction of m_Better; none for
  /// a measure that is reported only.
  std::optional<double> m_Goal;

  bool meetsGoal() const;
};

/// Returns the names of all experiments, in the order in which they are
/// printed.
std::vector<std::string_view> experimentNames();

/// Runs one experiment in simulated time.
///
/// \returns an empty list for an unknown name.
std::vector<Comparison> runExperiment(std::string_view Name,
                                      std::uint64_t Seed);

} // namespace balsamwheel::policy
