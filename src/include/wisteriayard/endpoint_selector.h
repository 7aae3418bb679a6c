#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wisteriayard {

/// What the scheduler needs to know of an endpoint.
struct EndpointInfo {
    EndpointId id;
    TargetId target;
    ZoneId zone;
    RegionId region;
    /// Requests that the endpoint runs at once.
    int slots = 1;
};

/// Load of an endpoint, as reported by its agent.
struct EndpointLoad {
    int running = 0;
    int queued = 0;
    double tokensPerSecond = 0;
    bool leaving = false;
    /// Time at which the agent measured the load.
    TimePoint takenAt {};
};

/// Checks the properties of an endpoint.
/// @return InvalidArgument with the reason
Status validate(const EndpointInfo& info);
/// @copydoc validate(const EndpointInfo&)
Status validate(const EndpointLoad& load);

/// Token bucket for the bandwidth of the cross-region link that one entry may use.
class LinkBudget {
public:
    explicit LinkBudget(double bytesPerSecond)
        : m_rate(bytesPerSecond)
        , m_tokens(bytesPerSecond)
    {
    }

    /// Consumes bytes if the budget allows it.
    bool take(double bytes, TimePoint now);
    /// Adapts the budget to the delay of a first token from another region.
    /// @param late much later than from an endpoint of this region, which shows that the link is busy
    void observe(bool late);

private:
    double m_rate;
    double m_tokens;
    double m_scale = 1;
    TimePoint m_last {};
};

/// What the choice of an endpoint depends on.
struct EndpointQuery {
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t prefixTokens = 0;
    std::uint64_t prefixHash = 0;
    /// Whether to leave some slots free for higher tiers.
    bool keepReserve = false;
    /// Whether the request may be sent to an ejected endpoint as a probe of its recovery.
    bool mayProbe = false;
};

/// Choice among the endpoints of one target: power of two choices with prefix affinity, near ones first.
///
/// The cost of choose() and of each event does not depend on the number of endpoints, and choose() doesn't allocate.
class EndpointSelector {
public:
    using Index = std::uint32_t;

    EndpointSelector(ZoneId zone, RegionId region)
        : m_zone(std::move(zone))
        , m_region(std::move(region))
        , m_preferred(prefixBuckets)
    {
    }

    /// Adds an endpoint or updates its properties.
    Index add(const EndpointInfo& info, TimePoint now);
    void remove(const EndpointId& id);
    std::optional<Index> find(const EndpointId& id) const;
    const EndpointInfo& info(Index index) const { return m_states[index].info; }
    std::size_t size() const { return m_index.size(); }

    /// Records a load report.
    void report(Index index, const EndpointLoad& load, TimePoint now);
    /// Picks an endpoint with a free slot.
    /// @return nothing if there is none
    std::optional<Index> choose(const EndpointQuery& query, LinkBudget& link, TimePoint now);
    /// Records that a request was sent to the endpoint.
    /// @return prompt tokens that the endpoint probably has to compute
    std::int64_t started(Index index, const EndpointQuery& query, TimePoint now);
    /// Records that a request ended at the endpoint.
    /// @param openTokens output tokens that were still expected of it
    void ended(Index index, std::int64_t openTokens, TimePoint now);
    /// Records a change of the output tokens that are still expected of a running request.
    void tokensChanged(Index index, std::int64_t change) { m_states[index].ownTokens += change; }
    /// Records that prompt tokens of a request were computed, or are no longer needed.
    void prefillDone(Index index, std::int64_t tokens);
    /// This entry's share of all slots, in proportion to its share of the running requests.
    double ownSlots() const { return m_ownShare * m_slotSum; }
    /// Records that a stream of the endpoint advanced, or that a call ended.
    /// @param gap time per token, or of the call
    /// @return whether the endpoint was ejected or restored
    bool observeGap(Index index, Duration gap, TimePoint now);
    /// Updates some of the endpoints, whose state also changes with time.
    void refresh(TimePoint now);

    bool isEjected(Index index) const { return m_states[index].ejected; }
    bool isRemote(Index index) const { return m_states[index].group == remoteGroup; }
    /// Whether the endpoint probably has the prefix in its cache.
    bool holdsPrefix(Index index, std::uint64_t prefixHash) const;
    /// Median time per token over all endpoints, in microseconds; 0 before the first token.
    double medianGap() const { return m_medianGap; }
    /// Number of endpoints that choose() has scored so far, as a measure of its cost.
    std::uint64_t inspected() const { return m_inspected; }

private:
    static constexpr std::size_t groupCount = 3;
    static constexpr std::size_t remoteGroup = 2;
    /// Level 0 uses all slots; level 1 keeps the reserve free.
    static constexpr std::size_t levelCount = 2;
    static constexpr std::size_t prefixSlots = 64;
    static constexpr std::size_t historySteps = 32;
    static constexpr std::size_t prefixBuckets = 4096;
    static constexpr std::uint32_t absent = 0xFFFFFFFF;

    /// Endpoint of the entry's region with the highest weight for a bucket of prefix hashes; the same at all entries.
    struct PreferredEndpoint {
        Index endpoint = absent;
        std::uint64_t weight = 0;
    };

    struct State {
        EndpointInfo info;
        std::size_t group = 0;
        bool present = false;
        bool leaving = false;
        bool ejected = false;
        int own = 0;
        std::int64_t ownTokens = 0;
        /// Uncached prompt tokens of this entry's requests without output yet.
        std::int64_t prefillTokens = 0;
        /// Requests of other entries according to the last report.
        double others = 0;
        TimePoint reportedAt {};
        /// Moving average in microseconds; 0 before the first.
        double gap = 0;
        std::optional<TimePoint> slowSince;
        TimePoint nextProbe {};
        std::uint32_t member = absent;
        std::array<std::uint32_t, levelCount> open { absent, absent };
        std::array<std::uint64_t, prefixSlots> prefixes {};
        /// This entry's requests in flight in past time steps, to compare with delayed reports.
        std::array<std::uint16_t, historySteps> history {};
        std::int64_t lastStep = 0;
    };

    static void addToList(std::vector<Index>& list, Index index, std::uint32_t& position);
    void removeFromList(std::vector<Index>& list, std::uint32_t& position, std::size_t level);
    void update(Index index, TimePoint now);
    bool isOpen(const State& state, std::size_t level, TimePoint now) const;
    double estimatedRequests(const State& state, TimePoint now) const;
    double score(Index index, TimePoint now);
    std::uint64_t random();
    Index betterOfTwo(const std::vector<Index>& list, TimePoint now);
    std::optional<Index> dueProbe(const EndpointQuery& query, TimePoint now);
    std::optional<Index> preferredForPrefix(const EndpointQuery& query, std::size_t level, double limit, TimePoint now);
    static std::uint64_t bucketWeight(std::size_t bucket, const EndpointInfo& info);
    void addPreferred(Index index);
    void removePreferred(Index index);
    static void recordHistory(State& state, TimePoint now);
    static int ownRequestsAt(const State& state, TimePoint at);
    void eject(State& state, TimePoint now);

    ZoneId m_zone;
    RegionId m_region;
    std::vector<State> m_states;
    std::vector<Index> m_free;
    std::unordered_map<EndpointId, Index> m_index;
    std::array<std::vector<Index>, groupCount> m_members;
    std::array<std::array<std::vector<Index>, levelCount>, groupCount> m_open;
    std::vector<PreferredEndpoint> m_preferred;
    double m_medianGap = 0;
    int m_ownSum = 0;
    int m_slotSum = 0;
    double m_ownShare = 1;
    double m_othersSum = 0;
    std::array<double, groupCount> m_groupOthers {};
    std::size_t m_ejectedCount = 0;
    /// An ejected endpoint whose probe is due.
    std::optional<Index> m_dueProbe;
    std::size_t m_refreshNext = 0;
    std::uint64_t m_random = 0x9E3779B97F4A7C15ULL;
    std::uint64_t m_inspected = 0;
};

} // namespace wisteriayard
