#pragma once

#include "endpoint_directory.h"
#include "endpoint_pool.h"
#include "event_log.h"
#include "gateway_metrics.h"
#include "platform_port.h"
#include "usage_reporter.h"
#include "watchdog.h"
#include "wisteriayard/clock_guard.h"
#include "wisteriayard/log_rate_limiter.h"
#include "wisteriayard/retry_budget.h"

#include <memory>

namespace wisteriayard {

/// What all requests of a gateway share. Belongs to one loop's thread.
struct GatewayState {
    GatewayState(boost::asio::io_context& loop, GatewaySettings initial, const PlatformPort& port,
        std::shared_ptr<EventLog> eventLog);

    boost::asio::io_context& io;
    GatewaySettings settings;
    const PlatformPort& platform;
    std::shared_ptr<EventLog> log;
    Watchdog watchdog;
    EndpointPool pool;
    EndpointDirectory directory;
    GatewayMetrics metrics;
    /// Null before the first configuration.
    std::shared_ptr<const RouteTable> routes;
    std::shared_ptr<UsageReporter> usage;
    std::map<TargetId, RetryBudget> retries;
    LogRateLimiter requestLines;
    ClockGuard clock;
    /// When the store last confirmed the configuration and the list of endpoints.
    TimePoint configHeardAt {};
    TimePoint endpointsHeardAt {};
    /// Live entries, this one included.
    std::size_t entries = 1;
    /// Set from SIGTERM on.
    std::optional<TimePoint> drainingSince;
    int activeRequests = 0;
    /// Bytes of answers that are kept until they are whole.
    std::size_t answerBytes = 0;

    /// Takes a new configuration unless it is older than the one in force.
    void configure(RoutingConfig config);
    /// Budget for sending requests of a service again.
    RetryBudget& retryBudget(const TargetId& target);
    /// Writes a line about a request unless the rate of such lines is used up.
    void logRequest(Event event, nlohmann::json fields, TimePoint now);
    /// Whether a new request can end before a shutdown that has begun.
    bool hasTimeFor(RequestKind kind, TimePoint now) const;
    bool isReady() const { return routes && directory.isLoaded() && !drainingSince; }
};

} // namespace wisteriayard
