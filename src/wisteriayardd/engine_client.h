#pragma once

#include "chat_api.h"
#include "http_client.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace wisteriayard {

/// One event of an engine's stream.
using EngineEventHandler = std::function<void(const EngineEvent&)>;

/// Runs a chat at an engine and hands over each event of its stream.
/// @param connection connection to the engine; closing it cancels the chat
/// @param silence longest time between two events
/// @return success after the stream's end mark; Unavailable if the engine was not reached, Protocol if it refused or
/// the stream broke, Timeout if it went silent
boost::asio::awaitable<Status> runChat(
    HttpConnection& connection, std::string body, Duration silence, EngineEventHandler handler);

} // namespace wisteriayard
