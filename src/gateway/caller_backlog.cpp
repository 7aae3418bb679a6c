#include "caller_backlog.h"

#include "clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wisteriayard {

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    /// Limit on the memory for one caller. Beyond it the endpoint is read only as fast as the caller reads.
    constexpr Bytes maxBacklog { 1024 * 1024 };
    /// Least capacity of a block, so that many small events don't need an allocation each.
    constexpr std::size_t minBlockBytes = 4096;
    /// Memory of a block beside its text.
    constexpr std::size_t blockOverhead = 64;

} // namespace

CallerBacklog::CallerBacklog(
    GatewayState& state, boost::asio::ip::tcp::socket& caller, RequestId request, std::function<void()> lost)
    : m_state(state)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_lost(std::move(lost))
    , m_memory(state.streamBuffers)
    , m_entry(state.unreadStreams, [this] { closeForMemory(); })
    , m_ended(state.io)
{
}

bool CallerBacklog::fitsLastBlock(const std::string& text) const
{
    return !m_blocks.empty() && m_blocks.back().text.capacity() - m_blocks.back().text.size() >= text.size();
}

Bytes CallerBacklog::sizeWith(const std::string& text) const
{
    std::size_t added = fitsLastBlock(text) ? 0 : std::max(minBlockBytes, text.capacity()) + blockOverhead;
    return Bytes(static_cast<std::int64_t>(m_blockBytes + added));
}

bool CallerBacklog::keep(std::string& text, std::size_t written, TimePoint now)
{
    if (!m_isLost)
        allowPause();
    Bytes size = sizeWith(text);
    bool isReserved = !m_isLost && size <= maxBacklog && m_state.reserveStream(m_memory, size, m_entry, now);
    if (!isReserved)
        return false;
    bool isFirst = m_blocks.empty();
    add(std::move(text), written);
    if (!isFirst) {
        m_entry.hold(m_memory.size());
        return true;
    }
    m_entry.progressed(m_memory.size(), now);
    waitUntilWritable();
    return true;
}

void CallerBacklog::add(std::string text, std::size_t written)
{
    if (fitsLastBlock(text)) {
        m_blocks.back().text.append(text);
        return;
    }
    std::string block;
    if (text.capacity() >= minBlockBytes) {
        block = std::move(text);
    } else {
        block.reserve(minBlockBytes);
        block.append(text);
    }
    m_blockBytes += block.capacity() + blockOverhead;
    m_blocks.push_back({ std::move(block), written });
}

void CallerBacklog::allowPause()
{
    if (m_isPauseAllowed)
        return;
    m_isPauseAllowed = true;
    allowSlowReading(m_caller, true);
}

void CallerBacklog::waitUntilWritable()
{
    m_caller.async_wait(
        boost::asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const boost::system::error_code& error) {
            if (self->m_isLost)
                return;
            if (error)
                self->lose();
            else
                self->writeSome();
        });
}

void CallerBacklog::writeSome()
{
    std::size_t total = 0;
    boost::system::error_code error;
    while (!m_blocks.empty() && !error) {
        Block& block = m_blocks.front();
        std::string_view rest = std::string_view(block.text).substr(block.written);
        std::size_t written = m_caller.write_some(boost::asio::buffer(rest), error);
        total += written;
        block.written += written;
        if (block.written == block.text.size()) {
            m_blockBytes -= block.text.capacity() + blockOverhead;
            m_blocks.pop_front();
        }
    }
    if (error && error != boost::asio::error::would_block)
        return lose();
    m_memory.shrinkTo(Bytes(static_cast<std::int64_t>(m_blockBytes)));
    if (m_blocks.empty()) {
        clear();
        return;
    }
    if (total > 0)
        m_entry.progressed(m_memory.size(), bootTimeNow());
    waitUntilWritable();
}

void CallerBacklog::clear()
{
    m_blocks.clear();
    m_blockBytes = 0;
    m_memory.shrinkTo(Bytes(0));
    m_entry.remove();
    m_ended.cancel();
}

void CallerBacklog::lose()
{
    m_isLost = true;
    clear();
    if (auto lost = std::move(m_lost))
        lost();
}

void CallerBacklog::stop()
{
    m_lost = nullptr;
    m_isLost = true;
    clear();
}

void CallerBacklog::closeForMemory()
{
    m_state.metrics.slowClientEnded(SlowClientCause::UnreadResponse);
    m_state.logRequest(Event::SlowClientEnded,
        { { "cause", slowClientCauseName(SlowClientCause::UnreadResponse) }, { "request", m_request.value() },
            { "held_bytes", m_memory.size().value() } },
        bootTimeNow());
    lose();
    // Without a reset, the kernel keeps what it has of the response until its own limits are reached.
    boost::system::error_code ignored;
    m_caller.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_caller.close(ignored);
}

awaitable<bool> CallerBacklog::drained()
{
    auto self = shared_from_this();
    boost::system::error_code ignored; // the wait ends when it is cancelled
    while (!m_blocks.empty()) {
        m_ended.expires_at(boost::asio::steady_timer::time_point::max());
        co_await m_ended.async_wait(redirect_error(use_awaitable, ignored));
    }
    co_return !m_isLost;
}

} // namespace wisteriayard
