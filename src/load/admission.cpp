// The gate in front of one target: slots by class, queues, refusals.
#include "balsamwheel/detail/load/admission.h"

#include "load/class_queues.h"
#include "load/concurrency_limit.h"

#include <algorithm>
#include <array>
#include <utility>

namespace balsamwheel {

namespace {

constexpr std::array<Urgency, UrgencyCount> ByUrgency{
    Urgency::Urgent, Urgency::Interactive, Urgency::Bulk};

/// Shares of the queue that a class and those below it may fill.
constexpr std::array<double, UrgencyCount> QueueShare{1.0, 0.75, 0.5};

constexpr Duration MinRetryAfter = std::chrono::milliseconds(1);

/// Slots stay reserved this long after the last request they are meant for.
constexpr Duration ReserveMemory = std::chrono::seconds(10);

std::size_t index(Urgency Class) { return static_cast<std::size_t>(Class); }

} // namespace

class AdmissionGate::Impl {
public:
  Impl(AdmissionOptions Options, TimePoint Now)
      : m_Options(Options), m_Limit(Options, Now), m_Now(Now) {
    m_LastOffer.fill(Now - ReserveMemory);
  }

  AdmissionDecision offer(RequestHandle Request, Urgency Class,
                          TimePoint Deadline, TimePoint Now);
  std::optional<RequestHandle> next(TimePoint Now);
  std::vector<RequestHandle> expire(TimePoint Now);
  bool withdraw(RequestHandle Request);
  void finished(Urgency Class, const OrderResult &Result, TimePoint Now);
  void released(Urgency Class);
  void targetRestarted(TimePoint Now) { m_Limit.enterCold(Now); }

  std::uint32_t limit() const { return m_Limit.limit(); }
  std::uint32_t running() const;
  std::size_t queued() const { return m_Queues.size(); }
  Duration expectedWait(Urgency Class) const;
  TimePoint nextWake() const;

private:
  AdmissionDecision refusal(Urgency Class, Duration Wait) const;
  bool canStart(Urgency Class) const;
  std::uint32_t slotsOpenTo(Urgency Class) const;
  bool isExpected(Urgency Class) const;
  std::uint32_t runningUpTo(Urgency Class) const;
  std::uint32_t runningFrom(Urgency Class) const;
  bool queueHasRoom(Urgency Class) const;
  void start(Urgency Class, TimePoint Now);
  void dropDoomed(Urgency Class, TimePoint Now);
  Duration serviceTime(Urgency Class) const;
  Duration timeNeeded(Urgency Class) const;

  AdmissionOptions m_Options;
  ConcurrencyLimit m_Limit;
  ClassQueues m_Queues;
  std::array<std::uint32_t, UrgencyCount> m_Running{};
  // Taken out of the queue because their deadline can't be met; expire()
  // hands them over.
  std::vector<RequestHandle> m_Doomed;
  std::array<TimePoint, UrgencyCount> m_LastOffer;
  // The latest time that was passed in.
  TimePoint m_Now;
};

AdmissionDecision AdmissionGate::Impl::offer(RequestHandle Request,
                                             Urgency Class, TimePoint Deadline,
                                             TimePoint Now) {
  m_Now = Now;
  m_LastOffer.at(index(Class)) = Now;
  if (Deadline <= Now)
    return {AdmissionVerdict::Refused, MinRetryAfter};
  if (m_Queues.size(Class) == 0 && canStart(Class)) {
    start(Class, Now);
    return {AdmissionVerdict::Run, Duration(0)};
  }

  m_Limit.noteSaturated();
  const Duration Wait = expectedWait(Class);
  if (!queueHasRoom(Class))
    return refusal(Class, Wait);
  const Duration Late = Wait + timeNeeded(Class) - (Deadline - Now);
  if (Late > Duration(0))
    return refusal(Class, std::min(Late, Wait));
  m_Queues.push(Request, Class, Deadline);
  return {AdmissionVerdict::Queued, Duration(0)};
}

// The queue shortens only when an order ends, so one more is waited for.
AdmissionDecision AdmissionGate::Impl::refusal(Urgency Class,
                                               Duration Wait) const {
  return {AdmissionVerdict::Refused,
          std::max(Wait + serviceTime(Class), MinRetryAfter)};
}

std::optional<RequestHandle> AdmissionGate::Impl::next(TimePoint Now) {
  m_Now = Now;
  for (const Urgency Class : ByUrgency) {
    dropDoomed(Class, Now);
    if (m_Queues.size(Class) == 0)
      continue;
    if (!canStart(Class)) {
      m_Limit.noteSaturated();
      continue;
    }
    start(Class, Now);
    return m_Queues.popFirst(Class);
  }
  return std::nullopt;
}

std::vector<RequestHandle> AdmissionGate::Impl::expire(TimePoint Now) {
  m_Now = Now;
  for (const Urgency Class : ByUrgency)
    dropDoomed(Class, Now);
  return std::exchange(m_Doomed, {});
}

bool AdmissionGate::Impl::withdraw(RequestHandle Request) {
  return m_Queues.erase(Request) || std::erase(m_Doomed, Request) > 0;
}

void AdmissionGate::Impl::finished(Urgency Class, const OrderResult &Result,
                                   TimePoint Now) {
  released(Class);
  m_Limit.onResult(Class, Result, Now);
}

void AdmissionGate::Impl::released(Urgency Class) {
  std::uint32_t &Count = m_Running.at(index(Class));
  if (Count > 0)
    --Count;
}

std::uint32_t AdmissionGate::Impl::running() const {
  return runningUpTo(Urgency::Bulk);
}

Duration AdmissionGate::Impl::expectedWait(Urgency Class) const {
  const std::uint32_t Open = slotsOpenTo(Class);
  if (m_Queues.size(Class) == 0 && running() < limit() &&
      runningFrom(Class) < Open)
    return Duration(0);
  Duration Work = serviceTime(Class);
  for (const Urgency Ahead : ByUrgency)
    if (Ahead <= Class)
      Work +=
          serviceTime(Ahead) * static_cast<Duration::rep>(m_Queues.size(Ahead));
  // Pressing classes take slots of this one once their own are full.
  const std::uint32_t Kept = limit() - Open;
  const std::uint32_t Above = runningUpTo(Class) - m_Running.at(index(Class));
  const std::uint32_t Lost = Above > Kept ? Above - Kept : 0;
  return Work / static_cast<Duration::rep>(Open > Lost ? Open - Lost : 1);
}

TimePoint AdmissionGate::Impl::nextWake() const {
  const std::optional<TimePoint> Deadline = m_Queues.firstDeadline();
  if (!Deadline)
    return TimePoint::max();
  const TimePoint Resume = m_Limit.pausedUntil();
  return m_Now < Resume ? std::min(*Deadline, Resume) : *Deadline;
}

// Urgent requests may use every slot, others all but the reserved ones. A
// small limit keeps one slot that every class may use.
std::uint32_t AdmissionGate::Impl::slotsOpenTo(Urgency Class) const {
  std::uint32_t Reserved = 0;
  if (Class > Urgency::Urgent && isExpected(Urgency::Urgent))
    Reserved += m_Options.m_ReservedUrgent;
  if (Class > Urgency::Interactive && isExpected(Urgency::Interactive))
    Reserved += m_Options.m_ReservedInteractive;
  const std::uint32_t Limit = limit();
  return Limit > Reserved ? Limit - Reserved : 1;
}

bool AdmissionGate::Impl::isExpected(Urgency Class) const {
  return m_Now - m_LastOffer.at(index(Class)) < ReserveMemory;
}

// With a single slot, bulk runs only while no urgent request is expected.
bool AdmissionGate::Impl::canStart(Urgency Class) const {
  if (running() >= limit() || runningFrom(Class) >= slotsOpenTo(Class))
    return false;
  if (m_Now < m_Limit.pausedUntil())
    return false;
  return Class != Urgency::Bulk || limit() > 1 || !isExpected(Urgency::Urgent);
}

std::uint32_t AdmissionGate::Impl::runningUpTo(Urgency Class) const {
  std::uint32_t Sum = 0;
  for (const Urgency Counted : ByUrgency)
    if (Counted <= Class)
      Sum += m_Running.at(index(Counted));
  return Sum;
}

std::uint32_t AdmissionGate::Impl::runningFrom(Urgency Class) const {
  return running() - runningUpTo(Class) + m_Running.at(index(Class));
}

bool AdmissionGate::Impl::queueHasRoom(Urgency Class) const {
  std::size_t Filled = 0;
  for (const Urgency Counted : ByUrgency)
    if (Counted >= Class)
      Filled += m_Queues.size(Counted);
  const auto Share =
      static_cast<std::size_t>(static_cast<double>(m_Options.m_QueueLimit) *
                               QueueShare.at(index(Class)));
  return Filled < Share && m_Queues.size() < m_Options.m_QueueLimit;
}

void AdmissionGate::Impl::start(Urgency Class, TimePoint Now) {
  m_Limit.noteStart(Now);
  ++m_Running.at(index(Class));
  if (running() >= limit())
    m_Limit.noteSaturated();
}

void AdmissionGate::Impl::dropDoomed(Urgency Class, TimePoint Now) {
  const TimePoint Earliest = Now + m_Limit.trend(Class).baseline();
  while (const auto Doomed = m_Queues.popDueBefore(Class, Earliest))
    m_Doomed.push_back(*Doomed);
}

// A class without samples borrows from the nearest one that has some.
Duration AdmissionGate::Impl::serviceTime(Urgency Class) const {
  const Duration Own = m_Limit.trend(Class).recentMean();
  if (Own > Duration(0))
    return Own;
  Duration Longest(0);
  for (const Urgency Other : ByUrgency)
    Longest = std::max(Longest, m_Limit.trend(Other).recentMean());
  return Longest;
}

Duration AdmissionGate::Impl::timeNeeded(Urgency Class) const {
  return m_Limit.trend(Class).recentMean() + m_Limit.trend(Class).deviation();
}

AdmissionGate::AdmissionGate(AdmissionOptions Options, TimePoint Now)
    : m_Impl(std::make_unique<Impl>(Options, Now)) {}
AdmissionGate::~AdmissionGate() = default;
AdmissionGate::AdmissionGate(AdmissionGate &&) noexcept = default;
AdmissionGate &AdmissionGate::operator=(AdmissionGate &&) noexcept = default;

AdmissionDecision AdmissionGate::offer(RequestHandle Request, Urgency Class,
                                       TimePoint Deadline, TimePoint Now) {
  return m_Impl->offer(Request, Class, Deadline, Now);
}

std::optional<RequestHandle> AdmissionGate::next(TimePoint Now) {
  return m_Impl->next(Now);
}

std::vector<RequestHandle> AdmissionGate::expire(TimePoint Now) {
  return m_Impl->expire(Now);
}

bool AdmissionGate::withdraw(RequestHandle Request) {
  return m_Impl->withdraw(Request);
}

void AdmissionGate::finished(Urgency Class, const OrderResult &Result,
                             TimePoint Now) {
  m_Impl->finished(Class, Result, Now);
}

void AdmissionGate::released(Urgency Class) { m_Impl->released(Class); }

void AdmissionGate::targetRestarted(TimePoint Now) {
  m_Impl->targetRestarted(Now);
}

std::uint32_t AdmissionGate::limit() const { return m_Impl->limit(); }

std::uint32_t AdmissionGate::running() const { return m_Impl->running(); }

std::size_t AdmissionGate::queued() const { return m_Impl->queued(); }

Duration AdmissionGate::expectedWait(Urgency Class) const {
  return m_Impl->expectedWait(Class);
}

TimePoint AdmissionGate::nextWake() const { return m_Impl->nextWake(); }

} // namespace balsamwheel
