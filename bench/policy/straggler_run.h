// Owners of shards, one of which is slow for a while: what moving its shards
// gains in latency and costs in moved keys.
#pragma once

#include "policy/gate_run.h"

#include <optional>

namespace balsamwheel::policy {

/// What to do about an owner whose target is slow.
struct StragglerResponse {
  /// The owner counts as slow at this multiple of its usual latency.
  double m_SlowRatio = 3;
  /// Shards move when it was slow for this long; none waits it out.
  std::optional<Duration> m_MoveAfter;
  /// Share of its shards that move; the rest show when it is quick again.
  double m_MoveShare = 15.0 / 16;
  /// They return when it was quick again for this long.
  Duration m_ReturnAfter = std::chrono::seconds(30);
};

struct StragglerRunOptions {
  StragglerResponse m_Response;
  AdmissionOptions m_Gate;
  TargetModel m_Target;
  std::uint32_t m_Owners = 6;
  std::uint32_t m_ShardsPerOwner = 16;
  /// Offered work as a share of what all targets bear.
  double m_Share = 0.4;
  SlowSpell m_Slow;
  Duration m_WarmUp = std::chrono::seconds(20);
  Duration m_Length = std::chrono::seconds(120);
  std::uint64_t m_Seed = 1;
};

struct StragglerRunResult {
  /// Latency of answered requests; the deadline for the others.
  Samples m_Latency;
  std::uint64_t m_Offered = 0;
  std::uint64_t m_Lost = 0;
  /// Moves of shards over the number of shards.
  double m_Churn = 0;

  double lostShare() const {
    return static_cast<double>(m_Lost) /
           static_cast<double>(std::max<std::uint64_t>(m_Offered, 1));
  }
};

/// Runs to the end in simulated time; the same options give the same result.
StragglerRunResult runStraggler(const StragglerRunOptions &Options);

} // namespace balsamwheel::policy
