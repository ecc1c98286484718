// Admission control in front of one target: whether a request runs now, waits
// or is refused.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/manifest/model.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace balsamwheel {

struct AdmissionOptions {
  /// Maximum number of requests in progress at the target.
  std::uint32_t m_Slots = 10;
  /// Maximum number of waiting requests, over all classes.
  std::uint32_t m_QueueLimit = 200;
  /// Slots reserved for urgent requests.
  std::uint32_t m_ReservedUrgent = 1;
  /// Further slots reserved for urgent and interactive requests.
  std::uint32_t m_ReservedInteractive = 2;
  /// Concurrency limit right after a cold start.
  std::uint32_t m_ColdSlots = 2;
  /// Minimum time in which the limit rises from m_ColdSlots to m_Slots after a
  /// cold start.
  Duration m_ColdRamp = std::chrono::seconds(12);
  /// If false, the limit is fixed at m_Slots.
  bool m_Adaptive = true;
};

enum class AdmissionVerdict : std::uint8_t { Run, Queued, Refused };

struct AdmissionDecision {
  AdmissionVerdict m_Verdict = AdmissionVerdict::Refused;
  /// For a refusal: time after which a slot is likely to be free.
  Duration m_RetryAfter{0};
};

/// Result of one request that was sent to the target.
struct OrderResult {
  Duration m_Latency{0};
  bool m_Failed = false;
  bool m_Shed = false;
};

/// Adaptive concurrency limit with slots reserved by class and one queue per
/// class, ordered by deadline. Performs no I/O and reads no clock; not
/// thread-safe.
///
/// Invariants: a request is admitted only while running() is below limit();
/// limit() stays within [1, m_Slots].
class AdmissionGate {
public:
  explicit AdmissionGate(AdmissionOptions Options, TimePoint Now);
  ~AdmissionGate();
  AdmissionGate(AdmissionGate &&) noexcept;
  AdmissionGate &operator=(AdmissionGate &&) noexcept;

  /// Admits, queues or refuses a request.
  /// Complexity: logarithmic in the queue length.
  AdmissionDecision offer(RequestHandle Request, Urgency Class,
                          TimePoint Deadline, TimePoint Now);
  /// Removes and returns the next waiting request that may run now.
  std::optional<RequestHandle> next(TimePoint Now);
  /// Removes and returns the waiting requests that can no longer meet their
  /// deadline.
  std::vector<RequestHandle> expire(TimePoint Now);
  /// Removes a waiting request; returns false if it was not waiting.
  bool withdraw(RequestHandle Request);
  /// Frees the slot of an admitted request that ended, and adapts the limit to
  /// its result.
  void finished(Urgency Class, const OrderResult &Result, TimePoint Now);
  /// Frees the slot of an admitted request that was never sent. The limit does
  /// not change.
  void released(Urgency Class);
  /// To be called when the target reported a restart or reconnected after a
  /// loss of its connection; falls back to the cold limit.
  void targetRestarted(TimePoint Now);

  std::uint32_t limit() const;
  std::uint32_t running() const;
  std::size_t queued() const;
  /// Expected time for a new request of this class to get a slot.
  Duration expectedWait(Urgency Class) const;
  /// Time at which to call next() and expire() even if no request has finished;
  /// TimePoint::max() when nothing waits.
  TimePoint nextWake() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel
