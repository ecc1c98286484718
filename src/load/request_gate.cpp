// Admission, start and refusal of requests to one target.
#include "balsamwheel/detail/load/request_gate.h"

#include <algorithm>

namespace balsamwheel {

namespace {

double micros(Duration Value) { return static_cast<double>(Value.count()); }

Duration fromMicros(double Value) {
  return Duration(static_cast<Duration::rep>(Value));
}

} // namespace

void RequestGate::open(std::uint32_t Slots) { m_Slots = Slots; }

std::vector<RequestHandle> RequestGate::close() {
  m_Slots = 0;
  std::vector<RequestHandle> Result;
  Result.reserve(m_Waiting.size());
  for (const Waiting &Each : m_Waiting)
    Result.push_back(Each.m_Request.m_Handle);
  m_Waiting.clear();
  m_Backlogged = false;
  m_StartGap = 0;
  return Result;
}

Duration RequestGate::knownService(const GateRequest &Request) const {
  return Request.m_Trial ? Duration::zero() : m_Service.known(Request.m_Route);
}

bool RequestGate::canBeOnTime(const GateRequest &Request, TimePoint Now) const {
  return micros(dueBy(Request) - Now) >=
         m_Options.m_FastServiceShare * micros(knownService(Request));
}

bool RequestGate::isHeldBackByEstimate(const GateRequest &Request,
                                       TimePoint Now) const {
  return (Request.m_Deadline > Now && cannotMeetDeadline(Request, Now)) ||
         (dueBy(Request) > Now && !canBeOnTime(Request, Now));
}

Duration RequestGate::maxWait(const GateRequest &Request, TimePoint Now) const {
  const double Service = micros(knownService(Request));
  if (!canBeOnTime(Request, Now))
    return fromMicros(m_Options.m_LateWaitShare *
                      (micros(Request.m_Deadline - Now) - Service));
  const double Left = micros(dueBy(Request) - Now);
  return fromMicros(std::max(m_Options.m_AdmissionShare * Left - Service,
                             m_Options.m_MinWaitShare * Left));
}

bool RequestGate::cannotMeetDeadline(const GateRequest &Request,
                                     TimePoint Now) const {
  return micros(Request.m_Deadline - Now) <
         m_Options.m_MinServiceShare * micros(knownService(Request));
}

GateDecision RequestGate::refusal(const GateRequest &Request, Duration Wait,
                                  GateRefusal Why, TimePoint Now) {
  return {.m_Verdict = GateVerdict::Refuse,
          .m_ExpectedWait = Wait,
          .m_RetryAfter = retryAfter(Request, Wait, Now),
          .m_Why = Why};
}

Duration RequestGate::retryAfter(const GateRequest &Request, Duration Wait,
                                 TimePoint Now) {
  if (!m_Options.m_ScheduleReturns || !isOpen())
    return std::clamp(Wait, m_Options.m_MinRetryAfter,
                      m_Options.m_MaxRetryAfter);
  const double Useful =
      micros(Request.m_Deadline - Now) -
      m_Options.m_MinServiceShare * micros(expectedService(Request.m_Route));
  const Duration Longest =
      std::clamp(fromMicros(Useful), m_Options.m_MinRetryAfter,
                 m_Options.m_MaxScheduledReturn);
  double StartGap = micros(meanService()) / m_Slots;
  if (const double Rate = rateLimit(Now); Rate > 0)
    StartGap = std::max(StartGap, 1e6 / Rate);
  return m_Returns[Request.m_Priority].next(
      std::max(Wait, m_Options.m_MinRetryAfter), fromMicros(StartGap), Longest,
      Now);
}

Duration RequestGate::expectedWait(const GateRequest &Request,
                                   std::size_t Ahead, TimePoint Now) const {
  double Wait = 0;
  const std::size_t Before =
      m_Running + m_Ranks.slotsToLeave(Request.m_Priority) + Ahead;
  // Slots that more urgent requests use don't become free for this one, and the
  // others are used by requests like it.
  const double Used = m_Ranks.slotsUsedBefore(Request.m_Priority);
  const double Slots = std::max(m_Slots - Used, 1.0);
  const Duration Service =
      Used > 0 ? std::max(meanService(), expectedService(Request.m_Route))
               : meanService();
  if (Before >= m_Slots)
    Wait = micros(Service) * static_cast<double>(Before - m_Slots + 1) / Slots;
  if (m_StartGap > 0 && Now - m_LastStart < m_Options.m_StartGapLifetime)
    Wait = std::max(Wait, m_StartGap * static_cast<double>(Ahead + 1));
  if (const double Rate = rateLimit(Now); Rate > 0) {
    const double Missing =
        static_cast<double>(Ahead) + 1 - availableTokens(Now);
    Wait = std::max(Wait, Missing / Rate * 1e6);
  }
  return fromMicros(Wait);
}

bool RequestGate::hasNonNestedWaiting() const {
  return std::any_of(
      m_Waiting.begin(), m_Waiting.end(),
      [](const Waiting &Each) { return !Each.m_Request.m_Nested; });
}

void RequestGate::recordStart(TimePoint Now) {
  const double Gap = micros(Now - m_LastStart);
  const bool GapValid = Now - m_LastStart < m_Options.m_StartGapLifetime;
  if (m_Backlogged)
    m_StartGap =
        m_StartGap > 0 && GapValid
            ? m_StartGap + m_Options.m_StartGapWeight * (Gap - m_StartGap)
            : Gap;
  else if (!GapValid)
    m_StartGap = 0;
  m_LastStart = Now;
  m_Backlogged = hasNonNestedWaiting();
}

void RequestGate::start(const Waiting &Started, TimePoint Now) {
  ++m_Running;
  m_Ranks.started(Started.m_Request.m_Priority, Now);
}

GateDecision RequestGate::offer(GateRequest Request, TimePoint Now) {
  if (!isOpen())
    return refusal(Request, meanService(), GateRefusal::Closed, Now);
  Request.m_Trial = isHeldBackByEstimate(Request, Now) &&
                    m_Service.takeTrial(Request.m_Route, Now);
  if (cannotMeetDeadline(Request, Now))
    return refusal(Request, meanService(), GateRefusal::DeadlineTooNear, Now);
  m_Returns[Request.m_Priority].arrived(Now);
  if (!Request.m_Nested)
    m_Turns[Request.m_Priority].arrived(Request.m_Organisation, Now);
  m_Ranks.arrived(Request.m_Priority, expectedService(Request.m_Route),
                  maxWait(Request, Now), Now);
  updateRanks(Now);
  Waiting Offered{.m_Request = Request, .m_Sequence = m_NextSequence++};
  Offered.m_Rank = m_Options.m_RoomByPriority ? m_Ranks.rank(Request.m_Priority)
                                              : Request.m_Priority;
  if (isBeforeAll(Offered) && hasSlotFor(Request) && takeToken(Now)) {
    start(Offered, Now);
    useTurn(Request);
    if (!m_Waiting.empty() && !Request.m_Nested)
      recordStart(Now);
    return {.m_Verdict = GateVerdict::Send};
  }
  Offered.m_Turn = turnOf(Offered);
  const Duration Wait = expectedWait(Request, countBefore(Offered, Now), Now);
  const bool TooLong = Wait > maxWait(Request, Now);
  if (!TooLong &&
      (!isFull() || lastDisplaceable(Offered, Now) != m_Waiting.end()))
    return admit(Offered, Wait, Now);
  m_Ranks.refused(Request.m_Priority, Now);
  return refusal(Request, Wait,
                 TooLong ? GateRefusal::WaitTooLong : GateRefusal::QueueFull,
                 Now);
}

GateDecision RequestGate::admit(const Waiting &Offered, Duration Wait,
                                TimePoint Now) {
  GateDecision Result{.m_Verdict = GateVerdict::Wait, .m_ExpectedWait = Wait};
  if (const auto Displaced = displaceFor(Offered, Now)) {
    const Duration Longer = expectedWait(*Displaced, m_Waiting.size() + 1, Now);
    Result.m_Displaced = Displaced->m_Handle;
    Result.m_RetryAfter = retryAfter(*Displaced, Longer, Now);
  }
  enqueue(Offered);
  return Result;
}

std::optional<GateRequest> RequestGate::displaceFor(const Waiting &Offered,
                                                    TimePoint Now) {
  const auto Last = lastDisplaceable(Offered, Now);
  if (Last == m_Waiting.end())
    return std::nullopt;
  // The new request and those before the last one.
  const std::size_t Ahead = countBefore(*Last, Now) + 1;
  const GateRequest &Request = Last->m_Request;
  if (!isFull() &&
      canBeOnTime(Request, Now + expectedWait(Request, Ahead, Now)))
    return std::nullopt;
  const Waiting Displaced = std::move(*Last);
  m_Waiting.erase(Last);
  giveTurnBack(Displaced);
  m_Ranks.refused(Displaced.m_Request.m_Priority, Now);
  return Displaced.m_Request;
}

std::optional<RequestHandle> RequestGate::next(TimePoint Now) {
  if (m_Running >= m_Slots || m_Waiting.empty())
    return std::nullopt;
  updateRanks(Now);
  auto Best = m_Waiting.end();
  for (auto Each = m_Waiting.begin(); Each != m_Waiting.end(); ++Each)
    if (hasSlotFor(Each->m_Request) &&
        (Best == m_Waiting.end() || precedes(*Each, *Best, Now)))
      Best = Each;
  if (Best == m_Waiting.end() || !takeToken(Now))
    return std::nullopt;
  const Waiting Sent = std::move(*Best);
  m_Waiting.erase(Best);
  start(Sent, Now);
  if (!Sent.m_Request.m_Nested) {
    m_Turns[Sent.m_Request.m_Priority].sent(Sent.m_Turn);
    recordStart(Now);
  }
  return Sent.m_Request.m_Handle;
}

std::vector<RequestHandle> RequestGate::expire(TimePoint Now) {
  updateRanks(Now);
  const bool Contended =
      std::any_of(m_Waiting.begin(), m_Waiting.end(), [&](const Waiting &Each) {
        return canBeOnTime(Each.m_Request, Now);
      });
  std::vector<Waiting> Dropped;
  std::erase_if(m_Waiting, [&](const Waiting &Each) {
    const bool Drop =
        cannotMeetDeadline(Each.m_Request, Now + m_Options.m_ExpireInterval) ||
        (Contended && !canBeOnTime(Each.m_Request, Now));
    if (Drop)
      Dropped.push_back(Each);
    return Drop;
  });
  dropWithoutToken(Now, Dropped);
  std::vector<RequestHandle> Result;
  Result.reserve(Dropped.size());
  for (const Waiting &Each : Dropped) {
    giveTurnBack(Each);
    m_Ranks.refused(Each.m_Request.m_Priority, Now);
    Result.push_back(Each.m_Request.m_Handle);
  }
  m_Backlogged = m_Backlogged && hasNonNestedWaiting();
  return Result;
}

bool RequestGate::withdraw(RequestHandle Request) {
  const auto Found = std::find_if(
      m_Waiting.begin(), m_Waiting.end(),
      [&](const Waiting &Each) { return Each.m_Request.m_Handle == Request; });
  if (Found == m_Waiting.end())
    return false;
  const Waiting Withdrawn = std::move(*Found);
  m_Waiting.erase(Found);
  giveTurnBack(Withdrawn);
  m_Backlogged = m_Backlogged && hasNonNestedWaiting();
  return true;
}

void RequestGate::finished(const std::string &Route, std::uint32_t Priority,
                           Duration Service, bool Served) {
  m_Ranks.finished(Priority);
  if (m_Running > 0)
    --m_Running;
  if (Served)
    m_Service.add(Route, Service);
}

} // namespace balsamwheel
