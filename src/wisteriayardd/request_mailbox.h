#pragma once

#include "api_error.h"
#include "wisteriayard.pb.h"
#include "wisteriayard/contract.h"
#include "wisteriayard/ids.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <variant>

namespace wisteriayard {

/// The control thread assigned the request to an endpoint.
struct Admitted {
    EndpointId endpoint;
    /// `IP:port` of the endpoint's agent.
    std::string agentAddress;
    std::uint32_t attempt = 0;
    AccountId account;
    ClassId requestClass;
    Tier tier = Tier::Bulk;
    Priority priority { 0 };
    bool atMostOnce = false;
    wire::OnceMode onceMode = wire::ONCE_REDIRECT;
};

/// The control thread refused the request.
struct Refused {
    ApiError error;
};

/// The caller's key was withdrawn.
struct KeyRevoked { };

/// The entry's view of contracts and keys is stale, so the key may have been withdrawn.
struct ViewStale { };

/// The agent of the running attempt stopped responding or restarted.
struct AgentLost { };

/// The caller closed its connection.
struct CallerGone { };

/// The attempt must make room for a higher tier; the request is scheduled again.
struct Preempted { };

/// No event arrived before the timeout.
struct TimedOut { };

/// Events of a request while its caller waits.
using RequestEvent = std::variant<Admitted, Refused, KeyRevoked, ViewStale, AgentLost, CallerGone, Preempted, TimedOut,
    wire::Accepted, wire::Rejected, wire::Chunk, wire::Finished, wire::Failed>;

/// Event queue of one request: any thread posts events, the request's coroutine consumes them in order.
class RequestMailbox : public std::enable_shared_from_this<RequestMailbox> {
public:
    /// @param io event loop of the request's traffic thread
    RequestMailbox(boost::asio::io_context& io, RequestId id);

    const RequestId& id() const { return m_id; }

    /// Adds an event from any thread.
    void post(RequestEvent event);
    /// Adds an event; only on the request's traffic thread.
    void push(RequestEvent event);
    /// Waits for the next event and removes it; only on the request's traffic thread.
    /// @return TimedOut if no event arrives within the timeout
    boost::asio::awaitable<RequestEvent> next(Duration timeout);

private:
    boost::asio::io_context& m_io;
    RequestId m_id;
    std::deque<RequestEvent> m_events;
    boost::asio::steady_timer m_wake;
};

} // namespace wisteriayard
