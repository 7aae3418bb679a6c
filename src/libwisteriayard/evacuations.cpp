#include "wisteriayard/evacuations.h"

#include <iterator>

namespace wisteriayard {

bool Evacuations::observeEra(StoreEra era, TimePoint now)
{
    bool restored = m_era && era > *m_era;
    m_era = era;
    if (!restored)
        return false;
    for (auto& [zone, graceEnd] : m_zones) {
        if (graceEnd)
            graceEnd = now + m_restorationGrace;
    }
    return true;
}

void Evacuations::replace(const std::set<ZoneId>& requested, StoreEra era, TimePoint now)
{
    bool restored = observeEra(era, now);
    for (auto each = m_zones.begin(); each != m_zones.end();) {
        auto& [zone, graceEnd] = *each;
        bool isMissing = requested.count(zone) == 0;
        if (isMissing && restored)
            graceEnd = now + m_restorationGrace;
        each = isMissing && !graceEnd ? m_zones.erase(each) : std::next(each);
    }
    for (const ZoneId& zone : requested)
        m_zones[zone] = std::nullopt;
}

void Evacuations::apply(const std::vector<EvacuationChange>& changes, StoreEra era, TimePoint now)
{
    if (m_era && era < *m_era)
        return;
    bool restored = observeEra(era, now);
    for (const EvacuationChange& change : changes) {
        auto known = m_zones.find(change.zone);
        if (!change.removed)
            m_zones[change.zone] = std::nullopt;
        else if (restored && known != m_zones.end())
            known->second = now + m_restorationGrace;
        else
            m_zones.erase(change.zone);
    }
}

void Evacuations::expire(TimePoint now)
{
    std::erase_if(m_zones, [now](const auto& each) { return each.second && *each.second <= now; });
}

} // namespace wisteriayard
