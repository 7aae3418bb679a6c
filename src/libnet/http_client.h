#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/units.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <string>
#include <vector>

namespace wisteriayard {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// One HTTP connection of a client. Each operation ends within its timeout.
class HttpConnection {
public:
    /// @param server the server's address
    /// @param maxBody largest body that is taken in
    HttpConnection(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint server, Bytes maxBody);

    /// Sends a request and reads the whole response; connects first if needed. After an error the connection is
    /// closed, and the next call connects again.
    /// @return the response, or Unavailable if nothing was sent, Timeout or Protocol if the server may have seen it
    boost::asio::awaitable<Result<HttpResponse>> exchange(HttpRequest request, Duration timeout);

    /// Sends a request and reads the response's head; the body follows with readSome().
    boost::asio::awaitable<Result<HttpResponse>> start(HttpRequest request, Duration timeout);
    /// Reads the next part of a body.
    /// @return the bytes; empty at the end of a complete body
    boost::asio::awaitable<Result<std::string>> readSome(Duration timeout);

    /// Connections made from now on drop what is not yet sent when they close, also by the end of the process, so
    /// that nothing leaves the machine afterwards (SO_LINGER of 0).
    void discardUnsentOnClose() { m_discardUnsent = true; }
    /// Closes at once; a running operation ends with an error.
    void close();
    bool isOpen() { return m_stream && m_stream->socket().is_open(); }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<Status> connect(Duration timeout);
    boost::asio::awaitable<Status> send(HttpRequest& request, Duration timeout);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_server;
    Bytes m_maxBody;
    bool m_discardUnsent = false;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
};

/// Client of one server: keeps idle connections for the next exchanges.
class HttpClient {
public:
    /// @param maxBody largest body that is taken in
    /// @param maxIdle idle connections that are kept
    HttpClient(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint server, Bytes maxBody,
        std::size_t maxIdle);

    /// Sends a request on an idle connection, or on a new one. After an error its connection is closed: a late answer
    /// may still come on it.
    /// @return as HttpConnection::exchange()
    boost::asio::awaitable<Result<HttpResponse>> exchange(HttpRequest request, Duration timeout);

private:
    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_server;
    Bytes m_maxBody;
    std::size_t m_maxIdle;
    std::vector<std::unique_ptr<HttpConnection>> m_idle;
};

/// Makes a request with a body.
/// @param method HTTP method
/// @param target path and query
HttpRequest makeHttpRequest(boost::beast::http::verb method, std::string_view target, std::string body = {},
    std::string_view type = "application/json");

} // namespace wisteriayard
