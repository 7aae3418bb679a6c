#include "caller_session.h"

#include "clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace wisteriayard {

namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    constexpr std::size_t readBytes = 16 * 1024;
    /// Limit on buffered bytes beyond the header limit. The parser limits neither the length of a chunk-size line nor
    /// the trailer fields after the last chunk.
    constexpr std::size_t maxUnparsedBytes = 32 * 1024;
    /// Time allowed for receiving the body after the header.
    constexpr Duration bodyTimeout = std::chrono::seconds(10);
    /// Size limit of a small body, and the memory that larger ones leave to them, so that uploads don't stop all other
    /// requests.
    constexpr Bytes maxSmallBody { 64 * 1024 };
    constexpr Bytes smallBodyMemory { 2 * 1024 * 1024 };
    /// Limit on input that is discarded after a refusal, as a multiple of the size limit of a body.
    constexpr std::int64_t maxDiscardedBodies = 2;
    /// Idle time after which a connection is closed at shutdown: a caller that has just connected sends its request
    /// within a round trip between regions.
    constexpr Duration minIdleTimeToClose = std::chrono::milliseconds(200);

    /// Extends the reservation to the size of the body: the stated one, or that of the part received so far.
    template <typename Parser> bool reserveBody(const Parser& parser, ByteReservation& reservation)
    {
        const std::string& received = parser.get().body();
        std::uint64_t stated = parser.content_length().value_or(0);
        Bytes size(static_cast<std::int64_t>(received.empty() ? stated : std::max(stated, received.capacity())));
        return reservation.extendTo(size, size > maxSmallBody ? smallBodyMemory : Bytes(0));
    }

} // namespace

CallerSession::CallerSession(GatewayState& state, boost::asio::ip::tcp::socket socket, TimePoint now)
    : m_state(state)
    , m_socket(std::move(socket))
    , m_expiry(state.watchdog, [this] { onExpired(); })
    , m_idleSince(now)
{
}

CallerSession::~CallerSession()
{
    if (!m_idleSince)
        --m_state.busyConnections;
}

CallerLimits CallerSession::limits() const { return m_state.routes ? m_state.routes->config().limits : CallerLimits(); }

void CallerSession::onExpired()
{
    m_readTimedOut = !m_idleSince;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

void CallerSession::setIdle(bool idle, TimePoint now)
{
    if (idle == m_idleSince.has_value())
        return;
    idle ? --m_state.busyConnections : ++m_state.busyConnections;
    m_idleSince = idle ? std::optional(now) : std::nullopt;
}

void CallerSession::closeIfIdle(TimePoint now)
{
    if (!m_idleSince || now - *m_idleSince < minIdleTimeToClose)
        return;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

void CallerSession::end()
{
    m_ending = true;
    if (m_handler) {
        m_handler->expire();
        return;
    }
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

awaitable<void> CallerSession::run()
{
    auto self = shared_from_this();
    setTcpOptions(m_socket);
    bool keepAlive = true;
    while (keepAlive && !m_ending) {
        CallerRequest request;
        ReadResult result = co_await readRequest(request);
        if (result == ReadResult::Closed)
            break;
        keepAlive = false;
        if (result == ReadResult::Complete || result == ReadResult::NoMemory)
            keepAlive = co_await serve(std::move(request));
        else
            co_await sendErrorResponse(result);
        if (result != ReadResult::Complete)
            co_await discardInput();
    }
    m_expiry.clear();
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
    setIdle(true, bootTimeNow());
}

awaitable<bool> CallerSession::serve(CallerRequest request)
{
    RequestHandler handler(m_state, m_socket, std::move(request));
    m_handler = &handler;
    bool keepAlive = co_await handler.serve();
    m_handler = nullptr;
    co_return keepAlive;
}

CallerSession::ReadResult CallerSession::parseBuffered(Parser& parser, ByteReservation& reservation)
{
    while (m_buffer.size() > 0 && !parser.is_done()) {
        boost::system::error_code error;
        std::size_t used = parser.put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (error == http::error::need_more)
            break;
        if (error == http::error::header_limit)
            return ReadResult::HeadTooLarge;
        if (error == http::error::body_limit)
            return ReadResult::BodyTooLarge;
        if (error)
            return ReadResult::Malformed;
        if (used == 0)
            break;
    }
    if (!parser.is_done() && m_buffer.size() > limits().maxHeaderBytes + maxUnparsedBytes)
        return ReadResult::Malformed;
    if (parser.is_header_done() && !reserveBody(parser, reservation))
        return ReadResult::NoMemory;
    return ReadResult::Complete;
}

awaitable<CallerSession::ReadResult> CallerSession::readMore(Parser& parser, ByteReservation& reservation)
{
    auto space = m_buffer.prepare(readBytes);
    boost::system::error_code error;
    std::size_t received = co_await m_socket.async_read_some(space, redirect_error(use_awaitable, error));
    m_buffer.commit(received);
    if (!error)
        co_return parseBuffered(parser, reservation);
    if (m_ending && !m_idleSince)
        co_return ReadResult::Stopping;
    co_return m_readTimedOut ? ReadResult::TooSlow : ReadResult::Closed;
}

awaitable<CallerSession::ReadResult> CallerSession::readRequest(CallerRequest& request)
{
    Parser parser;
    parser.header_limit(limits().maxHeaderBytes);
    parser.body_limit(static_cast<std::uint64_t>(limits().maxBody.value()));
    parser.eager(true);
    auto body = std::make_shared<ReservedText>(m_state.requestBodies);
    ReadResult result = co_await receive(parser, body->reservation);
    if (result != ReadResult::Complete && result != ReadResult::NoMemory)
        co_return result;
    bool complete = result == ReadResult::Complete;
    request.arrivedAt = bootTimeNow();
    request.keepAlive = parser.get().keep_alive() && complete;
    request.acceptsChunked = parser.get().version() >= 11;
    request.hasBody = parser.content_length().has_value() || parser.chunked();
    if (complete) {
        body->text = std::move(parser.get().body());
        request.body = std::shared_ptr<const std::string>(body, &body->text);
    }
    request.head = std::move(parser.get().base());
    co_return result;
}

awaitable<CallerSession::ReadResult> CallerSession::receive(Parser& parser, ByteReservation& reservation)
{
    bool sentContinue = false;
    m_readTimedOut = false;
    // A pipelined request may already be in the buffer.
    ReadResult result = parseBuffered(parser, reservation);
    setIdle(m_buffer.size() == 0 && !parser.got_some(), bootTimeNow());
    m_expiry.set(bootTimeNow() + (m_idleSince ? limits().idleTimeout : limits().headerTimeout));
    while (result == ReadResult::Complete && !parser.is_done()) {
        bool hadHeader = parser.is_header_done();
        result = co_await readMore(parser, reservation);
        if (m_idleSince && result != ReadResult::Closed) {
            setIdle(false, bootTimeNow());
            m_expiry.set(bootTimeNow() + limits().headerTimeout);
        }
        if (result != ReadResult::Complete || !parser.is_header_done() || hadHeader)
            continue;
        m_expiry.set(bootTimeNow() + bodyTimeout);
        bool expectsContinue = !sentContinue && !parser.is_done() && parser.get().count(http::field::expect) > 0;
        if (expectsContinue) {
            sentContinue = true;
            co_await writeContinue();
        }
    }
    m_expiry.clear();
    co_return result;
}

awaitable<void> CallerSession::writeContinue()
{
    std::string text = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::system::error_code ignored; // if the connection is closed, the next read reports it
    co_await boost::asio::async_write(m_socket, boost::asio::buffer(text), redirect_error(use_awaitable, ignored));
}

awaitable<void> CallerSession::discardInput()
{
    setIdle(true, bootTimeNow());
    boost::system::error_code error;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    m_expiry.set(bootTimeNow() + bodyTimeout);
    auto left = maxDiscardedBodies * limits().maxBody.value();
    while (!m_ending && !error && left > 0) {
        m_buffer.clear();
        auto space = m_buffer.prepare(readBytes);
        left -= static_cast<std::int64_t>(
            co_await m_socket.async_read_some(space, redirect_error(use_awaitable, error)));
    }
}

awaitable<void> CallerSession::sendErrorResponse(ReadResult result)
{
    LocalResponse response { 400, "bad_request", "the request can't be parsed", std::nullopt };
    if (result == ReadResult::HeadTooLarge)
        response = LocalResponse { 431, "head_too_large", "the request's head is too large", std::nullopt };
    else if (result == ReadResult::BodyTooLarge)
        response = LocalResponse { 413, "body_too_large", "the request's body is too large", std::nullopt };
    else if (result == ReadResult::TooSlow)
        response = LocalResponse { 408, "too_slow", "the request did not arrive in time", std::nullopt };
    else if (result == ReadResult::Stopping)
        response = stoppingResponse();
    m_state.logRequest(Event::RequestRefused, { { "outcome", "refused" }, { "detail", response.code } }, bootTimeNow());
    std::string text = localResponseText(response, m_state.platform.codec(), RequestId(), false);
    boost::system::error_code ignored; // the connection is closed after this response in any case
    m_expiry.set(bootTimeNow() + limits().headerTimeout);
    co_await boost::asio::async_write(m_socket, boost::asio::buffer(text), redirect_error(use_awaitable, ignored));
}

} // namespace wisteriayard
