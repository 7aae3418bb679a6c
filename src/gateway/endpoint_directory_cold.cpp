// EndpointDirectory: endpoints that accept few requests because they are cold.
#include "endpoint_directory.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// Difference between the wall clocks of endpoints and entries that is allowed for.
    constexpr std::chrono::milliseconds clockTolerance { 2000 };

    nlohmann::json coldFields(const EndpointId& id, const ColdStart* cold, TimePoint now)
    {
        nlohmann::json fields { { "endpoint", id.value() }, { "cold", cold != nullptr } };
        if (!cold)
            return fields;
        fields["left_ms"] = (cold->end() - now).count() / 1000;
        fields["per_second"] = rateField(cold->perSecond());
        fields["share_per_second"] = rateField(cold->share());
        fields["holders"] = cold->holders();
        return fields;
    }

} // namespace

ColdPolicy EndpointDirectory::coldPolicy(const TargetId& target) const
{
    auto known = m_targets.find(target);
    if (known == m_targets.end())
        return {};
    return { known->second.warmup, known->second.coldPerSecond, m_settings.coldExcess, m_settings.coldSlack };
}

std::optional<TimePoint> EndpointDirectory::latestStart(const EndpointRecord& record, TimePoint now) const
{
    if (record.incarnation.value() <= 0) {
        // It states no start. What is in the first complete read may have been there for long.
        return m_loaded ? std::optional(now) : std::nullopt;
    }
    std::int64_t age = m_wallClock(now) - record.incarnation.value() - clockTolerance.count();
    // Endpoints that are older than the longest cold time are alike.
    constexpr auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(maxColdTime);
    return now - std::chrono::milliseconds(std::clamp<std::int64_t>(age, 0, longest.count()));
}

void EndpointDirectory::recordCold(const EndpointRecord& record, bool isNew, Revision revision, TimePoint now)
{
    EndpointPlacement& endpoints = placement(record.target);
    if (isNew)
        endpoints.recordStart(record.id, latestStart(record, now), now);
    bool isChange = std::exchange(m_coldRevisions[record.id], revision) != revision;
    if (record.coldTime && (isNew || isChange))
        endpoints.recordColdTime(record.id, *record.coldTime, now);
    bool isSameProblem = std::exchange(m_coldProblems[record.id], record.coldTimeProblem) == record.coldTimeProblem;
    if (isSameProblem || record.coldTimeProblem.empty() || !endpoints.coldPolicy().isEnabled())
        return;
    m_log->write(Event::EndpointFieldInvalid,
        { { "endpoint", record.id.value() }, { "field", "cold_time" }, { "problem", record.coldTimeProblem } });
}

void EndpointDirectory::setZoneCold(const ZoneId& zone, TimePoint now)
{
    for (const auto& [id, record] : m_records) {
        if (record.zone == zone)
            placement(record.target).setCold(id, now);
    }
}

void EndpointDirectory::confirmShares(TimePoint until, TimePoint now)
{
    for (auto& [target, placement] : m_placements)
        placement->confirmShares(until, now);
}

void EndpointDirectory::updateCold(TimePoint now)
{
    std::set<EndpointId> cold;
    bool isUsed = false;
    for (auto& [target, placement] : m_placements) {
        placement->setColdPolicy(coldPolicy(target), now);
        isUsed = isUsed || placement->coldPolicy().perSecond.value() > 0;
        for (const auto& [id, state] : placement->coldEndpoints(now)) {
            cold.insert(id);
            if (m_loggedCold.count(id) == 0)
                m_log->write(Event::EndpointColdChanged, coldFields(id, state, now));
        }
    }
    for (const EndpointId& id : m_loggedCold) {
        if (cold.count(id) == 0 && record(id))
            m_log->write(Event::EndpointColdChanged, coldFields(id, nullptr, now));
    }
    m_loggedCold = std::move(cold);
    bool usesShares = isUsed && m_limitEntries.active && m_limitEntries.exclusive;
    if (std::exchange(m_loggedColdShares, usesShares) != usesShares)
        m_log->write(
            Event::ColdSharesChanged, { { "entries", m_limitEntries.regions.size() }, { "active", usesShares } });
}

} // namespace wisteriayard
