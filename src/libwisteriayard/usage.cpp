#include "wisteriayard/usage.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    void add(UsageLines& lines, const UsageLines& other)
    {
        for (const auto& [key, figures] : other)
            lines[key] += figures;
    }

    /// Returns the usage in lines that is not included in counted.
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
    endpointTime += other.endpointTime;
    return *this;
}

UsageFigures& UsageFigures::operator-=(const UsageFigures& other)
{
    requests -= other.requests;
    prompt -= other.prompt;
    cached -= other.cached;
    output -= other.output;
    endpointTime -= other.endpointTime;
    return *this;
}

UsageLedger::UsageLedger(IncarnationId self)
    : m_self(std::move(self))
{
}

UsageLedger::Window& UsageLedger::openWindow(WindowId window)
{
    // A wall clock that was set back must not reopen a settled window.
    if (m_settled && window <= *m_settled)
        window = *m_settled + WindowId(1);
    return m_windows[window];
}

void UsageLedger::count(WindowId window, const UsageKey& key, const UsageFigures& figures)
{
    openWindow(window).content.lines[key] += figures;
}

std::optional<PartialUsageRecord> UsageLedger::nextPartialRecord(WindowId id)
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
    return PartialUsageRecord { window.sequence, window.content };
}

void UsageLedger::partialRecordStored(WindowId id, std::uint64_t sequence)
{
    auto it = m_windows.find(id);
    if (it != m_windows.end())
        it->second.stored = std::max(it->second.stored, sequence);
}

void UsageLedger::partialRecordsLost()
{
    for (auto& [id, window] : m_windows)
        window.stored = 0;
}

std::int64_t UsageLedger::settle(const FinalUsageRecord& final, WindowId open)
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

std::int64_t requestCount(const UsageContent& content)
{
    std::int64_t count = 0;
    for (const auto& [key, figures] : content.lines)
        count += figures.requests;
    return count;
}

FinalUsageRecord makeFinalUsageRecord(WindowId window, const std::map<IncarnationId, PartialUsageRecord>& records)
{
    FinalUsageRecord final;
    final.window = window;
    for (const auto& [entry, record] : records) {
        final.counted[entry] = record.sequence;
        add(final.content.lines, record.content.lines);
        for (const auto& [arose, lines] : record.content.late)
            add(final.content.late[arose], lines);
    }
    return final;
}

} // namespace wisteriayard
