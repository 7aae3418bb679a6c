#include "endpoint_pool.h"

#include "socket_state.h"

#include <algorithm>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace wisteriayard {

namespace {

    /// Limit on idle connections per endpoint.
    constexpr std::size_t maxIdlePerEndpoint = 24;
    /// Share of the endpoint's idle limit after which a connection is no longer used: the endpoint closes it at the
    /// limit, and a request sent just before would be lost.
    constexpr double usableShareOfIdleLimit = 0.7;
    /// TCP_USER_TIMEOUT: time without acknowledgement of sent data or keep-alive probes until the connection is closed.
    constexpr int tcpUserTimeoutMilliseconds = 1200;
    /// The same for a caller with an unread response. The kernel counts the time in which the window is closed as well:
    /// with the shorter one, callers that pause are reset after about 1.5 s.
    constexpr int slowReaderTimeoutMilliseconds = 10'000;
    constexpr int keepAliveSeconds = 1;
    constexpr int keepAliveProbes = 2;
    /// SO_RCVBUF of connections to endpoints, which the kernel doubles. It must be set before the connection is made,
    /// as the window is agreed upon then.
    constexpr int endpointReceiveBufferBytes = 64 * 1024;

    void setOption(boost::asio::ip::tcp::socket& socket, int level, int name, int value)
    {
        // If an option can't be set, the kernel's default applies; the request's timeout still limits the wait.
        [[maybe_unused]] int ignored = ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
    }

} // namespace

void setTcpOptions(boost::asio::ip::tcp::socket& socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, tcpUserTimeoutMilliseconds);
}

void allowSlowReading(boost::asio::ip::tcp::socket& socket, bool allowed)
{
    setOption(
        socket, IPPROTO_TCP, TCP_USER_TIMEOUT, allowed ? slowReaderTimeoutMilliseconds : tcpUserTimeoutMilliseconds);
}

bool hasUnsentBytes(boost::asio::ip::tcp::socket& socket)
{
    int size = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQNSD, &size) == 0 && size > 0;
}

void openWithLimitedBuffer(boost::asio::ip::tcp::socket& socket, const boost::asio::ip::tcp& protocol)
{
    boost::system::error_code error;
    socket.open(protocol, error); // without descriptors, connecting reports it
    if (!error)
        setOption(socket, SOL_SOCKET, SO_RCVBUF, endpointReceiveBufferBytes);
}

EndpointConnectionPtr EndpointPool::acquire(const EndpointId& endpoint, Duration maxIdle, TimePoint now)
{
    auto found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    while (!idle.empty()) {
        // The most recently used connection is the least likely to have been closed by the endpoint.
        EndpointConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (now - connection->idleSince <= std::min(maxIdle, connection->idleLimit)
            && peekSocket(connection->socket) == SocketState::Idle)
            return connection;
    }
    return nullptr;
}

void EndpointPool::release(const EndpointId& endpoint, EndpointConnectionPtr connection, TimePoint now)
{
    auto& idle = m_idle[endpoint];
    if (idle.size() >= maxIdlePerEndpoint)
        return;
    connection->idleSince = now;
    connection->idleLimit = scaled(connection->idleLimit, usableShareOfIdleLimit);
    idle.push_back(std::move(connection));
}

void EndpointPool::expire(TimePoint now)
{
    for (auto& [endpoint, idle] : m_idle)
        std::erase_if(idle, [&](const auto& each) { return now - each->idleSince > each->idleLimit; });
    std::erase_if(m_idle, [](const auto& each) { return each.second.empty(); });
}

} // namespace wisteriayard
