#pragma once

#include "gateway_state.h"
#include "request_run.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>

namespace wisteriayard {

/// One connection of a caller: reads requests and serves them one after the other.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(GatewayState& state, boost::asio::ip::tcp::socket socket);

    boost::asio::awaitable<void> run();
    /// Closes the connection if it waits for a request.
    void closeIfIdle();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Why no request was read.
    enum class ReadEnd {
        Whole,
        Closed,
        Malformed,
        HeadTooLarge,
        BodyTooLarge,
        TooSlow,
    };

    boost::asio::awaitable<ReadEnd> readRequest(Parser& parser);
    boost::asio::awaitable<ReadEnd> readMore(Parser& parser);
    ReadEnd parseBuffered(Parser& parser);
    boost::asio::awaitable<void> refuse(ReadEnd end);
    boost::asio::awaitable<void> writeContinue();
    void expired();
    CallerLimits limits() const;

    GatewayState& m_state;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    Deadline m_expiry;
    bool m_idle = false;
    bool m_tooSlow = false;
};

} // namespace wisteriayard
