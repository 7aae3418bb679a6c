#include "wisteriayard/shutdown_plan.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// Least time for which connections are accepted. The load balancer probes readiness once a second and stops
    /// sending connections after the second failed probe.
    constexpr Duration minServingTime = std::chrono::milliseconds(3200);
    /// Time after which idle connections are closed: callers have had responses that ask them to close.
    constexpr Duration idleCloseDelay = std::chrono::milliseconds(2200);
    /// Time kept back for the last store calls, which are made beside each other: the timeout of one call, 700 ms, and
    /// the time in which other entries are asked to do what failed.
    constexpr Duration storeCallTime = std::chrono::milliseconds(800);
    /// Time kept back for the end of the process: writing the log, releasing memory.
    constexpr Duration exitTime = std::chrono::milliseconds(300);
    /// Limit of the times kept back, as a share of the whole. The platform accepts that a request is cut off only if
    /// its endpoint was still at work in the last sixth.
    constexpr double maxReservedShare = 1.0 / 6;
    /// Time in which requests are admitted although they may last beyond the end. So early the load balancer still
    /// sends connections, most requests end long before their deadline, and the platform accepts that requests of the
    /// first 3 s are cut off.
    constexpr Duration uncertainAdmissionTime = std::chrono::milliseconds(2900);
    /// Time in which a request whose deadline has passed gets its response.
    constexpr Duration responseTime = std::chrono::milliseconds(100);

    Duration reservedTime(Duration grace)
    {
        return std::min<Duration>(storeCallTime + exitTime, scaled(grace, maxReservedShare));
    }

} // namespace

ShutdownPlan::ShutdownPlan(TimePoint signalledAt, Duration grace)
    : m_signalledAt(signalledAt)
    , m_requestsEnd(signalledAt + grace - reservedTime(grace))
    , m_storeCallTime(scaled(reservedTime(grace), toSeconds(storeCallTime) / toSeconds(storeCallTime + exitTime)))
{
}

TimePoint ShutdownPlan::storeCallsEnd(TimePoint requestsEndedAt) const { return requestsEndedAt + m_storeCallTime; }

bool ShutdownPlan::admits(TimePoint deadline, TimePoint now) const
{
    if (now >= m_requestsEnd)
        return false;
    bool endsInTime = deadline + responseTime <= m_requestsEnd;
    return endsInTime || now - m_signalledAt < uncertainAdmissionTime;
}

void ShutdownPlan::finish(TimePoint now) { m_requestsEnd = std::min(m_requestsEnd, now); }

ShutdownPhase ShutdownPlan::phase(std::size_t busyConnections, TimePoint now) const
{
    bool isQuiet = busyConnections == 0 && now - m_signalledAt >= minServingTime;
    if (isQuiet || now >= m_requestsEnd)
        return ShutdownPhase::Finishing;
    return now - m_signalledAt >= idleCloseDelay ? ShutdownPhase::ClosingIdle : ShutdownPhase::Serving;
}

} // namespace wisteriayard
