#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriayard {

/// One event of a `text/event-stream` body.
struct StreamEvent {
    /// All bytes of the event with the empty line that ends it.
    std::string text;
    std::optional<std::int64_t> id;
};

/// Splits the body of an event stream into whole events. No input or output.
class EventStream {
public:
    /// Adds bytes of the body.
    void feed(std::string_view bytes) { m_pending += bytes; }
    /// Takes the next whole event.
    std::optional<StreamEvent> next();
    /// Bytes after the last whole event.
    const std::string& rest() const { return m_pending; }

private:
    std::string m_pending;
};

} // namespace wisteriayard
