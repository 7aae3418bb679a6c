#pragma once

#include "response_parser.h"
#include "wisteriayard/error.h"
#include "wisteriayard/units.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wisteriayard {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// A client's HTTP connection to one server. An operation fails when its timeout expires; if it has to connect first,
/// connecting has a timeout of its own of the same length.
class HttpConnection {
public:
    /// @param maxBody largest response body that exchange() accepts
    HttpConnection(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint server, Bytes maxBody);

    /// Sends a request and reads the complete response, connecting first if necessary. An error closes the
    /// connection; the next call reconnects.
    /// @return the response; Unavailable if the connection could not be established, so that nothing was sent; Timeout
    /// or Protocol if the server may have received the request
    boost::asio::awaitable<Result<HttpResponse>> exchange(HttpRequest request, Duration timeout);

    /// Sends a request and reads the response header. The caller reads the body, of any size, with readSome().
    /// @return a response with an empty body, or an error as for exchange()
    boost::asio::awaitable<Result<HttpResponse>> startExchange(HttpRequest request, Duration timeout);
    /// Reads the next bytes of the response body as soon as any are available.
    /// @return the bytes, or an empty string at the end of a complete body
    boost::asio::awaitable<Result<std::string>> readSome(Duration timeout);

    /// Sets SO_LINGER to 0 on connections opened from now on: closing one, also at process exit, discards unsent data,
    /// so no request leaves the machine afterwards.
    void discardUnsentOnClose() { m_discardUnsent = true; }
    /// Closes the connection immediately; a pending operation fails.
    void close();
    bool isOpen() { return m_stream && m_stream->socket().is_open(); }

private:
    boost::asio::awaitable<Status> connect(Duration timeout);
    boost::asio::awaitable<Status> send(HttpRequest& request, Duration timeout);
    /// Reads and parses the header of the response to the request that was sent.
    boost::asio::awaitable<Result<HttpResponse>> readHead();
    /// Reads the next bytes of the body.
    /// @return the bytes, or an empty string at the end of a complete body
    boost::asio::awaitable<Result<std::string>> readPart();
    /// Receives and parses further bytes of a response. An error closes the connection.
    boost::asio::awaitable<Status> readMore();
    /// Parses the received bytes. An error closes the connection.
    Status parseReceived();

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_server;
    Bytes m_maxBody;
    bool m_discardUnsent = false;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
    /// Received bytes that are not parsed yet.
    std::string m_unparsed;
    /// Absent unless a response is being read.
    std::optional<ResponseParser> m_parser;
};

/// Limits on the transfer of a response body, whose size is not known in advance.
struct TransferLimits {
    /// Longest time without further bytes.
    Duration progress {};
    /// Longest time from the response header to the end of the body.
    Duration total {};
};

/// HTTP client of one server with a pool of idle connections.
class HttpClient {
public:
    /// @param maxBody largest response body that is accepted
    /// @param maxIdle largest number of idle connections kept for reuse
    HttpClient(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint server, Bytes maxBody,
        std::size_t maxIdle);

    /// Sends a request on an idle connection, or on a new one if there is none. A connection is closed after an error,
    /// because the response to the failed request may still arrive on it.
    /// @return as for HttpConnection::exchange()
    boost::asio::awaitable<Result<HttpResponse>> exchange(HttpRequest request, Duration timeout);
    /// The same for responses that may take long to transfer: the timeout ends with the response header.
    boost::asio::awaitable<Result<HttpResponse>> exchange(HttpRequest request, Duration timeout, TransferLimits limits);

private:
    std::unique_ptr<HttpConnection> acquire();
    void release(std::unique_ptr<HttpConnection> connection);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_server;
    Bytes m_maxBody;
    std::size_t m_maxIdle;
    std::vector<std::unique_ptr<HttpConnection>> m_idle;
};

/// Creates a keep-alive HTTP/1.1 request.
/// @param target path and query
/// @param type content type, set if the body is not empty
HttpRequest makeHttpRequest(boost::beast::http::verb method, std::string_view target, std::string body = {},
    std::string_view type = "application/json");

} // namespace wisteriayard
