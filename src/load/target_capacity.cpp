// Fit of a target's throughput over its concurrency.
#include "balsamwheel/detail/load/target_capacity.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamwheel {

namespace {

/// Weights of a time that is shorter or longer than the usual one: it is the
/// time at low concurrency, which is known by its lower values.
constexpr double FallWeight = 0.1;
constexpr double RiseWeight = 1.0 / 128;
constexpr double RiseWeightWhenBusy = 1.0 / 2000;
/// Bounds of the memory.
constexpr std::size_t MaxRoutes = 64;
constexpr std::size_t MaxSamples = 256;
/// Requests at a level beyond which its cost doesn't become more certain.
constexpr double MaxCount = 100;
/// The limit counts as in use for this long after it was reached.
constexpr Duration FullTime = std::chrono::milliseconds(300);

double micros(Duration Value) { return static_cast<double>(Value.count()); }

} // namespace

TargetCapacity::TargetCapacity(TargetCapacityOptions Options, TimePoint Now)
    : m_Options(Options), m_AreaAt(Now), m_FullAt(Now - FullTime),
      m_DecidedAt(Now), m_LimitSetAt(Now), m_SmoothedAt(Now) {
  setSlots(Options.m_Slots, Now);
  const auto Initial = static_cast<std::uint32_t>(
      std::ceil(m_Options.m_Slots * m_Options.m_InitialShare));
  m_Limit = std::clamp(Initial, floor(), m_Options.m_Slots);
  m_Smoothed = m_Limit;
}

void TargetCapacity::setSlots(std::uint32_t Slots, TimePoint Now) {
  const std::size_t Before = m_Levels.size();
  m_Options.m_Slots = std::max(Slots, 1U);
  m_Levels.resize(std::size_t{m_Options.m_Slots} + 1);
  if (m_Levels.size() == Before)
    return;
  m_TrialFrom = std::min(m_TrialFrom, m_Options.m_Slots);
  setLimit(m_Limit, Now);
}

std::uint32_t TargetCapacity::floor() const {
  return std::clamp(m_Options.m_Floor, 1U, m_Options.m_Slots);
}

void TargetCapacity::advance(TimePoint Now) {
  m_Area += m_Running * micros(Now - m_AreaAt);
  m_AreaAt = Now;
}

TargetCapacity::Run TargetCapacity::started(TimePoint Now) {
  advance(Now);
  ++m_Running;
  if (m_Running >= m_Limit)
    m_FullAt = Now;
  return {.m_Start = Now, .m_Area = m_Area};
}

const double *TargetCapacity::learnUsual(const std::string &Route,
                                         double Micros, double Level) {
  auto Found = m_Usual.find(Route);
  if (Found == m_Usual.end()) {
    if (m_Usual.size() >= MaxRoutes)
      return nullptr;
    Found = m_Usual.emplace(Route, Micros).first;
  }
  double &Usual = Found->second;
  const double Before = Usual;
  const bool Busy = Level > m_Options.m_Slots * 0.5;
  Usual += (Micros - Usual) * (Micros < Usual ? FallWeight
                               : Busy         ? RiseWeightWhenBusy
                                              : RiseWeight);
  m_Drift += std::log(Usual / Before) / static_cast<double>(m_Usual.size());
  return &Usual;
}

void TargetCapacity::ended(const Run &Ended, const std::string &Route,
                           CapacityEnd How, TimePoint Now) {
  advance(Now);
  const double Micros = std::max(1.0, micros(Now - Ended.m_Start));
  const bool Served = How == CapacityEnd::Served;
  // A refusal is answered at once: what ran beside it counts.
  const double Mean =
      Served ? (m_Area - Ended.m_Area) / Micros : double(m_Running);
  const double *Usual = Served ? learnUsual(Route, Micros, Mean) : nullptr;
  if (Ended.m_Start >= m_CleanFrom && (Usual || How == CapacityEnd::Refused)) {
    const auto At = static_cast<std::uint32_t>(
        std::clamp(std::lround(Mean), 1L, long{m_Options.m_Slots}));
    m_Samples.push_back(
        {.m_End = Now, .m_Micros = Micros, .m_Usual = Usual, .m_Level = At});
    m_Levels[At].m_Count = std::min(m_Levels[At].m_Count + 1, MaxCount);
  }
  if (m_Running >= m_Limit)
    m_FullAt = Now;
  if (m_Running > 0)
    --m_Running;
  if (Now - m_DecidedAt >= m_Options.m_Interval)
    decide(Now);
}

void TargetCapacity::decide(TimePoint Now) {
  m_DecidedAt = Now;
  while (!m_Samples.empty() &&
         (m_Samples.front().m_End + m_Options.m_Window < Now ||
          m_Samples.size() > MaxSamples))
    m_Samples.pop_front();
  for (Level &Each : m_Levels)
    if (Each.m_Cost > 0 && Now - Each.m_SeenAt > m_Options.m_Memory)
      forget(Each);
  updateCosts(Now);
  if (m_TrialFrom > 0)
    return endTrialIfDue(Now);
  const std::uint32_t Better = betterLevel();
  if (Better == 0)
    return tryHigher(Now);
  // Until it is confirmed, a neighbour may be the cause.
  if (Now - m_LimitSetAt >= m_Options.m_Confirm)
    goBack(Better, Now);
}

TargetCapacity::Fresh TargetCapacity::fresh(std::uint32_t At) const {
  std::vector<double> Ratios;
  std::size_t Refused = 0;
  Fresh Result;
  TimePoint First;
  TimePoint Last;
  for (const Sample &Each : m_Samples) {
    if (Each.m_Level != At)
      continue;
    if (First == TimePoint())
      First = Each.m_End;
    Last = Each.m_End;
    if (Each.m_Usual)
      Ratios.push_back(Each.m_Micros / *Each.m_Usual);
    else
      ++Refused;
  }
  if (Ratios.size() < m_Options.m_MinSamples)
    return Result;
  const auto Middle = Ratios.begin() + static_cast<std::ptrdiff_t>(
                                           m_Options.m_Quantile *
                                           static_cast<double>(Ratios.size()));
  std::nth_element(Ratios.begin(), Middle, Ratios.end());
  const auto Count = static_cast<double>(Ratios.size());
  Result.m_Tries = (Count + static_cast<double>(Refused)) / Count;
  Result.m_Ratio = *Middle * Result.m_Tries;
  Result.m_Cost = Result.m_Ratio * std::exp(m_Drift);
  Result.m_Span = Last - First;
  return Result;
}

void TargetCapacity::updateCosts(TimePoint Now) {
  for (std::uint32_t At = 1; At <= m_Options.m_Slots; ++At) {
    const Fresh Seen = fresh(At);
    if (Seen.m_Cost == 0)
      continue;
    Level &Here = m_Levels[At];
    Here.m_SeenAt = Now;
    const double Factor = Here.m_Cost > 0 ? Seen.m_Cost / Here.m_Cost : 1;
    const bool Differs = std::abs(std::log(Factor)) >
                         std::log(m_Options.m_ChangeFactor) +
                             m_Options.m_RefusalNoise * (Here.m_Tries - 1);
    // Costs of smaller levels include requests that ran beside more.
    const bool Counts = Factor < 1 || At == m_Limit;
    if (Differs && Counts && Seen.m_Span >= m_Options.m_Confirm)
      return onChange(At, Factor, Seen.m_Tries, Now);
    if (Here.m_Cost == 0) {
      Here.m_Cost = Seen.m_Cost;
      Here.m_Tries = Seen.m_Tries;
    } else if (!Differs) {
      Here.m_Cost += (Seen.m_Cost - Here.m_Cost) * m_Options.m_CostWeight;
      Here.m_Tries += (Seen.m_Tries - Here.m_Tries) * m_Options.m_CostWeight;
    }
    if (At == m_Limit && Seen.m_Ratio > m_Options.m_TrialRatio &&
        Seen.m_Span >= m_Options.m_Confirm && Now >= m_NextTrial)
      startTrial(/*Deep=*/true, Now);
  }
}

void TargetCapacity::onChange(std::uint32_t At, double Factor, double Tries,
                              TimePoint Now) {
  ++m_Changes;
  for (Level &Each : m_Levels) {
    Each.m_Cost *= Factor;
    Each.m_Tries = Tries;
  }
  m_TrialPause = {};
  // Samples from before would make the other levels change back.
  std::erase_if(m_Samples,
                [&](const Sample &Each) { return Each.m_Level != At; });
  if (Factor < 1)
    forgetAbove(At);
  else if (At == m_Limit)
    startTrial(Factor > m_Options.m_DeepFactor, Now);
}

void TargetCapacity::forget(Level &Which) {
  Which.m_Cost = 0;
  Which.m_Count = 0;
}

void TargetCapacity::forgetAbove(std::uint32_t At) {
  for (std::size_t Each = std::size_t{At} + 1; Each < m_Levels.size(); ++Each)
    m_Levels[Each] = {};
}

bool TargetCapacity::isBetter(std::uint32_t Smaller) const {
  const Level &Low = m_Levels[Smaller];
  const bool Trial = m_TrialFrom > 0;
  const std::uint32_t From = Trial ? m_TrialFrom : m_Limit;
  const Level &High = m_Levels[From];
  if (Low.m_Cost == 0 || High.m_Cost == 0)
    return false;
  const double More = static_cast<double>(From) / Smaller - 1;
  const double Wasted =
      Trial ? m_Options.m_WastedInTrial : m_Options.m_WastedShare;
  const double Noise =
      m_Options.m_Noise * std::max(Low.m_Tries, High.m_Tries) *
      (1 / std::sqrt(Low.m_Count) + 1 / std::sqrt(High.m_Count));
  return High.m_Cost / Low.m_Cost >= 1 + std::max(Wasted * More, Noise);
}

std::uint32_t TargetCapacity::betterLevel() const {
  std::uint32_t Best = 0;
  double Most = 0;
  for (std::uint32_t At = floor(); At < m_Limit; ++At) {
    if (!isBetter(At))
      continue;
    if (const double Throughput = At / m_Levels[At].m_Cost; Throughput > Most) {
      Most = Throughput;
      Best = At;
    }
  }
  return Best;
}

void TargetCapacity::goBack(std::uint32_t To, TimePoint Now) {
  Level &Next = m_Levels[To + 1];
  Next.m_Retry =
      std::clamp(Next.m_Retry * 2, m_Options.m_MinRetry, m_Options.m_MaxRetry);
  for (std::uint32_t At = To + 1; At <= m_Limit; ++At)
    m_Levels[At].m_RetryAt = Now + Next.m_Retry;
  // What ran beside more requests says nothing about fewer.
  m_Samples.clear();
  m_CleanFrom = Now;
  setLimit(To, Now);
}

void TargetCapacity::tryHigher(TimePoint Now) {
  if (m_Limit >= m_Options.m_Slots || Now - m_FullAt > FullTime ||
      Now - m_LimitSetAt < m_Options.m_MinStep || m_Levels[m_Limit].m_Cost == 0)
    return;
  const std::uint32_t Next = m_Limit + 1;
  if (Now < m_Levels[Next].m_RetryAt)
    return;
  forget(m_Levels[Next]);
  std::erase_if(m_Samples,
                [&](const Sample &Each) { return Each.m_Level >= Next; });
  setLimit(Next, Now);
}

void TargetCapacity::startTrial(bool Deep, TimePoint Now) {
  const std::uint32_t Lower = std::max(floor(), m_Limit * (Deep ? 1 : 2) / 3);
  if (Lower >= m_Limit || m_TrialFrom > 0 || Now - m_FullAt > FullTime)
    return;
  m_TrialPause = std::clamp(m_TrialPause * 2, m_Options.m_MinTrialPause,
                            m_Options.m_MaxTrialPause);
  m_NextTrial = Now + m_TrialPause;
  m_TrialFrom = m_Limit;
  forget(m_Levels[Lower]);
  setLimit(Lower, Now);
}

void TargetCapacity::endTrialIfDue(TimePoint Now) {
  const bool Known = m_Levels[m_Limit].m_Cost > 0;
  if (!Known && Now - m_LimitSetAt < m_Options.m_MaxTrial)
    return;
  const bool Better = isBetter(m_Limit);
  const std::uint32_t From = std::exchange(m_TrialFrom, 0);
  if (!Better)
    return setLimit(From, Now);
  m_TrialPause = {};
  // What lies between isn't known any more.
  forgetAbove(m_Limit);
}

void TargetCapacity::setLimit(std::uint32_t Limit, TimePoint Now) {
  m_Smoothed = smoothed(Now);
  m_SmoothedAt = Now;
  m_Limit = std::clamp(Limit, floor(), m_Options.m_Slots);
  m_LimitSetAt = Now;
}

double TargetCapacity::smoothed(TimePoint Now) const {
  const double Part =
      std::exp(-micros(Now - m_SmoothedAt) / micros(m_Options.m_Smoothing));
  return m_Limit + (m_Smoothed - m_Limit) * Part;
}

double TargetCapacity::costAtLimit() const {
  return m_Levels[m_Limit].m_Cost / std::exp(m_Drift);
}

} // namespace balsamwheel
