#include "caller_session.h"

#include "clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace wisteriayard {

namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    constexpr std::size_t readBytes = 16 * 1024;
    /// Bytes beyond the limit of a head that may wait for the rest of a line: the parser bounds neither the line before
    /// a chunk nor the fields after the last one.
    constexpr std::size_t maxUnparsedBytes = 32 * 1024;
    /// Longest time for a body to arrive after its head.
    constexpr Duration bodyTimeout = std::chrono::seconds(10);

} // namespace

CallerSession::CallerSession(GatewayState& state, boost::asio::ip::tcp::socket socket)
    : m_state(state)
    , m_socket(std::move(socket))
    , m_expiry(state.watchdog, [this] { expired(); })
{
}

CallerLimits CallerSession::limits() const { return m_state.routes ? m_state.routes->config().limits : CallerLimits(); }

void CallerSession::expired()
{
    m_tooSlow = !m_idle;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

void CallerSession::closeIfIdle()
{
    if (!m_idle)
        return;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

awaitable<void> CallerSession::run()
{
    auto self = shared_from_this();
    setPeerOptions(m_socket);
    while (true) {
        Parser parser;
        parser.header_limit(limits().maxHeaderBytes);
        parser.body_limit(static_cast<std::uint64_t>(limits().maxBody.value()));
        parser.eager(true);
        ReadEnd end = co_await readRequest(parser);
        if (end == ReadEnd::Closed)
            break;
        if (end != ReadEnd::Whole) {
            co_await refuse(end);
            break;
        }
        CallerRequest request;
        request.arrivedAt = bootTimeNow();
        request.keepOpen = parser.get().keep_alive();
        request.takesChunks = parser.get().version() >= 11;
        request.hasBody = parser.content_length().has_value() || parser.chunked();
        request.body = std::make_shared<const std::string>(std::move(parser.get().body()));
        request.head = std::move(parser.get().base());
        RequestRun run(m_state, m_socket, std::move(request));
        bool keepOpen = co_await run.serve();
        if (!keepOpen)
            break;
    }
    m_expiry.clear();
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
}

CallerSession::ReadEnd CallerSession::parseBuffered(Parser& parser)
{
    while (m_buffer.size() > 0 && !parser.is_done()) {
        boost::system::error_code error;
        std::size_t used = parser.put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (error == http::error::need_more)
            break;
        if (error == http::error::header_limit)
            return ReadEnd::HeadTooLarge;
        if (error == http::error::body_limit)
            return ReadEnd::BodyTooLarge;
        if (error)
            return ReadEnd::Malformed;
        if (used == 0)
            break;
    }
    if (!parser.is_done() && m_buffer.size() > limits().maxHeaderBytes + maxUnparsedBytes)
        return ReadEnd::Malformed;
    return ReadEnd::Whole;
}

awaitable<CallerSession::ReadEnd> CallerSession::readMore(Parser& parser)
{
    auto space = m_buffer.prepare(readBytes);
    boost::system::error_code error;
    std::size_t received = co_await m_socket.async_read_some(space, redirect_error(use_awaitable, error));
    m_buffer.commit(received);
    if (error)
        co_return m_tooSlow ? ReadEnd::TooSlow : ReadEnd::Closed;
    co_return parseBuffered(parser);
}

awaitable<CallerSession::ReadEnd> CallerSession::readRequest(Parser& parser)
{
    bool continued = false;
    m_tooSlow = false;
    // Bytes of this request may have come with the one before.
    ReadEnd end = parseBuffered(parser);
    m_idle = m_buffer.size() == 0 && !parser.got_some();
    m_expiry.set(bootTimeNow() + (m_idle ? limits().idleTimeout : limits().headerTimeout));
    while (end == ReadEnd::Whole && !parser.is_done()) {
        bool hadHead = parser.is_header_done();
        end = co_await readMore(parser);
        if (m_idle && end == ReadEnd::Whole) {
            m_idle = false;
            m_expiry.set(bootTimeNow() + limits().headerTimeout);
        }
        if (end != ReadEnd::Whole || !parser.is_header_done() || hadHead)
            continue;
        m_expiry.set(bootTimeNow() + bodyTimeout);
        bool expects = !continued && !parser.is_done() && parser.get().count(http::field::expect) > 0;
        if (expects) {
            continued = true;
            co_await writeContinue();
        }
    }
    m_idle = false;
    m_expiry.clear();
    co_return end;
}

awaitable<void> CallerSession::writeContinue()
{
    std::string text = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::system::error_code ignored; // the next read fails if the caller is gone
    co_await boost::asio::async_write(m_socket, boost::asio::buffer(text), redirect_error(use_awaitable, ignored));
}

awaitable<void> CallerSession::refuse(ReadEnd end)
{
    OwnAnswer answer { 400, "bad_request", "the request can't be parsed", std::nullopt };
    if (end == ReadEnd::HeadTooLarge)
        answer = OwnAnswer { 431, "head_too_large", "the request's head is too large", std::nullopt };
    else if (end == ReadEnd::BodyTooLarge)
        answer = OwnAnswer { 413, "body_too_large", "the request's body is too large", std::nullopt };
    else if (end == ReadEnd::TooSlow)
        answer = OwnAnswer { 408, "too_slow", "the request did not arrive in time", std::nullopt };
    m_state.logRequest(Event::RequestRefused, { { "outcome", "refused" }, { "detail", answer.code } }, bootTimeNow());
    std::string text = ownAnswerText(answer, m_state.platform.codec(), RequestId(), false);
    boost::system::error_code ignored; // the connection is closed next
    m_expiry.set(bootTimeNow() + limits().headerTimeout);
    co_await boost::asio::async_write(m_socket, boost::asio::buffer(text), redirect_error(use_awaitable, ignored));
}

} // namespace wisteriayard
