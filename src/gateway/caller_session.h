#pragma once

#include "gateway_state.h"
#include "request_body.h"
#include "request_handler.h"

#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

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
    using Parser = boost::beast::http::request_parser<RequestBody>;

    /// Result of reading a request; the values other than Complete, NoMemory and Closed are answered with an error
    /// response.
    enum class ReadResult {
        Complete,
        /// There is no memory for the head or the body; the head was complete.
        NoMemory,
        Closed,
        Malformed,
        HeadTooLarge,
        BodyTooLarge,
        TooSlow,
        Stopping,
    };

    /// A request that is being read.
    struct Reading {
        /// @param endUpload ends the upload in favour of others
        Reading(const CallerLimits& limits, GatewayState& state, std::function<void()> endUpload);

        /// Has no fields once the head is complete: they take many times the size of the head.
        Parser parser;
        std::shared_ptr<ReservedText> body;
        /// Listed while a part of the body is missing.
        StalledTransfers::Entry upload;
        /// The upload was ended in favour of others.
        bool isEnded = false;
        CallerHead head;
        bool isHeadDropped = false;
        bool keepAlive = false;
        bool expectsContinue = false;
        /// The head is among the unfinished ones of GatewayState::clients.
        bool isListed = false;
        /// Number of unparsed bytes that contain no end of the head.
        std::size_t searched = 0;
    };

    /// Reads a request. It is set if the result is Complete, or NoMemory: then without its body.
    boost::asio::awaitable<ReadResult> readRequest(CallerRequest& request);
    /// Receives bytes until the request is complete or can't be completed.
    boost::asio::awaitable<ReadResult> receive(Reading& reading);
    boost::asio::awaitable<ReadResult> readMore(Reading& reading);
    /// Waits for bytes and receives them into the buffer that all connections share, so that a connection without
    /// unparsed bytes holds no memory for them.
    /// @return the bytes, which are valid until the caller suspends
    boost::asio::awaitable<std::string_view> receiveSome(boost::system::error_code& error);
    /// Parses received bytes after those that are not parsed yet, and keeps what can't be parsed.
    ReadResult parseReceived(Reading& reading, std::string_view received);
    /// @param input reduced by the bytes that were parsed
    ReadResult parse(Reading& reading, std::string_view& input);
    ReadResult parseHead(Reading& reading, std::string_view& input);
    /// Checks the size of an unfinished head, and its first line as soon as it is known, so that a caller of another
    /// protocol is refused at once.
    ReadResult checkUnfinishedHead(Reading& reading, std::string_view input) const;
    ReadResult parseBody(Reading& reading, std::string_view& input);
    /// Extends the reservation of a body to hold the input.
    bool reserveBody(Reading& reading, std::size_t input);
    /// Records that bytes of an incomplete body have arrived.
    static void recordProgress(Reading& reading, TimePoint now);
    /// Ends an upload in favour of others: its memory is released, and the request is refused.
    void endUpload(Reading& reading);
    /// Keeps a complete head in its compact form.
    /// @return false if there is no memory for it
    bool keepHead(Reading& reading);
    /// Counts the memory of the bytes that are not parsed yet.
    ReadResult reserveUnparsed(Reading& reading);
    void releaseUnparsed();
    /// @return whether the connection can serve another request
    boost::asio::awaitable<bool> serve(CallerRequest request);
    boost::asio::awaitable<void> sendErrorResponse(ReadResult end);
    boost::asio::awaitable<void> writeContinue();
    /// Discards what the caller still sends, until it closes the connection. If a connection is closed before that, it
    /// is reset, and the caller may lose the response.
    boost::asio::awaitable<void> discardInput();
    void onExpired();
    /// Closes the connection, which has no complete request, in favour of others.
    void closeForOthers(ClientCloseCause cause);
    /// Records whether a request is in progress on the connection.
    void setIdle(bool idle, TimePoint now);
    CallerLimits limits() const;

    GatewayState& m_state;
    boost::asio::ip::tcp::socket m_socket;
    /// Bytes that are not parsed yet: of an unfinished head, or behind a complete request.
    std::string m_unparsed;
    ByteReservation m_unparsedMemory;
    ClientConnections::Id m_connection;
    Deadline m_expiry;
    /// Time since which no request is in progress; absent while one is being read or served.
    std::optional<TimePoint> m_idleSince;
    /// The request that is being served, or null.
    RequestHandler* m_handler = nullptr;
    bool m_readTimedOut = false;
    /// The last response gave the connection the longer time limit for callers that pause.
    bool m_isPauseAllowed = false;
    bool m_ending = false;
    /// The connection was closed in favour of others.
    bool m_closedForOthers = false;
};

} // namespace wisteriayard
