#include "wisteriayard/share_activation.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// Age of the list up to which exclusive shares are used. An entry that reads the list at least this often notices
    /// each one that displaces it before that one uses its shares.
    constexpr Duration readLimit = limitShareDelay - std::chrono::milliseconds(100);
    /// Time for which an outage of the store is taken for granted after a check. Together with the time after which a
    /// silent entry is noticed, less than the time for which the others keep counting an entry without registration.
    constexpr Duration outageCheckLifetime = std::chrono::seconds(2);

} // namespace

void PeerContact::add(bool isLive, bool reachesStore)
{
    isAlone = false;
    anyLive = anyLive || isLive;
    allLive = allLive && isLive;
    storeReached = storeReached || (isLive && reachesStore);
}

void ShareActivation::registered(TimePoint calledAt, TimePoint now, bool wasRegistered, bool wasCounted)
{
    m_wasRegisteredAtStart = wasRegistered;
    if (!wasCounted || m_registeredSince == TimePoint())
        m_registeredSince = now;
    m_confirmedAt = calledAt;
}

void ShareActivation::listRead(TimePoint calledAt, TimePoint now)
{
    m_readSince = calledAt;
    m_readAt = now;
}

bool ShareActivation::isActive(const PeerContact& peers, TimePoint now) const
{
    // The registration of an earlier start of this entry was still there, so the others never ceased to count it.
    bool isCounted = m_wasRegisteredAtStart || now - m_registeredSince >= limitShareDelay;
    bool wasRead = hasRead() && (m_wasRegisteredAtStart || m_readAt > m_registeredSince);
    if (!wasRead || !isCounted)
        return false;
    if (isConfirmed(now))
        return true;
    // The registration may have lapsed. While no entry reaches the store, none can notice that.
    return (peers.anyLive || peers.isAlone) && !peers.storeReached;
}

TimePoint ShareActivation::listValidUntil(TimePoint time) const
{
    bool isCounted = m_readSince > m_registeredSince && time - m_registeredSince >= limitShareDelay;
    return isCounted ? m_readSince + readLimit : TimePoint();
}

TimePoint ShareActivation::updateExclusive(const PeerContact& peers, TimePoint now)
{
    if (!hasRead() || !wasRegistered())
        return {};
    if (isConfirmed(now))
        m_hasLapsed = false;
    TimePoint until = std::min(listValidUntil(now), m_confirmedAt + registrationTimeToLive);
    if (now < until)
        return until;
    // While no entry at all reaches the store, none can take over the shares. One that was seen to reach it may have
    // done so, also if it has lost the store since.
    bool isOutage = peers.allLive && !peers.storeReached;
    m_hasLapsed = m_hasLapsed || (!isConfirmed(now) && !isOutage);
    bool wasExclusive = m_confirmedAt < listValidUntil(m_confirmedAt);
    return isOutage && !m_hasLapsed && wasExclusive ? now + outageCheckLifetime : TimePoint();
}

} // namespace wisteriayard
