// Open-loop load on one modelled target behind an admission gate.
#pragma once

#include "policy/modelled_target.h"
#include "policy/samples.h"

#include <array>
#include <optional>
#include <vector>

namespace balsamwheel::policy {

/// A period of the run in which every request takes a multiple of its usual
/// service time.
struct SlowPeriod {
  Duration m_From{0};
  Duration m_Until{0};
  double m_Factor = 10;
};

/// Open-loop load of one class.
struct ClassLoad {
  Urgency m_Class = Urgency::Interactive;
  /// Offered load as a fraction of the capacity of the warm target.
  double m_OfferedLoad = 0;
  /// Mean service time on a target that is neither overloaded nor slowed.
  Duration m_MeanServiceTime = std::chrono::milliseconds(10);
  /// Time from the arrival to the deadline.
  Duration m_Deadline = std::chrono::seconds(1);
};

struct GateRunOptions {
  AdmissionOptions m_Gate;
  ModelledTargetOptions m_Target;
  std::vector<ClassLoad> m_Load;
  /// If false, the gate sees all requests as the same class.
  bool m_UseClasses = true;
  /// Time at which the target becomes cold without reporting a restart.
  std::optional<Duration> m_SilentRestartAt;
  /// If true, that restart also fails the requests in progress.
  bool m_SilentRestartFails = false;
  std::optional<SlowPeriod> m_Slow;
  /// Requests that arrive before this time are not measured.
  Duration m_MeasureFrom{0};
  Duration m_Length = std::chrono::seconds(60);
  std::uint64_t m_Seed = 1;
};

struct ClassResult {
  /// Latency of answered requests; the time to the deadline for the others.
  Samples m_Latency;
  std::uint64_t m_Offered = 0;
  std::uint64_t m_InTime = 0;
  std::uint64_t m_Late = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Failed = 0;
};

struct GateRunResult {
  std::array<ClassResult, UrgencyCount> m_Classes;
  /// Service time of the requests answered in time, as a fraction of the
  /// capacity of the warm target.
  double m_Goodput = 0;
  std::uint32_t m_Collapses = 0;

  ClassResult &of(Urgency Class) {
    return m_Classes.at(static_cast<std::size_t>(Class));
  }
  const ClassResult &of(Urgency Class) const {
    return m_Classes.at(static_cast<std::size_t>(Class));
  }
};

/// Performs the whole run in simulated time; the same options give the same
/// result.
GateRunResult runGate(const GateRunOptions &Options);

} // namespace balsamwheel::policy
