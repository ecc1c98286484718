// Time as the state machines see it: injected, monotone, running through
// suspension of the machine.
#pragma once

#include <chrono>

namespace balsamwheel {

/// Tag for times since boot, suspension included (CLOCK_BOOTTIME). It has no
/// now(): the caller of a state machine passes the time in.
struct BootClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};

using Duration = BootClock::duration;
using TimePoint = BootClock::time_point;

} // namespace balsamwheel
