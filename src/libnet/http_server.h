#pragma once

#include "http_client.h"
#include "wisteriayard/byte_budget.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace wisteriayard {

/// Writes a chunked response incrementally, for event streams.
class HttpStreamWriter {
public:
    explicit HttpStreamWriter(boost::beast::tcp_stream& stream)
        : m_stream(stream)
    {
    }

    /// Sets the memory of the request's body.
    /// @param reservation counts the body and one copy of it; must exist until the response has been sent
    /// @param copies total size of the copies that were made
    void setBodyMemory(ByteReservation& reservation, Bytes size, std::shared_ptr<std::atomic<std::int64_t>> copies);
    /// Counts a copy of the request's body until the returned object is destroyed, which may happen in any thread and
    /// after the response was sent. Null if the server does not count copies.
    std::shared_ptr<void> countBodyCopy();

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
    ByteReservation* m_bodyReservation = nullptr;
    Bytes m_bodySize { 0 };
    std::shared_ptr<std::atomic<std::int64_t>> m_bodyCopies;
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
    /// Memory for the heads of all connections: unparsed bytes, and the fields of requests that are being served.
    Bytes headMemory { 16 * 1024 * 1024 };
    /// Memory for the bodies of all requests that are being received or served.
    Bytes bodyMemory { 256 * 1024 * 1024 };
    /// The handler makes a copy of each body, which may outlive the request, and calls
    /// HttpStreamWriter::countBodyCopy(). The memory for the copy is reserved together with that for the body, so
    /// bodyMemory must be at least twice maxBody.
    bool copiesBodies = false;
    /// Names of the fields that the handler needs. At most two of each name are kept, so that the handler can detect a
    /// repetition. Without names, all fields are kept.
    std::vector<std::string> keptFields;
    /// Sets SO_REUSEPORT, so that several servers can listen on the same port.
    bool sharePort = false;
};

/// What a server did when a budget of memory was exhausted.
enum class HttpShortage {
    /// A connection with an unfinished head or body was closed because the memory of heads was exhausted.
    HeadClosed,
    /// A request was refused because its complete head did not fit.
    HeadRefused,
    /// A request was refused because its body did not fit.
    BodyRefused,
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
    /// Stops accepting connections, closes those without a complete request and closes each of the others after its
    /// current request.
    void drain();

    /// Number of open connections; may be called from any thread.
    int connections() const { return m_connections; }
    /// Memory reserved for heads and for bodies. Must be called from the thread that serves the connections.
    Bytes heldForHeads() const { return m_heads.reserved(); }
    Bytes heldForBodies() const { return m_bodies.reserved() + Bytes(*m_bodyCopies); }
    /// Sets a function that is called each time a budget of memory is exhausted. Must be called before listen().
    void onShortage(std::function<void(HttpShortage)> handler) { m_onShortage = std::move(handler); }

private:
    struct Connection;
    struct Incoming;
    enum class ReadResult {
        Complete,
        /// The connection has ended, was closed for memory or has exceeded its time limit.
        Closed,
        Malformed,
        NoMemory,
    };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> serveOne(Connection& connection);
    boost::asio::awaitable<ReadResult> readHead(Connection& connection, Incoming& incoming);
    boost::asio::awaitable<ReadResult> readBody(Connection& connection, Incoming& incoming);
    boost::asio::awaitable<std::size_t> receiveSome(Connection& connection);
    boost::asio::awaitable<ReadResult> receive(Connection& connection);
    boost::asio::awaitable<void> refuse(Connection& connection, HttpResponse response);
    bool takeFields(const Connection& connection, Incoming& incoming);
    bool appendBody(Incoming& incoming, std::string_view data);
    bool reserveHead(Connection& connection);
    bool reserveHead(ByteReservation& reservation, std::size_t size, const Connection& connection);
    void reportShortage(HttpShortage shortage);

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpServerLimits m_limits;
    HttpHandler m_handler;
    std::function<void(HttpShortage)> m_onShortage;
    ByteBudget m_heads;
    ByteBudget m_bodies;
    /// Total size of the copies of bodies that were made and still exist. Shared with the copies, which may outlive the
    /// server.
    std::shared_ptr<std::atomic<std::int64_t>> m_bodyCopies = std::make_shared<std::atomic<std::int64_t>>(0);
    /// Bytes are received into this buffer after a connection has become readable, so that idle connections hold none.
    std::vector<char> m_received;
    /// The parser writes parts of bodies here.
    std::vector<char> m_bodyPart;
    std::atomic<int> m_connections = 0;
    bool m_draining = false;
    std::set<Connection*> m_open;
    /// Connections with an unfinished head, the oldest first.
    std::list<Connection*> m_unfinishedHeads;
    /// Connections with a complete head and an unfinished body, the oldest first.
    std::list<Connection*> m_unfinishedBodies;
};

/// Creates an HTTP/1.1 response with a body.
HttpResponse makeHttpResponse(
    boost::beast::http::status status, std::string body, std::string_view type = "application/json");

} // namespace wisteriayard
