#include "wisteriayard/usage.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    void add(UsageLines& lines, const UsageLines& other)
    {
        for (const auto& [key, figures] : other)
            lines[key] += figures;
    }

    /// What lines hold beyond counted.
    UsageLines difference(const UsageLines& lines, const UsageLines& counted)
    {
        UsageLines rest = lines;
        for (const auto& [key, figures] : counted)
            rest[key] -= figures;
        std::erase_if(rest, [](const auto& line) { return line.second == UsageFigures(); });
        return rest;
    }

} // namespace

UsageFigures& UsageFigures::operator+=(const UsageFigures& other)
{
    requests += other.requests;
    prompt += other.prompt;
    cached += other.cached;
    output += other.output;
    endpoint += other.endpoint;
    return *this;
}

UsageFigures& UsageFigures::operator-=(const UsageFigures& other)
{
    requests -= other.requests;
    prompt -= other.prompt;
    cached -= other.cached;
    output -= other.output;
    endpoint -= other.endpoint;
    return *this;
}

UsageLedger::UsageLedger(IncarnationId self)
    : m_self(std::move(self))
{
}

UsageLedger::Window& UsageLedger::openWindow(WindowId window)
{
    // A wall clock that was set back must not reopen a window whose parts are settled.
    if (m_settled && window <= *m_settled)
        window = *m_settled + WindowId(1);
    return m_windows[window];
}

void UsageLedger::count(WindowId window, const UsageKey& key, const UsageFigures& figures)
{
    openWindow(window).content.lines[key] += figures;
}

std::optional<UsagePart> UsageLedger::nextPart(WindowId id)
{
    auto it = m_windows.find(id);
    if (it == m_windows.end())
        return std::nullopt;
    Window& window = it->second;
    auto last = window.written.find(window.sequence);
    bool changed = last == window.written.end() || last->second != window.content;
    if (!changed && window.stored == window.sequence)
        return std::nullopt;
    if (changed)
        window.written[++window.sequence] = window.content;
    return UsagePart { window.sequence, window.content };
}

void UsageLedger::partStored(WindowId id, std::uint64_t sequence)
{
    auto it = m_windows.find(id);
    if (it != m_windows.end())
        it->second.stored = std::max(it->second.stored, sequence);
}

std::int64_t UsageLedger::settle(const UsageFinal& final, WindowId open)
{
    auto record = final.counted.find(m_self);
    std::optional<std::uint64_t> counted;
    if (record != final.counted.end())
        counted = record->second;
    return settle(final.window, counted, open);
}

std::int64_t UsageLedger::settle(WindowId id, std::optional<std::uint64_t> sequence, WindowId open)
{
    auto it = m_windows.find(id);
    if (it == m_windows.end())
        return 0;
    Window window = std::move(it->second);
    m_windows.erase(it);
    m_settled = std::max(m_settled.value_or(id), id);
    UsageContent counted;
    if (sequence)
        counted = window.written[*sequence];
    std::int64_t requests = 0;
    auto carry = [&](WindowId arose, const UsageLines& rest) {
        if (rest.empty())
            return;
        for (const auto& [key, figures] : rest)
            requests += figures.requests;
        add(openWindow(open).content.late[arose], rest);
    };
    carry(id, difference(window.content.lines, counted.lines));
    for (const auto& [arose, lines] : window.content.late)
        carry(arose, difference(lines, counted.late[arose]));
    return requests;
}

void UsageLedger::drop(WindowId window)
{
    m_windows.erase(window);
    m_settled = std::max(m_settled.value_or(window), window);
}

std::vector<WindowId> UsageLedger::windows() const
{
    std::vector<WindowId> ids;
    for (const auto& [id, window] : m_windows)
        ids.push_back(id);
    return ids;
}

UsageFinal makeUsageFinal(WindowId window, const std::map<IncarnationId, UsagePart>& parts)
{
    UsageFinal final;
    final.window = window;
    for (const auto& [entry, part] : parts) {
        final.counted[entry] = part.sequence;
        add(final.content.lines, part.content.lines);
        for (const auto& [arose, lines] : part.content.late)
            add(final.content.late[arose], lines);
    }
    return final;
}

} // namespace wisteriayard
