// A token bucket that keeps retries a bounded share of the requests.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <cstdint>

namespace balsamwheel {

struct RetryBudgetOptions {
  /// Retries allowed per first attempt. With the burst on top, the load stays
  /// under 1.1 times the first attempts over any 2,000 of them.
  double m_Ratio = 0.09;
  /// Retries that may be saved up.
  double m_Burst = 20;
  Duration m_BaseDelay = std::chrono::milliseconds(5);
  Duration m_MaxDelay = std::chrono::milliseconds(200);
};

/// Pure; not thread-safe. Invariant: the balance stays within [0, m_Burst].
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options);

  /// Credits the budget for a first attempt.
  void onFirstAttempt();
  /// Takes one retry; false when the budget is spent.
  bool takeRetry();
  /// Exponential delay with full jitter.
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
