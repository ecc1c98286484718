// The clock of the bench: one machine, so all its processes share it.
#pragma once

#include "balsamwheel/detail/core/time.h"

namespace balsamwheel::bench {

/// Returns the time since boot, suspension included.
TimePoint now();

/// Returns the microseconds since boot.
std::int64_t toMicros(TimePoint Time);

} // namespace balsamwheel::bench
