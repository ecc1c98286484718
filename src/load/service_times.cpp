// Moving averages of service times, and trials while they get no samples.
#include "balsamwheel/detail/load/service_times.h"

#include <utility>

namespace balsamwheel {

namespace {

Duration fromMicros(double Value) {
  return Duration(static_cast<Duration::rep>(Value));
}

} // namespace

void ServiceTimes::add(const std::string &Route, Duration Service) {
  const auto Sample = static_cast<double>(Service.count());
  const auto Update = [&](double &Mean) {
    Mean = Mean > 0 ? Mean + m_Options.m_Weight * (Sample - Mean) : Sample;
  };
  Update(m_Mean);
  Estimate &Known = m_Routes[Route];
  if (Known.m_OnTrial && Sample < Known.m_Mean)
    Known.m_Mean = Sample;
  else
    Update(Known.m_Mean);
  Known.m_Sampled = true;
  Known.m_OnTrial = false;
}

Duration ServiceTimes::known(const std::string &Route) const {
  const auto Found = m_Routes.find(Route);
  return Found == m_Routes.end() ? Duration::zero()
                                 : fromMicros(Found->second.m_Mean);
}

Duration ServiceTimes::expected(const std::string &Route) const {
  const auto Found = m_Routes.find(Route);
  return Found == m_Routes.end() ? mean() : fromMicros(Found->second.m_Mean);
}

Duration ServiceTimes::mean() const {
  return m_Mean > 0 ? fromMicros(m_Mean) : m_Options.m_Initial;
}

bool ServiceTimes::takeTrial(const std::string &Route, TimePoint Now) {
  const auto Found = m_Routes.find(Route);
  if (Found == m_Routes.end())
    return false;
  Estimate &Known = Found->second;
  const bool Sampled = std::exchange(Known.m_Sampled, false);
  const bool Due =
      !Sampled && Now - Known.m_WithoutSampleSince >= m_Options.m_TrialInterval;
  if (Sampled || Due)
    Known.m_WithoutSampleSince = Now;
  Known.m_OnTrial |= Due;
  return Due;
}

void ServiceTimes::keepOnly(const std::set<std::string> &Routes) {
  std::erase_if(m_Routes,
                [&](const auto &Each) { return !Routes.contains(Each.first); });
}

} // namespace balsamwheel
