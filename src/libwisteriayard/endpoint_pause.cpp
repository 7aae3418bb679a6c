#include "wisteriayard/endpoint_pause.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// Limit for the pause that an answer asks for, so that an absurd value can't overflow the time point. An endpoint
    /// that is down for longer is removed from the endpoint list and added again later.
    constexpr Duration maxPause = std::chrono::hours(1);
    /// Time between the retries of two refused callers, and the number of callers after which the delays start again
    /// from the end of the pause: interactive requests can't wait for more than a second beyond it.
    constexpr Duration retrySpacing = std::chrono::milliseconds(10);
    constexpr int callersPerRound = 100;

} // namespace

bool EndpointPause::extend(Duration time, TimePoint now)
{
    TimePoint end = now + std::min(time, maxPause);
    if (end <= std::max(now, m_end))
        return false;
    m_end = end;
    return true;
}

Duration RetrySpread::nextRetryAfter(TimePoint pauseEnd, TimePoint now)
{
    if (pauseEnd != m_pauseEnd) {
        m_pauseEnd = pauseEnd;
        m_callers = 0;
    }
    Duration offset = retrySpacing * (m_callers % callersPerRound);
    ++m_callers;
    return std::max(Duration(0), pauseEnd - now) + offset;
}

} // namespace wisteriayard
