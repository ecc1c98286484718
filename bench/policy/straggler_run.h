// Shard owners of which one is slow for a period: compares the latency gained
// by moving its shards with the number of shards moved.
#pragma once

#include "policy/gate_run.h"

#include <optional>

namespace balsamwheel::policy {

/// How to react to a shard owner whose target is slow.
struct StragglerResponse {
  /// An owner counts as slow if its smoothed latency exceeds this multiple of
  /// the mean service time.
  double m_SlowRatio = 3;
  /// Time for which the owner has to be slow before its shards move; without a
  /// value they never move.
  std::optional<Duration> m_MoveAfter;
  /// Fraction of its shards that move. The requests to the others show when the
  /// owner is no longer slow.
  double m_MoveShare = 15.0 / 16;
  /// Time for which the owner must not be slow before its shards return.
  Duration m_ReturnAfter = std::chrono::seconds(30);
};

struct StragglerRunOptions {
  StragglerResponse m_Response;
  AdmissionOptions m_Gate;
  ModelledTargetOptions m_Target;
  std::uint32_t m_Owners = 6;
  std::uint32_t m_ShardsPerOwner = 16;
  /// Offered load as a fraction of the capacity of all targets.
  double m_OfferedLoad = 0.4;
  SlowPeriod m_Slow;
  Duration m_MeasureFrom = std::chrono::seconds(20);
  Duration m_Length = std::chrono::seconds(120);
  std::uint64_t m_Seed = 1;
};

struct StragglerRunResult {
  /// Latency of requests answered in time; the time to the deadline for the
  /// others.
  Samples m_Latency;
  std::uint64_t m_Offered = 0;
  std::uint64_t m_Lost = 0;
  /// Number of shard moves divided by the number of shards.
  double m_Churn = 0;

  double lostShare() const {
    return static_cast<double>(m_Lost) /
           static_cast<double>(std::max<std::uint64_t>(m_Offered, 1));
  }
};

/// Performs the whole run in simulated time; the same options give the same
/// result.
StragglerRunResult runStraggler(const StragglerRunOptions &Options);

} // namespace balsamwheel::policy
