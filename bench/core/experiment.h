// Runs a scenario with the policy and its baseline and compares them.
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
  /// Times that policy and baseline alternate.
  std::uint32_t m_Rounds = 1;
  double m_LoadFactor = 1;
  std::filesystem::path m_Programs;
  std::filesystem::path m_Manifests;
  /// Keep logs and journals also of runs without violations.
  bool m_Keep = false;
};

/// The result of one run of a scenario.
struct RunResult {
  std::string m_Policy;
  Measures m_Measures;
  std::vector<Violation> m_Violations;
  std::vector<std::string> m_Notes;
  /// Largest number of orders inside a target, and collapses of all.
  std::uint64_t m_Collapses = 0;
  nlohmann::json m_PlatformCounters;
  std::string m_Folder;
};

struct ExperimentResult {
  ExperimentOptions m_Options;
  std::vector<RunResult> m_Runs;

  bool clean() const;
};

/// Finds a scenario; null when there is none.
const Scenario *findScenario(const std::string &Name);

/// Runs a scenario, with progress on \p Out.
ExperimentResult runExperiment(const ExperimentOptions &Options,
                               std::ostream &Out);

/// Prints the tables of a result.
void printResult(const ExperimentResult &Result, std::ostream &Out);

nlohmann::json toJson(const ExperimentResult &Result);

} // namespace balsamwheel::bench
