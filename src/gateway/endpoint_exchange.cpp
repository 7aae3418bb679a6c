#include "endpoint_exchange.h"

#include "response_head.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace wisteriayard {

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    /// Limit on informational (1xx) responses before the final one; endpoints send at most one.
    constexpr int maxInformational = 8;

    /// A request being written. Outlives the exchange if the response arrives before the write completes.
    struct PendingWrite {
        EndpointConnectionPtr connection;
        std::shared_ptr<const std::string> lines;
        std::string headEnd;
        std::shared_ptr<const std::string> body;
    };

} // namespace

void EndpointExchange::send(
    std::shared_ptr<const std::string> lines, std::string headEnd, std::shared_ptr<const std::string> body)
{
    auto pending = std::make_shared<PendingWrite>();
    pending->connection = m_connection;
    pending->lines = std::move(lines);
    pending->headEnd = std::move(headEnd);
    pending->body = std::move(body);
    m_connection->writing = true;
    std::array<boost::asio::const_buffer, 3> buffers = { boost::asio::buffer(*pending->lines),
        boost::asio::buffer(pending->headEnd), boost::asio::buffer(*pending->body) };
    boost::asio::async_write(
        m_connection->socket, buffers, [pending](const boost::system::error_code& error, std::size_t) {
            // On an error the flag stays set, so that the connection is not reused; readMore() reports the error.
            pending->connection->writing = static_cast<bool>(error);
            pending->connection->writeError = error;
        });
}

Status EndpointExchange::parseReceived(std::string_view received)
{
    // Received bytes are copied only if they follow others or can't be parsed yet.
    std::string former = std::move(m_connection->unparsed);
    m_connection->unparsed = std::string();
    bool continues = !former.empty();
    if (continues)
        former.append(received);
    std::string_view input = continues ? std::string_view(former) : received;
    std::size_t size = input.size();
    Status parsed = m_parser->parse(input);
    m_connection->unparsed = continues && input.size() == size ? std::move(former) : std::string(input);
    // Fields behind the last chunk are not forwarded.
    if (m_isHeadKept && m_parser->isDone())
        m_parser->dropFields();
    return parsed ? reserveMemory() : parsed;
}

awaitable<Status> EndpointExchange::readMore()
{
    boost::system::error_code error;
    std::size_t received = 0;
    do {
        co_await m_connection->socket.async_wait(
            boost::asio::ip::tcp::socket::wait_read, redirect_error(use_awaitable, error));
        if (!error)
            received = m_connection->socket.read_some(boost::asio::buffer(m_receiveBuffer), error);
    } while (error == boost::asio::error::would_block);
    if (!error)
        co_return parseReceived(std::string_view(m_receiveBuffer).substr(0, received));
    if (error == boost::asio::error::eof)
        error = co_await endOfInput();
    if (error == boost::asio::error::eof && m_parser->endInput())
        co_return boost::outcome_v2::success();
    co_return fail(Errc::Unavailable, "the connection broke: " + error.message());
}

awaitable<boost::system::error_code> EndpointExchange::endOfInput()
{
    // The kernel reports a reset or a timeout only to the first call on the socket. If that is a write, the reads after
    // it find an end of file. The write may have failed although its handler has not run.
    if (m_connection->writing)
        co_await boost::asio::post(m_connection->socket.get_executor(), use_awaitable);
    const boost::system::error_code& writeError = m_connection->writeError;
    // A write fails with a broken pipe if the endpoint had ended its sending side before the connection broke.
    bool isBroken = writeError && writeError != boost::asio::error::broken_pipe;
    co_return isBroken ? writeError : boost::asio::error::eof;
}

awaitable<Status> EndpointExchange::readHead()
{
    for (int heads = 0; heads <= maxInformational; ++heads) {
        m_parser.emplace(m_bodyless);
        m_head = EndpointHead();
        m_isHeadKept = false;
        Status parsed = parseReceived({});
        if (!parsed)
            co_return parsed;
        while (!m_parser->isHeadDone()) {
            Status read = co_await readMore();
            if (!read)
                co_return read;
        }
        const ResponseHead& fields = m_parser->head();
        Status sound = checkResponseHead(fields);
        if (!sound || !isInformational(fields)) {
            m_head = EndpointHead(fields);
            co_return sound;
        }
    }
    co_return fail(Errc::Protocol, "too many informational responses");
}

Status EndpointExchange::keepHead()
{
    m_parser->dropFields();
    m_isHeadKept = true;
    return reserveMemory();
}

Status EndpointExchange::reserveMemory()
{
    const std::string& unparsed = m_connection->unparsed;
    std::size_t size = m_head.lines.size() + (unparsed.empty() ? 0 : unparsed.capacity());
    Bytes bytes(static_cast<std::int64_t>(size));
    m_memory.shrinkTo(bytes);
    if (!m_memory.extendTo(bytes))
        return fail(Errc::Protocol, "the response's head exceeds the memory for responses");
    return boost::outcome_v2::success();
}

awaitable<Result<std::string>> EndpointExchange::readBody()
{
    while (!m_parser->hasBodyPart() && !m_parser->isDone()) {
        Status read = co_await readMore();
        if (!read)
            co_return read.error();
    }
    co_return m_parser->takeBodyPart();
}

awaitable<Status> EndpointExchange::discardBody(std::size_t maxBytes)
{
    std::size_t discarded = 0;
    while (!isComplete()) {
        auto part = co_await readBody();
        if (!part)
            co_return part.error();
        discarded += part.value().size();
        if (discarded > maxBytes)
            co_return fail(Errc::Protocol, "the response body exceeds the size limit");
    }
    co_return boost::outcome_v2::success();
}

bool EndpointExchange::isReusable() const
{
    return isComplete() && m_parser->keepsConnection() && !m_connection->writing && m_connection->unparsed.empty();
}

void EndpointExchange::close()
{
    boost::system::error_code ignored;
    m_connection->socket.close(ignored);
}

} // namespace wisteriayard
