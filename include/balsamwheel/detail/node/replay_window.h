// Detects duplicate forwards of requests, separately for each run of a sender.
#pragma once

#include <bitset>
#include <cstdint>
#include <unordered_map>

namespace balsamwheel {

/// Remembers which stream ids were seen. A stream here is one forward of a
/// request. It is seen when the forward arrives, or earlier when a query about
/// its outcome does. The upper 32 bits of its id identify the run of its
/// sender, the lower 32 bits are a counter of that run's streams.
///
/// Invariant: a stream that was seen before, or that is older than the window,
/// is never reported as new.
class ReplayWindow {
public:
  /// Marks a stream as seen. Complexity: constant on average over the streams
  /// of a sender, at most linear in the window size.
  ///
  /// \returns true if the stream was new.
  bool accept(std::uint64_t Stream) {
    Sender &State = m_Senders[static_cast<std::uint32_t>(Stream >> 32U)];
    const auto Counter = static_cast<std::uint32_t>(Stream);
    if (Counter > State.m_Highest)
      advance(State, Counter);
    if (State.m_Highest - Counter >= WindowSize)
      return false;
    if (State.m_Seen.test(Counter % WindowSize))
      return false;
    State.m_Seen.set(Counter % WindowSize);
    return true;
  }

private:
  /// Range of counters, back from the highest one seen, that is remembered for
  /// each run of a sender.
  static constexpr std::uint32_t WindowSize = 16384;

  struct Sender {
    std::uint32_t m_Highest = 0;
    std::bitset<WindowSize> m_Seen;
  };

  static void advance(Sender &State, std::uint32_t Counter) {
    if (Counter - State.m_Highest >= WindowSize)
      State.m_Seen.reset();
    else
      for (std::uint32_t I = State.m_Highest + 1; I <= Counter; ++I)
        State.m_Seen.reset(I % WindowSize);
    State.m_Highest = Counter;
  }

  /// By the upper 32 bits of the stream id. Entries are never removed: there is
  /// one for each run of a sender seen.
  std::unordered_map<std::uint32_t, Sender> m_Senders;
};

} // namespace balsamwheel
