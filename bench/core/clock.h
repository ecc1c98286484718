// The clock of the bench. All its processes run on one machine, so their times
// can be compared.
#pragma once

#include "balsamwheel/detail/core/time.h"

namespace balsamwheel::bench {

/// Returns the time since boot, including time in which the system was
/// suspended.
TimePoint now();

/// Returns a time as microseconds since boot.
std::int64_t toMicros(TimePoint Time);

} // namespace balsamwheel::bench
