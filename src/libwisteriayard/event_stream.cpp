#include "wisteriayard/event_stream.h"

#include <charconv>

namespace wisteriayard {

namespace {

    /// Returns the position after the empty line that ends the first event, or npos.
    std::size_t eventEnd(std::string_view text)
    {
        std::size_t lineStart = 0;
        while (true) {
            std::size_t lineEnd = text.find('\n', lineStart);
            if (lineEnd == std::string_view::npos)
                return std::string_view::npos;
            std::string_view line = text.substr(lineStart, lineEnd - lineStart);
            if (line.empty() || line == "\r")
                return lineEnd + 1;
            lineStart = lineEnd + 1;
        }
    }

    std::optional<std::int64_t> eventId(std::string_view text)
    {
        constexpr std::string_view field = "id:";
        std::size_t start = text.substr(0, field.size()) == field ? 0 : text.find("\nid:");
        if (start == std::string_view::npos)
            return std::nullopt;
        start = text.find(':', start) + 1;
        while (start < text.size() && text[start] == ' ')
            ++start;
        std::int64_t id = 0;
        auto result = std::from_chars(text.data() + start, text.data() + text.size(), id);
        if (result.ec != std::errc())
            return std::nullopt;
        return id;
    }

} // namespace

std::optional<StreamEvent> EventStream::next()
{
    std::size_t end = eventEnd(m_pending);
    if (end == std::string_view::npos)
        return std::nullopt;
    StreamEvent event;
    event.text = m_pending.substr(0, end);
    event.id = eventId(event.text);
    m_pending.erase(0, end);
    return event;
}

} // namespace wisteriayard
