// Detects duplicate messages, separately for each sender.
#pragma once

#include <bitset>
#include <cstdint>
#include <unordered_map>

namespace balsamwheel {

/// Remembers which stream ids were seen. The upper 32 bits of a stream id
/// identify the run of its sender, the lower 32 bits count up.
///
/// Invariant: a stream that was seen before, or that is older than the window,
/// is never reported as new.
class ReplayWindow {
public:
  /// Marks a stream as seen. Complexity: constant on average.
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
  /// Number of streams that are remembered per sender.
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

  std::unordered_map<std::uint32_t, Sender> m_Senders;
};

} // namespace balsamwheel
