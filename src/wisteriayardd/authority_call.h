#pragma once

#include "lease_keeper.h"
#include "wisteriayard/error.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace wisteriayard {

/// Sends one POST inside a guarded section of a lease. Each call has a connection of its own; when the process dies or
/// gives the call up, the kernel drops bytes that are not yet sent.
/// @param keeper lease whose holder may send
/// @param server receiver of the order or report
/// @return success if the receiver accepted; Unauthorized if the lease is not held, Conflict if the receiver knows a
/// newer epoch, Unavailable if nothing was sent, Timeout or Protocol if the receiver may have seen it
boost::asio::awaitable<Status> postWithAuthority(boost::asio::any_io_executor executor, LeaseKeeper& keeper,
    boost::asio::ip::tcp::endpoint server, std::string path, std::string body);

} // namespace wisteriayard
