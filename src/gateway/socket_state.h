#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cerrno>

#include <sys/socket.h>

namespace wisteriayard {

/// State of a connection as found by peekSocket().
enum class SocketState {
    /// No data to read.
    Idle,
    HasData,
    /// Closed or reset by the peer.
    Closed,
};

/// Checks a connection without blocking and without consuming data.
inline SocketState peekSocket(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    ssize_t result = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (result > 0)
        return SocketState::HasData;
    if (result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return SocketState::Idle;
    return SocketState::Closed;
}

} // namespace wisteriayard
