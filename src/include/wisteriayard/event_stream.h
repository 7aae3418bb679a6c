#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriayard {

/// One event of a `text/event-stream` body.
struct StreamEvent {
    /// Raw bytes of the event, including the terminating empty line.
    std::string text;
    std::optional<std::int64_t> id;
};

/// Incremental parser that splits the body of an event stream into complete events. Performs no I/O.
class EventStream {
public:
    /// Events of model services take a few hundred bytes. The limit bounds the memory if a faulty endpoint never
    /// terminates an event.
    static constexpr std::size_t maxEventBytes = 256 * 1024;

    /// Appends bytes of the body.
    void feed(std::string_view bytes) { m_pending += bytes; }
    /// Extracts the next complete event, if there is one.
    std::optional<StreamEvent> next();
    /// Whether the incomplete event exceeds the size limit.
    bool isOversized() const { return m_pending.size() > maxEventBytes; }
    /// Bytes of the incomplete event at the end of the input.
    const std::string& pendingBytes() const { return m_pending; }

private:
    std::string m_pending;
};

} // namespace wisteriayard
