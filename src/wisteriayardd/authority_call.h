#pragma once

#include "lease_keeper.h"
#include "wisteriayard/error.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace wisteriayard {

/// Sends one POST inside a guarded section of a lease. Each call opens its own connection, so that the kernel drops
/// unsent bytes when the process dies or the call is abandoned.
/// @param keeper lease that authorizes the call
/// @param server receiver of the order or report
/// @return success if the receiver accepted it; Unauthorized if the lease is not held, Conflict if the receiver knows a
/// newer epoch, Unavailable if nothing was sent, Timeout or Protocol if the receiver may have received it
boost::asio::awaitable<Status> postWithAuthority(boost::asio::any_io_executor executor, LeaseKeeper& keeper,
    boost::asio::ip::tcp::endpoint server, std::string path, std::string body);

} // namespace wisteriayard
