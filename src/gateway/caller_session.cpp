#include "caller_session.h"

#include "chunked_body.h"
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

    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view lineEnd = "\r\n";
    /// Limit on unparsed bytes beyond the header limit. The parser limits neither the length of a chunk-size line nor
    /// the trailer fields after the last chunk.
    constexpr std::size_t maxUnparsedBytes = 32 * 1024;
    /// Time allowed for receiving the body after the header.
    constexpr Duration bodyTimeout = std::chrono::seconds(10);
    /// Size limit of a small body, which may use the memory that larger ones leave to it.
    constexpr std::uint64_t maxSmallBody = std::uint64_t { 64 } * 1024;
    /// Limit on input that is discarded after a refusal, as a multiple of the size limit of a body.
    constexpr std::int64_t maxDiscardedBodies = 2;
    /// Idle time after which a connection is closed at shutdown: a caller that has just connected sends its request
    /// within a round trip between regions.
    constexpr Duration minIdleTimeToClose = std::chrono::milliseconds(200);

    Bytes bytes(std::uint64_t size) { return Bytes(static_cast<std::int64_t>(size)); }

} // namespace

CallerSession::Reading::Reading(const CallerLimits& limits, GatewayState& state, std::function<void()> endUpload)
    : body(std::make_shared<ReservedText>(state.requestBodies))
    , upload(state.uploads, std::move(endUpload))
{
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(static_cast<std::uint64_t>(limits.maxBody.value()));
    parser.eager(true);
}

CallerSession::CallerSession(GatewayState& state, boost::asio::ip::tcp::socket socket, TimePoint now)
    : m_state(state)
    , m_socket(std::move(socket))
    , m_unparsedMemory(state.requestHeads)
    , m_connection(state.clients.opened([this](ClientCloseCause cause) { closeForOthers(cause); }))
    , m_expiry(state.watchdog, [this] { onExpired(); })
    , m_idleSince(now)
{
}

CallerSession::~CallerSession()
{
    m_state.clients.closed(m_connection);
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

void CallerSession::closeForOthers(ClientCloseCause cause)
{
    m_closedForOthers = true;
    releaseUnparsed();
    m_state.metrics.clientClosed(cause);
    m_state.logRequest(Event::ClientClosed, { { "cause", clientCloseCauseName(cause) } }, bootTimeNow());
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

awaitable<void> CallerSession::run()
{
    auto self = shared_from_this();
    setTcpOptions(m_socket);
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored); // for receiveSome(); asynchronous operations work in either mode
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
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
    m_state.clients.closed(m_connection);
    setIdle(true, bootTimeNow());
}

awaitable<bool> CallerSession::serve(CallerRequest request)
{
    // Not at the end of the former request, whose response may still be in the kernel's buffer.
    if (m_isPauseAllowed)
        allowSlowReading(m_socket, false);
    RequestHandler handler(m_state, m_socket, std::move(request));
    m_handler = &handler;
    bool keepAlive = co_await handler.serve();
    m_handler = nullptr;
    m_isPauseAllowed = handler.isPauseAllowed();
    co_return keepAlive;
}

CallerSession::ReadResult CallerSession::checkUnfinishedHead(Reading& reading, std::string_view input) const
{
    if (input.size() >= limits().maxHeaderBytes)
        return ReadResult::HeadTooLarge;
    std::size_t line = input.find(lineEnd);
    bool isNewLine = line != std::string_view::npos && line + lineEnd.size() > reading.searched;
    bool isUnchecked = reading.searched == 0 || isNewLine;
    reading.searched = input.size() - std::min(input.size(), headEnd.size() - 1);
    if (!isUnchecked || input.empty())
        return ReadResult::Complete;
    Parser firstLine;
    firstLine.header_limit(limits().maxHeaderBytes);
    boost::system::error_code error;
    firstLine.put(boost::asio::buffer(input.substr(0, line)), error);
    return error == http::error::need_more ? ReadResult::Complete : ReadResult::Malformed;
}

CallerSession::ReadResult CallerSession::parseHead(Reading& reading, std::string_view& input)
{
    std::size_t end = input.find(headEnd, reading.searched);
    if (end == std::string_view::npos)
        return checkUnfinishedHead(reading, input);
    std::size_t size = end + headEnd.size();
    boost::system::error_code error;
    for (std::string_view rest = input.substr(0, size); !rest.empty() && !error;)
        rest.remove_prefix(reading.parser.put(boost::asio::buffer(rest), error));
    if (error == http::error::header_limit)
        return ReadResult::HeadTooLarge;
    if (error == http::error::body_limit)
        return ReadResult::BodyTooLarge;
    if (error || !reading.parser.is_header_done())
        return ReadResult::Malformed;
    input.remove_prefix(size);
    m_state.clients.enter(m_connection, ClientStage::Served);
    return keepHead(reading) ? ReadResult::Complete : ReadResult::NoMemory;
}

bool CallerSession::keepHead(Reading& reading)
{
    reading.keepAlive = reading.parser.get().keep_alive();
    RequestHead fields = std::move(reading.parser.get().base());
    reading.expectsContinue = fields.count(http::field::expect) > 0;
    reading.head = CallerHead(fields, m_state.platform.codec(), m_state.requestHeads);
    m_unparsedMemory.shrinkTo(Bytes(0));
    if (m_state.reserveHead(reading.head.reservation(), reading.head.size()))
        return true;
    reading.head.dropLines();
    reading.isHeadDropped = true;
    return false;
}

CallerSession::ReadResult CallerSession::parseBody(Reading& reading, std::string_view& input)
{
    Parser& parser = reading.parser;
    if (parser.is_done())
        return ReadResult::Complete;
    if (!reserveBody(reading, input.size()))
        return ReadResult::NoMemory;
    while (!input.empty() && !parser.is_done()) {
        if (parser.chunked() && parser.get().body().empty() && isPartOfEmptyChunkedBody(input))
            break;
        boost::system::error_code error;
        std::size_t used = parser.put(boost::asio::buffer(input), error);
        input.remove_prefix(used);
        if (error == http::error::need_more)
            break;
        if (error == http::error::body_limit)
            return ReadResult::BodyTooLarge;
        if (error)
            return ReadResult::Malformed;
        if (used == 0)
            break;
    }
    if (!parser.is_done() && input.size() > limits().maxHeaderBytes + maxUnparsedBytes)
        return ReadResult::Malformed;
    if (parser.is_done()) {
        reading.upload.remove();
        reading.body->reservation.shrinkTo(bytes(parser.get().body().capacity()));
    } else {
        recordProgress(reading, bootTimeNow());
    }
    return ReadResult::Complete;
}

bool CallerSession::reserveBody(Reading& reading, std::size_t input)
{
    ByteReservation& reservation = reading.body->reservation;
    TimePoint now = bootTimeNow();
    // Input has arrived, so that the upload itself is not the one to end.
    if (reading.upload.isListed())
        recordProgress(reading, now);
    auto stated = reading.parser.content_length();
    std::uint64_t size = bodyMemory(reading.parser.get().body().size() + input, stated);
    return m_state.reserveBody(reservation, bytes(size), reading.upload, stated.value_or(size) <= maxSmallBody, now);
}

void CallerSession::recordProgress(Reading& reading, TimePoint now)
{
    const std::string& received = reading.parser.get().body();
    Bytes held = reading.body->reservation.size();
    Bytes next(0);
    if (!received.empty())
        next = bytes(bodyMemory(static_cast<std::uint64_t>(held.value()) + 1, reading.parser.content_length()));
    reading.upload.progressed(held, now, std::max(Bytes(0), next - held));
}

void CallerSession::endUpload(Reading& reading)
{
    reading.isEnded = true;
    m_state.metrics.slowClientEnded(SlowClientCause::StalledUpload);
    auto& traits = reading.head.traits();
    m_state.logRequest(Event::SlowClientEnded,
        { { "cause", slowClientCauseName(SlowClientCause::StalledUpload) },
            { "request", traits ? traits.value().id.value() : std::string() },
            { "held_bytes", reading.body->reservation.size().value() },
            { "received_bytes", reading.parser.get().body().size() } },
        bootTimeNow());
    reading.parser.get().body() = std::string();
    reading.body->reservation.shrinkTo(Bytes(0));
    releaseUnparsed();
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

CallerSession::ReadResult CallerSession::parse(Reading& reading, std::string_view& input)
{
    if (!reading.parser.is_header_done()) {
        ReadResult result = parseHead(reading, input);
        if (result != ReadResult::Complete || !reading.parser.is_header_done())
            return result;
    }
    return parseBody(reading, input);
}

CallerSession::ReadResult CallerSession::parseReceived(Reading& reading, std::string_view received)
{
    // Received bytes are copied only if they follow others or can't be parsed yet.
    std::string former = std::move(m_unparsed);
    m_unparsed = std::string();
    bool continues = !former.empty();
    if (continues)
        former.append(received);
    std::string_view input = continues ? std::string_view(former) : received;
    std::size_t size = input.size();
    ReadResult result = parse(reading, input);
    if (result != ReadResult::Complete) {
        releaseUnparsed();
        return result;
    }
    m_unparsed = continues && input.size() == size ? std::move(former) : std::string(input);
    return reserveUnparsed(reading);
}

void CallerSession::releaseUnparsed()
{
    m_unparsed = std::string();
    m_unparsedMemory.shrinkTo(Bytes(0));
}

CallerSession::ReadResult CallerSession::reserveUnparsed(Reading& reading)
{
    bool isUnfinishedHead = !m_unparsed.empty() && !reading.parser.is_header_done();
    if (isUnfinishedHead && !reading.isListed) {
        reading.isListed = true;
        m_state.clients.enter(m_connection, ClientStage::UnfinishedHead);
    }
    Bytes size(m_unparsed.empty() ? 0 : static_cast<std::int64_t>(m_unparsed.capacity()));
    m_unparsedMemory.shrinkTo(size);
    // This may close the connection itself, if its unfinished head is the oldest.
    bool isReserved = m_state.reserveHead(m_unparsedMemory, size);
    if (m_closedForOthers)
        return ReadResult::Closed;
    return isReserved ? ReadResult::Complete : ReadResult::NoMemory;
}

awaitable<std::string_view> CallerSession::receiveSome(boost::system::error_code& error)
{
    while (true) {
        co_await m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, redirect_error(use_awaitable, error));
        if (error)
            co_return std::string_view();
        std::string& buffer = m_state.receiveBuffer;
        std::size_t received = m_socket.read_some(boost::asio::buffer(buffer), error);
        if (error != boost::asio::error::would_block)
            co_return std::string_view(buffer).substr(0, received);
    }
}

awaitable<CallerSession::ReadResult> CallerSession::readMore(Reading& reading)
{
    boost::system::error_code error;
    std::string_view received;
    if (!reading.isEnded)
        received = co_await receiveSome(error);
    if (m_closedForOthers)
        co_return ReadResult::Closed;
    if (reading.isEnded)
        co_return ReadResult::NoMemory;
    if (!error)
        co_return parseReceived(reading, received);
    if (m_ending && !m_idleSince)
        co_return ReadResult::Stopping;
    co_return m_readTimedOut ? ReadResult::TooSlow : ReadResult::Closed;
}

awaitable<CallerSession::ReadResult> CallerSession::readRequest(CallerRequest& request)
{
    Reading reading(limits(), m_state, [this, &reading] { endUpload(reading); });
    ReadResult result = co_await receive(reading);
    if (result != ReadResult::Complete && result != ReadResult::NoMemory)
        co_return result;
    bool complete = result == ReadResult::Complete;
    Parser& parser = reading.parser;
    request.arrivedAt = bootTimeNow();
    request.keepAlive = reading.keepAlive && complete;
    request.acceptsChunked = parser.get().version() >= 11;
    request.hasBody = parser.content_length().has_value() || parser.chunked();
    request.isHeadDropped = reading.isHeadDropped;
    if (complete) {
        reading.body->text = std::move(parser.get().body());
        request.body = std::shared_ptr<const std::string>(reading.body, &reading.body->text);
    }
    request.head = std::move(reading.head);
    co_return result;
}

awaitable<CallerSession::ReadResult> CallerSession::receive(Reading& reading)
{
    Parser& parser = reading.parser;
    bool sentContinue = false;
    m_readTimedOut = false;
    // A pipelined request may already have been received.
    ReadResult result = parseReceived(reading, {});
    setIdle(m_unparsed.empty() && !parser.got_some(), bootTimeNow());
    m_expiry.set(bootTimeNow() + (m_idleSince ? limits().idleTimeout : limits().headerTimeout));
    while (result == ReadResult::Complete && !parser.is_done()) {
        bool hadHeader = parser.is_header_done();
        result = co_await readMore(reading);
        if (m_idleSince && result != ReadResult::Closed) {
            setIdle(false, bootTimeNow());
            m_expiry.set(bootTimeNow() + limits().headerTimeout);
        }
        if (result != ReadResult::Complete || !parser.is_header_done() || hadHeader)
            continue;
        m_expiry.set(bootTimeNow() + bodyTimeout);
        bool expectsContinue = !sentContinue && !parser.is_done() && reading.expectsContinue;
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
        std::string_view discarded = co_await receiveSome(error);
        left -= static_cast<std::int64_t>(discarded.size());
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
