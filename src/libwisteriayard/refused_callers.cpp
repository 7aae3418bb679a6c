#include "wisteriayard/refused_callers.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    /// Retry-After is stated in hundredths of a second, and reports to other entries take some milliseconds.
    constexpr Duration tolerance = std::chrono::milliseconds(20);
    /// Longest retry time that another entry can report.
    constexpr Duration maxReportedTime = std::chrono::seconds(60);
    /// Fraction of the golden ratio: its multiples modulo 1 are spread evenly for any number of callers.
    constexpr double spreadStep = 0.618033988749895;

} // namespace

const RefusedCallers::Record* RefusedCallers::find(SegmentTag segment, TimePoint now) const
{
    auto known = m_index.find(segment);
    if (known == m_index.end())
        return nullptr;
    const Record& record = m_records.at(known->second);
    return now < record.retryAt + lifetime ? &record : nullptr;
}

RefusedCallers::Record& RefusedCallers::put(SegmentTag segment, TimePoint retryAt, TimePoint now)
{
    if (find(segment, now)) {
        Record& record = m_records.at(m_index.at(segment));
        record.retryAt = retryAt;
        return record;
    }
    placed(segment);
    while (!m_records.empty()) {
        const Record& oldest = m_records.begin()->second;
        bool isExpired = now >= oldest.retryAt + lifetime;
        if (!isExpired && m_records.size() < m_capacity)
            break;
        m_index.erase(oldest.segment);
        m_records.erase(m_records.begin());
    }
    m_index[segment] = m_next;
    return m_records[m_next++] = Record { segment, retryAt, 0 };
}

bool RefusedCallers::isDue(SegmentTag segment, TimePoint now) const
{
    const Record* record = find(segment, now);
    return record && now + tolerance >= record->retryAt;
}

int RefusedCallers::refusals(SegmentTag segment, TimePoint now) const
{
    const Record* record = find(segment, now);
    return record ? record->refusals : 0;
}

TimePoint RefusedCallers::refused(SegmentTag segment, TimePoint retryAt, TimePoint now)
{
    const Record* known = find(segment, now);
    bool isEarly = known && !isDue(segment, now);
    Record& record = put(segment, isEarly ? known->retryAt : retryAt, now);
    ++record.refusals;
    if (isEarly)
        return record.retryAt;
    if (m_unreported.size() >= m_capacity)
        m_unreported.pop_front();
    m_unreported.push_back(segment);
    return record.retryAt;
}

void RefusedCallers::placed(SegmentTag segment)
{
    auto known = m_index.find(segment);
    if (known == m_index.end())
        return;
    m_records.erase(known->second);
    m_index.erase(known);
}

std::vector<ReturningCaller> RefusedCallers::takeReport(TimePoint now)
{
    std::vector<ReturningCaller> report;
    while (!m_unreported.empty() && report.size() < maxReported) {
        if (const Record* record = find(m_unreported.front(), now))
            report.push_back({ record->segment, std::max(Duration(0), record->retryAt - now) });
        m_unreported.pop_front();
    }
    return report;
}

void RefusedCallers::applyReport(const std::vector<ReturningCaller>& report, TimePoint now)
{
    for (std::size_t i = 0; i < std::min(report.size(), maxReported); ++i) {
        Duration in = std::clamp(report[i].in, Duration(0), maxReportedTime);
        Record& record = put(report[i].segment, now + in, now);
        record.refusals = std::max(1, record.refusals);
    }
}

void ReturnBudget::recordWork(Duration work)
{
    m_left = std::min(most, m_left + scaled(std::max(Duration(0), work), m_share));
}

bool ReturnBudget::tryTake(Duration work, bool leavesHalf)
{
    if (m_left <= (leavesHalf ? most / 2 : Duration(0)))
        return false;
    m_left -= work;
    return true;
}

Duration ReturnTimes::next(Duration earliest, Duration spacing, Duration longest, TimePoint now)
{
    if (earliest >= longest)
        return longest;
    TimePoint at = std::max(m_next, now + earliest);
    if (at <= now + longest) {
        m_next = at + spacing;
        return at - now;
    }
    // The capacity until then is already promised, so that only a part of the following callers can be served.
    m_position = std::fmod(m_position + spreadStep, 1.0);
    return earliest + scaled(longest - earliest, m_position);
}

} // namespace wisteriayard
