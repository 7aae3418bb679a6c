#pragma once

#include "endpoint_pool.h"
#include "platform_port.h"
#include "watchdog.h"
#include "wisteriayard/crash_quarantine.h"
#include "wisteriayard/endpoint_placement.h"

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace wisteriayard {

/// A broken connection, after which the endpoint has to be checked.
struct PossibleCrash {
    TimePoint at {};
    /// What may have made the endpoint crash.
    std::vector<SuspectTag> suspects;
};

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
    /// The endpoint may have executed the request, and the attempt is counted as such.
    bool mayHaveExecuted = false;
    /// The attempt was made because an earlier one, which still ran, was slow to answer.
    bool isHedge = false;
    /// A response has begun: the head, or the first event of a stream.
    bool answerBegun = false;
    /// Its answer is forwarded to the caller.
    bool answered = false;
    /// Another attempt of the request was answered first.
    bool cancelled = false;
    /// Absent unless the connection broke although the attempt was not ended here.
    std::optional<PossibleCrash> possibleCrash;
};

using EndpointAttemptPtr = std::shared_ptr<EndpointAttempt>;

} // namespace wisteriayard
