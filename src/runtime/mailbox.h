// A bounded ring with one consumer that sleeps while the ring is empty.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "runtime/bounded_ring.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <thread>
#include <utility>

namespace balsamwheel::runtime {

/// Wakes a consumer; may be called from any thread.
template <typename T>
concept Waker = requires(T Value) { Value.wake(); };

/// Producers call the waker only when the consumer is asleep, so a busy
/// consumer costs them no system call.
template <typename T, Waker WakerT> class Mailbox {
public:
  Mailbox(std::size_t Capacity, WakerT &Wake)
      : m_Ring(Capacity), m_Waker(Wake) {}

  /// Moves \p Value in; leaves it untouched and returns false when full.
  bool tryPush(T &Value) {
    if (!m_Ring.tryPush(Value))
      return false;
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (m_Asleep.load(std::memory_order_relaxed) &&
        m_Asleep.exchange(false, std::memory_order_relaxed))
      m_Waker.wake();
    return true;
  }

  /// Moves \p Value in, waiting for room. Not for the consumer's own thread.
  void push(T Value) {
    while (!tryPush(Value))
      std::this_thread::sleep_for(FullDelay);
  }

  bool tryPop(T &Value) { return m_Ring.tryPop(Value); }

  /// Announces that the consumer is about to sleep.
  ///
  /// \returns false when something is waiting already: do not sleep.
  bool prepareToSleep() {
    m_Asleep.store(true, std::memory_order_relaxed);
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (m_Ring.size() == 0)
      return true;
    m_Asleep.store(false, std::memory_order_relaxed);
    return false;
  }

  /// The consumer woke up.
  void awake() { m_Asleep.store(false, std::memory_order_relaxed); }

  std::size_t size() const { return m_Ring.size(); }

private:
  static constexpr std::chrono::microseconds FullDelay{100};

  BoundedRing<T> m_Ring;
  WakerT &m_Waker;
  std::atomic<bool> m_Asleep{false};
};

} // namespace balsamwheel::runtime
