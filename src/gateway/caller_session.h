#pragma once

#include "gateway_state.h"
#include "request_handler.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>

namespace wisteriayard {

/// A caller's connection: reads its requests and serves them in sequence.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(GatewayState& state, boost::asio::ip::tcp::socket socket);

    boost::asio::awaitable<void> run();
    /// Closes the connection if no request is in progress, for shutdown.
    void closeIfIdle();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Result of reading a request; the values other than Complete and Closed are answered with an error response.
    enum class ReadResult {
        Complete,
        Closed,
        Malformed,
        HeadTooLarge,
        BodyTooLarge,
        TooSlow,
    };

    boost::asio::awaitable<ReadResult> readRequest(Parser& parser);
    boost::asio::awaitable<ReadResult> readMore(Parser& parser);
    ReadResult parseBuffered(Parser& parser);
    boost::asio::awaitable<void> sendErrorResponse(ReadResult end);
    boost::asio::awaitable<void> writeContinue();
    void onExpired();
    CallerLimits limits() const;

    GatewayState& m_state;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    Deadline m_expiry;
    bool m_idle = false;
    bool m_readTimedOut = false;
};

} // namespace wisteriayard
