#include "http_server.h"

#include "address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>

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
    /// Buffer space, in addition to the header limit, for an incomplete line such as that before a chunk.
    constexpr std::size_t maxIncompleteLineBytes = 64 * 1024;

    std::string errorBody(std::string_view message)
    {
        return R"({"error":{"message":")" + std::string(message)
            + R"(","type":"invalid_request_error","code":"bad_request","outcome":"not_run"}})";
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

HttpServer::HttpServer(boost::asio::io_context& io, HttpServerLimits limits, HttpHandler handler)
    : m_io(io)
    , m_acceptor(io)
    , m_limits(limits)
    , m_handler(std::move(handler))
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
    for (auto& [stream, idle] : m_idleByStream) {
        if (idle)
            stream->cancel();
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
    beast::tcp_stream stream(std::move(socket));
    // The parser limits the sizes of the header and the body, but not that of the line before a chunk.
    beast::flat_buffer buffer(m_limits.maxHeaderBytes + maxIncompleteLineBytes);
    m_idleByStream[&stream] = false;
    while (!m_draining && co_await serveOne(stream, buffer)) { }
    m_idleByStream.erase(&stream);
    stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    --m_connections;
}

awaitable<bool> HttpServer::serveOne(beast::tcp_stream& stream, beast::flat_buffer& buffer)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(static_cast<std::uint64_t>(m_limits.maxBody.value()));
    parser.header_limit(m_limits.maxHeaderBytes);
    boost::system::error_code error;
    stream.expires_after(m_limits.readTimeout);
    m_idleByStream[&stream] = buffer.size() == 0;
    co_await http::async_read(stream, buffer, parser, redirect_error(use_awaitable, error));
    m_idleByStream[&stream] = false;
    if (error) {
        bool parseError = error.category() == make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message;
        if (parseError) {
            HttpResponse response = parseErrorResponse(error);
            response.keep_alive(false);
            response.prepare_payload();
            stream.expires_after(writeTimeout);
            co_await http::async_write(stream, response, redirect_error(use_awaitable, error));
        }
        co_return false;
    }
    bool keepAlive = parser.get().keep_alive();
    HttpStreamWriter writer(stream);
    stream.expires_never();
    auto result = co_await m_handler(parser.release(), writer);
    if (auto* streamed = std::get_if<StreamedResponse>(&result))
        co_return streamed->complete&& keepAlive;
    auto& response = std::get<HttpResponse>(result);
    response.keep_alive(keepAlive && !m_draining);
    response.prepare_payload();
    stream.expires_after(writeTimeout);
    co_await http::async_write(stream, response, redirect_error(use_awaitable, error));
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
