#include "wisteriayard/endpoint_pause.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// Limit for the pause that an answer asks for, so that an absurd value can't overflow the time point. An endpoint
    /// that is down for longer is removed from the endpoint list and added again later.
    constexpr Duration maxPause = std::chrono::hours(1);
    /// Time between the retries of two callers that were refused during a pause.
    constexpr Duration pauseRetrySpacing = std::chrono::milliseconds(10);
    /// Time beyond the end of the pause after which the delays start again from it: interactive requests can't wait for
    /// longer.
    constexpr Duration maxSpread = std::chrono::seconds(1);

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
    return std::max(Duration(0), pauseEnd - now) + nextOffset(pauseRetrySpacing);
}

Duration RetrySpread::nextOffset(Duration spacing)
{
    auto callersPerRound = std::max<Duration::rep>(1, maxSpread / std::max(spacing, Duration(1)));
    return spacing * (m_callers++ % callersPerRound);
}

} // namespace wisteriayard
