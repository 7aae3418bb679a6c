#include "wisteriayard/membership.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// Shorter than the grace period after an outage, so that an entry is registered again before it ends.
    constexpr Duration registrationRetryInterval = std::chrono::seconds(1);

} // namespace

Duration registrationCallDelay(RegistrationState state)
{
    switch (state) {
    case RegistrationState::Confirmed:
        return registrationRenewalInterval;
    case RegistrationState::Lapsed:
        return Duration(0);
    case RegistrationState::Unconfirmed:
        break;
    }
    return registrationRetryInterval;
}

void Membership::storeContacted(TimePoint at)
{
    if (m_lastContact && at <= *m_lastContact)
        return;
    if (!m_contactSince)
        m_contactSince = at;
    if (m_lastContact && at - *m_lastContact >= m_times.outageThreshold) {
        m_graceEnd = at + m_times.returnGracePeriod;
        m_outageStart = *m_lastContact;
        m_contactSince = at;
    }
    m_lastContact = at;
}

void Membership::storeWasUpSince(TimePoint since, TimePoint now)
{
    if (now >= m_graceEnd || since > m_outageStart)
        return;
    m_graceEnd = now;
    for (auto& [id, until] : m_lapsed)
        until = std::max(now, m_restorationGraceEnd);
}

void Membership::storeRestored(TimePoint now)
{
    m_restorationGraceEnd = now + m_times.returnGracePeriod;
    m_restoredListSettles = now + m_times.restoredListSettling;
}

void Membership::departed(const EndpointId& id, Incarnation incarnation, TimePoint now)
{
    std::erase_if(m_departures, [&](const auto& each) { return now - each.second.at > m_times.departureRetention; });
    m_departures[id] = { incarnation, now };
}

bool Membership::hasDeparted(const EndpointId& id, Incarnation incarnation) const
{
    auto departure = m_departures.find(id);
    return departure != m_departures.end() && incarnation <= departure->second.incarnation;
}

bool Membership::registrationListed(const EndpointId& id, Incarnation incarnation)
{
    m_members.insert(id);
    m_lapsed.erase(id);
    m_departures.erase(id);
    auto leaving = m_leaving.find(id);
    if (leaving == m_leaving.end())
        return true;
    if (leaving->second.incarnation == incarnation)
        return false;
    m_leaving.erase(leaving);
    return true;
}

void Membership::shutdownAnnounced(const EndpointId& id, Incarnation incarnation, TimePoint now)
{
    std::erase_if(
        m_leaving, [&](const auto& each) { return now - each.second.announcedAt > m_times.leavingRetention; });
    auto known = m_leaving.find(id);
    // A late response of a former incarnation must not replace the announcement of a later one.
    if (known == m_leaving.end() || known->second.incarnation < incarnation)
        m_leaving[id] = { incarnation, now };
}

bool Membership::registrationRemoved(const EndpointId& id, TimePoint now)
{
    if (m_members.count(id) == 0)
        return false;
    TimePoint graceEnd = std::max(m_graceEnd, m_restorationGraceEnd);
    if (now < graceEnd) {
        m_lapsed.emplace(id, graceEnd);
        return false;
    }
    m_members.erase(id);
    m_lapsed.erase(id);
    return true;
}

std::vector<EndpointId> Membership::removeLapsed(TimePoint now)
{
    std::vector<EndpointId> removed;
    for (const auto& [id, until] : m_lapsed) {
        if (until <= now)
            removed.push_back(id);
    }
    for (const EndpointId& id : removed) {
        m_lapsed.erase(id);
        m_members.erase(id);
    }
    return removed;
}

} // namespace wisteriayard
