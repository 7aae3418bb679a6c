#pragma once

#include "http_server.h"

#include <nlohmann/json.hpp>

#include <string>

namespace wisteriayard::fakes {

using Json = nlohmann::json;

/// Settings of all fake services; each uses a subset.
struct Settings {
    std::string listen = "127.0.0.1:0";
    /// Proxy: address that it forwards to, and address of its control interface.
    std::string target;
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

/// Creates the request handler of a fake service, which runs on the given loop.
HttpHandler makeKvHandler(boost::asio::io_context& io);
HttpHandler makeEngineHandler(boost::asio::io_context& io, const Settings& settings);
HttpHandler makeServiceHandler(boost::asio::io_context& io, const Settings& settings);
HttpHandler makeProxyHandler(boost::asio::io_context& io, const Settings& settings);
HttpHandler makePlatformHandler(boost::asio::io_context& io, const Settings& settings);

/// Suspends the calling coroutine for a time.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context& io, Duration time);

/// Creates a JSON response with status 200.
inline HandlerResult jsonResponse(const Json& json)
{
    return makeHttpResponse(boost::beast::http::status::ok, json.dump());
}

/// Creates a JSON error response.
inline HandlerResult errorResponse(boost::beast::http::status status, const std::string& message)
{
    return makeHttpResponse(status, Json({ { "error", message } }).dump());
}

/// Closes the connection without a response, as a crash after execution would.
inline HandlerResult dropResponse() { return StreamedResponse { false }; }

} // namespace wisteriayard::fakes
