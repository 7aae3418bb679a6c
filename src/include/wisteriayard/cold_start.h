#pragma once

#include "wisteriayard/entry_share.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <optional>

namespace wisteriayard {

/// How the endpoints of one service have to be treated while they are cold.
struct ColdPolicy {
    /// Time for which an endpoint is cold after it started; 0 if only its own statements count.
    Duration warmup {};
    /// Requests per second that a cold endpoint accepts from all entries together; 0 for no limit.
    RequestRate perSecond { 0 };
    /// In any second, all entries together may send this multiple of perSecond plus slack.
    double excess = 1;
    double slack = 1;

    /// Whether the configuration names anything about cold endpoints.
    bool isEnabled() const { return warmup > Duration(0) || perSecond.value() > 0; }
    /// Rate that the holders divide, and the largest number of holders for which the sum over all entries keeps the
    /// bound. The rate is 0 if no request at all keeps it.
    EntryShare::Terms terms() const;

    friend bool operator==(const ColdPolicy&, const ColdPolicy&) = default;
};

/// Longest time for which an endpoint counts as cold after one statement or start.
inline constexpr Duration maxColdTime = std::chrono::seconds(600);

/// Whether an endpoint is cold, and how many requests this entry may send to it meanwhile.
///
/// Load pattern: a zone returns or a service grows under a burst, so that many endpoints are cold at once. Each of them
/// accepts a few requests per second from all entries together and crashes at a much higher rate. The few requests are
/// divided among the holders of an EntryShare with a capacity of one request each. Credit is reserved when a request is
/// placed and taken when it is sent, so that requests that waited for connections can't be sent all at once.
class ColdStart {
public:
    /// @name What is known about the endpoint. The latest end applies
    /// @{

    /// Records the remaining time that the endpoint states.
    /// @param left ignored unless positive, and limited to maxColdTime
    void recordTimeLeft(Duration left, TimePoint now);
    /// Records the latest time at which the endpoint may have started.
    void recordStart(TimePoint startedAt);
    /// Records that the endpoint counts as cold for the warm-up time from now on, whatever it states.
    void mark(TimePoint now);
    /// @}

    /// Determines the end of the cold time and this entry's share.
    void update(const EndpointId& endpoint, const RegionId& region, const ColdPolicy& policy,
        const LimitEntries& entries, TimePoint now);

    /// Whether the endpoint is cold for this entry. Entries cease to count it as cold one after the other.
    bool isCold(TimePoint now) const { return now < m_end; }
    /// End of the cold time for this entry; long ago for an endpoint that never was cold.
    TimePoint end() const { return m_end; }
    /// Whether the endpoint may be a preferred one of a prompt segment. After the cold time the segments return to it
    /// one by one.
    /// @param weight weight of the segment at this endpoint, evenly distributed
    bool takesSegment(std::uint64_t weight, TimePoint now) const;
    /// @return 0 if this entry holds no share
    RequestRate share() const { return m_share.rate(); }
    /// Number of entries that the rate is divided among.
    std::size_t holders() const { return m_share.holders(); }
    /// Rate of all entries together that the endpoint accepts while it is cold; 0 for no limit.
    RequestRate perSecond() const { return m_perSecond; }

    /// Whether a request may be placed now.
    bool admits(TimePoint now) const;
    /// Reserves the credit for a request that is placed now.
    /// @return false if there is none
    bool tryReserve(TimePoint now);
    /// What is known about an endpoint that was removed and is back, without the credit and the requests of before.
    ColdStart withoutCredit() const;
    /// Gives up the share until the next update(). Reservations stay, but can't be used.
    void dropCredit() { m_share.clear(); }
    /// Ends a reservation without use.
    void release() { --m_reserved; }
    /// Takes the credit for a request that is sent now.
    /// @param isReserved a reservation was made for it, which ends
    /// @return false if the request must not be sent
    bool trySend(bool isReserved, TimePoint now);

    /// Records how late the response to a request came that was sent while the endpoint was cold.
    /// @param expected time that would be expected of a warm endpoint
    void recordResponseTime(Duration elapsed, Duration expected);
    /// Response times of the cold endpoint in multiples of those expected of a warm one.
    double slowdown() const { return m_slowdown; }

private:
    /// Slowdown that is assumed before the first response.
    static constexpr double initialSlowdown = 2;

    bool isLimited(TimePoint now) const { return m_perSecond.value() > 0 && isCold(now); }

    /// Facts, which don't depend on the configuration.
    std::optional<TimePoint> m_statedEnd;
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_markedAt;
    /// End by the current configuration.
    TimePoint m_end {};
    RequestRate m_perSecond { 0 };
    EntryShare m_share;
    int m_reserved = 0;
    double m_slowdown = initialSlowdown;
};

/// Spreads the callers that were refused for lack of credit over the rate at which cold endpoints accept requests.
class ReturnSchedule {
public:
    /// @param spacing time between two callers of this entry
    /// @return delay after which the next refused caller may return
    Duration next(Duration spacing, TimePoint now);

private:
    TimePoint m_next {};
    std::uint64_t m_rounds = 0;
};

} // namespace wisteriayard
