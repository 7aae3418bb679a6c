#pragma once

#include "gateway_state.h"
#include "request_handler.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace wisteriayard {

/// A caller's connection: reads its requests and serves them in sequence.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(GatewayState& state, boost::asio::ip::tcp::socket socket, TimePoint now);
    CallerSession(const CallerSession&) = delete;
    CallerSession& operator=(const CallerSession&) = delete;
    ~CallerSession();

    boost::asio::awaitable<void> run();
    /// Closes the connection if no request has been in progress for a while, for shutdown. A connection that was just
    /// accepted or used may already carry the next request.
    void closeIfIdle(TimePoint now);
    /// Ends the session, for shutdown: an idle connection is closed, a request that is being read is refused, and one
    /// that is being served ends as if its deadline had passed.
    void end();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Result of reading a request; the values other than Complete, NoMemory and Closed are answered with an error
    /// response.
    enum class ReadResult {
        Complete,
        /// There is no memory for the body; the head is complete.
        NoMemory,
        Closed,
        Malformed,
        HeadTooLarge,
        BodyTooLarge,
        TooSlow,
        Stopping,
    };

    /// Reads a request. It is set if the result is Complete, or NoMemory: then without its body.
    boost::asio::awaitable<ReadResult> readRequest(CallerRequest& request);
    /// Receives bytes until the request is complete or can't be completed.
    /// @param reservation extended as memory for the body is needed
    boost::asio::awaitable<ReadResult> receive(Parser& parser, ByteReservation& reservation);
    boost::asio::awaitable<ReadResult> readMore(Parser& parser, ByteReservation& reservation);
    ReadResult parseBuffered(Parser& parser, ByteReservation& reservation);
    /// @return whether the connection can serve another request
    boost::asio::awaitable<bool> serve(CallerRequest request);
    boost::asio::awaitable<void> sendErrorResponse(ReadResult end);
    boost::asio::awaitable<void> writeContinue();
    /// Discards what the caller still sends, until it closes the connection. If a connection is closed before that, it
    /// is reset, and the caller may lose the response.
    boost::asio::awaitable<void> discardInput();
    void onExpired();
    /// Records whether a request is in progress on the connection.
    void setIdle(bool idle, TimePoint now);
    CallerLimits limits() const;

    GatewayState& m_state;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    Deadline m_expiry;
    /// Time since which no request is in progress; absent while one is being read or served.
    std::optional<TimePoint> m_idleSince;
    /// The request that is being served, or null.
    RequestHandler* m_handler = nullptr;
    bool m_readTimedOut = false;
    bool m_ending = false;
};

} // namespace wisteriayard
