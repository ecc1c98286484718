// One gate in front of one modelled target under open-loop load.
#pragma once

#include "policy/modelled_target.h"
#include "policy/samples.h"

#include <array>
#include <optional>
#include <vector>

namespace balsamwheel::policy {

/// A time during which every order takes a multiple of its work.
struct SlowSpell {
  Duration m_From{0};
  Duration m_Until{0};
  double m_Factor = 10;
};

/// Open-loop load of one class.
struct ClassLoad {
  Urgency m_Class = Urgency::Interactive;
  /// Offered work as a share of what the warm target bears.
  double m_Share = 0;
  /// Mean time that an order takes on an undisturbed target.
  Duration m_MeanWork = std::chrono::milliseconds(10);
  /// Deadline after the arrival.
  Duration m_Deadline = std::chrono::seconds(1);
};

struct GateRunOptions {
  AdmissionOptions m_Gate;
  TargetModel m_Target;
  std::vector<ClassLoad> m_Load;
  /// False offers every request in the same class.
  bool m_UseClasses = true;
  /// The target turns cold in silence at this time.
  std::optional<Duration> m_SilentCold;
  /// The silent restart also fails the orders that run.
  bool m_SilentColdFails = false;
  std::optional<SlowSpell> m_Slow;
  /// Results count from here on.
  Duration m_WarmUp{0};
  Duration m_Length = std::chrono::seconds(60);
  std::uint64_t m_Seed = 1;
};

struct ClassResult {
  /// Latency of answered requests; the deadline for the others.
  Samples m_Latency;
  std::uint64_t m_Offered = 0;
  std::uint64_t m_InTime = 0;
  std::uint64_t m_Late = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Failed = 0;
};

struct GateRunResult {
  std::array<ClassResult, UrgencyCount> m_Classes;
  /// Work done in time over what the warm target bears.
  double m_Goodput = 0;
  std::uint32_t m_Collapses = 0;

  ClassResult &of(Urgency Class) {
    return m_Classes.at(static_cast<std::size_t>(Class));
  }
  const ClassResult &of(Urgency Class) const {
    return m_Classes.at(static_cast<std::size_t>(Class));
  }
};

/// Runs to the end in simulated time; the same options give the same result.
GateRunResult runGate(const GateRunOptions &Options);

} // namespace balsamwheel::policy
