#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace wisteriayard {

/// Non-blocking log sink: lines are stored in a bounded buffer that drain() writes to standard output. Lines that don't
/// fit into the buffer are dropped and counted.
class BufferedSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    /// @param capacity size of the buffer in bytes
    explicit BufferedSink(std::size_t capacity);

    /// Writes as much of the buffer as standard output accepts without blocking.
    void drain();
    /// Writes the buffer at process exit, and waits a limited time for standard output if it is not writable.
    void drainAtExit();
    /// Number of lines dropped so far.
    std::uint64_t dropped() const { return m_dropped; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override { }

private:
    void write();

    std::size_t m_capacity;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
};

} // namespace wisteriayard
