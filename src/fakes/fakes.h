#pragma once

#include "http_server.h"

#include <nlohmann/json.hpp>

#include <string>

namespace wisteriayard::fakes {

using Json = nlohmann::json;

/// Settings that the stand-ins share; each reads those that concern it.
struct Settings {
    std::string listen = "127.0.0.1:0";
    /// Proxy: where it relays to, and its own address for faults.
    std::string to;
    std::string control = "127.0.0.1:0";
    std::string model = "model";
    std::string service = "service";
    int slots = 8;
    int tokenMs = 5;
    int prefillMs = 20;
    int reportLagMs = 1000;
    bool checkFencing = false;
    std::string instancesFile;
};

/// Handler of a stand-in; the loop is the one it is served on.
HttpHandler makeKvHandler(boost::asio::io_context& io);
HttpHandler makeEngineHandler(boost::asio::io_context& io, const Settings& settings);
HttpHandler makeServiceHandler(boost::asio::io_context& io, const Settings& settings);
HttpHandler makeProxyHandler(boost::asio::io_context& io, const Settings& settings);
HttpHandler makePlatformHandler(boost::asio::io_context& io, const Settings& settings);

/// Waits on the loop.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context& io, Duration time);

/// JSON response with status 200.
inline HandlerResult jsonResponse(const Json& json)
{
    return makeHttpResponse(boost::beast::http::status::ok, json.dump());
}

/// JSON error response.
inline HandlerResult errorResponse(boost::beast::http::status status, const std::string& message)
{
    return makeHttpResponse(status, Json({ { "error", message } }).dump());
}

/// Ends the connection without an answer, as a crash after the effect would.
inline HandlerResult lostAnswer() { return StreamedResponse { false }; }

} // namespace wisteriayard::fakes
