#include "wisteriayard/freshness.h"

namespace wisteriayard {

StoreState inferStoreState(const std::vector<PeerReport>& reports, Revision own)
{
    bool reached = false;
    for (const PeerReport& report : reports) {
        if (!report.reached)
            continue;
        bool storeAnswers = !report.lastCallFailed || report.storeAnswerAge < storeContactLimit;
        // A peer that holds a newer change shows that this entry missed one before the outage.
        if (storeAnswers || report.newestChange > own)
            return StoreState::Up;
        // An old failure is no evidence: the peer may have been paused since.
        reached = reached || report.lastCallAge <= failedCallLifetime;
    }
    return reached ? StoreState::DownForAll : StoreState::Unknown;
}

void FreshnessGuard::setStoreState(StoreState state, TimePoint polledAt)
{
    m_state = state;
    m_polledAt = polledAt;
}

Serving FreshnessGuard::decide(Duration viewAge, TimePoint now) const
{
    if (viewAge <= peerPollAge)
        return Serving::Serve;
    if (viewAge < viewStaleAge)
        return Serving::ServeAndPollPeers;
    bool pollValid = now - m_polledAt <= peerPollLifetime;
    return pollValid && m_state == StoreState::DownForAll ? Serving::ServeInOutage : Serving::Refuse;
}

} // namespace wisteriayard
