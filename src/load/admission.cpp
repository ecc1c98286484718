// Admission control in front of one target: slots by class, queues, refusals.
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

/// Fraction of m_QueueLimit that a class and the less urgent ones may fill
/// together, by class.
constexpr std::array<double, UrgencyCount> QueueShare{1.0, 0.75, 0.5};

constexpr Duration MinRetryAfter = std::chrono::milliseconds(1);

/// Slots stay reserved for a class for this long after its last request.
constexpr Duration ReservationTime = std::chrono::seconds(10);

std::size_t index(Urgency Class) { return static_cast<std::size_t>(Class); }

} // namespace

class AdmissionGate::Impl {
public:
  Impl(AdmissionOptions Options, TimePoint Now)
      : m_Options(Options), m_Limit(Options, Now), m_Now(Now) {
    m_LastOffer.fill(Now - ReservationTime);
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
  /// Whether a request of the class arrived within ReservationTime.
  bool recentlyOffered(Urgency Class) const;
  /// Running requests of this class and the more urgent ones.
  std::uint32_t runningUpTo(Urgency Class) const;
  /// Running requests of this class and the less urgent ones.
  std::uint32_t runningFrom(Urgency Class) const;
  bool queueHasRoom(Urgency Class) const;
  void start(Urgency Class, TimePoint Now);
  void moveExpired(Urgency Class, TimePoint Now);
  Duration serviceTime(Urgency Class) const;
  Duration requiredTime(Urgency Class) const;

  AdmissionOptions m_Options;
  ConcurrencyLimit m_Limit;
  ClassQueues m_Queues;
  std::array<std::uint32_t, UrgencyCount> m_Running{};
  // Removed from the queues because their deadline can't be met; returned by
  // the next call of expire().
  std::vector<RequestHandle> m_Expired;
  std::array<TimePoint, UrgencyCount> m_LastOffer;
  // The last value of Now that was passed to a member function.
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

  m_Limit.markSaturated();
  const Duration Wait = expectedWait(Class);
  if (!queueHasRoom(Class))
    return refusal(Class, Wait);
  const Duration Late = Wait + requiredTime(Class) - (Deadline - Now);
  if (Late > Duration(0))
    return refusal(Class, std::min(Late, Wait));
  m_Queues.push(Request, Class, Deadline);
  return {AdmissionVerdict::Queued, Duration(0)};
}

// The queue gets shorter only when a running request ends, so the service time
// of one more request is added.
AdmissionDecision AdmissionGate::Impl::refusal(Urgency Class,
                                               Duration Wait) const {
  return {AdmissionVerdict::Refused,
          std::max(Wait + serviceTime(Class), MinRetryAfter)};
}

std::optional<RequestHandle> AdmissionGate::Impl::next(TimePoint Now) {
  m_Now = Now;
  for (const Urgency Class : ByUrgency) {
    moveExpired(Class, Now);
    if (m_Queues.size(Class) == 0)
      continue;
    if (!canStart(Class)) {
      m_Limit.markSaturated();
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
    moveExpired(Class, Now);
  return std::exchange(m_Expired, {});
}

bool AdmissionGate::Impl::withdraw(RequestHandle Request) {
  return m_Queues.erase(Request) || std::erase(m_Expired, Request) > 0;
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
  // More urgent classes take slots of this one once their reserved ones are
  // occupied.
  const std::uint32_t Reserved = limit() - Open;
  const std::uint32_t MoreUrgent =
      runningUpTo(Class) - m_Running.at(index(Class));
  const std::uint32_t Taken = MoreUrgent > Reserved ? MoreUrgent - Reserved : 0;
  return Work / static_cast<Duration::rep>(Open > Taken ? Open - Taken : 1);
}

TimePoint AdmissionGate::Impl::nextWake() const {
  const std::optional<TimePoint> Deadline = m_Queues.firstDeadline();
  if (!Deadline)
    return TimePoint::max();
  const TimePoint Resume = m_Limit.pausedUntil();
  return m_Now < Resume ? std::min(*Deadline, Resume) : *Deadline;
}

// Urgent requests may use every slot, other classes all but those reserved for
// more urgent ones. Even if the limit is small, each class may use one slot.
std::uint32_t AdmissionGate::Impl::slotsOpenTo(Urgency Class) const {
  std::uint32_t Reserved = 0;
  if (Class > Urgency::Urgent && recentlyOffered(Urgency::Urgent))
    Reserved += m_Options.m_ReservedUrgent;
  if (Class > Urgency::Interactive && recentlyOffered(Urgency::Interactive))
    Reserved += m_Options.m_ReservedInteractive;
  const std::uint32_t Limit = limit();
  return Limit > Reserved ? Limit - Reserved : 1;
}

bool AdmissionGate::Impl::recentlyOffered(Urgency Class) const {
  return m_Now - m_LastOffer.at(index(Class)) < ReservationTime;
}

// With a single slot, bulk requests run only while no urgent one is expected.
bool AdmissionGate::Impl::canStart(Urgency Class) const {
  if (running() >= limit() || runningFrom(Class) >= slotsOpenTo(Class))
    return false;
  if (m_Now < m_Limit.pausedUntil())
    return false;
  return Class != Urgency::Bulk || limit() > 1 ||
         !recentlyOffered(Urgency::Urgent);
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
  m_Limit.recordStart(Now);
  ++m_Running.at(index(Class));
  if (running() >= limit())
    m_Limit.markSaturated();
}

void AdmissionGate::Impl::moveExpired(Urgency Class, TimePoint Now) {
  const TimePoint Earliest = Now + m_Limit.trend(Class).baseline();
  while (const auto Expired = m_Queues.popDueBefore(Class, Earliest))
    m_Expired.push_back(*Expired);
}

// A class without samples uses the largest mean of the other classes.
Duration AdmissionGate::Impl::serviceTime(Urgency Class) const {
  const Duration Own = m_Limit.trend(Class).recentMean();
  if (Own > Duration(0))
    return Own;
  Duration Longest(0);
  for (const Urgency Other : ByUrgency)
    Longest = std::max(Longest, m_Limit.trend(Other).recentMean());
  return Longest;
}

Duration AdmissionGate::Impl::requiredTime(Urgency Class) const {
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
