#include "wisteriayard/membership.h"

namespace wisteriayard {

void Membership::heard(TimePoint at)
{
    if (m_lastHeard && at <= *m_lastHeard)
        return;
    if (!m_contactSince)
        m_contactSince = at;
    if (m_lastHeard && at - *m_lastHeard >= m_times.outage) {
        m_graceEnds = at + m_times.returnGrace;
        m_outageBegan = *m_lastHeard;
        m_contactSince = at;
    }
    m_lastHeard = at;
}

void Membership::storeWasUpSince(TimePoint since, TimePoint now)
{
    if (now >= m_graceEnds || since > m_outageBegan)
        return;
    m_graceEnds = now;
    for (auto& [id, until] : m_lapsed)
        until = now;
}

bool Membership::listed(const EndpointId& id, Incarnation incarnation)
{
    m_members.insert(id);
    m_lapsed.erase(id);
    auto leaving = m_leaving.find(id);
    if (leaving == m_leaving.end())
        return true;
    if (leaving->second.incarnation == incarnation)
        return false;
    m_leaving.erase(leaving);
    return true;
}

void Membership::saidToLeave(const EndpointId& id, Incarnation incarnation, TimePoint now)
{
    std::erase_if(m_leaving, [&](const auto& each) { return now - each.second.saidAt > m_times.leavingMemory; });
    auto known = m_leaving.find(id);
    // A late answer of a former incarnation does not end what a later one said.
    if (known == m_leaving.end() || known->second.incarnation < incarnation)
        m_leaving[id] = { incarnation, now };
}

bool Membership::unlisted(const EndpointId& id, TimePoint now)
{
    if (m_members.count(id) == 0)
        return false;
    if (now < m_graceEnds) {
        m_lapsed.emplace(id, m_graceEnds);
        return false;
    }
    m_members.erase(id);
    m_lapsed.erase(id);
    return true;
}

std::vector<EndpointId> Membership::due(TimePoint now)
{
    std::vector<EndpointId> left;
    for (const auto& [id, until] : m_lapsed) {
        if (until <= now)
            left.push_back(id);
    }
    for (const EndpointId& id : left) {
        m_lapsed.erase(id);
        m_members.erase(id);
    }
    return left;
}

} // namespace wisteriayard
