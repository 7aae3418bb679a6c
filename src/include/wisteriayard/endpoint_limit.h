#pragma once

#include "wisteriayard/entry_share.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <map>
#include <optional>
#include <vector>

namespace wisteriayard {

/// What an endpoint stated about its rate limit in one response.
struct LimitObservation {
    /// Rate of requests that it accepts from all entries together; absent if it has no limit.
    std::optional<RequestRate> rate;
    TimePoint at {};
};

/// Rate limit that an endpoint names for the requests of all entries together, and the credit of this entry for it.
///
/// Load pattern: many entries send requests to an endpoint in need, which names a limit of a few requests per second
/// for all of them. The limit is divided among few entries (shareHolders()) that need no messages for it, so the sum
/// stays bounded while entries can't reach each other. An entry that doesn't use its share passes single requests of it
/// on to others.
class EndpointLimit {
public:
    /// Records a response of the endpoint to this entry.
    /// @param rate limit that the response names, if any
    /// @param sentAt time at which the request of that response was sent
    /// @return whether the limit changed
    bool recordResponse(std::optional<RequestRate> rate, TimePoint sentAt, TimePoint now);
    /// Records a response of the endpoint to another entry. The newest observation applies.
    /// @return whether the limit changed
    bool recordPeerObservation(const LimitObservation& observation);
    /// The limit in force, if any.
    std::optional<RequestRate> rate() const { return m_latest.rate; }
    /// Whether there is a limit and it was observed so recently that no entry has to probe for its end yet.
    bool isRecent(TimePoint now) const;
    /// Latest response to this entry that named a limit or withdrew one, if it is recent enough to be reported to other
    /// entries.
    std::optional<LimitObservation> reportable(TimePoint now) const;

    /// Determines this entry's share of the limit in force. A new share starts without credit.
    void updateShare(const EndpointId& endpoint, const RegionId& region, const LimitEntries& entries, TimePoint now);
    /// This entry's share, in requests per second; 0 if it holds none.
    RequestRate share() const { return m_share.rate(); }
    /// Whether a request may be sent now.
    bool admits(TimePoint now) const;
    /// Takes the credit for one request; the endpoint must have a limit.
    /// @return false if there is none
    bool tryAcquire(TimePoint now);
    /// Returns the credit of a request that was not sent.
    void giveBack(TimePoint now) { m_share.giveBack(now); }
    /// Takes the credit for one request if this entry hasn't used it for a while, to pass it on to another entry.
    bool takeUnused(TimePoint now);
    /// Adds credit for one request that another entry passed on. It expires soon.
    void addPassedOn(TimePoint now);

private:
    /// Whether the latest observation is so old that the limit may have ended unnoticed.
    bool needsProbe(TimePoint now) const;

    LimitObservation m_latest;
    LimitObservation m_own;
    EntryShare m_share;
    /// Expiry times of credits passed on by other entries.
    std::vector<TimePoint> m_passedOn;
    /// Time after the latest observation at which one request is sent as a probe, which differs between entries, and
    /// time until the next probe.
    Duration m_probeDelay {};
    Duration m_probeInterval {};
    std::optional<TimePoint> m_probedAt;
    /// Time since which the credit has been unused.
    std::optional<TimePoint> m_unusedSince;
};

/// Decides which requests take the credit of limited endpoints while there is too little for all: the more urgent ones,
/// but each fourth is kept for less urgent ones, so that every rank is served.
class LimitTurns {
public:
    /// Records that a request was refused for lack of credit. Its caller will probably return.
    void refused(Priority rank, TimePoint now) { m_refusedAt[rank] = now; }
    /// Records that a request took credit.
    void taken() { ++m_taken; }
    /// Whether a request must leave the credit to others that were refused recently.
    bool mustYield(Priority rank, TimePoint now) const;

private:
    std::map<Priority, TimePoint> m_refusedAt;
    unsigned m_taken = 0;
};

} // namespace wisteriayard
