#pragma once

#include "endpoint_pool.h"
#include "http_head.h"
#include "response_parser.h"
#include "wisteriayard/byte_budget.h"
#include "wisteriayard/error.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriayard {

/// One HTTP request and its response on a connection to an endpoint.
class EndpointExchange {
public:
    /// @param receiveBuffer receives bytes; its content is used only until the exchange suspends, so that all exchanges
    /// can share one
    /// @param bodyless the response has no body regardless of its header, as for HEAD requests
    /// @param memory counts the head of the response and the bytes that are not parsed yet
    EndpointExchange(EndpointConnectionPtr connection, std::string& receiveBuffer, ByteBudget& memory, bool bodyless)
        : m_connection(std::move(connection))
        , m_receiveBuffer(receiveBuffer)
        , m_memory(memory)
        , m_bodyless(bodyless)
    {
    }

    /// Starts writing a request asynchronously. An endpoint may respond before it has read the whole request.
    /// @param lines request line and fields, which other attempts may share
    /// @param headEnd further fields and the end of the header
    void send(std::shared_ptr<const std::string> lines, std::string headEnd, std::shared_ptr<const std::string> body);
    /// Reads the header of the next final response; informational (1xx) responses are skipped.
    /// @return Protocol if the bytes are not a response that can be forwarded, Unavailable if the connection was lost
    boost::asio::awaitable<Status> readHead();
    /// Head of the response that readHead() has read.
    const EndpointHead& head() const { return m_head; }
    /// Fields of the response until keepHead().
    const HttpFields& fields() const { return m_parser->head(); }
    /// Releases the fields of the response; head() stays.
    /// @return Protocol if there is no memory for the head
    Status keepHead();
    /// Reads the next part of the body.
    /// @return the bytes read; empty once the body is complete
    boost::asio::awaitable<Result<std::string>> readBody();
    /// Reads and discards the rest of the body.
    /// @param maxBytes upper limit on the bytes discarded
    /// @return Protocol if the body exceeds the limit, Unavailable if the connection was lost
    boost::asio::awaitable<Status> discardBody(std::size_t maxBytes);
    bool isComplete() const { return m_parser && m_parser->isDone(); }
    /// Whether the connection can serve another request: the request was written and the response read completely, the
    /// response allows keep-alive, and no further bytes are buffered.
    bool isReusable() const;
    void close();

private:
    boost::asio::awaitable<Status> readMore();
    /// Finds out why a read found the end of the connection.
    /// @return eof if the endpoint has ended its sending side, otherwise the error that broke the connection before
    boost::asio::awaitable<boost::system::error_code> endOfInput();
    Status parseReceived(std::string_view received);
    Status reserveMemory();

    EndpointConnectionPtr m_connection;
    std::string& m_receiveBuffer;
    ByteReservation m_memory;
    bool m_bodyless;
    /// Has no fields after keepHead(): they take many times the size of the head.
    std::optional<ResponseParser> m_parser;
    EndpointHead m_head;
    bool m_isHeadKept = false;
};

} // namespace wisteriayard
