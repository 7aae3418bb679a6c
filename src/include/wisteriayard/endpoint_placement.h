#pragma once

#include "wisteriayard/account_shares.h"
#include "wisteriayard/allowed_regions.h"
#include "wisteriayard/cached_segments.h"
#include "wisteriayard/cold_start.h"
#include "wisteriayard/endpoint_exclusion.h"
#include "wisteriayard/endpoint_limit.h"
#include "wisteriayard/endpoint_pause.h"
#include "wisteriayard/engine_memory.h"
#include "wisteriayard/engine_speed.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/peer_failures.h"
#include "wisteriayard/prefill_backlog.h"
#include "wisteriayard/prefill_pool.h"
#include "wisteriayard/refused_callers.h"
#include "wisteriayard/segment_rates.h"
#include "wisteriayard/stream_pauses.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace wisteriayard {

/// Segment of a prompt that requests may share. An engine doesn't compute it again while its prefix cache holds it and
/// all segments before it.
struct PromptSegment {
    std::uint64_t id = 0;
    Tokens tokens { 0 };
};

/// What the placement of a request depends on.
struct PlacementRequest {
    /// In the order of the prompt; the last segment belongs to this request alone.
    std::vector<PromptSegment> prompt;
    /// Expected length of the answer.
    Tokens output { 0 };
    /// Rank at engines.
    Priority rank { 0 };
    Duration timeLeft {};
    Duration objective {};
    /// Objective for the longest gap between two events of a stream; 0 if there is none.
    Duration gapObjective {};
    AllowedRegions allowedRegions;
    /// The request was refused as overloaded before, and is retried at the time that was named or later.
    bool isReturning = false;
    /// A refusal counts as demand that is not served: not for further attempts of a request, nor for a retry before the
    /// time that was named, whose first try counted.
    bool isNewDemand = true;
    /// Empty if the caller has none.
    AccountId account;
    /// Length of the whole prompt as the caller states it; 0 if it doesn't.
    Tokens statedPrompt { 0 };
    /// Upper estimate of the length of the answer; 0 if it is the expected one.
    Tokens outputLimit { 0 };
};

/// An endpoint that requests may be sent to.
struct PlacementEndpoint {
    EndpointId id;
    ZoneId zone;
    RegionId region;
    /// Maximum number of concurrent requests.
    int slots = 1;
    /// Capacity for the tokens of running requests and cached prompt segments; 0 if the endpoint is not an engine.
    Tokens memory { 0 };
    /// Output tokens per event of a stream.
    int tokensPerEvent = 1;
};

/// Load of an endpoint by the requests of one entry.
struct EndpointUse {
    int running = 0;
    PrefillBacklog backlog;
    /// Tokens of running requests.
    std::int64_t memoryTokens = 0;

    EndpointUse& operator+=(const EndpointUse& other);
    EndpointUse& operator-=(const EndpointUse& other);
};

/// Weights of the placement cost.
struct PlacementPolicy {
    /// Round-trip time between zones of a region.
    Duration zoneCost = std::chrono::milliseconds(4);
    /// Round-trip time between regions, and the price of the transfer per request.
    Duration regionCost = std::chrono::milliseconds(25);
    /// Slowdown of the other streams by one more request in the batch.
    Duration runningCost = std::chrono::milliseconds(2);
    /// Weight of a shared token that has to be computed at an endpoint which is not preferred for its segment. It
    /// evicts cached segments and takes engine time that other requests need. With a factor of 5, two thirds of the
    /// requests of a busy fleet left their preferred endpoint for a queue that was shorter by one prompt, and a quarter
    /// of the engine time was spent on recomputing segments.
    double recomputeFactor = 20.0;
    /// Engine time, in seconds per second, that requests with one shared segment may need at each of its preferred
    /// endpoints. The segment gets more preferred endpoints for a higher load.
    double preferredUtilization = 0.4;
    /// A segment also gets one more preferred endpoint for each such amount of engine time that waiting prompts of this
    /// entry need.
    Duration prefillPerPreferredEndpoint = std::chrono::milliseconds(200);
    /// Share of an engine's memory that running requests may occupy, so that growing answers don't preempt each other.
    double maxMemoryShare = 0.85;
    /// Cost of an endpoint without enough free memory for the tokens of the request.
    Duration memoryCost = std::chrono::milliseconds(1500);
    /// Cost of an engine whose expected time between two events exceeds a stream's objective. More than the distance
    /// and a short queue, because each event of the stream will be late.
    Duration gapCost = std::chrono::milliseconds(300);
    /// Cost of a long prompt at an engine for short prompts: it delays the streams there.
    Duration longOutsidePoolCost = std::chrono::milliseconds(150);
    /// Cost of a short prompt at an engine for long prompts: its own stream will be late.
    Duration shortInsidePoolCost = std::chrono::milliseconds(50);
    /// Factor of these two costs where queues of long prompts make every stream beside them late. At their usual size
    /// they are less than an ordinary queue, so that under high load both kinds are sent to all engines.
    double latePausesCostFactor = 7;
    /// A request is refused if its first event is expected after more than this share of the time that it has left.
    double maxTimeLeftShare = 0.8;
    /// Share of its remaining time within which a refused request is retried; callers ignore later times.
    double maxRetryShare = 1.0 / 3;
    /// A request is also refused if its first event is expected after more than this share of its objective, because a
    /// longer queue delays all later requests too. Under high load, first events come a fifth later than expected. No
    /// request is refused at an endpoint without a queue: only new answers correct an estimate that is too high.
    double maxObjectiveShare = 0.85;
    /// The same for accounts that get more than their share of the engine time while requests are being refused.
    double maxObjectiveShareAbove = 0.5;
    /// A request that would be refused at the endpoint of the lowest cost goes to another one that can begin in time,
    /// provided that at most this many shared tokens, one prefill chunk, have to be recomputed there. Longer segments
    /// would fill the queues there.
    Tokens maxSpilledTokens { 1024 };
    /// Age above which load reported by peers is ignored.
    Duration peerLoadLifetime = std::chrono::milliseconds(1500);
    /// Time constant with which the time per token measured at an endpoint decays to the mean of all endpoints. An
    /// entry sends few prompts to each endpoint, so a value measured under high load would otherwise persist for half a
    /// minute after it.
    Duration tokenTimeLifetime = std::chrono::seconds(2);
    /// Time after its last use for which a segment counts as cached.
    Duration cacheLifetime = std::chrono::seconds(15);
};

/// Endpoint chosen for a request. The caller passes it back with each change of the request's state.
struct Placement {
    std::size_t endpoint = 0;
    /// Distinguishes an endpoint from an earlier one with the same index.
    std::uint64_t generation = 0;
    /// Prompt tokens that the endpoint probably has to compute.
    std::int64_t uncachedTokens = 0;
    std::int64_t memoryTokens = 0;
    Priority rank { 0 };
    /// Uncached tokens that the endpoint had to compute before those of this request.
    std::int64_t tokensAhead = 0;
    /// Shared tokens among the uncached ones.
    std::int64_t recomputedTokens = 0;
    /// The endpoint is a preferred one for the last shared segment.
    bool atPreferredEndpoint = false;
    /// Other requests are processed at the endpoint before this one.
    bool queued = false;
    /// The endpoint is ejected: the request is a trial, or nothing else remains.
    bool atEjectedEndpoint = false;
    /// The request is a retry that was placed although its first event will be late.
    bool returnedLate = false;
    /// The last shared segment of the prompt.
    std::optional<std::uint64_t> segment;
    Duration expectedFirstEvent {};
    TimePoint placedAt {};
    bool firstEventSeen = false;
    /// Credit for the endpoint's rate limit was taken for this request.
    bool tookCredit = false;
    /// The endpoint was cold when the request was placed or sent, or became so before the response: its response time
    /// says nothing about warm endpoints.
    bool isCold = false;
    /// Credit of the cold endpoint is reserved for this request.
    bool reservedCold = false;
    /// Factor by which the expected time exceeds that of a warm endpoint.
    double slowdown = 1;
    /// Memory reserved at an engine; empty until started().
    MemoryNeed memoryNeed;

    /// Whether the endpoint has probably started to process the request, although no part of its response has arrived.
    bool hasProbablyBegun(TimePoint now) const;
};

/// Why no endpoint was chosen.
enum class PlacementRefusal {
    /// No endpoint is known, or all of them were excluded.
    NoEndpoint,
    /// All endpoints are ejected.
    AllEjected,
    /// All endpoints that are not excluded are paused.
    Paused,
    /// This entry has no credit for the few requests that the endpoints accept while they are cold.
    ColdStart,
    /// This entry has no credit for the rate limits that the endpoints name.
    Limited,
    /// The first event is expected too late everywhere.
    Overloaded,
    /// No region of the deployment may serve the request.
    RegionNotAvailable,
    /// All endpoints in the regions that may serve the request are being evacuated.
    Evacuated,
    /// No engine that could be used has memory for the request.
    EngineMemory,
};
std::string_view placementRefusalName(PlacementRefusal refusal);

/// No endpoint was chosen.
struct Refused {
    PlacementRefusal reason = PlacementRefusal::NoEndpoint;
    /// Time after which a retry will probably succeed.
    Duration retryAfter {};
    /// Earliest expected first event; 0 if no endpoint was available.
    Duration expectedFirstEvent {};
};

using PlacementDecision = std::variant<Placement, Refused>;

/// An endpoint as a candidate for a request.
struct CandidateReport {
    EndpointId id;
    ZoneId zone;
    /// Absent for a candidate.
    std::optional<EndpointExclusion> exclusion;
    Duration cost {};
    Duration expectedFirstEvent {};
    std::int64_t uncachedTokens = 0;
    /// Uncached tokens that the endpoint has to compute before those of the request.
    std::int64_t tokensAhead = 0;
    /// Requests of all entries.
    int running = 0;
    /// It is a preferred endpoint for the last shared segment.
    bool preferred = false;
    bool queued = false;
};

/// Where a request would be sent, and why.
struct PlacementReport {
    PlacementDecision decision;
    /// All endpoints: the candidates by cost, then the excluded ones.
    std::vector<CandidateReport> candidates;
};

/// Result of an attempt, as evidence of the endpoint's health.
enum class EndpointOutcome {
    Succeeded,
    /// An error response, or a missing or incomplete response.
    Failed,
    /// The endpoint was busy, or the caller disconnected: no evidence of its health.
    Neutral,
    /// Another attempt was answered first: no evidence either, but the request would have taken longer.
    Cancelled,
};

/// Change of an endpoint's health, for the log.
enum class HealthChange {
    None,
    Ejected,
    Restored,
};

/// Chooses endpoints of one service for one entry.
///
/// The cost of an endpoint is the expected time to the first event, from the uncached prompt tokens that it has to
/// compute for all entries, with charges for distance, batch size and memory. Requests that share prompt segments go to
/// the endpoint with the highest rendezvous weight for the last shared segment, as long as it isn't much busier than
/// others.
class EndpointPlacement {
public:
    explicit EndpointPlacement(PlacementPolicy policy, ZoneId zone, RegionId region);

    /// Adds an endpoint or updates its properties. After a restart of an endpoint, call remove() first.
    void put(const PlacementEndpoint& endpoint);
    /// Removes an endpoint. A rate limit that it has named recently, or its coldness, applies again when the endpoint
    /// is back.
    void remove(const EndpointId& id, TimePoint now);
    std::size_t size() const { return m_index.size(); }
    const PlacementEndpoint& endpoint(std::size_t index) const { return m_states[index].info; }

    /// Chooses an endpoint.
    /// @param excluded endpoints of earlier attempts of the request
    PlacementDecision choose(const PlacementRequest& request, const std::vector<EndpointId>& excluded, TimePoint now);
    /// What choose() would decide for a request that has not been sent yet. Changes nothing.
    PlacementReport explain(const PlacementRequest& request, TimePoint now) const;
    /// Records that the request is being sent to its endpoint. Takes credit if the endpoint has a rate limit.
    void started(Placement& placement, const PlacementRequest& request, TimePoint now);
    /// Records that the request of a started placement was not sent, which returns its credit.
    void notSent(Placement& placement, TimePoint now);
    /// Records that the first event or the head of the response arrived.
    void firstEvent(Placement& placement, TimePoint now);
    /// Records that whole events arrived, to estimate the decoding speed.
    void eventsArrived(const Placement& placement, std::size_t count, Duration sincePrevious, TimePoint now);
    /// Records that the endpoint rejected a request and asked for a pause. This doesn't affect its health.
    /// @return whether the pause now ends later than before
    bool pause(const Placement& placement, Duration time, TimePoint now);
    /// Records the rate limit that a response names, or that it names none.
    /// @param sentAt time at which the request of that response was sent
    /// @return whether the endpoint's limit changed
    bool recordLimit(const Placement& placement, std::optional<RequestRate> rate, TimePoint sentAt, TimePoint now);
    /// Rate limit that the endpoint of a placement names for all entries together, if any.
    std::optional<RequestRate> limit(const Placement& placement) const;
    /// Whether the request may be sent now: the endpoint is known, and nothing has excluded it since choose(). If it
    /// has named a rate limit since, credit is taken for the request. The credit of a cold endpoint is used up.
    bool accepts(Placement& placement, const PlacementRequest& request, TimePoint now);
    /// Reason why nothing may be sent to the endpoint of a placement, whatever its health; none if it has left.
    std::optional<EndpointExclusion> sendExclusion(
        const Placement& placement, const PlacementRequest& request, TimePoint now) const;
    /// @name Evacuation of zones
    /// @{

    /// Sets the zones to whose endpoints nothing may be sent.
    void setEvacuatedZones(std::set<ZoneId> zones);
    /// Forgets what the endpoints of these zones have cached, so that requests return one segment after another.
    void forgetCachedSegments(const std::set<ZoneId>& zones);
    /// @}
    /// @name Rate limits of endpoints, divided among the entries
    /// @{

    /// Sets the entries that limits are divided among.
    void setLimitEntries(const LimitEntries& entries, TimePoint now);
    /// Latest recent responses to this entry from endpoints that name a limit or have withdrawn it.
    std::map<EndpointId, LimitObservation> limitReports(TimePoint now) const;
    /// Records a response to another entry.
    /// @return whether the endpoint's limit changed
    bool applyLimitReport(const EndpointId& id, const LimitObservation& observation, TimePoint now);
    /// Takes unused credit for one request to each limited endpoint, to pass it on to other entries.
    std::vector<EndpointId> takeUnusedCredit(TimePoint now);
    /// Adds credit for one request that another entry passed on.
    void addPassedOnCredit(const EndpointId& id, TimePoint now);
    /// Rate limit that an endpoint names and this entry's share of it; absent for an endpoint without a limit.
    std::optional<RequestRate> limit(const EndpointId& id) const;
    RequestRate limitShare(const EndpointId& id) const;
    /// @}
    /// @name Speeds of engines, shared among the entries
    /// @{

    /// Engines with new samples of this entry; each at most once a second.
    std::map<EndpointId, SpeedReport> speedReports(TimePoint now);
    /// Records the report of another entry. It never excludes an engine.
    void applySpeedReport(const InstanceId& peer, const EndpointId& id, const SpeedReport& report, TimePoint now);
    /// The same for one of several reports; speedReportsAdded() follows the last one.
    void addSpeedReport(const InstanceId& peer, const EndpointId& id, const SpeedReport& report, TimePoint now);
    void speedReportsAdded(TimePoint now) { m_speed.reportsAdded(now); }
    /// @}
    /// @name Capacity shared among competing callers
    /// @{

    /// Sets whether the rules for competing callers apply. Without them, every request is admitted by itself.
    /// @param lateRetryShare share of this entry's work that retries may be whose first event will be late
    void setSharesCapacity(bool shares, double lateRetryShare);
    /// @name Memory of engines
    /// @{

    /// Sets whether memory excludes engines, because they crash if their requests exceed it. It is a cost otherwise.
    void setEnforcesMemory(bool enforces) { m_enforcesMemory = enforces; }
    /// Whether a request finds no engine with enough memory, but may find one when the reports of the other entries are
    /// renewed: this entry uses nothing of an engine that it may use, so only reported requests, which may have ended,
    /// and the margin exclude it.
    bool mayAwaitMemory(const PlacementRequest& request, TimePoint now) const;
    /// Number of engines that have no memory for a request of mean size.
    std::size_t fullEngines(TimePoint now) const;
    /// @}
    /// @name Cold endpoints
    /// @{

    /// Sets the service's rules.
    void setColdPolicy(const ColdPolicy& policy, TimePoint now);
    const ColdPolicy& coldPolicy() const { return m_coldPolicy; }
    /// Sets the time until which the shares of setLimitEntries() are certainly this entry's alone. Afterwards, for
    /// example when the process was suspended meanwhile, nothing is sent to cold endpoints, and credit is lost.
    void confirmShares(TimePoint until, TimePoint now);
    /// Records an endpoint that is new or back.
    /// @param startedAt latest time at which it may have started, if known
    void recordStart(const EndpointId& id, std::optional<TimePoint> startedAt, TimePoint now);
    /// Records the remaining cold time that an endpoint states in its record or in a response.
    void recordColdTime(const EndpointId& id, Duration left, TimePoint now);
    void recordColdTime(const Placement& placement, Duration left, TimePoint now);
    /// An endpoint counts as cold for the warm-up time from now on. The record of its cached segments is discarded.
    void setCold(const EndpointId& id, TimePoint now);
    bool isCold(const Placement& placement, TimePoint now) const;
    /// Ids and states of the endpoints that are cold.
    std::map<EndpointId, const ColdStart*> coldEndpoints(TimePoint now) const;
    /// @}
    /// Records that the attempt ended.
    HealthChange ended(const Placement& placement, EndpointOutcome outcome, TimePoint now);

    /// @name Failures, exchanged with other entries
    /// @{

    /// Endpoints at which requests of this entry have failed recently, several in a row.
    std::vector<EndpointId> failingEndpoints(TimePoint now) const;
    /// Records the endpoints at which requests of another entry fail, or of several.
    /// @param failing number of these entries, by endpoint
    /// @return the endpoints that are ejected because of it
    std::vector<EndpointId> updatePeerFailures(
        const InstanceId& peer, std::map<EndpointId, std::uint32_t> failing, TimePoint now);
    /// @}

    /// Engine time that the requests of this entry need.
    WorkRates ownWork(TimePoint now) { return m_pool.ownRates(now); }
    /// Records the engine time that another entry reported, or the sum over several entries.
    void updatePeerWork(const InstanceId& peer, const WorkRates& rates, std::size_t entries, TimePoint now)
    {
        m_pool.updatePeer(peer, rates, entries, now);
    }
    /// Current number of engines that are reserved for long prompts.
    std::size_t prefillEngines(TimePoint now) { return m_pool.size(m_pooledEndpoints, now); }
    /// Degree, from 0 to 1, to which queues of long prompts make streams late.
    double latePausesPart() const { return m_pauses.latePart(); }
    /// Load by requests of this entry; endpoints without any are omitted.
    std::map<EndpointId, EndpointUse> ownUse() const;
    /// Records the load that another entry reported.
    void updatePeerUse(const InstanceId& peer, const std::map<EndpointId, EndpointUse>& use, TimePoint now);
    /// Returns the cache hints for one round of datagrams: shared segments that requests of this entry use.
    std::map<EndpointId, std::vector<SegmentTag>> nextCacheHints() { return m_cacheHints.nextRound(); }
    /// Records the cache hints of another entry.
    void applyCacheHints(const std::map<EndpointId, std::vector<SegmentTag>>& hints, TimePoint now);

private:
    /// Load of one endpoint in the report of another entry.
    struct ReportedUse {
        EndpointId id;
        /// Index of the endpoint's state; absent if the endpoint is not known.
        std::optional<std::size_t> index;
        EndpointUse use;
    };
    /// Latest load report of another entry.
    struct PeerLoad {
        std::vector<ReportedUse> use;
        TimePoint receivedAt {};
    };
    struct State {
        explicit State(Duration cacheLifetime)
            : cachedSegments(cacheLifetime)
        {
        }

        PlacementEndpoint info;
        std::uint64_t hash = 0;
        /// Position in the order in which engines are assigned to long prompts; absent for one that is used for all
        /// prompts.
        std::optional<std::size_t> poolOrder;
        std::uint64_t generation = 0;
        bool present = false;
        /// Its zone is evacuated.
        bool isEvacuated = false;
        EndpointUse own;
        /// Sum of the load reported by peers, brought up to date by choose().
        EndpointUse peers;
        int consecutiveFailures = 0;
        double failureRate = 0;
        TimePoint lastFailure {};
        TimePoint lastSuccess {};
        TimePoint ejectedUntil {};
        Duration ejection {};
        bool probing = false;
        bool ejected = false;
        EndpointPause pause;
        EndpointLimit limit;
        ColdStart cold;
        CachedSegments cachedSegments;
        EngineSpeed::Engine speed;
        TimePoint speedReportedAt {};
        EngineMemory memory;
        StreamPauses::Engine pauses;
        /// Moving average of the time of a whole request, in microseconds.
        double requestTime = 0;
    };
    /// Rate limit of an endpoint that was removed.
    struct FormerLimit {
        RegionId region;
        EndpointLimit limit;
    };

    struct Candidate {
        std::size_t index = 0;
        double cost = 0;
        std::int64_t uncached = 0;
        double firstEvent = 0;
        /// The endpoint names a rate limit, or is cold and accepts few requests.
        bool limited = false;
        /// Shared tokens among the uncached ones.
        std::int64_t recomputed = 0;
        bool preferred = false;
        /// Other requests are processed there before this one.
        bool queued = false;
    };

    std::size_t preferredEndpointCount(std::uint64_t segment, TimePoint now);
    /// Endpoints with the highest rendezvous weights for the last shared segment, as many as its load needs.
    std::vector<std::size_t> preferredEndpoints(const PlacementRequest& request, std::size_t poolSize, TimePoint now);
    static std::int64_t uncachedTokens(const State& state, const PlacementRequest& request, TimePoint now);
    Candidate evaluate(std::size_t index, const PlacementRequest& request, const std::vector<std::size_t>& preferred,
        std::size_t poolSize, TimePoint now) const;
    void orderEndpoints();
    /// Cost, in microseconds, of an engine that is too slow for the objective of a stream's pauses.
    double gapCharge(const State& state, const PlacementRequest& request, TimePoint now) const;
    /// Cost, in microseconds, of an engine that is meant for the other kind of prompts.
    double otherPoolCharge(bool isLong) const;
    /// Updates what is known of pauses that prompts cause, if capacity is shared.
    void updatePauses(const PlacementRequest& request, TimePoint now);
    Duration expectedWork(
        const State& state, std::int64_t uncachedTokens, const PlacementRequest& request, TimePoint now) const;
    static bool isInPool(const State& state, bool isLong, std::size_t poolSize);
    bool isBetter(const Candidate& candidate, const std::optional<Candidate>& best) const;
    /// Latest expected time to the first event, in microseconds, at which a request is placed behind others.
    double latestFirstEvent(const PlacementRequest& request, TimePoint now);
    /// Whether a retry is placed although its first event will be late. Takes engine time from the budget for that.
    bool admitsReturning(const PlacementRequest& request, const Candidate& best, TimePoint now);
    /// Records the engine time of a placed request for the rules of competing callers.
    void recordPlaced(const PlacementRequest& request, Duration work, TimePoint now);
    /// @param latest result of latestFirstEvent()
    Refused overloadedRefusal(const PlacementRequest& request, const Candidate& best, double latest, TimePoint now);
    /// Time in which the engines can compute one more request of this entry.
    Duration returnSpacing(const PlacementRequest& request, const Candidate& best, TimePoint now);
    std::optional<std::size_t> indexOf(const EndpointId& id) const;
    /// Removes expired load reports from the sums, and sums up the others again if the endpoints changed.
    void sumPeerLoads(TimePoint now);
    void addToSums(const PeerLoad& report);
    void removeFromSums(const PeerLoad& report);
    /// @name Reasons why an endpoint is no candidate
    /// @{

    /// Reason that holds until the request is sent, whatever the health of the endpoint.
    std::optional<EndpointExclusion> sendExclusion(
        const State& state, const PlacementRequest& request, TimePoint now) const;
    /// The same, or its health.
    std::optional<EndpointExclusion> availabilityExclusion(
        const State& state, const PlacementRequest& request, TimePoint now) const;
    /// First reason that applies.
    /// @param tried endpoints of earlier attempts of the request
    /// @param onlyEjected ejected endpoints are used, because no others remain
    std::optional<EndpointExclusion> exclusion(const State& state, const PlacementRequest& request,
        const std::vector<EndpointId>& tried, bool onlyEjected, TimePoint now) const;
    /// Whether the engine has no memory for a request that is not placed yet.
    bool isFull(const State& state, const PlacementRequest& request, TimePoint now) const;
    bool onlyEjectedRemain(const PlacementRequest& request, TimePoint now) const;
    bool isInEvacuatedZone(const PlacementEndpoint& endpoint) const
    {
        return m_evacuatedZones.count(endpoint.zone) > 0;
    }
    /// Whether another endpoint may be ejected; evacuated ones don't count, since they take no requests either.
    bool mayEject() const;
    /// Whether there are endpoints in the allowed regions, and all of them are evacuated.
    bool allEvacuated(const PlacementRequest& request) const;
    /// @}
    /// @name Limit and coldness of endpoints that are removed and come back
    /// @{
    void keepRestrictions(const State& state, TimePoint now);
    void restoreRestrictions(std::size_t index);
    void keepLimit(const State& state, TimePoint now);
    void restoreLimit(std::size_t index);
    /// @}
    /// Applies changed facts, rules or entries to a cold endpoint.
    void updateCold(State& state, TimePoint now);
    void updateAllCold(TimePoint now);
    /// Whether the endpoint accepts only few requests while it is cold.
    bool isColdLimited(const State& state, TimePoint now) const;
    bool isLimited(const State& state, TimePoint now) const { return state.limit.rate() || isColdLimited(state, now); }
    bool coldAdmits(const State& state, TimePoint now) const;
    /// Marks a placement at a cold endpoint and reserves credit for it.
    void reserveCold(State& state, Placement& placement, TimePoint now);
    /// Uses the credit for a request that is sent now.
    bool sendCold(State& state, Placement& placement, TimePoint now);
    void recordColdResponse(State& state, const Placement& placement, TimePoint now);
    Refused coldRefusal(const PlacementRequest& request, TimePoint now);
    /// @name Memory of engines
    /// @{
    MemoryNeed memoryNeed(const State& state, const PlacementRequest& request) const;
    void reserveMemory(State& state, Placement& placement, const PlacementRequest& request, TimePoint now);
    void releaseMemory(State& state, const Placement& placement, TimePoint now);
    /// Whether the memory that was reserved for a placement is still there.
    bool hasMemory(const State& state, const Placement& placement, TimePoint now) const;
    void recordPeerMemory(const InstanceId& peer, const std::map<EndpointId, EndpointUse>& use, TimePoint now);
    Refused memoryRefusal(const PlacementRequest& request, TimePoint now);
    /// @}
    /// Applies a changed limit to this entry's share and to the pools of engines.
    void limitChanged(State& state, TimePoint now);
    void takeCredit(State& state, Placement& placement, TimePoint now);
    const State* find(const EndpointId& id) const;
    State* find(const EndpointId& id);
    /// Delay after which the next caller that was refused for lack of credit may return, so that the callers of all
    /// entries together return at the rate at which the endpoints accept requests.
    Duration limitedRetryAfter();
    /// Reason why no endpoint is available, and when to retry.
    Refused refusal(const PlacementRequest& request, const std::vector<EndpointId>& excluded, TimePoint now);
    /// Tokens, for requests of all entries, that an endpoint computes before a request of this rank.
    static std::int64_t tokensAhead(const State& state, Priority rank);
    Duration speedReportInterval(const State& state, TimePoint now) const;
    /// Records for which prompts the engines are used, as their speeds are compared within a role.
    void assignRoles(std::size_t poolSize);
    double tokenTime(const State& state, TimePoint now) const { return m_speed.tokenTime(state.speed, now); }
    State* find(const Placement& placement);
    const State* find(const Placement& placement) const;
    void prefillEnded(const Placement& placement);
    /// Ejects an endpoint unless too many are ejected.
    bool eject(State& state, TimePoint now);
    HealthChange recordFailure(State& state, TimePoint now);
    HealthChange recordSuccess(State& state, TimePoint now);

    PlacementPolicy m_policy;
    bool m_sharesCapacity = false;
    ReturnBudget m_returnBudget { 0 };
    ReturnTimes m_returnTimes;
    AccountShares m_accounts;
    ZoneId m_zone;
    RegionId m_region;
    std::vector<State> m_states;
    std::unordered_map<EndpointId, std::size_t> m_index;
    std::uint64_t m_generation = 0;
    std::unordered_map<InstanceId, PeerLoad> m_peerLoads;
    /// The endpoints changed since the reports were summed up.
    bool m_peerSumsStale = false;
    PeerFailures m_peerFailures;
    RetrySpread m_retrySpread;
    RetrySpread m_limitedRetrySpread;
    LimitEntries m_limitEntries;
    LimitTurns m_limitTurns;
    /// Endpoints that have named a rate limit.
    std::set<std::size_t> m_limited;
    std::set<ZoneId> m_evacuatedZones;
    /// Recent rate limits of endpoints that are missing in the list.
    std::map<EndpointId, FormerLimit> m_formerLimits;
    ColdPolicy m_coldPolicy;
    TimePoint m_sharesValidUntil {};
    /// Endpoints that were cold when they were removed.
    std::map<EndpointId, ColdStart> m_formerCold;
    ReturnSchedule m_coldReturns;
    PrefillPool m_pool;
    StreamPauses m_pauses;
    TimePoint m_pausesUpdatedAt {};
    /// Number of endpoints with a position in the pool's order.
    std::size_t m_pooledEndpoints = 0;
    SegmentRates m_segmentRates;
    CacheHints m_cacheHints;
    /// Tokens to be computed for waiting requests of this entry, by their last shared segment. Shared tokens are not
    /// counted: one more preferred endpoint would have to compute these too.
    std::unordered_map<std::uint64_t, std::int64_t> m_waitingTokens;
    EngineSpeed m_speed;
    std::optional<TimePoint> m_firstSpeedReportAt;
    bool m_enforcesMemory = false;
    MemoryPeers m_memoryPeers;
    RequestSizes m_requestSizes;
    /// Moving average of the time for which requests hold memory, in microseconds; 0 until one has ended.
    double m_memoryTime = 0;
    ReturnSchedule m_memoryReturns;
    double m_requestTime;
};

} // namespace wisteriayard
