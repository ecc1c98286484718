// Entrances that choose among modelled targets, each behind its own gate.
#pragma once

#include "policy/gate_run.h"

#include <optional>

namespace balsamwheel::policy {

struct PickerRunOptions {
  PickerOptions m_Picker;
  AdmissionOptions m_Gate;
  TargetModel m_Target;
  std::uint32_t m_Targets = 3;
  /// Daemons that callers enter at; each has a picker of its own.
  std::uint32_t m_Entrances = 3;
  /// Offered work as a share of what all targets bear.
  double m_Share = 0.4;
  Duration m_MeanWork = std::chrono::milliseconds(20);
  Duration m_Deadline = std::chrono::seconds(2);
  /// Slows the first target.
  std::optional<SlowSpell> m_Slow;
  /// Results count from here on.
  Duration m_WarmUp = std::chrono::seconds(20);
  Duration m_Length = std::chrono::seconds(80);
  std::uint64_t m_Seed = 1;
};

struct PickerRunResult {
  /// Latency of answered requests; the deadline for the others.
  Samples m_Latency;
  std::uint64_t m_Offered = 0;
  /// Requests without an answer in time.
  std::uint64_t m_Lost = 0;
  /// Sends beyond the first one of each request.
  std::uint64_t m_ExtraSends = 0;
  /// Sends to the first target.
  std::uint64_t m_SendsToFirst = 0;

  double extraShare() const {
    return static_cast<double>(m_ExtraSends) /
           static_cast<double>(std::max<std::uint64_t>(m_Offered, 1));
  }
};

/// Runs to the end in simulated time; the same options give the same result.
PickerRunResult runPicker(const PickerRunOptions &Options);

} // namespace balsamwheel::policy
