#pragma once

#include "wisteriayard/units.h"

#include <vector>

namespace wisteriayard {

/// Age of the view above which an entry polls peers near the store.
inline constexpr Duration peerPollAge = std::chrono::seconds(4);
/// Age of the view from which an entry refuses requests, unless the store is down for all. This bounds the age of a
/// withdrawal that the entry has not received (G5).
inline constexpr Duration viewStaleAge = std::chrono::seconds(5);
/// The store counts as up for a peer that it answered less than this time ago.
inline constexpr Duration storeContactLimit = std::chrono::seconds(2);
/// Longest time for which a peer's failed store call counts as the store being down for that peer.
inline constexpr Duration failedCallLifetime = std::chrono::seconds(3);
/// How long the result of a peer poll is valid. After that the state of the store is unknown.
inline constexpr Duration peerPollLifetime = std::chrono::seconds(2);

/// Report of a peer near the store.
struct PeerReport {
    /// The peer answered and knows the outcome of its last store call. The other fields are set only then.
    bool reached = false;
    /// The peer's last store call failed.
    bool lastCallFailed = false;
    /// Time since the peer's last store call ended.
    Duration lastCallAge { 0 };
    /// Time since the store last answered the peer, or since the peer's view was last confirmed.
    Duration storeAnswerAge { 0 };
    /// Revision of the newest contract or key in the peer's view.
    Revision newestChange {};
};

/// Whether the store can accept withdrawals that do not reach this entry.
enum class StoreState {
    /// The peers' reports, if any, are inconclusive.
    Unknown,
    /// The store answers a peer, or a peer holds a change that this entry lacks.
    Up,
    /// None of the peers that answered reaches the store.
    DownForAll,
};

/// Infers the state of the store from the peers' reports.
/// @param own revision of the newest contract or key that this entry holds
StoreState inferStoreState(const std::vector<PeerReport>& reports, Revision own);

/// How an entry treats its callers.
enum class Serving {
    /// The view is fresh.
    Serve,
    /// The view is getting old; serve and poll the peers.
    ServeAndPollPeers,
    /// The view is stale, and no withdrawal can be accepted because the store is down for all.
    ServeInOutage,
    /// Refuse new requests and end open streams.
    Refuse,
};

/// Decides from the age of an entry's view whether the entry may serve requests.
class FreshnessGuard {
public:
    /// Records the result of a peer poll.
    /// @param polledAt when the poll was sent
    void setStoreState(StoreState state, TimePoint polledAt);

    /// Decides how to treat callers now.
    /// @param viewAge time since the view was last confirmed
    Serving decide(Duration viewAge, TimePoint now) const;

private:
    StoreState m_state = StoreState::Unknown;
    TimePoint m_polledAt {};
};

} // namespace wisteriayard
