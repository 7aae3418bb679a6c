#pragma once

#include "wisteriayard/units.h"

#include <cstdint>

namespace wisteriayard {

/// Period during which this entry sends no requests to an endpoint, at the endpoint's request.
///
/// Load pattern: an endpoint that is full rejects requests and names a time to retry after. Requests sent before that
/// time are rejected too, and delay their callers by the time in which another endpoint could have answered.
class EndpointPause {
public:
    /// Records a pause that the endpoint asked for when it rejected a request. Of overlapping pauses, the one that
    /// ends last applies.
    /// @param time duration from now; ignored unless positive, and limited to one hour
    /// @return whether the pause ends later than before
    bool extend(Duration time, TimePoint now);
    bool isActive(TimePoint now) const { return now < m_end; }
    TimePoint end() const { return m_end; }

private:
    TimePoint m_end {};
};

/// Spreads the retries of callers that were refused for a while, so that they don't reach the endpoint all at once.
class RetrySpread {
public:
    /// @param pauseEnd earliest end of the endpoints' pauses
    /// @return delay after which the next refused caller may retry; never before the end of the pause
    Duration nextRetryAfter(TimePoint pauseEnd, TimePoint now);
    /// @param spacing time between the retries of two callers
    /// @return delay of the next refused caller after the first one
    Duration nextOffset(Duration spacing);

private:
    TimePoint m_pauseEnd {};
    std::int64_t m_callers = 0;
};

} // namespace wisteriayard
