#pragma once

#include "http_client.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <string>

namespace wisteriayard {

/// Writes a chunked response incrementally, for event streams.
class HttpStreamWriter {
public:
    explicit HttpStreamWriter(boost::beast::tcp_stream& stream)
        : m_stream(stream)
    {
    }

    /// Sends the header of a chunked response with status 200. Must be called before write().
    /// @return Unavailable if the connection is broken
    boost::asio::awaitable<Status> begin(
        const std::map<std::string, std::string>& headers, std::string_view contentType, Duration timeout);
    /// Sends data as one chunk of the body; does nothing if the data is empty.
    boost::asio::awaitable<Status> write(std::string_view data, Duration timeout);
    /// Sends the final chunk, which terminates the body.
    boost::asio::awaitable<Status> end(Duration timeout);

    /// Whether begin() was called, so that the handler can no longer return a complete response.
    bool begun() const { return m_begun; }

    /// Registers a function that is called once if the peer closes its side of the connection while the request is
    /// being served. The closing is not detected if the peer has already sent a further request.
    void onPeerClose(std::function<void()> handler);

private:
    boost::asio::awaitable<Status> writeRaw(std::string_view data, Duration timeout);

    boost::beast::tcp_stream& m_stream;
    bool m_begun = false;
};

/// Result of a handler that has written its response to the HttpStreamWriter.
struct StreamedResponse {
    /// The body was terminated properly; otherwise the server closes the connection.
    bool complete = true;
};
/// A complete response for the server to send, or the result of a response that the handler has streamed itself.
using HandlerResult = std::variant<HttpResponse, StreamedResponse>;

/// Handles one request; the next request of the connection is read after the handler has returned.
using HttpHandler = std::function<boost::asio::awaitable<HandlerResult>(HttpRequest, HttpStreamWriter&)>;

/// Limits and options of an HTTP server.
struct HttpServerLimits {
    Bytes maxBody { 8 * 1024 * 1024 };
    std::uint32_t maxHeaderBytes = 16 * 1024;
    /// Time limit for reading a complete request, including the idle time of the connection before it.
    Duration readTimeout = std::chrono::seconds(30);
    /// Further connections are closed as soon as they are accepted.
    int maxConnections = 10'000;
    /// Sets SO_REUSEPORT, so that several servers can listen on the same port.
    bool sharePort = false;
};

/// Binds an acceptor to an address and starts listening.
/// @param sharePort set SO_REUSEPORT, so that further acceptors can listen on the same address
/// @return Unavailable if the address cannot be bound
Status openListener(
    boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& address, bool sharePort = false);

/// HTTP/1.1 server. All of its connections are served on one io_context.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
    HttpServer(boost::asio::io_context& io, HttpServerLimits limits, HttpHandler handler);

    /// Starts listening on an address and accepting connections.
    /// @return Unavailable if the address cannot be bound
    Status listen(const boost::asio::ip::tcp::endpoint& address);
    /// The local address of the listening socket, with the actual port if port 0 was requested.
    boost::asio::ip::tcp::endpoint localAddress() const;
    /// Stops accepting connections, closes idle ones and closes each of the others after its current request.
    void drain();

    /// Number of open connections; may be called from any thread.
    int connections() const { return m_connections; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> serveOne(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer);

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpServerLimits m_limits;
    HttpHandler m_handler;
    std::atomic<int> m_connections = 0;
    bool m_draining = false;
    /// Open connections and whether each is idle, waiting for a request; drain() closes idle ones.
    std::map<boost::beast::tcp_stream*, bool> m_idleByStream;
};

/// Creates an HTTP/1.1 response with a body.
HttpResponse makeHttpResponse(
    boost::beast::http::status status, std::string body, std::string_view type = "application/json");

} // namespace wisteriayard
