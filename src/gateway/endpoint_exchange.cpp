#include "endpoint_exchange.h"

#include "response_head.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace wisteriayard {

namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    constexpr std::size_t readBytes = 8 * 1024;
    constexpr std::uint32_t maxHeadBytes = 16 * 1024;
    /// Limit on buffered bytes that the parser has not consumed. The parser limits the header, but neither the length
    /// of a chunk-size line nor the trailer fields after the last chunk.
    constexpr std::size_t maxUnparsedBytes = 32 * 1024;
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
            // On an error the flag stays set, so that the connection is not reused; the read reports the error.
            pending->connection->writing = static_cast<bool>(error);
        });
}

Status EndpointExchange::parseBuffered()
{
    auto& buffer = m_connection->buffer;
    while (buffer.size() > 0 && !m_parser->is_done()) {
        boost::system::error_code error;
        std::size_t used = m_parser->put(buffer.data(), error);
        buffer.consume(used);
        if (error == http::error::need_more)
            break;
        if (error)
            return fail(Errc::Protocol, "the response can't be parsed: " + error.message());
        if (used == 0)
            break;
    }
    if (!m_parser->is_done() && buffer.size() > maxUnparsedBytes)
        return fail(Errc::Protocol, "the response has an unterminated line beyond the size limit");
    return boost::outcome_v2::success();
}

awaitable<Status> EndpointExchange::readMore()
{
    auto& buffer = m_connection->buffer;
    boost::system::error_code error;
    auto space = buffer.prepare(readBytes);
    std::size_t received = co_await m_connection->socket.async_read_some(space, redirect_error(use_awaitable, error));
    buffer.commit(received);
    if (!error)
        co_return parseBuffered();
    if (error == boost::asio::error::eof && m_parser->is_header_done()) {
        boost::system::error_code ended;
        m_parser->put_eof(ended);
        if (!ended && m_parser->is_done())
            co_return boost::outcome_v2::success();
    }
    co_return fail(Errc::Unavailable, "the connection broke: " + error.message());
}

awaitable<Status> EndpointExchange::readHead()
{
    for (int heads = 0; heads <= maxInformational; ++heads) {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(maxHeadBytes);
        m_parser->body_limit(boost::none);
        m_parser->skip(m_bodyless);
        Status parsed = parseBuffered();
        if (!parsed)
            co_return parsed;
        while (!m_parser->is_header_done()) {
            Status read = co_await readMore();
            if (!read)
                co_return read;
        }
        Status sound = checkResponseHead(head());
        if (!sound || !isInformational(head()))
            co_return sound;
    }
    co_return fail(Errc::Protocol, "too many informational responses");
}

awaitable<Result<std::string>> EndpointExchange::readBody()
{
    while (m_parser->get().body().empty() && !m_parser->is_done()) {
        Status read = co_await readMore();
        if (!read)
            co_return read.error();
    }
    std::string bytes = std::move(m_parser->get().body());
    m_parser->get().body().clear();
    co_return bytes;
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
    return isComplete() && m_parser->get().keep_alive() && !m_parser->need_eof() && !m_connection->writing
        && m_connection->buffer.size() == 0;
}

void EndpointExchange::close()
{
    boost::system::error_code ignored;
    m_connection->socket.close(ignored);
}

} // namespace wisteriayard
