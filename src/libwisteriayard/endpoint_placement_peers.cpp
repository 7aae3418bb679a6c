// EndpointPlacement: reports to and from other entries.
#include "wisteriayard/endpoint_placement.h"

namespace wisteriayard {

void EndpointPlacement::sumPeerLoads(TimePoint now)
{
    for (State& state : m_states)
        state.peers = {};
    std::erase_if(
        m_peerLoads, [&](const auto& each) { return now - each.second.receivedAt > m_policy.peerLoadLifetime; });
    for (const auto& [peer, report] : m_peerLoads) {
        for (const auto& [id, use] : report.use) {
            auto known = m_index.find(id);
            if (known == m_index.end())
                continue;
            m_states[known->second].peers += use;
        }
    }
}

std::map<EndpointId, EndpointUse> EndpointPlacement::ownUse() const
{
    std::map<EndpointId, EndpointUse> use;
    for (const auto& [id, index] : m_index) {
        if (m_states[index].own.running > 0)
            use[id] = m_states[index].own;
        if (m_enforcesMemory && m_states[index].own.running > 0)
            use[id].memoryTokens = m_states[index].memory.own();
    }
    return use;
}

void EndpointPlacement::updatePeerUse(
    const InstanceId& peer, const std::map<EndpointId, EndpointUse>& use, TimePoint now)
{
    m_peerLoads[peer] = { use, now };
    recordPeerMemory(peer, use, now);
}

void EndpointPlacement::applyCacheHints(const std::map<EndpointId, std::vector<SegmentTag>>& hints, TimePoint now)
{
    for (const auto& [id, segments] : hints) {
        auto known = m_index.find(id);
        if (known == m_index.end())
            continue;
        for (SegmentTag segment : segments)
            m_states[known->second].cachedSegments.recordPeerUse(segment, now);
    }
}

} // namespace wisteriayard
