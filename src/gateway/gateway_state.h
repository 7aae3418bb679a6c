#pragma once

#include "crash_guard.h"
#include "endpoint_directory.h"
#include "endpoint_pool.h"
#include "event_log.h"
#include "gateway_metrics.h"
#include "platform_port.h"
#include "usage_reporter.h"
#include "watchdog.h"
#include "wisteriayard/byte_budget.h"
#include "wisteriayard/client_connections.h"
#include "wisteriayard/clock_guard.h"
#include "wisteriayard/hedge_policy.h"
#include "wisteriayard/log_rate_limiter.h"
#include "wisteriayard/refused_callers.h"
#include "wisteriayard/retry_budget.h"
#include "wisteriayard/shutdown_plan.h"
#include "wisteriayard/stalled_transfers.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriayard {

/// Where a configuration comes from, for logs and metrics.
struct ConfigOrigin {
    /// Revision of its write in the store.
    Revision revision;
    std::string_view source;
    /// Upper bound of the time since the store accepted it; absent for the first one of this process.
    std::optional<Duration> maxDelay;
};

/// State shared by all requests of a gateway process. Not thread-safe; used from the event loop's thread only.
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
    CrashGuard crashGuard;
    /// Null before the first configuration.
    std::shared_ptr<const RouteTable> routes;
    std::shared_ptr<UsageReporter> usage;
    std::map<TargetId, RetryBudget> retryBudgets;
    HedgePolicy hedges { 0 };
    /// Requests that were refused as overloaded by the entries of this region; empty unless capacity is shared.
    RefusedCallers refusedCallers;
    LogRateLimiter requestLogBudget;
    ClockGuard clock;
    /// Time of the store's last confirmation of the configuration and of the list of endpoints.
    TimePoint configConfirmedAt {};
    TimePoint endpointsConfirmedAt {};
    /// Number of live gateway processes, including this one; 0 before their registrations were read.
    std::size_t liveEntries = 0;
    /// Schedule of the stop; absent before SIGTERM.
    std::optional<ShutdownPlan> shutdown;
    /// Requests that are being served. Those that are being read don't count: see busyConnections.
    int activeRequests = 0;
    /// Requests that wait until other entries report that an engine has memory for them.
    int memoryWaits = 0;
    /// Connections of callers on which a request is being read, served or refused. The process must not end before
    /// they are idle.
    std::size_t busyConnections = 0;
    /// Memory for streamBuffers and for the bodies of callers' requests, which are kept for retries until the requests
    /// end.
    ByteBudget requestBodies;
    /// Bodies that are being received.
    StalledTransfers uploads;
    /// Memory for the heads of callers' requests, unfinished and complete ones, and for other bytes that are received
    /// and not parsed.
    ByteBudget requestHeads;
    /// Open connections of callers.
    ClientConnections clients;
    /// Receives the bytes of all callers' connections in turn. Its content is valid until a coroutine suspends.
    std::string receiveBuffer;
    /// Memory for buffered responses, which are forwarded only when complete.
    ByteBudget bufferedResponses;
    /// Memory for events of streams that their callers have not read; a part of requestBodies.
    ByteBudget streamBuffers;
    /// Streams with such events.
    StalledTransfers unreadStreams;

    /// Applies a configuration unless its version is not newer than the current one.
    void configure(RoutingConfig config, const ConfigOrigin& origin);
    /// Logs restrictions of the configuration in force under which requests are refused, if there are any.
    void reportRegions();
    /// Retry budget of a target, with its policy updated to the number of live processes.
    RetryBudget& retryBudget(const TargetId& target);
    void logInvalidField(std::string_view document, const InvalidField& field);
    /// Extends a reservation for a head or unparsed bytes. Connections with unfinished heads are closed for it, the
    /// oldest first.
    /// @return false if there is not enough memory even then
    [[nodiscard]] bool reserveHead(ByteReservation& reservation, Bytes size);
    /// Extends a reservation for a body. Uploads that have received nothing for at least a second are ended for it, the
    /// longest first.
    /// @param upload the body, which leaves memory to those in progress that began before
    /// @param isSmall the body may use the memory that larger ones leave to small ones, and the
    /// memory that uploads in progress will need
    /// @return false, with nothing ended, if there would not be enough memory even then, or if only memory that uploads
    /// in progress will need is missing
    [[nodiscard]] bool reserveBody(
        ByteReservation& reservation, Bytes size, const StalledTransfers::Entry& upload, bool isSmall, TimePoint now);
    /// Extends a reservation for unread events. Connections of callers that have read nothing for at least a second are
    /// closed for it, the longest first.
    /// @param stream the stream with these events; its caller is not closed for it
    /// @return false, with nothing closed, if there would not be enough memory even then
    [[nodiscard]] bool reserveStream(
        ByteReservation& reservation, Bytes size, const StalledTransfers::Entry& stream, TimePoint now);
    /// Closes callers' connections without a complete request, and then idle ones to endpoints, until one more
    /// connection of a caller is within the limit of descriptors.
    /// @return false if there are too few such connections
    bool makeRoomForConnection();
    /// Logs a request event unless the rate limit for such lines is exceeded.
    void logRequest(Event event, nlohmann::json fields, TimePoint now);
    /// Whether a request may be sent to endpoints; always true unless the process is stopping.
    /// @param deadline time by which the request ends at the latest
    bool admits(TimePoint deadline, TimePoint now) const { return !shutdown || shutdown->admits(deadline, now); }
    bool isStopping() const { return shutdown.has_value(); }
    bool isReady() const { return routes && directory.isLoaded() && !isStopping(); }
};

} // namespace wisteriayard
