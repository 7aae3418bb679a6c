#pragma once

#include "wisteriayard/units.h"

namespace wisteriayard {

/// Current time of a monotonic clock that also advances while the machine is suspended (CLOCK_BOOTTIME).
TimePoint bootTimeNow();

/// Current wall-clock time in milliseconds since the Unix epoch, for records read by operators and other systems.
std::int64_t wallClockMilliseconds();

} // namespace wisteriayard
