// Slots that are left for more urgent requests, and the floor for less urgent
// ones.
#include "balsamwheel/detail/load/gate_ranks.h"

#include <algorithm>
#include <cmath>

namespace balsamwheel {

namespace {

double micros(Duration Value) { return static_cast<double>(Value.count()); }

} // namespace

void GateRanks::age(Rank &Subject, TimePoint Now) const {
  const double Elapsed = micros(Now - Subject.m_AgedAt);
  Subject.m_AgedAt = Now;
  Subject.m_SlotTime *= std::exp(-Elapsed / micros(m_Options.m_DemandTime));
  const double Kept = std::exp(-Elapsed / micros(m_Options.m_FloorTime));
  Subject.m_Decided *= Kept;
  Subject.m_Started *= Kept;
}

GateRanks::Rank &GateRanks::rankAt(std::uint32_t Priority, TimePoint Now) {
  const auto [Found, Added] = m_Ranks.try_emplace(Priority);
  if (Added)
    Found->second.m_AgedAt = Found->second.m_LastArrival = Now;
  age(Found->second, Now);
  return Found->second;
}

const GateRanks::Rank *GateRanks::find(std::uint32_t Priority) const {
  const auto Found = m_Ranks.find(Priority);
  return Found == m_Ranks.end() ? nullptr : &Found->second;
}

void GateRanks::arrived(std::uint32_t Priority, Duration Service,
                        Duration Patience, TimePoint Now) {
  Rank &Subject = rankAt(Priority, Now);
  Subject.m_LastArrival = Now;
  Subject.m_SlotTime += micros(Service);
  const double Sample = std::max(micros(Patience), 1.0);
  Subject.m_Patience =
      Subject.m_Patience > 0
          ? Subject.m_Patience +
                m_Options.m_PatienceWeight * (Sample - Subject.m_Patience)
          : Sample;
}

void GateRanks::started(std::uint32_t Priority, TimePoint Now) {
  Rank &Subject = rankAt(Priority, Now);
  Subject.m_Started += 1;
  Subject.m_Decided += 1;
  ++Subject.m_Running;
}

void GateRanks::refused(std::uint32_t Priority, TimePoint Now) {
  rankAt(Priority, Now).m_Decided += 1;
}

void GateRanks::finished(std::uint32_t Priority) {
  const auto Found = m_Ranks.find(Priority);
  if (Found != m_Ranks.end() && Found->second.m_Running > 0)
    --Found->second.m_Running;
}

void GateRanks::chooseFirst() {
  double Decided = 0;
  double Started = 0;
  for (const auto &[Priority, Each] : m_Ranks) {
    Decided += Each.m_Decided;
    Started += Each.m_Started;
  }
  for (auto &[Priority, Each] : m_Ranks)
    Each.m_GoesFirst =
        m_Ranks.size() > 1 && Each.m_Decided >= m_Options.m_MinDecided &&
        Each.m_Started * Decided < m_Options.m_Floor * Started * Each.m_Decided;
}

void GateRanks::update(Duration StartGap, Duration MeanService, TimePoint Now) {
  if (m_Ranks.size() < 2)
    return;
  std::erase_if(m_Ranks, [&](const auto &Each) {
    return Each.second.m_Running == 0 &&
           Now - Each.second.m_LastArrival > m_Options.m_Lifetime;
  });
  for (auto &[Priority, Each] : m_Ranks)
    age(Each, Now);
  chooseFirst();
  for (auto &[Priority, Each] : m_Ranks) {
    double Used = 0;
    std::uint32_t Running = 0;
    for (const auto &[OtherPriority, Other] : m_Ranks) {
      if (rank(OtherPriority) >= rank(Priority) ||
          Now - Other.m_LastArrival > MeanService)
        continue;
      double Demand = Other.m_SlotTime / micros(m_Options.m_DemandTime);
      if (Other.m_GoesFirst)
        Demand = std::min(Demand, 1.0);
      if (Other.m_Patience >= m_Options.m_PatienceStarts * micros(StartGap))
        continue;
      Used += Demand;
      Running += Other.m_Running;
    }
    const double Wanted = Used + m_Options.m_Spread * std::sqrt(Used);
    const double Left = std::round(Wanted) - Running;
    Each.m_SlotsToLeave = static_cast<std::uint32_t>(std::max(Left, 0.0));
    Each.m_SlotsUsedBefore = Used;
  }
}

std::int64_t GateRanks::rank(std::uint32_t Priority) const {
  // Those that go first are before all others, by their priority.
  const Rank *Found = find(Priority);
  const std::int64_t Value = Priority;
  return Found && Found->m_GoesFirst ? Value - (std::int64_t{1} << 32) : Value;
}

std::uint32_t GateRanks::slotsToLeave(std::uint32_t Priority) const {
  const Rank *Found = find(Priority);
  return Found ? Found->m_SlotsToLeave : 0;
}

double GateRanks::slotsUsedBefore(std::uint32_t Priority) const {
  const Rank *Found = find(Priority);
  return Found ? Found->m_SlotsUsedBefore : 0;
}

} // namespace balsamwheel
