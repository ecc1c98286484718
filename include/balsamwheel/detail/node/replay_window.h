// Recognises messages that were received before, per sender.
#pragma once

#include <bitset>
#include <cstdint>
#include <unordered_map>

namespace balsamwheel {

/// Remembers which streams were seen. A stream's upper 32 bits name the run of
/// its sender, the lower 32 bits count up.
///
/// Invariant: a stream that was seen, or that is too old to tell, is never
/// reported as new.
class ReplayWindow {
public:
  /// Marks a stream as seen. Complexity: constant on average.
  ///
  /// \returns true when it was new.
  bool accept(std::uint64_t Stream) {
    Sender &Known = m_Senders[static_cast<std::uint32_t>(Stream >> 32U)];
    const auto Counter = static_cast<std::uint32_t>(Stream);
    if (Counter > Known.m_Highest)
      advance(Known, Counter);
    if (Known.m_Highest - Counter >= WindowSize)
      return false;
    if (Known.m_Seen.test(Counter % WindowSize))
      return false;
    Known.m_Seen.set(Counter % WindowSize);
    return true;
  }

private:
  static constexpr std::uint32_t WindowSize = 16384;

  struct Sender {
    std::uint32_t m_Highest = 0;
    std::bitset<WindowSize> m_Seen;
  };

  static void advance(Sender &Known, std::uint32_t Counter) {
    if (Counter - Known.m_Highest >= WindowSize)
      Known.m_Seen.reset();
    else
      for (std::uint32_t I = Known.m_Highest + 1; I <= Counter; ++I)
        Known.m_Seen.reset(I % WindowSize);
    Known.m_Highest = Counter;
  }

  std::unordered_map<std::uint32_t, Sender> m_Senders;
};

} // namespace balsamwheel
