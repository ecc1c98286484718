// Chooses targets by observed latency, with outlier ejection and a hedge
// budget.
#include "balsamwheel/detail/load/picker.h"

#include "load/target_record.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <unordered_map>

namespace balsamwheel {

namespace {

/// A target is ejected if its mean latency exceeds this multiple of the median
/// of the other targets.
constexpr double EjectRatio = 3;
/// An ejected target is restored if a probe takes at most this multiple of the
/// median of the other targets.
constexpr double RestoreRatio = 2;
/// Minimum number of samples to eject a target because of its latency.
constexpr std::uint32_t EjectSamples = 4;
/// Consecutive failures after which a target is ejected.
constexpr std::uint32_t EjectFailures = 3;
/// A hedge is sent after this quantile of the latency.
constexpr double HedgeQuantile = 0.95;
/// Minimum weight of a target's histogram for its quantile to be used.
constexpr double HedgeSamples = 20;
/// Maximum number of hedges that can be saved up.
constexpr double HedgeBurst = 10;
/// Records of targets without requests for this long are dropped.
constexpr Duration RecordLifetime = std::chrono::minutes(1);

double medianOf(std::vector<double> Values) {
  if (Values.empty())
    return 0;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

class Picker::Impl {
public:
  Impl(PickerOptions Options, std::uint64_t Seed)
      : m_Options(Options), m_Random(Seed) {}

  std::optional<SessionId> pick(std::span<const SessionId> Candidates,
                                std::span<const SessionId> Avoid,
                                TimePoint Now);
  void started(SessionId Target, TimePoint Now);
  void finished(SessionId Target, Duration Latency, bool Failed, TimePoint Now);
  void abandoned(SessionId Target, Duration Waited, TimePoint Now);
  std::optional<Duration> hedgeDelay(TimePoint Now) const;
  bool takeHedge();

private:
  using Sessions = std::vector<SessionId>;

  SessionId choose(const Sessions &Eligible, TimePoint Now);
  SessionId betterOfTwo(const Sessions &Eligible, TimePoint Now);
  SessionId leastLoaded(const Sessions &Eligible);
  void ejectOutliers(std::span<const SessionId> Candidates, TimePoint Now);
  bool isOutlier(SessionId Target, std::span<const SessionId> Candidates,
                 TimePoint Now);
  double medianLatency(std::span<const SessionId> Candidates,
                       SessionId Excluded, TimePoint Now);
  std::optional<SessionId> dueProbe(const Sessions &Eligible, TimePoint Now);
  void finishProbe(SessionId Target, Duration Latency, bool Failed,
                   TimePoint Now);
  void dropUnused(TimePoint Now);
  std::size_t randomBelow(std::size_t Bound) {
    return m_Random(static_cast<std::uint32_t>(Bound));
  }

  PickerOptions m_Options;
  pcg32 m_Random;
  std::unordered_map<SessionId, TargetRecord> m_Records;
  // Candidates of the last pick; a probe is compared with their median.
  Sessions m_Candidates;
  std::uint64_t m_NextIndex = 0;
  // Number of hedges that may be sent, within [0, HedgeBurst].
  double m_HedgeTokens = 0;
};

std::optional<SessionId>
Picker::Impl::pick(std::span<const SessionId> Candidates,
                   std::span<const SessionId> Avoid, TimePoint Now) {
  if (Candidates.empty())
    return std::nullopt;
  m_Candidates.assign(Candidates.begin(), Candidates.end());
  if (m_Records.size() > Candidates.size() * 2)
    dropUnused(Now);
  Sessions Eligible;
  for (const SessionId Candidate : Candidates)
    if (std::ranges::find(Avoid, Candidate) == Avoid.end())
      Eligible.push_back(Candidate);
  if (Eligible.empty())
    Eligible = m_Candidates;
  return choose(Eligible, Now);
}

SessionId Picker::Impl::choose(const Sessions &Eligible, TimePoint Now) {
  switch (m_Options.m_Policy) {
  case PickPolicy::TwoChoices:
    return betterOfTwo(Eligible, Now);
  case PickPolicy::LeastLoaded:
    return leastLoaded(Eligible);
  case PickPolicy::RoundRobin:
    return Eligible.at(m_NextIndex++ % Eligible.size());
  case PickPolicy::Random:
    break;
  }
  return Eligible.at(randomBelow(Eligible.size()));
}

SessionId Picker::Impl::betterOfTwo(const Sessions &Eligible, TimePoint Now) {
  ejectOutliers(m_Candidates, Now);
  if (const std::optional<SessionId> Probe = dueProbe(Eligible, Now))
    return *Probe;
  Sessions Healthy;
  for (const SessionId Candidate : Eligible)
    if (!m_Records[Candidate].ejected())
      Healthy.push_back(Candidate);
  if (Healthy.empty())
    Healthy = Eligible;
  if (Healthy.size() == 1)
    return Healthy.front();

  const std::size_t First = randomBelow(Healthy.size());
  const std::size_t Step = 1 + randomBelow(Healthy.size() - 1);
  const SessionId One = Healthy.at(First);
  const SessionId Other = Healthy.at((First + Step) % Healthy.size());
  const double DefaultLatency = medianLatency(m_Candidates, SessionId(), Now);
  const double CostOfOne = m_Records[One].cost(Now, DefaultLatency);
  return CostOfOne <= m_Records[Other].cost(Now, DefaultLatency) ? One : Other;
}

SessionId Picker::Impl::leastLoaded(const Sessions &Eligible) {
  // Starts at a random offset so that ties are spread over the targets.
  const std::size_t Offset = randomBelow(Eligible.size());
  SessionId Best = Eligible.at(Offset);
  for (std::size_t Step = 1; Step < Eligible.size(); ++Step) {
    const SessionId Other = Eligible.at((Offset + Step) % Eligible.size());
    if (m_Records[Other].inFlight() < m_Records[Best].inFlight())
      Best = Other;
  }
  return Best;
}

void Picker::Impl::ejectOutliers(std::span<const SessionId> Candidates,
                                 TimePoint Now) {
  auto Ejected = static_cast<std::size_t>(
      std::ranges::count_if(Candidates, [this](SessionId Candidate) {
        return m_Records[Candidate].ejected();
      }));
  for (const SessionId Candidate : Candidates) {
    if ((Ejected + 1) * 2 > Candidates.size())
      return;
    TargetRecord &Record = m_Records[Candidate];
    if (Record.ejected() || !isOutlier(Candidate, Candidates, Now))
      continue;
    Record.eject(Now);
    ++Ejected;
  }
}

bool Picker::Impl::isOutlier(SessionId Target,
                             std::span<const SessionId> Candidates,
                             TimePoint Now) {
  const TargetRecord &Record = m_Records[Target];
  if (Record.failuresInRow() >= EjectFailures)
    return true;
  if (Record.samples() < EjectSamples)
    return false;
  const double Median = medianLatency(Candidates, Target, Now);
  return Median > 0 && Record.meanLatency(Now) > Median * EjectRatio;
}

double Picker::Impl::medianLatency(std::span<const SessionId> Candidates,
                                   SessionId Excluded, TimePoint Now) {
  std::vector<double> Known;
  for (const SessionId Candidate : Candidates) {
    const TargetRecord &Record = m_Records[Candidate];
    if (Candidate != Excluded && Record.samples() > 0)
      Known.push_back(Record.meanLatency(Now));
  }
  return medianOf(std::move(Known));
}

// A probe may get a slow answer, so it is sent only while the budget has a
// hedge for it.
std::optional<SessionId> Picker::Impl::dueProbe(const Sessions &Eligible,
                                                TimePoint Now) {
  if (m_Options.m_Hedge && m_HedgeTokens < 1)
    return std::nullopt;
  for (const SessionId Candidate : Eligible)
    if (m_Records[Candidate].probeDue(Now))
      return Candidate;
  return std::nullopt;
}

void Picker::Impl::started(SessionId Target, TimePoint Now) {
  m_Records[Target].started(Now);
  // Hedges are counted here as well but must not add to the budget; the divisor
  // corrects for them.
  const double Credit = m_Options.m_HedgeBudget / (1 + m_Options.m_HedgeBudget);
  m_HedgeTokens = std::min(HedgeBurst, m_HedgeTokens + Credit);
}

void Picker::Impl::finished(SessionId Target, Duration Latency, bool Failed,
                            TimePoint Now) {
  m_Records[Target].finished(Latency, Failed, Now);
  finishProbe(Target, Latency, Failed, Now);
}

void Picker::Impl::abandoned(SessionId Target, Duration Waited, TimePoint Now) {
  m_Records[Target].abandoned(Waited, Now);
  finishProbe(Target, Waited, /*Failed=*/true, Now);
}

void Picker::Impl::finishProbe(SessionId Target, Duration Latency, bool Failed,
                               TimePoint Now) {
  TargetRecord &Record = m_Records[Target];
  if (!Record.ejected() || Record.inFlight() > 0)
    return;
  const double Median = medianLatency(m_Candidates, Target, Now);
  const bool Fast =
      static_cast<double>(Latency.count()) <= Median * RestoreRatio;
  if (!Failed && Fast)
    Record.restore(Latency);
  else
    Record.eject(Now);
}

// The median over the targets is used so that a slow target does not delay its
// own hedges.
std::optional<Duration> Picker::Impl::hedgeDelay(TimePoint Now) const {
  if (!m_Options.m_Hedge || m_HedgeTokens < 1)
    return std::nullopt;
  std::vector<double> Delays;
  for (const auto &[Target, Record] : m_Records)
    if (Record.latencies().weight() >= HedgeSamples &&
        Now - Record.lastSample() < RecordLifetime)
      Delays.push_back(static_cast<double>(
          Record.latencies().quantile(HedgeQuantile)->count()));
  if (Delays.empty())
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(medianOf(std::move(Delays))));
}

bool Picker::Impl::takeHedge() {
  if (!m_Options.m_Hedge || m_HedgeTokens < 1)
    return false;
  m_HedgeTokens -= 1;
  return true;
}

void Picker::Impl::dropUnused(TimePoint Now) {
  std::erase_if(m_Records, [&](const auto &Entry) {
    const TargetRecord &Record = Entry.second;
    return Record.inFlight() == 0 && Now - Record.lastSample() > RecordLifetime;
  });
}

Picker::Picker(PickerOptions Options, std::uint64_t Seed)
    : m_Impl(std::make_unique<Impl>(Options, Seed)) {}
Picker::~Picker() = default;
Picker::Picker(Picker &&) noexcept = default;
Picker &Picker::operator=(Picker &&) noexcept = default;

std::optional<SessionId> Picker::pick(std::span<const SessionId> Candidates,
                                      std::span<const SessionId> Avoid,
                                      TimePoint Now) {
  return m_Impl->pick(Candidates, Avoid, Now);
}

void Picker::started(SessionId Target, TimePoint Now) {
  m_Impl->started(Target, Now);
}

void Picker::finished(SessionId Target, Duration Latency, bool Failed,
                      TimePoint Now) {
  m_Impl->finished(Target, Latency, Failed, Now);
}

void Picker::abandoned(SessionId Target, Duration Waited, TimePoint Now) {
  m_Impl->abandoned(Target, Waited, Now);
}

std::optional<Duration> Picker::hedgeDelay(TimePoint Now) const {
  return m_Impl->hedgeDelay(Now);
}

bool Picker::takeHedge(TimePoint Now) {
  static_cast<void>(Now);
  return m_Impl->takeHedge();
}

} // namespace balsamwheel
