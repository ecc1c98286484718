// Retries of callers' requests during an outage of all targets.
#pragma once

#include "balsamwheel/coordination.h"

#include <cstdint>

namespace balsamwheel::policy {

struct RetryRunOptions {
  RetryBudgetOptions m_Budget;
  /// If false, every failure is retried up to m_MaxRetries times (the
  /// baseline).
  bool m_UseBudget = true;
  /// Maximum number of retries of one request.
  std::uint32_t m_MaxRetries = 3;
  double m_RequestsPerSecond = 500;
  /// Fractions of the attempts that fail, outside and during the outage.
  double m_FailureShare = 0.01;
  double m_OutageFailureShare = 1.0;
  Duration m_OutageFrom = std::chrono::seconds(20);
  Duration m_OutageUntil = std::chrono::seconds(40);
  Duration m_Length = std::chrono::seconds(60);
  std::uint64_t m_Seed = 1;
};

struct RetryRunResult {
  std::uint64_t m_FirstAttempts = 0;
  std::uint64_t m_Retries = 0;
  /// First attempts and retries during the outage.
  std::uint64_t m_OutageFirstAttempts = 0;
  std::uint64_t m_OutageRetries = 0;
  /// Requests that were given up outside the outage.
  std::uint64_t m_LostOutsideOutage = 0;

  /// Attempts per offered request during the outage.
  double outageAmplification() const {
    return static_cast<double>(m_OutageFirstAttempts + m_OutageRetries) /
           static_cast<double>(m_OutageFirstAttempts);
  }
};

/// Performs the whole run in simulated time; the same options give the same
/// result.
RetryRunResult runRetries(const RetryRunOptions &Options);

} // namespace balsamwheel::policy
