#include "http_client.h"

#include "address.h"
#include "clock.h"
#include "response_head.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>

namespace wisteriayard {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    constexpr std::size_t readChunkBytes = 16 * 1024;

    /// Error for a failure after which the server may have received the request.
    Error exchangeError(const boost::system::error_code& error, const char* what)
    {
        Errc code = error == beast::error::timeout ? Errc::Timeout : Errc::Protocol;
        return Error { code, std::string(what) + ": " + error.message() };
    }

    /// @return Protocol unless the header is that of a sound final response
    Status checkFinalHead(const http::response_header<>& head)
    {
        if (isInformational(head))
            return fail(Errc::Protocol, "informational response, which no request asks for");
        return checkResponseHead(head);
    }

} // namespace

HttpConnection::HttpConnection(
    boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint server, Bytes maxBody)
    : m_executor(std::move(executor))
    , m_server(std::move(server))
    , m_maxBody(maxBody)
{
}

awaitable<Status> HttpConnection::connect(Duration timeout)
{
    close();
    m_stream = std::make_unique<beast::tcp_stream>(m_executor);
    m_unparsed.clear();
    boost::system::error_code error;
    m_stream->expires_after(timeout);
    co_await m_stream->async_connect(m_server, redirect_error(use_awaitable, error));
    if (error) {
        close();
        co_return fail(Errc::Unavailable, "cannot connect to " + formatAddress(m_server) + ": " + error.message());
    }
    m_stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), error);
    if (m_discardUnsent)
        m_stream->socket().set_option(boost::asio::socket_base::linger(true, 0), error);
    co_return boost::outcome_v2::success();
}

awaitable<Status> HttpConnection::send(HttpRequest& request, Duration timeout)
{
    if (!isOpen()) {
        auto connected = co_await connect(timeout);
        if (!connected)
            co_return connected.error();
    }
    request.set(http::field::host, formatAddress(m_server));
    request.prepare_payload();
    boost::system::error_code error;
    m_stream->expires_after(timeout);
    co_await http::async_write(*m_stream, request, redirect_error(use_awaitable, error));
    if (error) {
        close();
        co_return exchangeError(error, "cannot send request");
    }
    co_return boost::outcome_v2::success();
}

awaitable<Status> HttpConnection::readMore()
{
    std::size_t held = m_unparsed.size();
    m_unparsed.resize(held + readChunkBytes);
    boost::system::error_code error;
    std::size_t received = co_await m_stream->async_read_some(
        boost::asio::buffer(m_unparsed.data() + held, readChunkBytes), redirect_error(use_awaitable, error));
    m_unparsed.resize(held + received);
    if (!error)
        co_return parseReceived();
    if (error == boost::asio::error::eof && m_parser->endInput())
        co_return boost::outcome_v2::success();
    close();
    co_return exchangeError(error, "cannot read response");
}

Status HttpConnection::parseReceived()
{
    std::string_view input = m_unparsed;
    Status parsed = m_parser->parse(input);
    m_unparsed.erase(0, m_unparsed.size() - input.size());
    if (!parsed)
        close();
    return parsed;
}

awaitable<Result<HttpResponse>> HttpConnection::readHead()
{
    m_parser.emplace();
    Status read = parseReceived();
    while (read && !m_parser->isHeadDone())
        read = co_await readMore();
    if (read)
        read = checkFinalHead(m_parser->head());
    if (!read) {
        close();
        co_return read.error();
    }
    HttpResponse head;
    head.base() = m_parser->head();
    co_return head;
}

awaitable<Result<std::string>> HttpConnection::readPart()
{
    while (!m_parser->hasBodyPart() && !m_parser->isDone()) {
        Status read = co_await readMore();
        if (!read)
            co_return read.error();
    }
    std::string part = m_parser->takeBodyPart();
    if (part.empty() && !m_parser->keepsConnection())
        close();
    co_return part;
}

awaitable<Result<HttpResponse>> HttpConnection::exchange(HttpRequest request, Duration timeout)
{
    auto response = co_await startExchange(std::move(request), timeout);
    if (!response)
        co_return response;
    std::string& body = response.value().body();
    while (true) {
        auto part = co_await readPart();
        if (!part)
            co_return part.error();
        if (part.value().empty())
            co_return response;
        body += part.value();
        if (body.size() > static_cast<std::size_t>(m_maxBody.value())) {
            close();
            co_return fail(Errc::Protocol, "the response body exceeds the size limit");
        }
    }
}

awaitable<Result<HttpResponse>> HttpConnection::startExchange(HttpRequest request, Duration timeout)
{
    auto sent = co_await send(request, timeout);
    if (!sent)
        co_return sent.error();
    co_return co_await readHead();
}

awaitable<Result<std::string>> HttpConnection::readSome(Duration timeout)
{
    m_stream->expires_after(timeout);
    co_return co_await readPart();
}

void HttpConnection::close()
{
    if (m_stream) {
        boost::system::error_code ignored;
        m_stream->socket().close(ignored);
    }
}

HttpClient::HttpClient(
    boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint server, Bytes maxBody, std::size_t maxIdle)
    : m_executor(std::move(executor))
    , m_server(std::move(server))
    , m_maxBody(maxBody)
    , m_maxIdle(maxIdle)
{
}

std::unique_ptr<HttpConnection> HttpClient::acquire()
{
    if (m_idle.empty())
        return std::make_unique<HttpConnection>(m_executor, m_server, m_maxBody);
    std::unique_ptr<HttpConnection> connection = std::move(m_idle.back());
    m_idle.pop_back();
    return connection;
}

void HttpClient::release(std::unique_ptr<HttpConnection> connection)
{
    if (m_idle.size() < m_maxIdle)
        m_idle.push_back(std::move(connection));
}

awaitable<Result<HttpResponse>> HttpClient::exchange(HttpRequest request, Duration timeout)
{
    std::unique_ptr<HttpConnection> connection = acquire();
    auto response = co_await connection->exchange(std::move(request), timeout);
    if (response)
        release(std::move(connection));
    co_return response;
}

awaitable<Result<HttpResponse>> HttpClient::exchange(HttpRequest request, Duration timeout, TransferLimits limits)
{
    std::unique_ptr<HttpConnection> connection = acquire();
    auto response = co_await connection->startExchange(std::move(request), timeout);
    if (!response)
        co_return response;
    TimePoint end = bootTimeNow() + limits.total;
    std::string& body = response.value().body();
    while (true) {
        auto part = co_await connection->readSome(std::min(limits.progress, end - bootTimeNow()));
        if (!part)
            co_return part.error();
        if (part.value().empty())
            break;
        body += part.value();
        if (body.size() > static_cast<std::size_t>(m_maxBody.value()))
            co_return fail(Errc::Protocol, "the response body exceeds the size limit");
        if (bootTimeNow() >= end)
            co_return fail(Errc::Timeout, "the response body took too long to transfer");
    }
    release(std::move(connection));
    co_return response;
}

HttpRequest makeHttpRequest(http::verb method, std::string_view target, std::string body, std::string_view type)
{
    constexpr int httpVersion11 = 11;
    HttpRequest request(method, target, httpVersion11);
    request.keep_alive(true);
    if (!body.empty())
        request.set(http::field::content_type, type);
    request.body() = std::move(body);
    return request;
}

} // namespace wisteriayard
