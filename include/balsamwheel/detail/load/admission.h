// The gate in front of one target: who runs now, who waits, who is refused.
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
  /// Most orders at the target at the same time.
  std::uint32_t m_Slots = 10;
  /// Most requests waiting, over all classes.
  std::uint32_t m_QueueLimit = 200;
  /// Slots kept for urgent requests, and for urgent and interactive ones.
  std::uint32_t m_ReservedUrgent = 1;
  std::uint32_t m_ReservedInteractive = 2;
  /// Limit right after a cold start.
  std::uint32_t m_ColdSlots = 2;
  /// Shortest time from m_ColdSlots to m_Slots after a cold start.
  Duration m_ColdRamp = std::chrono::seconds(12);
  /// False fixes the limit at m_Slots: the baseline.
  bool m_Adaptive = true;
};

enum class AdmissionVerdict : std::uint8_t { Run, Queued, Refused };

struct AdmissionDecision {
  AdmissionVerdict m_Verdict = AdmissionVerdict::Refused;
  /// For a refusal: when a slot is likely free.
  Duration m_RetryAfter{0};
};

/// What one order showed about the target.
struct OrderResult {
  Duration m_Latency{0};
  bool m_Failed = false;
  bool m_Shed = false;
};

/// Adaptive concurrency limit with class reservations and queues in deadline
/// order. Pure; not thread-safe.
///
/// Invariants: running() never exceeds limit() at the moment of admission;
/// limit() stays within [1, m_Slots].
class AdmissionGate {
public:
  explicit AdmissionGate(AdmissionOptions Options, TimePoint Now);
  ~AdmissionGate();
  AdmissionGate(AdmissionGate &&) noexcept;
  AdmissionGate &operator=(AdmissionGate &&) noexcept;

  /// Offers a request. Complexity: logarithmic in the queue.
  AdmissionDecision offer(RequestHandle Request, Urgency Class,
                          TimePoint Deadline, TimePoint Now);
  /// Pops the next waiting request that may run now.
  std::optional<RequestHandle> next(TimePoint Now);
  /// Removes waiting requests that can no longer meet their deadline.
  std::vector<RequestHandle> expire(TimePoint Now);
  /// Withdraws a waiting request; false if it was not waiting.
  bool withdraw(RequestHandle Request);
  /// An admitted request ended; frees its slot.
  void finished(Urgency Class, const OrderResult &Result, TimePoint Now);
  /// An admitted request was never sent; frees its slot, teaches nothing.
  void released(Urgency Class);
  /// The target said it restarted, or reconnected after a loss.
  void targetRestarted(TimePoint Now);

  std::uint32_t limit() const;
  std::uint32_t running() const;
  std::size_t queued() const;
  /// Expected time for a new request of this class to get a slot.
  Duration expectedWait(Urgency Class) const;
  /// When to call next() and expire() though nothing finished; the far future
  /// when nothing waits.
  TimePoint nextWake() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel
