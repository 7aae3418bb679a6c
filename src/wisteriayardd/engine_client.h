#pragma once

#include "chat_api.h"
#include "http_client.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace wisteriayard {

/// Called with each event of an engine's stream.
using EngineEventHandler = std::function<void(const EngineEvent&)>;

/// Sends a chat request to an engine and passes each event of the response stream to the handler.
/// @param connection connection to the engine; closing it cancels the request
/// @param idleTimeout longest time between two events
/// @return success after the end-of-stream event; Unavailable if the engine can't be reached, Protocol if it refused
/// the request or the stream broke, Timeout after idleTimeout without an event
boost::asio::awaitable<Status> runChat(
    HttpConnection& connection, std::string body, Duration idleTimeout, EngineEventHandler handler);

} // namespace wisteriayard
