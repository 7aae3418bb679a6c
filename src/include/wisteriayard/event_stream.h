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
    /// Events of model services take some hundred bytes; an endpoint in trouble may send one without an end.
    static constexpr std::size_t mostEventBytes = 256 * 1024;

    /// Adds bytes of the body.
    void feed(std::string_view bytes) { m_pending += bytes; }
    /// Takes the next whole event.
    std::optional<StreamEvent> next();
    /// The event that has begun is larger than any event may be.
    bool isOversized() const { return m_pending.size() > mostEventBytes; }
    /// Bytes after the last whole event.
    const std::string& rest() const { return m_pending; }

private:
    std::string m_pending;
};

} // namespace wisteriayard
