// A bounded lock-free queue for any number of producers and consumers.
#pragma once

#include <algorithm>
#include <atomic>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace balsamwheel::runtime {

/// Each slot has a sequence number. If it equals a position, the slot is free
/// for the producer at that position; if it is the position plus one, the slot
/// holds a value for the consumer at that position.
///
/// Invariant: the capacity is a power of two and never changes.
template <typename T> class BoundedRing {
public:
  /// \param Capacity is rounded up to a power of two of at least 2: with one
  /// slot, a full ring couldn't be distinguished from an empty one.
  explicit BoundedRing(std::size_t Capacity)
      : m_Mask(std::bit_ceil(std::max<std::size_t>(Capacity, 2)) - 1),
        m_Slots(std::make_unique<Slot[]>(m_Mask + 1)) {
    for (std::size_t I = 0; I <= m_Mask; ++I)
      m_Slots[I].m_Sequence.store(I, std::memory_order_relaxed);
  }

  /// Moves \p Value in. If the ring is full, returns false and leaves \p Value
  /// unchanged. Lock-free, constant without contention.
  bool tryPush(T &Value) {
    std::size_t Position = m_Tail.load(std::memory_order_relaxed);
    for (;;) {
      Slot &Candidate = m_Slots[Position & m_Mask];
      const std::size_t Sequence =
          Candidate.m_Sequence.load(std::memory_order_acquire);
      const auto Difference = static_cast<std::ptrdiff_t>(Sequence - Position);
      if (Difference < 0)
        return false;
      if (Difference > 0) {
        Position = m_Tail.load(std::memory_order_relaxed);
        continue;
      }
      if (!m_Tail.compare_exchange_weak(Position, Position + 1,
                                        std::memory_order_relaxed))
        continue;
      Candidate.m_Value = std::move(Value);
      Candidate.m_Sequence.store(Position + 1, std::memory_order_release);
      return true;
    }
  }

  /// Moves the oldest value out; returns false if the ring is empty.
  /// Lock-free, constant without contention.
  bool tryPop(T &Value) {
    std::size_t Position = m_Head.load(std::memory_order_relaxed);
    for (;;) {
      Slot &Candidate = m_Slots[Position & m_Mask];
      const std::size_t Sequence =
          Candidate.m_Sequence.load(std::memory_order_acquire);
      const auto Difference =
          static_cast<std::ptrdiff_t>(Sequence - (Position + 1));
      if (Difference < 0)
        return false;
      if (Difference > 0) {
        Position = m_Head.load(std::memory_order_relaxed);
        continue;
      }
      if (!m_Head.compare_exchange_weak(Position, Position + 1,
                                        std::memory_order_relaxed))
        continue;
      Value = std::exchange(Candidate.m_Value, T());
      Candidate.m_Sequence.store(Position + m_Mask + 1,
                                 std::memory_order_release);
      return true;
    }
  }

  /// Returns the number of values; exact only while no other thread uses the
  /// ring.
  std::size_t size() const {
    const std::size_t Head = m_Head.load(std::memory_order_acquire);
    const std::size_t Tail = m_Tail.load(std::memory_order_acquire);
    return Tail > Head ? Tail - Head : 0;
  }

private:
  struct Slot {
    std::atomic<std::size_t> m_Sequence{0};
    T m_Value{};
  };

  const std::size_t m_Mask;
  std::unique_ptr<Slot[]> m_Slots;
  alignas(64) std::atomic<std::size_t> m_Tail{0};
  alignas(64) std::atomic<std::size_t> m_Head{0};
};

} // namespace balsamwheel::runtime
