// Token bucket that limits retries to a fraction of the requests.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <cstdint>

namespace balsamwheel {

struct RetryBudgetOptions {
  /// Retries allowed per first attempt. Together with the burst, the load stays
  /// below 1.1 times the first attempts over any 2,000 of them.
  double m_Ratio = 0.09;
  /// Bucket size: maximum number of retries that can be saved up.
  double m_Burst = 20;
  /// Maximum number of repeats that onRepeat() can charge beyond the balance.
  double m_MaxDebt = 50;
  /// Upper bound of the delay before the first retry.
  Duration m_BaseDelay = std::chrono::milliseconds(5);
  /// Upper bound of any delay.
  Duration m_MaxDelay = std::chrono::milliseconds(200);
};

/// Performs no I/O and reads no clock; not thread-safe. Invariant: the balance
/// stays within [-m_MaxDebt, m_Burst].
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options);

  /// Credits the budget for a first attempt.
  void onFirstAttempt();
  /// Charges a request that counts as a repeat but is sent in any case: one
  /// that a repeated request causes.
  void onRepeat();
  /// Takes one retry from the budget; returns false when it is exhausted.
  bool takeRetry();
  /// Delay before a retry: exponential back-off with full jitter.
  ///
  /// \param Attempt 1 for the first retry.
  /// \param Random uniform 64-bit number.
  Duration delay(std::uint32_t Attempt, std::uint64_t Random) const;
  double balance() const { return m_Balance; }

private:
  RetryBudgetOptions m_Options;
  double m_Balance;
};

} // namespace balsamwheel
