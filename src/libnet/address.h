#pragma once

#include "wisteriayard/error.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace wisteriayard {

/// Parses `IP:port`; an IPv6 address stands in brackets.
/// @return the endpoint, or InvalidArgument with the text
Result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string& text);

/// Writes an address as `IP:port`.
std::string formatAddress(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace wisteriayard
