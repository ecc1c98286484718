// Rate limits of the target behind a gate.
#include "balsamwheel/detail/load/request_gate.h"

#include <algorithm>

namespace balsamwheel {

namespace {

double micros(Duration Value) { return static_cast<double>(Value.count()); }

Duration fromMicros(double Value) {
  return Duration(static_cast<Duration::rep>(Value));
}

} // namespace

void RequestGate::creditTokens(TimePoint Now) {
  m_Tokens = rateLimit(Now) > 0 ? availableTokens(Now) : m_Options.m_MinBurst;
  m_TokensAt = Now;
}

void RequestGate::limitRate(double Rate, TimePoint Until, TimePoint Now) {
  creditTokens(Now);
  m_ColdRate = Rate;
  m_ColdUntil = Until;
}

void RequestGate::setNamedLimit(std::optional<double> Rate, TimePoint Now) {
  creditTokens(Now);
  m_NamedLimit = Rate;
  if (m_NamedLimit)
    m_NamedLimit = std::max(*m_NamedLimit, m_Options.m_MinLimit);
}

double RequestGate::rateLimit(TimePoint Now) const {
  const double Cold = Now < m_ColdUntil ? m_ColdRate : 0;
  if (!m_NamedLimit)
    return Cold;
  return Cold > 0 ? std::min(Cold, *m_NamedLimit) : *m_NamedLimit;
}

double RequestGate::burst(TimePoint Now) const {
  if (Now < m_ColdUntil)
    return m_Options.m_MinBurst;
  return std::max(m_Options.m_MinBurst, m_NamedLimit.value_or(0) *
                                            micros(m_Options.m_LimitBurst) /
                                            1e6);
}

double RequestGate::availableTokens(TimePoint Now) const {
  return std::min(burst(Now),
                  m_Tokens + rateLimit(Now) * micros(Now - m_TokensAt) / 1e6);
}

double RequestGate::spareTokens(TimePoint Now) const {
  return availableTokens(Now) - static_cast<double>(m_Waiting.size());
}

bool RequestGate::takeToken(TimePoint Now) {
  if (rateLimit(Now) == 0)
    return true;
  const double Tokens = availableTokens(Now);
  if (Tokens < 1)
    return false;
  m_Tokens = Tokens - 1;
  m_TokensAt = Now;
  return true;
}

void RequestGate::dropWithoutToken(TimePoint Now,
                                   std::vector<Waiting> &Dropped) {
  const double Rate = rateLimit(Now);
  if (Rate == 0)
    return;
  std::sort(m_Waiting.begin(), m_Waiting.end(),
            [&](const Waiting &Left, const Waiting &Right) {
              return precedes(Left, Right, Now);
            });
  double Missing = 1 - availableTokens(Now);
  std::erase_if(m_Waiting, [&](const Waiting &Each) {
    const bool TooLate = fromMicros(std::max(0.0, Missing) / Rate * 1e6) >
                         maxWait(Each.m_Request, Now);
    if (TooLate)
      Dropped.push_back(Each);
    else
      Missing += 1;
    return TooLate;
  });
}

std::optional<TimePoint> RequestGate::nextWake(TimePoint Now) const {
  if (m_Waiting.empty())
    return std::nullopt;
  const double Rate = rateLimit(Now);
  const double Missing = 1 - availableTokens(Now);
  // Otherwise the queue is empty unless slots are left for others.
  if (m_Running < m_Slots && m_Options.m_RoomByPriority && m_Ranks.size() > 1 &&
      (Rate == 0 || Missing <= 0))
    return Now + m_Options.m_RoomInterval;
  // The wake-up is at least 1000 microseconds away.
  if (Rate > 0 && m_Running < m_Slots)
    return Now + fromMicros(std::max(1000.0, Missing / Rate * 1e6));
  return std::nullopt;
}

} // namespace balsamwheel
