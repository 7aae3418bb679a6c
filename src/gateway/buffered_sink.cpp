#include "buffered_sink.h"

#include <climits>
#include <string_view>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace wisteriayard {

namespace {

    /// Longest wait for a reader of standard output at the end of the process, in milliseconds.
    constexpr int exitWaitMilliseconds = 200;

    /// Bytes of the whole lines that one write takes: up to PIPE_BUF, so that a pipe takes all or nothing of them and
    /// never splits a line.
    std::size_t wholeLines(std::string_view pending)
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
        ssize_t result = ::write(STDOUT_FILENO, rest.data(), wholeLines(rest));
        if (result <= 0)
            break; // the reader is behind; the rest is tried again
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
