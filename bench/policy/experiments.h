// The experiments of balsamwheel-policy: policy against baselines.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamwheel::policy {

enum class Better : std::uint8_t { Lower, Higher };

/// One measure of one experiment.
struct Line {
  std::string m_Experiment;
  std::string m_Measure;
  std::string m_BaselineName;
  double m_Policy = 0;
  double m_Baseline = 0;
  Better m_Better = Better::Lower;
  /// The policy must reach this; none for a measure that is only shown.
  std::optional<double> m_Goal;

  bool met() const;
};

/// Names of all experiments, in the order of the table.
std::vector<std::string_view> experimentNames();

/// Runs one experiment in simulated time.
///
/// \returns nothing for an unknown name.
std::vector<Line> runExperiment(std::string_view Name, std::uint64_t Seed);

} // namespace balsamwheel::policy
