#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cerrno>

#include <sys/socket.h>

namespace wisteriayard {

/// What a look at a connection shows without reading from it.
enum class SocketState {
    /// Nothing to read.
    Quiet,
    HasData,
    /// The peer closed or reset it.
    Closed,
};

inline SocketState peekSocket(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    ssize_t result = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (result > 0)
        return SocketState::HasData;
    if (result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return SocketState::Quiet;
    return SocketState::Closed;
}

} // namespace wisteriayard
