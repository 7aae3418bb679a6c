#include "wisteriayard/freshness.h"

namespace wisteriayard {

StoreState judgePeers(const std::vector<PeerReport>& reports, Revision own)
{
    bool reached = false;
    for (const PeerReport& report : reports) {
        if (!report.reached)
            continue;
        reached = true;
        bool storeAnswers = !report.lastCallFailed || report.storeSilence < storeSilenceLimit;
        // A peer that holds a newer change shows that this entry missed one before the outage.
        if (storeAnswers || report.newestChange > own)
            return StoreState::Up;
    }
    return reached ? StoreState::DownForAll : StoreState::Unknown;
}

void FreshnessGuard::peersJudged(StoreState state, TimePoint asked)
{
    m_state = state;
    m_askedAt = asked;
}

Serving FreshnessGuard::decide(Duration viewAge, TimePoint now) const
{
    if (viewAge <= viewAskAge)
        return Serving::Serve;
    if (viewAge < viewStaleAge)
        return Serving::ServeAndAsk;
    bool answerHolds = now - m_askedAt <= peerAnswerLifetime;
    return answerHolds && m_state == StoreState::DownForAll ? Serving::ServeInOutage : Serving::Refuse;
}

} // namespace wisteriayard
