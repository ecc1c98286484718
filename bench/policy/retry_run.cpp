// Drives a RetryBudget through an outage of all targets.
#include "policy/retry_run.h"

#include "policy/arrivals.h"
#include "policy/event_loop.h"

namespace balsamwheel::policy {

namespace {

// Time until a failed attempt is reported.
constexpr Duration AttemptLatency = std::chrono::milliseconds(5);

class RetryRun {
public:
  explicit RetryRun(const RetryRunOptions &Options)
      : m_Options(Options), m_Budget(Options.m_Budget),
        m_Arrivals(Options.m_Seed) {}

  RetryRunResult run() {
    scheduleArrival();
    m_Loop.runUntil(TimePoint(m_Options.m_Length));
    return m_Result;
  }

private:
  void scheduleArrival() {
    m_Loop.after(
        m_Arrivals.interarrivalTime(1e6 / m_Options.m_RequestsPerSecond),
        [this] {
          scheduleArrival();
          m_Budget.onFirstAttempt();
          ++m_Result.m_FirstAttempts;
          m_Result.m_OutageFirstAttempts += inOutage() ? 1 : 0;
          attempt(0);
        });
  }

  void attempt(std::uint32_t RetriesSoFar) {
    const bool Fails = m_Arrivals.bernoulli(
        inOutage() ? m_Options.m_OutageFailureShare : m_Options.m_FailureShare);
    if (Fails)
      m_Loop.after(AttemptLatency,
                   [this, RetriesSoFar] { onFailure(RetriesSoFar); });
  }

  void onFailure(std::uint32_t RetriesSoFar) {
    const bool Allowed = RetriesSoFar < m_Options.m_MaxRetries &&
                         (!m_Options.m_UseBudget || m_Budget.takeRetry());
    if (!Allowed) {
      m_Result.m_LostOutsideOutage += inOutage() ? 0 : 1;
      return;
    }
    const Duration Delay =
        m_Budget.delay(RetriesSoFar + 1, m_Arrivals.randomBits());
    m_Loop.after(Delay, [this, RetriesSoFar] {
      ++m_Result.m_Retries;
      m_Result.m_OutageRetries += inOutage() ? 1 : 0;
      attempt(RetriesSoFar + 1);
    });
  }

  bool inOutage() const {
    return m_Loop.now() >= TimePoint(m_Options.m_OutageFrom) &&
           m_Loop.now() < TimePoint(m_Options.m_OutageUntil);
  }

  RetryRunOptions m_Options;
  EventLoop m_Loop;
  RetryBudget m_Budget;
  Arrivals m_Arrivals;
  RetryRunResult m_Result;
};

} // namespace

RetryRunResult runRetries(const RetryRunOptions &Options) {
  return RetryRun(Options).run();
}

} // namespace balsamwheel::policy
