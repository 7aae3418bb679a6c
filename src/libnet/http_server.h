#pragma once

#include "http_client.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <string>

namespace wisteriayard {

/// Writes a response in parts, for event streams.
class HttpStreamWriter {
public:
    explicit HttpStreamWriter(boost::beast::tcp_stream& stream)
        : m_stream(stream)
    {
    }

    /// Sends the head of a chunked response. Must come first.
    /// @return Unavailable if the peer is gone
    boost::asio::awaitable<Status> begin(
        const std::map<std::string, std::string>& headers, std::string_view contentType, Duration timeout);
    /// Sends a part of the body.
    boost::asio::awaitable<Status> write(std::string_view data, Duration timeout);
    /// Ends the body.
    boost::asio::awaitable<Status> end(Duration timeout);

    bool begun() const { return m_begun; }

    /// Calls a function once if the peer closes its side while the request is served. A peer that has sent
    /// further requests is not watched.
    void onPeerClose(std::function<void()> handler);

private:
    boost::asio::awaitable<Status> writeRaw(std::string_view data, Duration timeout);

    boost::beast::tcp_stream& m_stream;
    bool m_begun = false;
};

/// What a handler made of a request: a whole response, or a stream that it has written and ended itself.
struct StreamWritten {
    /// The body was ended properly; otherwise the connection is cut.
    bool complete = true;
};
using HandlerResult = std::variant<HttpResponse, StreamWritten>;

/// Handles one request of a connection.
using HttpHandler = std::function<boost::asio::awaitable<HandlerResult>(HttpRequest, HttpStreamWriter&)>;

/// Limits of one server.
struct HttpServerLimits {
    Bytes maxBody { 8 * 1024 * 1024 };
    std::uint32_t maxHeaderBytes = 16 * 1024;
    /// Time for a whole request to arrive, and for an idle connection to stay open.
    Duration readTimeout = std::chrono::seconds(30);
    int maxConnections = 10'000;
    /// Several servers of the process listen on the same port.
    bool sharePort = false;
};

/// Binds an acceptor to an address and starts to listen.
/// @param sharePort further acceptors may listen on the same address
/// @return Unavailable if the address can't be bound
Status openListener(
    boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& address, bool sharePort = false);

/// Accepts connections and serves HTTP/1.1 until the loop ends. Connections run on the acceptor's loop.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
    HttpServer(boost::asio::io_context& io, HttpServerLimits limits, HttpHandler handler);

    /// Listens and starts to accept.
    /// @return Unavailable if the address can't be used
    Status listen(const boost::asio::ip::tcp::endpoint& address);
    /// The address that is listened on, with the port that the system chose.
    boost::asio::ip::tcp::endpoint localAddress() const;
    /// Stops accepting; each open connection ends after the request that it is serving.
    void drain();

    /// Open connections. Any thread.
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
    /// Connections that wait for a request, which drain() closes.
    std::map<boost::beast::tcp_stream*, bool> m_streams;
};

/// Makes a response with a body.
HttpResponse makeHttpResponse(
    boost::beast::http::status status, std::string body, std::string_view type = "application/json");

} // namespace wisteriayard
