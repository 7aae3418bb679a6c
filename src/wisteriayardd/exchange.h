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

/// The control thread placed the request at an endpoint.
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

/// The agent of the running attempt is gone or silent.
struct AgentLost { };

/// The caller closed its connection.
struct CallerGone { };

/// The attempt has to end in favour of a higher tier; the request goes on elsewhere or later.
struct Preempted { };

/// No event came in time.
struct TimedOut { };

/// What may happen to a request while its caller waits.
using ExchangeEvent = std::variant<Admitted, Refused, KeyRevoked, ViewStale, AgentLost, CallerGone, Preempted, TimedOut,
    wire::Accepted, wire::Rejected, wire::Chunk, wire::Finished, wire::Failed>;

/// Mailbox of one request: other threads post events, the request's coroutine takes them in order.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    /// @param io loop of the request's traffic thread
    Exchange(boost::asio::io_context& io, RequestId id);

    const RequestId& id() const { return m_id; }

    /// Adds an event. May be called by any thread.
    void post(ExchangeEvent event);
    /// Adds an event. Only on the request's own thread.
    void push(ExchangeEvent event);
    /// Takes the next event. Only on the request's own thread.
    /// @param timeout after which the result is TimedOut
    boost::asio::awaitable<ExchangeEvent> next(Duration timeout);

private:
    boost::asio::io_context& m_io;
    RequestId m_id;
    std::deque<ExchangeEvent> m_events;
    boost::asio::steady_timer m_wake;
};

} // namespace wisteriayard
