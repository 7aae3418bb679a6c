#pragma once

#include "wisteriayard/units.h"

namespace wisteriayard {

/// Time for which an endpoint wants no requests from this entry.
///
/// Load pattern: an endpoint that is full turns requests away and names a time. Requests that reach it before are
/// turned away too, and cost their callers the time that another endpoint would have needed.
class EndpointPause {
public:
    /// The endpoint turned a request away and named a time. Of several pauses the one that ends last holds.
    /// @param time from now on; times that are not positive change nothing, and very long ones are cut
    /// @return whether the pause ends later than before
    bool extend(Duration time, TimePoint now);
    bool holds(TimePoint now) const { return now < m_end; }
    TimePoint end() const { return m_end; }

private:
    TimePoint m_end {};
};

/// Spreads the return of callers that were refused during a pause, so that they don't meet at the endpoint at once.
class ReturnSpread {
public:
    /// @param pauseEnd earliest end of the endpoints' pauses
    /// @return time after which the next refused caller may come back; not before the end
    Duration next(TimePoint pauseEnd, TimePoint now);

private:
    TimePoint m_pauseEnd {};
    int m_callers = 0;
};

} // namespace wisteriayard
