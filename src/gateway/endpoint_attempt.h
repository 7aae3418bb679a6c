#pragma once

#include "endpoint_pool.h"
#include "platform_port.h"
#include "watchdog.h"
#include "wisteriayard/endpoint_placement.h"

#include <utility>

namespace wisteriayard {

/// State of one attempt of a request at an endpoint.
class EndpointAttempt {
public:
    EndpointAttempt(Watchdog& watchdog, EndpointRecord record, Placement placement)
        : record(std::move(record))
        , placement(std::move(placement))
        , expiry(watchdog, [this] { close(); })
    {
    }

    /// Closes the connection, which ends the attempt.
    void close()
    {
        if (!connection)
            return;
        boost::system::error_code ignored;
        connection->socket.close(ignored);
    }

    const EndpointRecord record;
    Placement placement;
    /// Null before the attempt connects.
    EndpointConnectionPtr connection;
    /// Limits the time to connect, and to read a body that is not forwarded.
    Deadline expiry;
    bool requestSent = false;
    /// Time at which the request was sent.
    TimePoint sentAt {};
};

} // namespace wisteriayard
