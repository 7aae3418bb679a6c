#include "endpoint_pool.h"

#include "socket_state.h"

#include <algorithm>

#include <netinet/tcp.h>

namespace wisteriayard {

namespace {

    /// Idle connections kept for one endpoint.
    constexpr std::size_t maxIdlePerEndpoint = 24;
    /// An endpoint closes an idle connection at its limit; a request sent just before that would be lost.
    constexpr double usableShareOfIdleLimit = 0.7;
    /// Time after which unacknowledged bytes, or unanswered keep-alive probes, end a connection.
    constexpr int silentPeerMilliseconds = 1200;
    constexpr int keepAliveSeconds = 1;
    constexpr int keepAliveProbes = 2;

    void setOption(boost::asio::ip::tcp::socket& socket, int level, int name, int value)
    {
        // An option that can't be set leaves the kernel's default; the request's own timeout still holds.
        [[maybe_unused]] int ignored = ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
    }

} // namespace

void setPeerOptions(boost::asio::ip::tcp::socket& socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, silentPeerMilliseconds);
}

EndpointConnectionPtr EndpointPool::take(const EndpointId& endpoint, Duration maxIdle, TimePoint now)
{
    auto found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    while (!idle.empty()) {
        // The one that was used last is the least likely to be closed.
        EndpointConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (now - connection->idleSince <= std::min(maxIdle, connection->idleLimit)
            && peekSocket(connection->socket) == SocketState::Quiet)
            return connection;
    }
    return nullptr;
}

void EndpointPool::put(const EndpointId& endpoint, EndpointConnectionPtr connection, TimePoint now)
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
