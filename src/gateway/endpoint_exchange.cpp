#include "endpoint_exchange.h"

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
    /// Bytes that may wait for the rest of a line: the parser bounds heads, but neither the line before a chunk nor the
    /// fields after the last one.
    constexpr std::size_t maxUnparsedBytes = 32 * 1024;
    /// Informational answers before the final one; endpoints send one at most.
    constexpr int maxInformational = 8;

    /// A request that is being written; outlives the exchange if the answer comes first.
    struct PendingWrite {
        EndpointConnectionPtr connection;
        std::string head;
        std::shared_ptr<const std::string> body;
    };

} // namespace

void EndpointExchange::send(std::string head, std::shared_ptr<const std::string> body)
{
    auto pending = std::make_shared<PendingWrite>();
    pending->connection = m_connection;
    pending->head = std::move(head);
    pending->body = std::move(body);
    m_connection->writing = true;
    std::array<boost::asio::const_buffer, 2> buffers
        = { boost::asio::buffer(pending->head), boost::asio::buffer(*pending->body) };
    boost::asio::async_write(
        m_connection->socket, buffers, [pending](const boost::system::error_code& error, std::size_t) {
            // After an error the read fails too and reports it; the connection is not used again.
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
            return fail(Errc::Protocol, "the answer can't be parsed: " + error.message());
        if (used == 0)
            break;
    }
    if (!m_parser->is_done() && buffer.size() > maxUnparsedBytes)
        return fail(Errc::Protocol, "the answer has a line without an end");
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
        if (http::to_status_class(m_parser->get().result()) != http::status_class::informational)
            co_return boost::outcome_v2::success();
    }
    co_return fail(Errc::Protocol, "too many informational answers");
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

awaitable<Status> EndpointExchange::skipBody(std::size_t most)
{
    std::size_t skipped = 0;
    while (!isComplete()) {
        auto part = co_await readBody();
        if (!part)
            co_return part.error();
        skipped += part.value().size();
        if (skipped > most)
            co_return fail(Errc::Protocol, "the answer has more bytes than it may have");
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
