#pragma once

#include "endpoint_pool.h"
#include "wisteriayard/error.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace wisteriayard {

/// One HTTP request and its response on a connection to an endpoint.
class EndpointExchange {
public:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /// @param bodyless the response has no body regardless of its header, as for HEAD requests
    EndpointExchange(EndpointConnectionPtr connection, bool bodyless)
        : m_connection(std::move(connection))
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
    const boost::beast::http::response_header<>& head() const { return m_parser->get().base(); }
    /// Reads the next part of the body.
    /// @return the bytes read; empty once the body is complete
    boost::asio::awaitable<Result<std::string>> readBody();
    /// Reads and discards the rest of the body.
    /// @param maxBytes upper limit on the bytes discarded
    /// @return Protocol if the body exceeds the limit, Unavailable if the connection was lost
    boost::asio::awaitable<Status> discardBody(std::size_t maxBytes);
    bool isComplete() const { return m_parser && m_parser->is_done(); }
    /// Whether the connection can serve another request: the request was written and the response read completely, the
    /// response allows keep-alive, and no further bytes are buffered.
    bool isReusable() const;
    void close();

private:
    boost::asio::awaitable<Status> readMore();
    Status parseBuffered();

    EndpointConnectionPtr m_connection;
    bool m_bodyless;
    std::optional<Parser> m_parser;
};

} // namespace wisteriayard
