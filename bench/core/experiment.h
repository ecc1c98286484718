// Runs a scenario under the policy and under a baseline and compares the
// results.
#pragma once

#include "bench/core/rig.h"

#include <filesystem>
#include <iosfwd>

namespace balsamwheel::bench {

struct ExperimentOptions {
  std::string m_Scenario;
  std::string m_Deployment;
  std::uint64_t m_Seed = 1;
  /// Which to run: "policy", "baseline" or "both".
  std::string m_Policy = "both";
  /// Number of rounds; each round runs the policy, then the baseline.
  std::uint32_t m_Rounds = 1;
  /// Factor on all request rates, on top of that of the scenario.
  double m_LoadFactor = 1;
  /// Folder with the programs to run.
  std::filesystem::path m_Programs;
  /// Folder with a manifest for each deployment.
  std::filesystem::path m_Manifests;
  /// Keeps logs and journals of runs without violations, too.
  bool m_KeepLogs = false;
};

/// The result of one run of a scenario.
struct RunResult {
  std::string m_Policy;
  Measures m_Measures;
  std::vector<Violation> m_Violations;
  std::vector<std::string> m_Notes;
  /// Collapses of all targets together.
  std::uint64_t m_Collapses = 0;
  nlohmann::json m_PlatformCounters;
  std::string m_Folder;
};

struct ExperimentResult {
  ExperimentOptions m_Options;
  std::vector<RunResult> m_Runs;

  /// Returns whether no run of the policy has violations. Those of baselines
  /// don't count.
  bool hasNoViolations() const;
};

/// Returns the scenario with this name, or null.
const Scenario *findScenario(const std::string &Name);

/// Runs a scenario, which must exist, and prints progress to \p Out.
ExperimentResult runExperiment(const ExperimentOptions &Options,
                               std::ostream &Out);

/// Prints a result as tables.
void printResult(const ExperimentResult &Result, std::ostream &Out);

nlohmann::json toJson(const ExperimentResult &Result);

} // namespace balsamwheel::bench
