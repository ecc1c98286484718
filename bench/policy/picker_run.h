// Entrance daemons that choose among modelled targets, each behind its own
// admission gate.
#pragma once

#include "policy/gate_run.h"

#include <optional>

namespace balsamwheel::policy {

struct PickerRunOptions {
  PickerOptions m_Picker;
  AdmissionOptions m_Gate;
  ModelledTargetOptions m_Target;
  std::uint32_t m_Targets = 3;
  /// Number of daemons that accept callers' requests; each has its own picker.
  std::uint32_t m_Entrances = 3;
  /// Offered load as a fraction of the capacity of all targets.
  double m_OfferedLoad = 0.4;
  Duration m_MeanServiceTime = std::chrono::milliseconds(20);
  Duration m_Deadline = std::chrono::seconds(2);
  /// Period in which the first target is slow.
  std::optional<SlowPeriod> m_Slow;
  /// Requests that arrive before this time are not measured.
  Duration m_MeasureFrom = std::chrono::seconds(20);
  Duration m_Length = std::chrono::seconds(80);
  std::uint64_t m_Seed = 1;
};

struct PickerRunResult {
  /// Latency of answered requests; the time to the deadline for the others.
  Samples m_Latency;
  std::uint64_t m_Offered = 0;
  /// Requests that were not answered before their deadline.
  std::uint64_t m_Lost = 0;
  /// Hedges and retries: sends after the first one of a request.
  std::uint64_t m_ExtraSends = 0;
  /// Sends to the first target.
  std::uint64_t m_SendsToFirst = 0;

  double extraShare() const {
    return static_cast<double>(m_ExtraSends) /
           static_cast<double>(std::max<std::uint64_t>(m_Offered, 1));
  }
};

/// Performs the whole run in simulated time; the same options give the same
/// result.
PickerRunResult runPicker(const PickerRunOptions &Options);

} // namespace balsamwheel::policy
