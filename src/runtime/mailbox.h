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

/// A type whose wake() wakes the consumer and may be called from any thread.
template <typename T>
concept Waker = requires(T Value) { Value.wake(); };

/// Any number of producers, one consumer. Producers call the waker only while
/// the consumer is asleep, so that a busy consumer costs them no system call.
template <typename T, Waker WakerT> class Mailbox {
public:
  Mailbox(std::size_t Capacity, WakerT &Wake)
      : m_Ring(Capacity), m_Waker(Wake) {}

  /// Moves \p Value in. If the ring is full, returns false and leaves \p Value
  /// unchanged.
  bool tryPush(T &Value) {
    if (!m_Ring.tryPush(Value))
      return false;
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (m_Asleep.load(std::memory_order_relaxed) &&
        m_Asleep.exchange(false, std::memory_order_relaxed))
      m_Waker.wake();
    return true;
  }

  /// Moves \p Value in and blocks while the ring is full. The consumer's thread
  /// must not call it: it would wait for itself.
  void push(T Value) {
    while (!tryPush(Value))
      std::this_thread::sleep_for(FullRetryInterval);
  }

  /// Moves the oldest value out; returns false if there is none.
  bool tryPop(T &Value) { return m_Ring.tryPop(Value); }

  /// Called by the consumer before it sleeps.
  ///
  /// \returns false if there are values already: the consumer must not sleep.
  bool prepareToSleep() {
    m_Asleep.store(true, std::memory_order_relaxed);
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (m_Ring.size() == 0)
      return true;
    m_Asleep.store(false, std::memory_order_relaxed);
    return false;
  }

  /// Called by the consumer after it has slept.
  void finishSleep() { m_Asleep.store(false, std::memory_order_relaxed); }

  std::size_t size() const { return m_Ring.size(); }

private:
  /// Time between attempts of push() while the ring is full.
  static constexpr std::chrono::microseconds FullRetryInterval{100};

  BoundedRing<T> m_Ring;
  WakerT &m_Waker;
  std::atomic<bool> m_Asleep{false};
};

} // namespace balsamwheel::runtime
