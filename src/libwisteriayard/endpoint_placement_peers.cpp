// EndpointPlacement: reports to and from other entries.
#include "wisteriayard/endpoint_placement.h"

#include <utility>

namespace wisteriayard {

std::optional<std::size_t> EndpointPlacement::indexOf(const EndpointId& id) const
{
    auto known = m_index.find(id);
    return known == m_index.end() ? std::nullopt : std::optional(known->second);
}

void EndpointPlacement::addToSums(const PeerLoad& report)
{
    for (const ReportedUse& each : report.use) {
        if (each.index)
            m_states[*each.index].peers += each.use;
    }
}

void EndpointPlacement::removeFromSums(const PeerLoad& report)
{
    for (const ReportedUse& each : report.use) {
        if (each.index)
            m_states[*each.index].peers -= each.use;
    }
}

void EndpointPlacement::sumPeerLoads(TimePoint now)
{
    // Summing up all reports for each placement took half of its instructions in a fleet of 50 entries.
    std::erase_if(m_peerLoads, [&](const auto& each) {
        bool isExpired = now - each.second.receivedAt > m_policy.peerLoadLifetime;
        if (isExpired && !m_peerSumsStale)
            removeFromSums(each.second);
        return isExpired;
    });
    if (!std::exchange(m_peerSumsStale, false))
        return;
    for (State& state : m_states)
        state.peers = {};
    for (auto& [peer, report] : m_peerLoads) {
        for (ReportedUse& each : report.use)
            each.index = indexOf(each.id);
        addToSums(report);
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
    PeerLoad& report = m_peerLoads[peer];
    if (!m_peerSumsStale)
        removeFromSums(report);
    report.receivedAt = now;
    report.use.resize(use.size());
    auto row = report.use.begin();
    for (const auto& [id, reported] : use) {
        row->id = id;
        row->index = indexOf(id);
        row->use = reported;
        ++row;
    }
    if (!m_peerSumsStale)
        addToSums(report);
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
