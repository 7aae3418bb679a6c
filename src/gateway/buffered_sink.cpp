#include "buffered_sink.h"

#include <climits>
#include <string_view>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace wisteriayard {

namespace {

    /// Longest wait for standard output to become writable at process exit.
    constexpr int exitWaitMilliseconds = 200;

    /// Number of bytes for the next write: complete lines of at most PIPE_BUF bytes in total, because a pipe accepts
    /// such a write completely or not at all and so never splits a line. A longer first line is written alone.
    std::size_t writableBytes(std::string_view pending)
    {
        if (pending.size() <= PIPE_BUF)
            return pending.size();
        std::size_t end = pending.rfind('\n', PIPE_BUF - 1);
        if (end == std::string_view::npos)
            end = pending.find('\n');
        return end + 1;
    }

} // namespace

BufferedSink::BufferedSink(std::size_t capacity)
    : m_capacity(capacity)
{
    int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void BufferedSink::sink_it_(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (m_pending.size() + line.size() > m_capacity) {
        ++m_dropped;
        return;
    }
    m_pending.append(line.data(), line.size());
}

void BufferedSink::write()
{
    std::size_t written = 0;
    while (written < m_pending.size()) {
        std::string_view rest = std::string_view(m_pending).substr(written);
        ssize_t result = ::write(STDOUT_FILENO, rest.data(), writableBytes(rest));
        if (result <= 0)
            break; // standard output is full; the next call continues
        written += static_cast<std::size_t>(result);
    }
    m_pending.erase(0, written);
}

void BufferedSink::drain()
{
    std::lock_guard lock(mutex_);
    write();
}

void BufferedSink::drainAtExit()
{
    std::lock_guard lock(mutex_);
    write();
    pollfd output { STDOUT_FILENO, POLLOUT, 0 };
    if (!m_pending.empty() && ::poll(&output, 1, exitWaitMilliseconds) > 0)
        write();
}

} // namespace wisteriayard
