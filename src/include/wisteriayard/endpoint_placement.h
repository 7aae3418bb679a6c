#pragma once

#include "wisteriayard/cached_parts.h"
#include "wisteriayard/endpoint_pause.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/prefill_backlog.h"
#include "wisteriayard/prefill_pool.h"
#include "wisteriayard/segment_rates.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace wisteriayard {

/// A part of a prompt that requests may share. An engine computes it once for as long as its cache holds it and all
/// parts before it.
struct PromptPart {
    std::uint64_t id = 0;
    Tokens tokens { 0 };
};

/// What the placement of a request depends on.
struct PlacementRequest {
    /// In the order of the prompt; the last part is the request's own.
    std::vector<PromptPart> prompt;
    /// Expected length of the answer.
    Tokens output { 0 };
    /// Rank at engines.
    Priority rank { 0 };
    Duration timeLeft {};
    Duration objective {};
};

/// An endpoint that may be given requests.
struct PlacementEndpoint {
    EndpointId id;
    ZoneId zone;
    RegionId region;
    /// Requests that it runs at once.
    int slots = 1;
    /// Tokens that running requests and cached prompt parts share; 0 for an endpoint that is no engine.
    Tokens memory { 0 };
    /// Output tokens of one event of a stream.
    int tokensPerEvent = 1;
};

/// Load of an endpoint by the requests of one entry.
struct EndpointUse {
    int running = 0;
    PrefillBacklog backlog;
    /// Tokens of running requests.
    std::int64_t memoryTokens = 0;

    EndpointUse& operator+=(const EndpointUse& other);
};

/// Weights of the placement cost.
struct PlacementPolicy {
    /// Round trip between zones of a region, as a cost.
    Duration zoneCost = std::chrono::milliseconds(4);
    /// Round trip between regions and its price per request.
    Duration regionCost = std::chrono::milliseconds(25);
    /// Slower decoding for all by one more request of the batch.
    Duration runningCost = std::chrono::milliseconds(2);
    /// A shared token that is computed at an endpoint which is no home of its part counts this many times. It displaces
    /// cached parts and takes engine time that other requests need; with a factor of 5, two thirds of the requests of a
    /// busy fleet left their home for a queue that was shorter by one prompt, and a quarter of the engine time went
    /// into computing parts again.
    double recomputeFactor = 20.0;
    /// Engine time in each second that the requests with one shared part may ask of each of its homes.
    double homeUtilization = 0.4;
    /// A part also gets a further home for each such time that prompts of this entry with it have to be computed.
    Duration waitPerHome = std::chrono::milliseconds(200);
    /// Share of the memory that running requests may take, so that growing answers do not preempt each other.
    double memoryShare = 0.85;
    /// Cost of placing a request where its tokens don't fit.
    Duration memoryCost = std::chrono::milliseconds(1500);
    /// Cost of a long prompt outside of the engines for long prompts: it makes the streams there late.
    Duration longOutsideCost = std::chrono::milliseconds(150);
    /// Cost of a short prompt on an engine for long prompts: its own stream will be late.
    Duration shortInsideCost = std::chrono::milliseconds(50);
    /// A request is refused if its first event is expected later than this share of the time it has left.
    double latestShare = 0.8;
    /// A request is also refused if its first event is expected later than this many objectives: a longer queue makes
    /// all that come after it late too. In a crowd first events come a fifth later than expected. An endpoint without a
    /// queue is never refused: only new answers correct an estimate that has become too high.
    double mostObjectives = 0.85;
    /// A request that would be refused at the cheapest endpoint goes to another one that can begin in time, if that has
    /// to compute at most so many shared tokens again: one prefill chunk. Longer parts fill the queues there.
    Tokens mostSpilled { 1024 };
    /// Loads that other entries told longer ago than this are not counted.
    Duration peerLoadLifetime = std::chrono::milliseconds(1500);
    /// Time constant with which an endpoint's own time per token gives way to that of all endpoints. An entry sees few
    /// prompts of each endpoint, so a time that was measured in a crowd would otherwise outlast it by half a minute.
    Duration tokenTimeLifetime = std::chrono::seconds(2);
    /// A part is taken as cached for so long after its last use.
    Duration cacheLifetime = std::chrono::seconds(15);
};

/// Where a request was placed; given back when its state changes.
struct Placement {
    std::size_t endpoint = 0;
    /// Tells an endpoint from an earlier one at the same index.
    std::uint64_t generation = 0;
    /// Prompt tokens that the endpoint probably has to compute.
    std::int64_t uncachedTokens = 0;
    std::int64_t memoryTokens = 0;
    Priority rank { 0 };
    /// Uncached tokens that were to be computed there before its own.
    std::int64_t tokensAhead = 0;
    /// Shared tokens among the uncached ones.
    std::int64_t recomputedTokens = 0;
    /// The endpoint is a home of the last shared part.
    bool atHome = false;
    /// The last shared part of the prompt.
    std::optional<std::uint64_t> part;
    Duration expectedFirstEvent {};
    TimePoint placedAt {};
    bool firstEventSeen = false;

    /// Whether the endpoint has probably begun to answer although nothing of the answer arrived.
    bool hasProbablyBegun(TimePoint now) const;
};

/// Why no endpoint was chosen.
enum class PlacementRefusal {
    /// No endpoint is known or all were excluded.
    NoEndpoint,
    /// All endpoints are ejected.
    AllEjected,
    /// No endpoint wants requests at present.
    Paused,
    /// The first event is expected too late everywhere.
    Overloaded,
};
std::string_view placementRefusalName(PlacementRefusal refusal);

/// No endpoint was chosen.
struct Refused {
    PlacementRefusal reason = PlacementRefusal::NoEndpoint;
    /// When there will probably be room.
    Duration retryAfter {};
    /// Earliest expected first event; 0 if no endpoint could be asked.
    Duration expectedFirstEvent {};
};

using PlacementDecision = std::variant<Placement, Refused>;

/// How an attempt at an endpoint ended, as far as its health is concerned.
enum class EndpointOutcome {
    Succeeded,
    /// An error, a broken or a missing answer.
    Failed,
    /// The endpoint was busy, or the caller left: says nothing about its health.
    Neutral,
};

/// A change of an endpoint's health that is worth a log line.
enum class HealthChange {
    None,
    Ejected,
    TakenBack,
};

/// Chooses endpoints of one service for one entry.
///
/// The cost of an endpoint is the expected time to the first event, from the uncached prompt tokens that it has to
/// compute for all entries, with charges for distance, batch size and memory. Requests that share prompt parts meet at
/// the endpoint with the highest rendezvous weight for the last shared part as long as it isn't much busier than
/// others.
class EndpointPlacement {
public:
    explicit EndpointPlacement(PlacementPolicy policy, ZoneId zone, RegionId region);

    /// Adds an endpoint or changes what is known of it. A restarted one is removed first.
    void put(const PlacementEndpoint& endpoint);
    void remove(const EndpointId& id);
    std::size_t size() const { return m_index.size(); }
    const PlacementEndpoint& endpoint(std::size_t index) const { return m_states[index].info; }

    /// Chooses an endpoint.
    /// @param excluded endpoints that the request was at before
    PlacementDecision choose(const PlacementRequest& request, const std::vector<EndpointId>& excluded, TimePoint now);
    /// The request is being sent to its endpoint.
    void started(const Placement& placement, const PlacementRequest& request, TimePoint now);
    /// The first event or the head of the answer arrived.
    void firstEvent(Placement& placement, TimePoint now);
    /// Whole events arrived; tells how fast the endpoint decodes.
    void eventsArrived(const Placement& placement, std::size_t count, Duration sincePrevious);
    /// The endpoint turned a request away and wants no further one for some time. That is no ill health.
    /// @return whether its pause became longer
    bool pause(const Placement& placement, Duration time, TimePoint now);
    /// Whether the endpoint still takes the request: it is known, and no pause began since the choice.
    bool accepts(const Placement& placement, TimePoint now);
    /// The request left the endpoint.
    HealthChange ended(const Placement& placement, EndpointOutcome outcome, TimePoint now);

    /// Engine time that the requests of this entry ask for.
    WorkRates ownWork(TimePoint now) { return m_pool.own(now); }
    /// Takes in what another entry told of its requests, or the sum over several entries.
    void peerWork(const InstanceId& peer, const WorkRates& rates, std::size_t entries, TimePoint now)
    {
        m_pool.peer(peer, rates, entries, now);
    }
    /// Engines that long prompts are kept on at present.
    std::size_t prefillEngines(TimePoint now) { return m_pool.size(m_index.size(), now); }
    /// Load by requests of this entry; endpoints without any are left out.
    std::map<EndpointId, EndpointUse> ownUse() const;
    /// Takes in what another entry told of its requests.
    void peerUse(const InstanceId& peer, const std::map<EndpointId, EndpointUse>& use, TimePoint now);
    /// Shared prompt parts that requests of this entry began to use at endpoints, for one round of datagrams.
    std::map<EndpointId, std::vector<PartTag>> partNews() { return m_partNews.nextRound(); }
    /// Takes in the same of another entry.
    void peerParts(const std::map<EndpointId, std::vector<PartTag>>& parts, TimePoint now);

private:
    /// What another entry told last.
    struct PeerReport {
        std::map<EndpointId, EndpointUse> use;
        TimePoint toldAt {};
    };
    struct State {
        explicit State(Duration cacheLifetime)
            : parts(cacheLifetime)
        {
        }

        PlacementEndpoint info;
        std::uint64_t hash = 0;
        /// Place in the order in which engines are given to long prompts.
        std::size_t position = 0;
        std::uint64_t generation = 0;
        bool present = false;
        EndpointUse own;
        /// Sum of the peers' recent use, as of the last choice.
        EndpointUse others;
        int consecutiveFailures = 0;
        double failureRate = 0;
        TimePoint ejectedUntil {};
        Duration ejection {};
        bool probing = false;
        bool ejected = false;
        EndpointPause pause;
        CachedParts parts;
        /// Moving average of the time to compute one prompt token, in microseconds.
        double tokenTime = 0;
        TimePoint tokenTimeAt {};
        /// Moving average of the time of a whole request, in microseconds.
        double requestTime = 0;
    };

    struct Candidate {
        std::size_t index = 0;
        double cost = 0;
        std::int64_t uncached = 0;
        double firstEvent = 0;
        /// Shared tokens among the uncached ones.
        std::int64_t recomputed = 0;
        bool atHome = false;
        /// Other requests go before this one there.
        bool queued = false;
    };

    std::size_t homeCount(std::uint64_t part, TimePoint now);
    /// Endpoints with the highest rendezvous weights for the last shared part, as many as its load needs.
    std::vector<std::size_t> homes(const PlacementRequest& request, std::size_t poolSize, TimePoint now);
    static std::int64_t uncachedTokens(const State& state, const PlacementRequest& request, TimePoint now);
    Candidate evaluate(std::size_t index, const PlacementRequest& request, const std::vector<std::size_t>& homes,
        std::size_t poolSize, TimePoint now) const;
    void orderEndpoints();
    Duration expectedWork(
        const State& state, std::int64_t uncachedTokens, const PlacementRequest& request, TimePoint now) const;
    static bool isInPool(const State& state, bool isLong, std::size_t poolSize);
    bool isBetter(const Candidate& candidate, const std::optional<Candidate>& best) const;
    void sumPeers(TimePoint now);
    bool isUsable(const State& state, TimePoint now) const;
    /// Why no endpoint could be asked, and when that changes.
    Refused refusal(const std::vector<EndpointId>& excluded, TimePoint now);
    /// Tokens of all entries that are computed at an endpoint before a request of a rank.
    static std::int64_t tokensAhead(const State& state, Priority rank);
    double tokenTime(const State& state, TimePoint now) const;
    State* find(const Placement& placement);
    void prefillEnded(const Placement& placement);
    HealthChange noteFailure(State& state, TimePoint now);
    HealthChange noteSuccess(State& state);

    PlacementPolicy m_policy;
    ZoneId m_zone;
    RegionId m_region;
    std::vector<State> m_states;
    std::unordered_map<EndpointId, std::size_t> m_index;
    std::uint64_t m_generation = 0;
    std::unordered_map<InstanceId, PeerReport> m_peerReports;
    ReturnSpread m_returns;
    PrefillPool m_pool;
    SegmentRates m_partRates;
    PartNews m_partNews;
    /// Prompt tokens that requests of this entry are waiting for, by their last shared part and without shared ones:
    /// another home would have to compute these too.
    std::unordered_map<std::uint64_t, std::int64_t> m_waitingTokens;
    /// Moving average of the time between two events of a stream, in microseconds.
    double m_eventTime;
    /// Moving average over all endpoints of the time to compute one prompt token, in microseconds.
    double m_tokenTime;
    /// Moving average of the time to the first event without prompt tokens to compute, in microseconds.
    double m_baseTime;
    double m_requestTime;
};

} // namespace wisteriayard
