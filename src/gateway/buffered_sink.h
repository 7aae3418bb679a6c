#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace wisteriayard {

/// Log sink that never blocks: lines are kept in a bounded buffer and written to standard output by drain(). Lines that
/// find the buffer full are dropped and counted.
class BufferedSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    /// @param capacity bytes that are kept at most
    explicit BufferedSink(std::size_t capacity);

    /// Writes what standard output takes without blocking.
    void drain();
    /// Waits until everything is written, for the end of the process.
    void drainAtExit();
    /// Lines dropped so far.
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
