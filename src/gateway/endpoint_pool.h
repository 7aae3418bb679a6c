#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace wisteriayard {

/// A connection to an endpoint.
struct EndpointConnection {
    explicit EndpointConnection(boost::asio::io_context& io)
        : socket(io)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /// How long the endpoint keeps it open when idle.
    Duration idleLimit {};
    TimePoint idleSince {};
    /// A request is being written; the connection can't be reused before it is whole.
    bool writing = false;
};

using EndpointConnectionPtr = std::shared_ptr<EndpointConnection>;

/// Sets the options of a connection to another machine: no delay, and notice of a silent peer within seconds.
void setPeerOptions(boost::asio::ip::tcp::socket& socket);

/// Idle connections to endpoints. Belongs to one loop's thread.
class EndpointPool {
public:
    explicit EndpointPool(boost::asio::io_context& io)
        : m_io(io)
    {
    }

    /// Takes an idle connection that is still usable.
    /// @param maxIdle only connections that were used within this time
    /// @return null if there is none
    EndpointConnectionPtr take(const EndpointId& endpoint, Duration maxIdle, TimePoint now);
    EndpointConnectionPtr make() { return std::make_shared<EndpointConnection>(m_io); }
    /// Gives a connection back after a whole answer.
    void put(const EndpointId& endpoint, EndpointConnectionPtr connection, TimePoint now);
    /// Closes the idle connections to an endpoint.
    void drop(const EndpointId& endpoint) { m_idle.erase(endpoint); }
    void dropAll() { m_idle.clear(); }
    /// Closes connections that were idle for too long.
    void expire(TimePoint now);

private:
    boost::asio::io_context& m_io;
    std::unordered_map<EndpointId, std::vector<EndpointConnectionPtr>> m_idle;
};

} // namespace wisteriayard
