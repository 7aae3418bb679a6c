#pragma once

#include "wisteriayard/error.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace wisteriayard {

/// Parses `IP:port`; an IPv6 address is enclosed in brackets.
/// @return the socket address, or InvalidArgument with a message that quotes the text
Result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string& text);

/// Formats a socket address as `IP:port`, the inverse of parseAddress().
std::string formatAddress(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace wisteriayard
