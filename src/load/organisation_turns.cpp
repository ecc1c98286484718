// Weights and turns of organisations that wait for one target.
#include "balsamwheel/detail/load/organisation_turns.h"

#include <algorithm>
#include <cmath>

namespace balsamwheel {

namespace {

/// Keeps turns finite.
constexpr double MinWeight = 0.01;
/// Shortest time over which a rate is computed.
constexpr double MinMeasuredSeconds = 2;

double seconds(Duration Value) {
  return static_cast<double>(Value.count()) / 1e6;
}

} // namespace

double OrganisationTurns::measuredRate(const Flow &Subject,
                                       TimePoint Now) const {
  const double Usual = seconds(m_Options.m_UsualTime);
  const double Age =
      std::max(seconds(Now - Subject.m_Since), MinMeasuredSeconds);
  return Subject.m_Recent / (Usual * (1 - std::exp(-Age / Usual)));
}

double OrganisationTurns::meanWeight() const {
  double Sum = 0;
  for (const auto &[Name, Each] : m_Flows)
    Sum += Each.m_Weight;
  return Sum / static_cast<double>(std::max<std::size_t>(m_Flows.size(), 1));
}

void OrganisationTurns::forgetOld(TimePoint Now) {
  if (Now < m_NextSweep)
    return;
  m_NextSweep = Now + m_Options.m_Lifetime / 4;
  std::erase_if(m_Flows, [&](const auto &Each) {
    return Now - Each.second.m_LastArrival > m_Options.m_Lifetime;
  });
}

void OrganisationTurns::arrived(const OrganisationName &Name, TimePoint Now) {
  forgetOld(Now);
  if (m_Flows.empty()) {
    if (Name.value().empty())
      return;
    m_Since = Now;
  }
  const bool Learning = Now - m_Since <= m_Options.m_LearningTime;
  const auto Known = m_Flows.find(Name);
  if (Known == m_Flows.end()) {
    Flow Added{.m_Since = Now, .m_LastArrival = Now, .m_Recent = 1};
    Added.m_Weight = measuredRate(Added, Now);
    if (!Learning)
      Added.m_Weight = std::min(Added.m_Weight, meanWeight());
    m_Flows.emplace(Name, Added);
    return;
  }
  Flow &Subject = Known->second;
  const double Elapsed = seconds(Now - Subject.m_LastArrival);
  Subject.m_Recent =
      1 +
      Subject.m_Recent * std::exp(-Elapsed / seconds(m_Options.m_UsualTime));
  Subject.m_LastArrival = Now;
  const double Measured = measuredRate(Subject, Now);
  const double Highest =
      Subject.m_Weight * std::exp(m_Options.m_WeightRisePerSecond * Elapsed);
  Subject.m_Weight = Learning ? Measured : std::min(Measured, Highest);
}

OrganisationTurns::Turn
OrganisationTurns::next(const OrganisationName &Name) const {
  const auto Found = m_Flows.find(Name);
  if (Found == m_Flows.end())
    return {};
  return {.m_Start = std::max(m_Present, Found->second.m_Finish),
          .m_Cost = 1 / std::max(Found->second.m_Weight, MinWeight)};
}

void OrganisationTurns::take(const OrganisationName &Name, const Turn &Taken) {
  if (auto Found = m_Flows.find(Name); Found != m_Flows.end())
    Found->second.m_Finish = Taken.m_Start + Taken.m_Cost;
}

void OrganisationTurns::giveBack(const OrganisationName &Name,
                                 const Turn &Given) {
  if (auto Found = m_Flows.find(Name); Found != m_Flows.end())
    Found->second.m_Finish -= Given.m_Cost;
}

void OrganisationTurns::sent(const Turn &Used) {
  m_Present = std::max(m_Present, Used.m_Start);
}

} // namespace balsamwheel
