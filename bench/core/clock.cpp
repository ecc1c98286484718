// Reads CLOCK_BOOTTIME.
#include "bench/core/clock.h"

#include <ctime>

namespace balsamwheel::bench {

TimePoint now() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

std::int64_t toMicros(TimePoint Time) {
  return Time.time_since_epoch().count();
}

} // namespace balsamwheel::bench
