#pragma once

#include "wisteriayard/units.h"

namespace wisteriayard {

/// Present time on a clock that goes on while the machine is suspended (CLOCK_BOOTTIME).
TimePoint bootTimeNow();

/// Present wall-clock time in milliseconds since 1970, for records that people and other systems read.
std::int64_t wallClockMilliseconds();

} // namespace wisteriayard
