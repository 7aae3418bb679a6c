#pragma once

#include "wisteriayard/units.h"

#include <vector>

namespace wisteriayard {

/// Age of the view from which an entry asks peers near the store.
inline constexpr Duration viewAskAge = std::chrono::seconds(4);
/// Age of the view from which an entry refuses, unless the store is down for all. A withdrawal that it has not
/// heard of can be this old at most, which is the bound of G5.
inline constexpr Duration viewStaleAge = std::chrono::seconds(5);
/// Longest time since the store answered a peer that still counts as the store being up for that peer.
inline constexpr Duration storeSilenceLimit = std::chrono::seconds(2);
/// How long the peers' answers hold. After that the entry can't tell any more.
inline constexpr Duration peerAnswerLifetime = std::chrono::seconds(2);

/// What a peer near the store says.
struct PeerReport {
    /// The peer answered and says whether its last store call succeeded. The other fields are set only then.
    bool reached = false;
    /// The peer's last store call failed.
    bool lastCallFailed = false;
    /// Time since the store last answered the peer.
    Duration storeSilence { 0 };
    /// Revision of the newest contract or key that the peer holds.
    Revision newestChange {};
};

/// Whether withdrawals can be accepted that this entry does not hear of.
enum class StoreState {
    /// No peer near the store could say.
    Unknown,
    /// The store answers near it, or a peer holds a change that this entry lacks.
    Up,
    /// Every peer that was reached gets no answer either.
    DownForAll,
};

/// Judges the peers' reports.
/// @param own revision of the newest contract or key that this entry holds
StoreState judgePeers(const std::vector<PeerReport>& reports, Revision own);

/// What an entry does with its callers.
enum class Serving {
    /// The view is fresh.
    Serve,
    /// The view is too old to go on without news; serve and ask the peers.
    ServeAndAsk,
    /// The view is stale, and no withdrawal can be accepted because the store is down for all.
    ServeInOutage,
    /// Refuse new requests and end open streams.
    Refuse,
};

/// Follows the freshness of the view of one entry.
class FreshnessGuard {
public:
    /// Takes in the judgement of the peers.
    /// @param asked when the peers were asked
    void peersJudged(StoreState state, TimePoint asked);

    /// Decides.
    /// @param viewAge time since the view was last confirmed
    Serving decide(Duration viewAge, TimePoint now) const;

private:
    StoreState m_state = StoreState::Unknown;
    TimePoint m_askedAt {};
};

} // namespace wisteriayard
