#include "wisteriayard/membership.h"

namespace wisteriayard {

void Membership::heard(TimePoint now)
{
    if (m_lastHeard && now - *m_lastHeard >= m_times.outage)
        m_graceEnds = now + m_times.returnGrace;
    m_lastHeard = now;
}

void Membership::listed(const EndpointId& id)
{
    m_members.insert(id);
    m_lapsed.erase(id);
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
