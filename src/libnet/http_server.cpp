#include "http_server.h"

#include "address.h"
#include "chunked_body.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>

#include <algorithm>
#include <charconv>

namespace wisteriayard {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    /// Delay after a failed accept, which avoids a busy loop while the process is out of file descriptors.
    constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);
    constexpr Duration writeTimeout = std::chrono::seconds(30);
    /// Time in which the client of a refused request can finish sending, so that it reads the response.
    constexpr Duration discardTimeout = std::chrono::seconds(3);
    constexpr std::string_view endOfHead = "\r\n\r\n";
    constexpr std::size_t receiveBytes = 16 * 1024;
    /// Memory of a kept field in addition to its text.
    constexpr std::size_t fieldOverheadBytes = 96;
    /// First reservation for a body, unless its stated length is less.
    constexpr std::size_t firstBodyBytes = 1024;
    constexpr int memoryRetrySeconds = 1;

    std::string errorBody(std::string_view message)
    {
        return R"({"error":{"message":")" + std::string(message)
            + R"(","type":"invalid_request_error","code":"bad_request","outcome":"not_run"}})";
    }

    /// Sets the capacity of a text that is not longer than that. std::string::reserve() allocates twice the old
    /// capacity if less is requested, and shrink_to_fit() is not binding.
    void setCapacity(std::string& text, std::size_t capacity)
    {
        std::string moved;
        moved.reserve(capacity);
        moved.append(text);
        text.swap(moved);
    }

    /// A copy of a body, which counts in the total until it is destroyed.
    class CountedCopy {
    public:
        CountedCopy(std::shared_ptr<std::atomic<std::int64_t>> total, std::int64_t size)
            : m_total(std::move(total))
            , m_size(size)
        {
            *m_total += m_size;
        }
        CountedCopy(const CountedCopy&) = delete;
        CountedCopy& operator=(const CountedCopy&) = delete;
        ~CountedCopy() { *m_total -= m_size; }

    private:
        std::shared_ptr<std::atomic<std::int64_t>> m_total;
        std::int64_t m_size;
    };

    /// The response to a request that does not fit the memory.
    HttpResponse noMemoryResponse()
    {
        HttpResponse response = makeHttpResponse(http::status::service_unavailable,
            R"({"error":{"message":"no memory for the request; it was not run",)"
            R"("type":"api_error","code":"no_memory","outcome":"not_run"}})");
        response.set(http::field::retry_after, std::to_string(memoryRetrySeconds));
        return response;
    }

    /// The response to a request that could not be parsed.
    HttpResponse parseErrorResponse(const boost::system::error_code& error)
    {
        if (error == http::error::body_limit)
            return makeHttpResponse(http::status::payload_too_large, errorBody("request body is too large"));
        if (error == http::error::header_limit)
            return makeHttpResponse(
                http::status::request_header_fields_too_large, errorBody("request header is too large"));
        return makeHttpResponse(http::status::bad_request, errorBody("malformed request: " + error.message()));
    }

} // namespace

awaitable<Status> HttpStreamWriter::begin(
    const std::map<std::string, std::string>& headers, std::string_view contentType, Duration timeout)
{
    m_begun = true;
    std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nCache-Control: no-cache\r\nContent-Type: ";
    head += contentType;
    head += "\r\n";
    for (const auto& [name, value] : headers)
        head += name + ": " + value + "\r\n";
    head += "\r\n";
    co_return co_await writeRaw(head, timeout);
}

awaitable<Status> HttpStreamWriter::write(std::string_view data, Duration timeout)
{
    if (data.empty())
        co_return boost::outcome_v2::success(); // an empty chunk would terminate the body
    char size[20];
    auto result = std::to_chars(size, size + sizeof(size), data.size(), 16);
    std::string chunk(size, result.ptr);
    chunk += "\r\n";
    chunk += data;
    chunk += "\r\n";
    co_return co_await writeRaw(chunk, timeout);
}

awaitable<Status> HttpStreamWriter::end(Duration timeout) { co_return co_await writeRaw("0\r\n\r\n", timeout); }

void HttpStreamWriter::setBodyMemory(
    ByteReservation& reservation, Bytes size, std::shared_ptr<std::atomic<std::int64_t>> copies)
{
    m_bodyReservation = &reservation;
    m_bodySize = size;
    m_bodyCopies = std::move(copies);
}

std::shared_ptr<void> HttpStreamWriter::countBodyCopy()
{
    if (!m_bodyCopies)
        return nullptr;
    // The first copy takes over what was reserved for it. Each further attempt makes another copy, while the previous
    // one is on its way to an agent that failed.
    m_bodyReservation->shrinkTo(m_bodySize);
    return std::make_shared<CountedCopy>(m_bodyCopies, m_bodySize.value());
}

void HttpStreamWriter::onPeerClose(std::function<void()> handler)
{
    using boost::asio::ip::tcp;
    auto& socket = m_stream.socket();
    socket.async_wait(
        tcp::socket::wait_read, [&socket, handler = std::move(handler)](const boost::system::error_code& error) {
            if (error)
                return; // the connection was closed by this process
            char byte = 0;
            boost::system::error_code peekError;
            std::size_t size = socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
            if (peekError == boost::asio::error::would_block)
                return; // the bytes were read as the next request
            if (peekError || size == 0)
                handler();
        });
}

awaitable<Status> HttpStreamWriter::writeRaw(std::string_view data, Duration timeout)
{
    boost::system::error_code error;
    m_stream.expires_after(timeout);
    co_await boost::asio::async_write(m_stream, boost::asio::buffer(data), redirect_error(use_awaitable, error));
    if (error)
        co_return fail(Errc::Unavailable, "cannot write the response: " + error.message());
    co_return boost::outcome_v2::success();
}

/// An open connection.
struct HttpServer::Connection {
    Connection(boost::asio::ip::tcp::socket socket, ByteBudget& heads)
        : stream(std::move(socket))
        , reservation(heads)
    {
    }

    /// Drops the first unparsed bytes.
    void consume(std::size_t size)
    {
        // The copy has no unused capacity, so that the reservation is what the connection holds. Assigning a short
        // string would keep the capacity of the old one.
        std::string(unparsed, size).swap(unparsed);
        reservation.shrinkTo(Bytes(static_cast<std::int64_t>(unparsed.size())));
    }

    beast::tcp_stream stream;
    /// Received bytes that are not parsed yet, and the memory reserved for them.
    std::string unparsed;
    ByteReservation reservation;
    /// Waiting for bytes of a request that is not complete; drain() closes such connections.
    bool receiving = false;
    /// Closed because the memory of heads was exhausted.
    bool evicted = false;
    /// The request whose body is being received.
    Incoming* incoming = nullptr;
};

/// A request that is being received.
struct HttpServer::Incoming {
    Incoming(ByteBudget& heads, ByteBudget& bodies)
        : headReservation(heads)
        , bodyReservation(bodies)
    {
    }

    /// Returns the memory of the request.
    void drop()
    {
        // Assigning a short string would keep the capacity of the old one.
        HttpRequest empty;
        swap(request, empty);
        headReservation.shrinkTo(Bytes(0));
        bodyReservation.shrinkTo(Bytes(0));
    }

    http::request_parser<http::buffer_body> parser;
    boost::system::error_code error;
    HttpRequest request;
    ByteReservation headReservation;
    ByteReservation bodyReservation;
};

HttpServer::HttpServer(boost::asio::io_context& io, HttpServerLimits limits, HttpHandler handler)
    : m_io(io)
    , m_acceptor(io)
    , m_limits(std::move(limits))
    , m_handler(std::move(handler))
    , m_heads(m_limits.headMemory)
    , m_bodies(m_limits.bodyMemory)
    , m_received(receiveBytes)
    , m_bodyPart(receiveBytes)
{
}

Status openListener(
    boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& address, bool sharePort)
{
    boost::system::error_code error;
    acceptor.open(address.protocol(), error);
    if (!error)
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    if (!error && sharePort)
        acceptor.set_option(ReusePort(true), error);
    if (!error)
        acceptor.bind(address, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return fail(Errc::Unavailable, "cannot listen on " + formatAddress(address) + ": " + error.message());
    return boost::outcome_v2::success();
}

Status HttpServer::listen(const boost::asio::ip::tcp::endpoint& address)
{
    BOOST_OUTCOME_TRY(openListener(m_acceptor, address, m_limits.sharePort));
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->accept(); }, boost::asio::detached);
    return boost::outcome_v2::success();
}

boost::asio::ip::tcp::endpoint HttpServer::localAddress() const
{
    boost::system::error_code ignored;
    return m_acceptor.local_endpoint(ignored);
}

void HttpServer::drain()
{
    m_draining = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (Connection* connection : m_open) {
        if (connection->receiving)
            connection->stream.cancel();
    }
}

awaitable<void> HttpServer::accept()
{
    while (!m_draining) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(redirect_error(use_awaitable, error));
        if (m_draining)
            break;
        if (error) {
            boost::asio::steady_timer timer(m_io, acceptRetryDelay);
            co_await timer.async_wait(redirect_error(use_awaitable, error));
            continue;
        }
        if (m_connections >= m_limits.maxConnections)
            continue; // going out of scope closes the socket
        auto serveSocket = [self = shared_from_this(), socket = std::move(socket)]() mutable {
            return self->serve(std::move(socket));
        };
        boost::asio::co_spawn(m_io, std::move(serveSocket), boost::asio::detached);
    }
}

awaitable<void> HttpServer::serve(boost::asio::ip::tcp::socket socket)
{
    auto self = shared_from_this();
    ++m_connections;
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    Connection connection(std::move(socket), m_heads);
    m_open.insert(&connection);
    while (!m_draining && co_await serveOne(connection)) { }
    m_open.erase(&connection);
    connection.stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    --m_connections;
}

void HttpServer::reportShortage(HttpShortage shortage)
{
    if (m_onShortage)
        m_onShortage(shortage);
}

/// Extends a reservation for heads, closing connections with unfinished heads, then those with unfinished bodies, if
/// necessary.
/// @return false if the memory does not suffice even then, or if the connection itself was closed
bool HttpServer::reserveHead(ByteReservation& reservation, std::size_t size, const Connection& connection)
{
    while (!reservation.extendTo(Bytes(static_cast<std::int64_t>(size)))) {
        auto& candidates = m_unfinishedHeads.empty() ? m_unfinishedBodies : m_unfinishedHeads;
        if (candidates.empty())
            return false;
        // Nothing was promised to a connection whose request is not complete.
        Connection& oldest = *candidates.front();
        candidates.pop_front();
        oldest.evicted = true;
        // The coroutine of the connection returns the memory only when it resumes.
        if (oldest.incoming)
            oldest.incoming->drop();
        oldest.consume(oldest.unparsed.size());
        oldest.stream.close();
        reportShortage(HttpShortage::HeadClosed);
        if (&oldest == &connection)
            return false;
    }
    return true;
}

/// Reserves memory for the unparsed bytes of a connection, as the other function of this name does.
bool HttpServer::reserveHead(Connection& connection)
{
    return reserveHead(connection.reservation, connection.unparsed.size(), connection);
}

/// Waits for bytes and reads them into the common buffer, where the caller must use them before it waits again.
/// @return their number; 0 if the connection has ended, was closed for memory or has exceeded its time limit
awaitable<std::size_t> HttpServer::receiveSome(Connection& connection)
{
    boost::system::error_code error;
    // The time limit of the stream applies to asynchronous reads only. A read into the common buffer must not be
    // asynchronous, since other connections use the buffer before the coroutine resumes.
    char first = 0;
    co_await connection.stream.async_read_some(boost::asio::buffer(&first, 1), redirect_error(use_awaitable, error));
    if (error || connection.evicted)
        co_return 0;
    m_received[0] = first;
    // An error is reported again by the next asynchronous read.
    std::size_t more = connection.stream.socket().read_some(
        boost::asio::buffer(m_received.data() + 1, m_received.size() - 1), error);
    co_return 1 + more;
}

/// Waits for bytes and appends them to the unparsed ones. The caller reserves memory for those that it can't parse.
awaitable<HttpServer::ReadResult> HttpServer::receive(Connection& connection)
{
    if (m_draining)
        co_return ReadResult::Closed;
    connection.receiving = true;
    std::size_t size = co_await receiveSome(connection);
    connection.receiving = false;
    if (size == 0)
        co_return ReadResult::Closed;
    std::string extended;
    extended.reserve(connection.unparsed.size() + size);
    extended.append(connection.unparsed).append(m_received.data(), size);
    connection.unparsed = std::move(extended);
    co_return ReadResult::Complete;
}

awaitable<HttpServer::ReadResult> HttpServer::readHead(Connection& connection, Incoming& incoming)
{
    bool listed = false;
    // The end of the head does not begin before this position.
    std::size_t searched = 0;
    auto result = ReadResult::Complete;
    while (true) {
        // The parser makes a node of each line that it gets, so it gets a head only when it is complete.
        bool complete = connection.unparsed.find(endOfHead, searched) != std::string::npos;
        searched = connection.unparsed.size() - std::min(connection.unparsed.size(), endOfHead.size() - 1);
        bool tooLarge = !complete && connection.unparsed.size() > m_limits.maxHeaderBytes;
        if (complete) {
            connection.consume(incoming.parser.put(boost::asio::buffer(connection.unparsed), incoming.error));
            searched = 0;
        } else if (tooLarge)
            incoming.error = http::error::header_limit;
        if (incoming.error)
            result = ReadResult::Malformed;
        if (result != ReadResult::Complete || incoming.parser.is_header_done())
            break;
        if (!listed && !connection.unparsed.empty()) {
            m_unfinishedHeads.push_back(&connection);
            listed = true;
        }
        result = co_await receive(connection);
        if (result == ReadResult::Complete && !reserveHead(connection))
            result = connection.evicted ? ReadResult::Closed : ReadResult::NoMemory;
        if (result != ReadResult::Complete)
            break;
    }
    if (listed)
        m_unfinishedHeads.remove(&connection);
    if (result == ReadResult::NoMemory)
        reportShortage(HttpShortage::HeadRefused);
    co_return result;
}

/// Moves what the handler needs from the parser to the request and drops the rest.
/// @return false if it does not fit the memory of heads
bool HttpServer::takeFields(const Connection& connection, Incoming& incoming)
{
    auto& parsed = incoming.parser.get();
    HttpRequest& request = incoming.request;
    request.method_string(parsed.method_string());
    request.target(parsed.target());
    request.version(parsed.version());
    std::size_t size = parsed.method_string().size() + parsed.target().size();
    for (const auto& field : parsed) {
        bool kept = m_limits.keptFields.empty();
        for (const std::string& name : m_limits.keptFields)
            kept = kept || (beast::iequals(name, field.name_string()) && request.count(name) < 2);
        if (!kept)
            continue;
        request.insert(field.name(), field.name_string(), field.value());
        size += field.name_string().size() + field.value().size() + fieldOverheadBytes;
    }
    // The parser keeps the framing of the body itself. Fields of a trailer are dropped with it.
    parsed.clear();
    return reserveHead(incoming.headReservation, size, connection);
}

/// Appends to the body, whose reservation doubles up to the stated length.
/// @return false if it does not fit the memory of bodies
bool HttpServer::appendBody(Incoming& incoming, std::string_view data)
{
    std::string& body = incoming.request.body();
    std::size_t needed = body.size() + data.size();
    std::int64_t times = m_limits.copiesBodies ? 2 : 1;
    auto reserved = static_cast<std::size_t>(incoming.bodyReservation.size().value() / times);
    if (needed > reserved) {
        auto most = static_cast<std::size_t>(m_limits.maxBody.value());
        // Few different sizes, so that freed blocks fit the next bodies.
        std::size_t next = std::max(reserved, firstBodyBytes);
        while (next < needed)
            next *= 2;
        next = std::max(needed, std::min(most, next));
        auto stated = static_cast<std::size_t>(incoming.parser.content_length().value_or(next));
        next = std::min(next, std::max(needed, stated));
        if (!incoming.bodyReservation.extendTo(Bytes(static_cast<std::int64_t>(next) * times), Bytes(*m_bodyCopies)))
            return false;
        setCapacity(body, next);
    }
    body.append(data);
    return true;
}

awaitable<HttpServer::ReadResult> HttpServer::readBody(Connection& connection, Incoming& incoming)
{
    auto& parser = incoming.parser;
    parser.eager(true);
    while (!parser.is_done()) {
        bool awaitsMore
            = parser.chunked() && incoming.request.body().empty() && isPartOfEmptyChunkedBody(connection.unparsed);
        if (!connection.unparsed.empty() && !awaitsMore) {
            auto& part = parser.get().body();
            part.data = m_bodyPart.data();
            part.size = m_bodyPart.size();
            std::size_t used = parser.put(boost::asio::buffer(connection.unparsed), incoming.error);
            std::size_t produced = m_bodyPart.size() - part.size;
            connection.consume(used);
            if (!appendBody(incoming, { m_bodyPart.data(), produced })) {
                reportShortage(HttpShortage::BodyRefused);
                co_return ReadResult::NoMemory;
            }
            bool goesOn = !incoming.error || incoming.error == http::error::need_more
                || incoming.error == http::error::need_buffer;
            if (!goesOn)
                co_return ReadResult::Malformed;
            incoming.error = {};
            // A trailer may have been parsed.
            parser.get().clear();
            if (!reserveHead(connection)) {
                if (connection.evicted)
                    co_return ReadResult::Closed;
                reportShortage(HttpShortage::HeadRefused);
                co_return ReadResult::NoMemory;
            }
            if (used > 0)
                continue;
            // The line before a chunk and the trailer are parsed only when they are complete.
            if (connection.unparsed.size() > m_limits.maxHeaderBytes) {
                incoming.error = http::error::buffer_overflow;
                co_return ReadResult::Malformed;
            }
        }
        auto result = co_await receive(connection);
        if (result != ReadResult::Complete)
            co_return result;
    }
    std::string& body = incoming.request.body();
    Bytes size(static_cast<std::int64_t>(body.size()) * (m_limits.copiesBodies ? 2 : 1));
    if (size < incoming.bodyReservation.size()) {
        setCapacity(body, body.size());
        incoming.bodyReservation.shrinkTo(size);
    }
    co_return ReadResult::Complete;
}

/// Sends a response to a request that was not read completely, and discards what the client still sends: closing a
/// socket with unread bytes resets the connection, and the client may lose the response.
awaitable<void> HttpServer::refuse(Connection& connection, HttpResponse response)
{
    boost::system::error_code error;
    connection.consume(connection.unparsed.size());
    response.keep_alive(false);
    response.prepare_payload();
    connection.stream.expires_after(writeTimeout);
    co_await http::async_write(connection.stream, response, redirect_error(use_awaitable, error));
    if (error)
        co_return;
    connection.stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    connection.stream.expires_after(discardTimeout);
    auto most = 2 * static_cast<std::size_t>(m_limits.maxBody.value());
    std::size_t discarded = 0;
    while (discarded < most) {
        std::size_t size = co_await receiveSome(connection);
        if (size == 0)
            break;
        discarded += size;
    }
}

awaitable<bool> HttpServer::serveOne(Connection& connection)
{
    Incoming incoming(m_heads, m_bodies);
    incoming.parser.body_limit(static_cast<std::uint64_t>(m_limits.maxBody.value()));
    incoming.parser.header_limit(m_limits.maxHeaderBytes);
    connection.stream.expires_after(m_limits.readTimeout);
    auto result = co_await readHead(connection, incoming);
    if (result == ReadResult::Complete) {
        bool fits = takeFields(connection, incoming);
        if (!fits)
            reportShortage(HttpShortage::HeadRefused);
        result = ReadResult::NoMemory;
        if (fits) {
            connection.incoming = &incoming;
            m_unfinishedBodies.push_back(&connection);
            result = co_await readBody(connection, incoming);
            m_unfinishedBodies.remove(&connection);
            connection.incoming = nullptr;
        }
    }
    if (result != ReadResult::Complete)
        incoming.drop();
    if (result == ReadResult::Malformed)
        co_await refuse(connection, parseErrorResponse(incoming.error));
    else if (result == ReadResult::NoMemory)
        co_await refuse(connection, noMemoryResponse());
    if (result != ReadResult::Complete)
        co_return false;
    bool keepAlive = incoming.parser.keep_alive();
    HttpStreamWriter writer(connection.stream);
    if (m_limits.copiesBodies) {
        Bytes size(static_cast<std::int64_t>(incoming.request.body().size()));
        writer.setBodyMemory(incoming.bodyReservation, size, m_bodyCopies);
    }
    connection.stream.expires_never();
    auto handled = co_await m_handler(std::move(incoming.request), writer);
    if (auto* streamed = std::get_if<StreamedResponse>(&handled))
        co_return streamed->complete&& keepAlive;
    auto& response = std::get<HttpResponse>(handled);
    response.keep_alive(keepAlive && !m_draining);
    response.prepare_payload();
    connection.stream.expires_after(writeTimeout);
    boost::system::error_code error;
    co_await http::async_write(connection.stream, response, redirect_error(use_awaitable, error));
    co_return !error && response.keep_alive();
}

HttpResponse makeHttpResponse(http::status status, std::string body, std::string_view type)
{
    constexpr int httpVersion11 = 11;
    HttpResponse response(status, httpVersion11);
    response.set(http::field::content_type, type);
    response.body() = std::move(body);
    return response;
}

} // namespace wisteriayard
