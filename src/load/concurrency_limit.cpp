// The concurrency limit of one target.
#include "load/concurrency_limit.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Shortest time between two rises of the limit.
constexpr Duration RisePeriod = std::chrono::milliseconds(100);
/// A limit unused for this long is no longer trusted.
constexpr Duration IdleReset = std::chrono::seconds(10);
/// A latency jump this soon after an error means a restart.
constexpr Duration TroubleMemory = std::chrono::seconds(1);
constexpr std::uint32_t FailuresOfRestart = 3;
constexpr std::uint32_t ShedsOfRestart = 3;
constexpr std::uint32_t MinWindow = 8;
constexpr std::uint32_t MaxWindow = 16;
constexpr double ShedFactor = 0.7;
/// Bounds of the decrease for latency, and the ratio it aims for.
constexpr double StrongestDecrease = 0.2;
constexpr double WeakestDecrease = 0.8;
constexpr double AimedRatio = 1.3;
/// A ratio that may mean that the target turned cold.
constexpr double ColdRatio = 2.2;
/// Congested verdicts in a row at the cold limit that show another reason.
constexpr std::uint32_t VerdictsOfSlowness = 3;
constexpr Duration FirstPause = std::chrono::milliseconds(10);
constexpr std::uint32_t MaxPauseDoublings = 4;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const AdmissionOptions &Options,
                                   TimePoint Now)
    : m_Options(Options), m_Limit(std::max(Options.m_Slots, 1U)),
      m_LastDecrease(Now), m_LastRise(Now), m_LastActivity(Now),
      m_LastTrouble(Now - TroubleMemory), m_PausedUntil(Now) {
  m_Options.m_Slots = m_Limit;
  enterCold(Now);
}

void ConcurrencyLimit::noteStart(TimePoint Now) {
  if (m_Options.m_Adaptive && Now - m_LastActivity > IdleReset)
    m_Limit = std::min(m_Limit, coldLimit());
  m_LastActivity = Now;
}

void ConcurrencyLimit::onResult(Urgency Class, const OrderResult &Result,
                                TimePoint Now) {
  m_LastActivity = Now;
  const bool Stale = Now - Result.m_Latency < m_LastDecrease;
  if (Result.m_Failed || Result.m_Shed)
    m_LastTrouble = Now;
  if (!m_Options.m_Adaptive) {
    if (!Result.m_Failed && !Result.m_Shed)
      m_Trends.at(static_cast<std::size_t>(Class))
          .add(Result.m_Latency, MaxWindow, Now);
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
          .add(Result.m_Latency, std::clamp(m_Limit, MinWindow, MaxWindow),
               Now);
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
  if (++m_FailuresInRow < FailuresOfRestart && m_PausesInRow == 0)
    return;
  enterCold(Now);
  pause(Now);
}

// The target is down: orders wait rather than fail.
void ConcurrencyLimit::pause(TimePoint Now) {
  const std::uint32_t Doublings = std::min(m_PausesInRow, MaxPauseDoublings);
  m_PausedUntil = Now + FirstPause * (1U << Doublings);
  ++m_PausesInRow;
}

void ConcurrencyLimit::onShed(TimePoint Now) {
  if (++m_ShedsInRow >= ShedsOfRestart)
    return enterCold(Now);
  decrease(ShedFactor, Now);
}

void ConcurrencyLimit::onVerdict(const LatencyVerdict &Verdict, TimePoint Now) {
  if (Verdict.m_Congested)
    return onCongested(Verdict, Now);
  m_CongestedAtColdLimit = 0;
  if (Verdict.m_Healthy)
    raise(Now);
}

void ConcurrencyLimit::onCongested(const LatencyVerdict &Verdict,
                                   TimePoint Now) {
  if (Verdict.m_Ratio > ColdRatio && Now - m_LastTrouble < TroubleMemory)
    return enterCold(Now);
  if (m_Limit <= coldLimit())
    return onCongestedAtColdLimit(Verdict.m_Ratio);
  decrease(std::clamp(AimedRatio / Verdict.m_Ratio, StrongestDecrease,
                      WeakestDecrease),
           Now);
  m_Limit = std::max(m_Limit, coldLimit());
  const bool RampActive = rampCeiling(Now) < m_Options.m_Slots;
  if (!RampActive && Verdict.m_Ratio < ColdRatio)
    return;
  const bool AfterErrors = RampActive && m_RampAfterErrors;
  startRamp(m_Limit, Now);
  m_RampAfterErrors = AfterErrors;
}

// Even a cold target bears the cold limit, so it is slow for another reason,
// and fewer orders would only cost throughput.
void ConcurrencyLimit::onCongestedAtColdLimit(double Ratio) {
  if (++m_CongestedAtColdLimit < VerdictsOfSlowness)
    return;
  m_CongestedAtColdLimit = 0;
  for (LatencyTrend &Trend : m_Trends)
    Trend.scaleBaseline(Ratio);
  m_Ramping = m_Ramping && m_RampAfterErrors;
}

void ConcurrencyLimit::raise(TimePoint Now) {
  if (!m_Saturated || Now - m_LastRise < RisePeriod)
    return;
  if (m_Limit >= rampCeiling(Now))
    return;
  ++m_Limit;
  m_LastRise = Now;
  m_Saturated = false;
}

void ConcurrencyLimit::decrease(double Factor, TimePoint Now) {
  m_Limit = std::max(
      1U, static_cast<std::uint32_t>(static_cast<double>(m_Limit) * Factor));
  m_LastDecrease = Now;
  m_LastRise = Now;
  m_Saturated = false;
  restartWindows();
}

void ConcurrencyLimit::startRamp(std::uint32_t From, TimePoint Now) {
  m_Ramping = true;
  m_RampAfterErrors = false;
  m_RampFrom = From;
  m_RampStart = Now;
  m_LastRise = Now;
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
