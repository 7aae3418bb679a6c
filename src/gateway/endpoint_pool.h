#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisteriayard {

/// A connection to an endpoint.
struct EndpointConnection {
    /// @param open number of open connections, which counts this one until its destruction; must live longer
    EndpointConnection(boost::asio::io_context& io, std::size_t& open)
        : socket(io)
        , m_open(open)
    {
        ++m_open;
    }
    EndpointConnection(const EndpointConnection&) = delete;
    EndpointConnection& operator=(const EndpointConnection&) = delete;
    ~EndpointConnection() { --m_open; }

    boost::asio::ip::tcp::socket socket;
    /// Received bytes that are not parsed yet.
    std::string unparsed;
    /// How long the endpoint keeps an idle connection open.
    Duration idleLimit {};
    TimePoint idleSince {};
    /// A request write is in progress or has failed; the connection can't be reused.
    bool writing = false;
    /// Error of the write that failed.
    boost::system::error_code writeError;

private:
    std::size_t& m_open;
};

using EndpointConnectionPtr = std::shared_ptr<EndpointConnection>;

/// Disables Nagle's algorithm and sets keep-alive and user timeouts that detect an unresponsive peer within seconds.
void setTcpOptions(boost::asio::ip::tcp::socket& socket);

/// Sets for how long the kernel keeps the connection of a caller whose window is closed.
/// @param allowed the longer time, for callers that pause; otherwise that of setTcpOptions()
void allowSlowReading(boost::asio::ip::tcp::socket& socket, bool allowed);

/// Whether the kernel holds bytes that it has not sent even once, as the window of the peer is closed or full.
bool hasUnsentBytes(boost::asio::ip::tcp::socket& socket);

/// Opens the socket of a connection to an endpoint with a limited receive buffer: the kernel would otherwise hold
/// several MiB of each response whose caller doesn't read.
void openWithLimitedBuffer(boost::asio::ip::tcp::socket& socket, const boost::asio::ip::tcp& protocol);

/// Pool of idle connections to endpoints. Not thread-safe; used from the event loop's thread only.
class EndpointPool {
public:
    explicit EndpointPool(boost::asio::io_context& io)
        : m_io(io)
    {
    }

    /// Removes a usable idle connection from the pool.
    /// @param maxIdle longest time since the connection was last used
    /// @return the connection, or null if there is none
    EndpointConnectionPtr acquire(const EndpointId& endpoint, Duration maxIdle, TimePoint now);
    EndpointConnectionPtr make() { return std::make_shared<EndpointConnection>(m_io, m_open); }
    /// Number of connections, in use or idle.
    std::size_t connections() const { return m_open; }
    /// Returns a connection to the pool after a complete response.
    void release(const EndpointId& endpoint, EndpointConnectionPtr connection, TimePoint now);
    /// Closes the idle connections to an endpoint.
    void drop(const EndpointId& endpoint) { m_idle.erase(endpoint); }
    void dropAll() { m_idle.clear(); }
    /// Closes connections that have been idle for longer than their limit.
    void expire(TimePoint now);

private:
    boost::asio::io_context& m_io;
    std::size_t m_open = 0;
    std::unordered_map<EndpointId, std::vector<EndpointConnectionPtr>> m_idle;
};

} // namespace wisteriayard
