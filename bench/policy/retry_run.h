// Callers' requests that are retried while all targets fail for a while.
#pragma once

#include "balsamwheel/coordination.h"

#include <cstdint>

namespace balsamwheel::policy {

struct RetryRunOptions {
  RetryBudgetOptions m_Budget;
  /// False retries every failure: the baseline.
  bool m_UseBudget = true;
  /// Retries of one request at most.
  std::uint32_t m_MaxRetries = 3;
  double m_RequestsPerSecond = 500;
  /// Share of attempts that fail outside and inside the outage.
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
  /// The same during the outage only.
  std::uint64_t m_OutageFirstAttempts = 0;
  std::uint64_t m_OutageRetries = 0;
  /// Requests that failed in the end, outside the outage.
  std::uint64_t m_LostOutside = 0;

  /// Attempts that targets saw over requests offered, during the outage.
  double outageLoad() const {
    return static_cast<double>(m_OutageFirstAttempts + m_OutageRetries) /
           static_cast<double>(m_OutageFirstAttempts);
  }
};

/// Runs to the end in simulated time; the same options give the same result.
RetryRunResult runRetries(const RetryRunOptions &Options);

} // namespace balsamwheel::policy
