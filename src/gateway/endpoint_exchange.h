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

/// One request and its answer on a connection to an endpoint.
class EndpointExchange {
public:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /// @param bodyless the answer has no body, whatever its head says (HEAD)
    EndpointExchange(EndpointConnectionPtr connection, bool bodyless)
        : m_connection(std::move(connection))
        , m_bodyless(bodyless)
    {
    }

    /// Begins to write a request. An endpoint may answer before it has read all of it.
    void send(std::string head, std::shared_ptr<const std::string> body);
    /// Reads the head of the next answer; interim answers are skipped.
    /// @return Protocol for bytes that are no answer, Unavailable if the connection broke
    boost::asio::awaitable<Status> readHead();
    const boost::beast::http::response_header<>& head() const { return m_parser->get().base(); }
    /// Reads the next bytes of the body.
    /// @return the bytes; empty at the end of a complete body
    boost::asio::awaitable<Result<std::string>> readBody();
    /// Reads the rest of the body and drops it.
    /// @param most bytes that the body may have
    /// @return Protocol for a longer body, Unavailable if the connection broke
    boost::asio::awaitable<Status> skipBody(std::size_t most);
    bool isComplete() const { return m_parser && m_parser->is_done(); }
    /// The connection may serve another request: whole request, whole answer, nothing beyond it.
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
