// Time types of the state machines: a monotonic clock that includes suspension
// of the machine; the current time is always passed in.
#pragma once

#include <chrono>

namespace balsamwheel {

/// Clock tag for times since boot, including suspension (CLOCK_BOOTTIME). It
/// has no now(): the caller of a state machine passes in the current time.
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
