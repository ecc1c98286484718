// Token bucket of retries, and their back-off with jitter.
#include "balsamwheel/detail/load/retry_budget.h"

#include <algorithm>

namespace balsamwheel {

namespace {

constexpr std::uint32_t MaxDoublings = 30;

/// Maps a uniform 64-bit number to [0, 1).
double toUnitInterval(std::uint64_t Random) {
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(Random >> 11U) * Scale;
}

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions Options)
    : m_Options(Options), m_Balance(Options.m_Burst) {}

void RetryBudget::onFirstAttempt() {
  m_Balance = std::min(m_Options.m_Burst, m_Balance + m_Options.m_Ratio);
}

void RetryBudget::onRepeat() {
  m_Balance = std::max(-m_Options.m_MaxDebt, m_Balance - 1);
}

bool RetryBudget::takeRetry() {
  if (m_Balance < 1)
    return false;
  m_Balance -= 1;
  return true;
}

Duration RetryBudget::delay(std::uint32_t Attempt, std::uint64_t Random) const {
  const std::uint32_t Doublings =
      std::min(Attempt > 0 ? Attempt - 1 : 0, MaxDoublings);
  const double Uncapped = static_cast<double>(m_Options.m_BaseDelay.count()) *
                          static_cast<double>(std::uint64_t(1) << Doublings);
  const double Cap =
      std::min(Uncapped, static_cast<double>(m_Options.m_MaxDelay.count()));
  return Duration(static_cast<Duration::rep>(Cap * toUnitInterval(Random)));
}

} // namespace balsamwheel
