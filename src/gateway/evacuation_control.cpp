#include "evacuation_control.h"

#include "clock.h"
#include "wisteriayard/store_numbers.h"

namespace wisteriayard {

namespace {

    /// Source of the end of an evacuation that a restored store lacks.
    constexpr std::string_view restorationSource = "restoration";

} // namespace

EvacuationControl::EvacuationControl(GatewayState& state)
    : m_state(state)
{
    m_state.metrics.setEvacuatedZones(0);
}

std::optional<ZoneId> EvacuationControl::zoneOf(const std::string& key) const
{
    std::string prefix = m_state.platform.evacuationPrefix();
    if (!key.starts_with(prefix) || key.size() == prefix.size())
        return std::nullopt;
    return ZoneId(key.substr(prefix.size()));
}

void EvacuationControl::replace(const StoreRange& range, const ChangeOrigin& origin, TimePoint now)
{
    std::set<ZoneId> requested;
    for (const StoreItem& item : range.items) {
        if (auto zone = zoneOf(item.key))
            requested.insert(*zone);
    }
    m_evacuations.replace(requested, eraOf(range.revision), now);
    publish(changeSourceName(origin.source), origin.unconfirmedFor);
}

void EvacuationControl::apply(const WatchBatch& batch, const ChangeOrigin& origin, TimePoint now)
{
    std::vector<EvacuationChange> changes;
    for (const StoreItem& item : batch.items) {
        if (auto zone = zoneOf(item.key))
            changes.push_back({ *zone, item.value.empty() });
    }
    m_evacuations.apply(changes, eraOf(batch.revision), now);
    publish(changeSourceName(origin.source), origin.unconfirmedFor);
}

void EvacuationControl::expire(TimePoint now)
{
    m_evacuations.expire(now);
    publish(restorationSource, std::nullopt);
}

void EvacuationControl::publish(std::string_view source, const std::optional<Duration>& maxDelay)
{
    const auto& current = m_evacuations.zones();
    if (current == m_published)
        return;
    auto former = std::exchange(m_published, current);
    std::set<ZoneId> zones;
    for (const auto& [zone, graceEnd] : current)
        zones.insert(zone);
    // The changes may have been confirmed a while ago, but the endpoints get requests from the present on.
    m_state.directory.setEvacuatedZones(zones, bootTimeNow());
    m_state.metrics.setEvacuatedZones(zones.size());
    for (const auto& [zone, graceEnd] : current) {
        auto known = former.find(zone);
        if (known == former.end())
            logStart(zone, source, maxDelay);
        else if (graceEnd && graceEnd != known->second)
            m_state.log->write(Event::ZoneEvacuationKept,
                { { "zone", zone.value() }, { "kept_ms", m_evacuations.restorationGrace().count() / 1000 } });
    }
    for (const auto& [zone, graceEnd] : former) {
        if (zones.count(zone) == 0)
            m_state.log->write(Event::ZoneEvacuationWithdrawn, { { "zone", zone.value() }, { "source", source } });
    }
}

void EvacuationControl::logStart(const ZoneId& zone, std::string_view source, const std::optional<Duration>& maxDelay)
{
    nlohmann::json endpoints;
    if (m_state.directory.isLoaded())
        endpoints = m_state.directory.sizeOf(zone);
    m_state.log->write(Event::ZoneEvacuated,
        { { "zone", zone.value() }, { "known", m_state.settings.zones.count(zone) > 0 }, { "source", source },
            { "endpoints", endpoints },
            { "max_delay_ms", maxDelay ? nlohmann::json(maxDelay->count() / 1000) : nlohmann::json() } });
}

nlohmann::json EvacuationControl::zonesField() const
{
    nlohmann::json field = nlohmann::json::array();
    for (const auto& [zone, graceEnd] : m_published)
        field.push_back(zone.value());
    return field;
}

} // namespace wisteriayard
