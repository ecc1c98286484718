// The clock whose time is passed to the state machines.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <ctime>

namespace balsamwheel::runtime {

/// Returns the time since boot, suspension included (CLOCK_BOOTTIME).
/// Complexity: constant.
inline TimePoint bootNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::seconds(Now.tv_sec) +
                   std::chrono::microseconds(Now.tv_nsec / 1000));
}

} // namespace balsamwheel::runtime
