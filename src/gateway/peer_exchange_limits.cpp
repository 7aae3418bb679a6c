// PeerExchange: the entries among which the rates that endpoints accept are divided.
#include "peer_exchange.h"

#include <algorithm>

namespace wisteriayard {

PeerContact PeerExchange::peerContact(TimePoint now) const
{
    PeerContact contact;
    for (const auto& [instance, peer] : m_peers)
        contact.add(isLive(peer, now), peer.reachesStore);
    return contact;
}

void PeerExchange::updateLimitEntries(TimePoint now)
{
    std::erase_if(m_missingPeers, [now](const auto& each) { return now - each.second.since >= missingPeerGrace; });
    if (m_activation.hasRead())
        updateEntryCount();
    LimitEntries entries;
    entries.self = m_state.settings.instance;
    bool isRegistered = !m_leaving && m_lease.value() != 0;
    PeerContact contact = peerContact(now);
    entries.active = isRegistered && m_activation.isActive(contact, now);
    TimePoint exclusiveUntil = m_activation.updateExclusive(contact, now);
    entries.exclusive = isRegistered && now < exclusiveUntil;
    if (!m_leaving)
        entries.regions[entries.self] = m_state.settings.region;
    for (const auto& [instance, peer] : m_peers) {
        if (!peer.leaving)
            entries.regions[instance] = peer.region;
    }
    for (const auto& [instance, peer] : m_missingPeers)
        entries.regions[instance] = peer.region;
    if (entries != m_limitEntries) {
        m_limitEntries = std::move(entries);
        m_state.directory.setLimitEntries(m_limitEntries, now);
    }
    m_state.directory.confirmShares(m_limitEntries.exclusive ? exclusiveUntil : TimePoint(), now);
}

void PeerExchange::passOnCredit(TimePoint now)
{
    std::vector<const Peer*> receivers;
    for (const auto& [instance, peer] : m_peers) {
        if (isInSameRegion(peer) && isLive(peer, now) && !peer.loads.endpoints.empty())
            receivers.push_back(&peer);
    }
    if (receivers.empty())
        return;
    for (EndpointTag endpoint : m_state.directory.takeUnusedCredit(now))
        send(encodePeerMessage(PeerLimitCredit { endpoint }), *receivers[m_nextCreditReceiver++ % receivers.size()]);
}

} // namespace wisteriayard
