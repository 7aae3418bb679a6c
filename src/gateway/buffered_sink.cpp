#include "buffered_sink.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace wisteriayard {

namespace {

    /// Longest wait for a reader of standard output at the end of the process, in milliseconds.
    constexpr int exitWaitMilliseconds = 200;

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
        ssize_t result = ::write(STDOUT_FILENO, m_pending.data() + written, m_pending.size() - written);
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
