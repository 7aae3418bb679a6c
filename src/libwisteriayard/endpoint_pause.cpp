#include "wisteriayard/endpoint_pause.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// Longest pause that is taken from an answer; keeps absurd figures from overflowing the clock. An endpoint that
    /// is down for longer leaves the list and is listed anew.
    constexpr Duration longestPause = std::chrono::hours(1);
    /// Time between the returns of two refused callers, and the number of callers after which it begins again: callers
    /// of interactive requests can't wait for longer than a second beyond the pause.
    constexpr Duration returnSpacing = std::chrono::milliseconds(10);
    constexpr int spreadCallers = 100;

} // namespace

bool EndpointPause::extend(Duration time, TimePoint now)
{
    TimePoint end = now + std::min(time, longestPause);
    if (end <= std::max(now, m_end))
        return false;
    m_end = end;
    return true;
}

Duration ReturnSpread::next(TimePoint pauseEnd, TimePoint now)
{
    if (pauseEnd != m_pauseEnd) {
        m_pauseEnd = pauseEnd;
        m_callers = 0;
    }
    Duration later = returnSpacing * (m_callers % spreadCallers);
    ++m_callers;
    return std::max(Duration(0), pauseEnd - now) + later;
}

} // namespace wisteriayard
