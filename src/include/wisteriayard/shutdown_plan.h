#pragma once

#include "wisteriayard/units.h"

#include <cstddef>

namespace wisteriayard {

/// What an entry does at a moment of a planned stop.
enum class ShutdownPhase {
    /// The load balancer may still send new connections, and callers may use idle ones.
    Serving,
    /// As before, but idle connections are closed.
    ClosingIdle,
    /// No request is sent to an endpoint any more; the last store calls are made.
    Finishing,
};

/// Schedule of a planned stop, from the signal until the process is killed.
///
/// Requests that have been read are answered until requestsEnd(). The rest of the time is kept back for the last store
/// calls, which nothing else waits for.
class ShutdownPlan {
public:
    /// @param grace time between the signal and the forced end of the process
    ShutdownPlan(TimePoint signalledAt, Duration grace);

    /// @param busyConnections connections on which a request is being read or served
    ShutdownPhase phase(std::size_t busyConnections, TimePoint now) const;
    /// Whether a request that has been read is sent to an endpoint. One that is refused has not been executed, so its
    /// caller can send it to another entry; one that is cut off may not be repeated.
    /// @param deadline time by which the request ends at the latest
    bool admits(TimePoint deadline, TimePoint now) const;
    /// Ends the admission of requests.
    void finish(TimePoint now);
    TimePoint signalledAt() const { return m_signalledAt; }
    /// Time by which each request has got its answer.
    TimePoint requestsEnd() const { return m_requestsEnd; }
    /// Time by which the last store calls end; those without a response are abandoned.
    /// @param requestsEndedAt time at which the calls begin
    TimePoint storeCallsEnd(TimePoint requestsEndedAt) const;

private:
    TimePoint m_signalledAt;
    TimePoint m_requestsEnd;
    Duration m_storeCallTime;
};

} // namespace wisteriayard
