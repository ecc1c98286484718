// Adaptive concurrency limit of one target.
#include "load/concurrency_limit.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Minimum time between two increases of the limit, and from a decrease to the
/// next increase.
constexpr Duration IncreaseInterval = std::chrono::milliseconds(100);
/// After this time without requests the limit is reset to the cold limit.
constexpr Duration IdleResetTime = std::chrono::seconds(10);
/// A jump of the latency within this time after an error indicates a restart.
constexpr Duration RecentErrorTime = std::chrono::seconds(1);
/// Consecutive failures or sheds that indicate a restart.
constexpr std::uint32_t RestartFailures = 3;
constexpr std::uint32_t RestartSheds = 3;
/// Bounds of the latency window, in samples.
constexpr std::uint32_t MinWindowSamples = 8;
constexpr std::uint32_t MaxWindowSamples = 16;
/// The limit is multiplied by this when the target sheds a request.
constexpr double ShedFactor = 0.7;
/// Bounds of the factor by which the limit is decreased on congestion, and the
/// ratio of latency to baseline that the decrease aims for.
constexpr double MinDecreaseFactor = 0.2;
constexpr double MaxDecreaseFactor = 0.8;
constexpr double DesiredRatio = 1.3;
/// A ratio of latency to baseline above this may mean that the target became
/// cold.
constexpr double ColdRatio = 2.2;
/// Consecutive congested verdicts at the cold limit after which the target is
/// taken to be slow for another reason than congestion.
constexpr std::uint32_t SlowTargetVerdicts = 3;
/// Duration of the first pause; each further one is twice as long.
constexpr Duration InitialPause = std::chrono::milliseconds(10);
constexpr std::uint32_t MaxPauseDoublings = 4;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const AdmissionOptions &Options,
                                   TimePoint Now)
    : m_Options(Options), m_Limit(std::max(Options.m_Slots, 1U)),
      m_LastDecrease(Now), m_LastIncrease(Now), m_LastActivity(Now),
      m_LastError(Now - RecentErrorTime), m_PausedUntil(Now) {
  m_Options.m_Slots = m_Limit;
  enterCold(Now);
}

void ConcurrencyLimit::recordStart(TimePoint Now) {
  if (m_Options.m_Adaptive && Now - m_LastActivity > IdleResetTime)
    m_Limit = std::min(m_Limit, coldLimit());
  m_LastActivity = Now;
}

void ConcurrencyLimit::onResult(Urgency Class, const OrderResult &Result,
                                TimePoint Now) {
  m_LastActivity = Now;
  const bool Stale = Now - Result.m_Latency < m_LastDecrease;
  if (Result.m_Failed || Result.m_Shed)
    m_LastError = Now;
  if (!m_Options.m_Adaptive) {
    if (!Result.m_Failed && !Result.m_Shed)
      m_Trends.at(static_cast<std::size_t>(Class))
          .add(Result.m_Latency, MaxWindowSamples, Now);
    return;
  }
  if (Stale)
    return;
  if (Result.m_Shed)
    return onShed(Now);
  if (Result.m_Failed)
    return onFailure(Now);

  m_FailuresInRow = 0;
  m_ShedsInRow = 0;
  m_PausesInRow = 0;
  const std::optional<LatencyVerdict> Verdict =
      m_Trends.at(static_cast<std::size_t>(Class))
          .add(Result.m_Latency,
               std::clamp(m_Limit, MinWindowSamples, MaxWindowSamples), Now);
  if (Verdict)
    onVerdict(*Verdict, Now);
}

void ConcurrencyLimit::enterCold(TimePoint Now) {
  if (!m_Options.m_Adaptive)
    return;
  m_Limit = std::min(m_Limit, coldLimit());
  m_FailuresInRow = 0;
  m_ShedsInRow = 0;
  m_LastDecrease = Now;
  startRamp(m_Limit, Now);
  m_RampAfterErrors = true;
  restartWindows();
}

const LatencyTrend &ConcurrencyLimit::trend(Urgency Class) const {
  return m_Trends.at(static_cast<std::size_t>(Class));
}

void ConcurrencyLimit::onFailure(TimePoint Now) {
  if (++m_FailuresInRow < RestartFailures && m_PausesInRow == 0)
    return;
  enterCold(Now);
  pause(Now);
}

// The target is down: requests wait instead of failing.
void ConcurrencyLimit::pause(TimePoint Now) {
  const std::uint32_t Doublings = std::min(m_PausesInRow, MaxPauseDoublings);
  m_PausedUntil = Now + InitialPause * (1U << Doublings);
  ++m_PausesInRow;
}

void ConcurrencyLimit::onShed(TimePoint Now) {
  if (++m_ShedsInRow >= RestartSheds)
    return enterCold(Now);
  decrease(ShedFactor, Now);
}

void ConcurrencyLimit::onVerdict(const LatencyVerdict &Verdict, TimePoint Now) {
  if (Verdict.m_Congested)
    return onCongested(Verdict, Now);
  m_CongestedAtColdLimit = 0;
  if (Verdict.m_Healthy)
    increase(Now);
}

void ConcurrencyLimit::onCongested(const LatencyVerdict &Verdict,
                                   TimePoint Now) {
  if (Verdict.m_Ratio > ColdRatio && Now - m_LastError < RecentErrorTime)
    return enterCold(Now);
  if (m_Limit <= coldLimit())
    return onCongestedAtColdLimit(Verdict.m_Ratio);
  decrease(std::clamp(DesiredRatio / Verdict.m_Ratio, MinDecreaseFactor,
                      MaxDecreaseFactor),
           Now);
  m_Limit = std::max(m_Limit, coldLimit());
  const bool RampActive = rampCeiling(Now) < m_Options.m_Slots;
  if (!RampActive && Verdict.m_Ratio < ColdRatio)
    return;
  const bool AfterErrors = RampActive && m_RampAfterErrors;
  startRamp(m_Limit, Now);
  m_RampAfterErrors = AfterErrors;
}

// Even a cold target can handle the cold limit, so it is slow for a reason
// other than congestion, and a lower limit would only reduce throughput.
void ConcurrencyLimit::onCongestedAtColdLimit(double Ratio) {
  if (++m_CongestedAtColdLimit < SlowTargetVerdicts)
    return;
  m_CongestedAtColdLimit = 0;
  for (LatencyTrend &Trend : m_Trends)
    Trend.scaleBaseline(Ratio);
  m_Ramping = m_Ramping && m_RampAfterErrors;
}

void ConcurrencyLimit::increase(TimePoint Now) {
  if (!m_Saturated || Now - m_LastIncrease < IncreaseInterval)
    return;
  if (m_Limit >= rampCeiling(Now))
    return;
  ++m_Limit;
  m_LastIncrease = Now;
  m_Saturated = false;
}

void ConcurrencyLimit::decrease(double Factor, TimePoint Now) {
  m_Limit = std::max(
      1U, static_cast<std::uint32_t>(static_cast<double>(m_Limit) * Factor));
  m_LastDecrease = Now;
  m_LastIncrease = Now;
  m_Saturated = false;
  restartWindows();
}

void ConcurrencyLimit::startRamp(std::uint32_t From, TimePoint Now) {
  m_Ramping = true;
  m_RampAfterErrors = false;
  m_RampFrom = From;
  m_RampStart = Now;
  m_LastIncrease = Now;
  m_Saturated = false;
}

std::uint32_t ConcurrencyLimit::rampCeiling(TimePoint Now) const {
  const std::uint32_t Room = m_Options.m_Slots - coldLimit();
  const Duration Elapsed = Now - m_RampStart;
  if (!m_Ramping || Room == 0 || Elapsed >= m_Options.m_ColdRamp)
    return m_Options.m_Slots;
  const Duration PerSlot = m_Options.m_ColdRamp / Room;
  if (PerSlot <= Duration(0))
    return m_Options.m_Slots;
  return std::min(m_Options.m_Slots,
                  m_RampFrom + static_cast<std::uint32_t>(Elapsed / PerSlot));
}

std::uint32_t ConcurrencyLimit::coldLimit() const {
  return std::clamp(m_Options.m_ColdSlots, 1U, m_Options.m_Slots);
}

void ConcurrencyLimit::restartWindows() {
  for (LatencyTrend &Trend : m_Trends)
    Trend.restartWindow();
}

} // namespace balsamwheel
