#include "clock.h"

#include <ctime>

namespace wisteriayard {

TimePoint bootTimeNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(
        std::chrono::seconds(now.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

std::int64_t wallClockMilliseconds()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace wisteriayard
