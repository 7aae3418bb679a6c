#include "wisteriayard/endpoint_placement.h"

#include "wisteriayard/rendezvous.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>
#include <utility>

namespace wisteriayard {

namespace {

    /// Share of an engine's slots that are in use at a high utilization.
    constexpr double usedSlots = 0.75;
    /// Time assumed for a request to an endpoint that is not an engine before its first answer, in microseconds.
    constexpr double initialRequestTime = 20'000;

    constexpr double averageWeight = 0.1;
    /// Time after which callers return if no endpoint is usable; that of a first ejection.
    constexpr Duration unusableRetryAfter = std::chrono::milliseconds(1000);
    /// Retry-After while all endpoints are evacuated: short compared with an evacuation, long enough that the callers'
    /// retries are a small load.
    constexpr Duration evacuatedRetryAfter = std::chrono::seconds(2);

    /// Behind a queue, first events of the lowest rank take up to three times the expected time plus some slack.
    /// Without a queue, they come in the expected time.
    constexpr int maxLatenessFactor = 3;
    constexpr Duration latenessSlack = std::chrono::milliseconds(200);

    double microseconds(Duration time) { return static_cast<double>(time.count()); }

    std::int64_t promptTokens(const PlacementRequest& request)
    {
        std::int64_t sum = 0;
        for (const PromptSegment& segment : request.prompt)
            sum += segment.tokens.value();
        return sum;
    }

    /// @param request with at least one shared segment
    std::uint64_t lastSharedSegment(const PlacementRequest& request)
    {
        return request.prompt[request.prompt.size() - 2].id;
    }

    void average(double& value, double sample) { value += averageWeight * (sample - value); }

} // namespace

EndpointUse& EndpointUse::operator+=(const EndpointUse& other)
{
    running += other.running;
    backlog += other.backlog;
    memoryTokens += other.memoryTokens;
    return *this;
}

EndpointUse& EndpointUse::operator-=(const EndpointUse& other)
{
    running -= other.running;
    backlog -= other.backlog;
    memoryTokens -= other.memoryTokens;
    return *this;
}

std::string_view placementRefusalName(PlacementRefusal refusal)
{
    switch (refusal) {
    case PlacementRefusal::NoEndpoint:
        return "no_endpoint";
    case PlacementRefusal::AllEjected:
        return "all_ejected";
    case PlacementRefusal::Paused:
        return "paused";
    case PlacementRefusal::ColdStart:
        return "cold_start";
    case PlacementRefusal::Limited:
        return "limited";
    case PlacementRefusal::Overloaded:
        return "overloaded";
    case PlacementRefusal::RegionNotAvailable:
        return "region_not_available";
    case PlacementRefusal::Evacuated:
        return "evacuated";
    case PlacementRefusal::EngineMemory:
        return "engine_memory";
    }
    return "unknown";
}

bool Placement::hasProbablyBegun(TimePoint now) const
{
    Duration latest = tokensAhead > 0 ? maxLatenessFactor * expectedFirstEvent + latenessSlack : expectedFirstEvent;
    return now - placedAt >= latest;
}

EndpointPlacement::EndpointPlacement(PlacementPolicy policy, ZoneId zone, RegionId region)
    : m_policy(policy)
    , m_zone(std::move(zone))
    , m_region(std::move(region))
    , m_speed(m_policy.tokenTimeLifetime)
    , m_memoryPeers(m_policy.peerLoadLifetime)
    , m_requestTime(initialRequestTime)
{
}

void EndpointPlacement::put(const PlacementEndpoint& endpoint)
{
    auto known = m_index.find(endpoint.id);
    if (known != m_index.end()) {
        m_states[known->second].info = endpoint;
        m_states[known->second].isEvacuated = isInEvacuatedZone(endpoint);
        return;
    }
    auto free = std::find_if(m_states.begin(), m_states.end(), [](const State& state) { return !state.present; });
    std::size_t index = static_cast<std::size_t>(free - m_states.begin());
    if (free == m_states.end())
        m_states.emplace_back(m_policy.cacheLifetime);
    State state(m_policy.cacheLifetime);
    state.info = endpoint;
    state.hash = rendezvousWeight("placement", InstanceId(endpoint.id.value()));
    state.generation = ++m_generation;
    state.present = true;
    state.isEvacuated = isInEvacuatedZone(endpoint);
    m_states[index] = std::move(state);
    m_index[endpoint.id] = index;
    m_peerSumsStale = true;
    restoreRestrictions(index);
    orderEndpoints();
}

void EndpointPlacement::orderEndpoints()
{
    // Ordered by hash within each zone, taking one endpoint of each zone in turn, so that any prefix of the order
    // covers all zones. Endpoints with a rate limit do too little work to count as a part of either pool, and evacuated
    // ones do none.
    bool allLimited = std::all_of(m_index.begin(), m_index.end(), [this](const auto& each) {
        return m_states[each.second].isEvacuated || m_states[each.second].limit.rate().has_value();
    });
    std::map<ZoneId, std::vector<std::size_t>> zones;
    for (const auto& [id, index] : m_index) {
        m_states[index].poolOrder.reset();
        if (!m_states[index].isEvacuated && (allLimited || !m_states[index].limit.rate()))
            zones[m_states[index].info.zone].push_back(index);
    }
    std::vector<std::pair<std::pair<std::size_t, std::uint64_t>, std::size_t>> order;
    for (auto& [zone, members] : zones) {
        std::sort(members.begin(), members.end(),
            [this](std::size_t a, std::size_t b) { return m_states[a].hash < m_states[b].hash; });
        for (std::size_t i = 0; i < members.size(); ++i)
            order.push_back({ { i, m_states[members[i]].hash }, members[i] });
    }
    std::sort(order.begin(), order.end());
    for (std::size_t i = 0; i < order.size(); ++i)
        m_states[order[i].second].poolOrder = i;
    m_pooledEndpoints = order.size();
}

void EndpointPlacement::remove(const EndpointId& id, TimePoint now)
{
    auto known = m_index.find(id);
    if (known == m_index.end())
        return;
    keepRestrictions(m_states[known->second], now);
    m_states[known->second] = State(m_policy.cacheLifetime);
    m_limited.erase(known->second);
    m_index.erase(known);
    m_peerSumsStale = true;
    orderEndpoints();
}

std::size_t EndpointPlacement::preferredEndpointCount(std::uint64_t segment, TimePoint now)
{
    // Assumes that each other entry gets as many requests with this segment as this one.
    double entries = 1 + static_cast<double>(m_pool.peerEntries(now));
    double load = entries * m_segmentRates.rate(segment, now);
    // The average rate rises too late for a burst, so waiting prompts count as well.
    auto waiting = m_waitingTokens.find(segment);
    Duration wait = waiting == m_waitingTokens.end()
        ? Duration(0)
        : Duration(static_cast<std::int64_t>(m_speed.meanTokenTime() * static_cast<double>(waiting->second)));
    return 1 + static_cast<std::size_t>(load / m_policy.preferredUtilization)
        + static_cast<std::size_t>(wait / m_policy.prefillPerPreferredEndpoint);
}

std::vector<std::size_t> EndpointPlacement::preferredEndpoints(
    const PlacementRequest& request, std::size_t poolSize, TimePoint now)
{
    std::vector<std::size_t> preferred;
    if (request.prompt.size() < 2)
        return preferred;
    std::uint64_t key = lastSharedSegment(request);
    bool isLong = m_pool.isLong(Tokens(promptTokens(request)));
    std::vector<std::pair<std::uint64_t, std::size_t>> weights;
    std::vector<std::pair<std::uint64_t, std::size_t>> limitedWeights;
    for (const auto& [id, index] : m_index) {
        const State& state = m_states[index];
        if (!isInPool(state, isLong, poolSize) || availabilityExclusion(state, request, now))
            continue;
        // Most requests with a segment can't go to a limited endpoint, so another one has to cache the segment.
        std::uint64_t weight = mixHash(key ^ state.hash);
        auto& group = state.limit.rate() || !state.cold.takesSegment(weight, now) ? limitedWeights : weights;
        group.emplace_back(weight, index);
    }
    if (weights.empty())
        weights = std::move(limitedWeights);
    std::size_t count = std::min(preferredEndpointCount(key, now), weights.size());
    std::partial_sort(
        weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(count), weights.end(), std::greater<>());
    for (std::size_t i = 0; i < count; ++i)
        preferred.push_back(weights[i].second);
    return preferred;
}

std::int64_t EndpointPlacement::uncachedTokens(const State& state, const PlacementRequest& request, TimePoint now)
{
    std::int64_t uncached = 0;
    bool prefixCached = true;
    for (const PromptSegment& segment : request.prompt) {
        prefixCached = prefixCached && state.cachedSegments.contains(segmentTag(segment.id), now);
        if (!prefixCached)
            uncached += segment.tokens.value();
    }
    return uncached;
}

std::int64_t EndpointPlacement::tokensAhead(const State& state, Priority rank)
{
    PrefillBacklog all = state.own.backlog;
    all += state.peers.backlog;
    return all.tokensAhead(rank).value();
}

EndpointPlacement::Candidate EndpointPlacement::evaluate(std::size_t index, const PlacementRequest& request,
    const std::vector<std::size_t>& preferred, std::size_t poolSize, TimePoint now) const
{
    const State& state = m_states[index];
    Candidate candidate;
    candidate.index = index;
    candidate.limited = isLimited(state, now);
    int running = state.own.running + state.peers.running;
    double distance = 0;
    if (state.info.region != m_region)
        distance = microseconds(m_policy.regionCost);
    else if (state.info.zone != m_zone)
        distance = microseconds(m_policy.zoneCost);
    double wait = 0;
    double charge = distance;
    if (state.info.memory.value() > 0) {
        candidate.preferred = std::find(preferred.begin(), preferred.end(), index) != preferred.end();
        candidate.uncached = uncachedTokens(state, request, now);
        std::int64_t ahead = tokensAhead(state, request.rank);
        double perToken = tokenTime(state, now);
        wait = m_speed.baseTime() + perToken * static_cast<double>(ahead + candidate.uncached);
        std::int64_t own = request.prompt.empty() ? 0 : request.prompt.back().tokens.value();
        candidate.recomputed = std::max<std::int64_t>(0, candidate.uncached - own);
        // A segment has to be computed once at each of its preferred endpoints, so this is no reason to choose another.
        double factor = candidate.preferred ? 0 : m_policy.recomputeFactor;
        charge += (factor - 1) * perToken * static_cast<double>(candidate.recomputed);
        charge += microseconds(m_policy.runningCost) * running + gapCharge(state, request, now);
        candidate.queued = ahead > 0 || running >= state.info.slots;
        bool isLong = m_pool.isLong(Tokens(promptTokens(request)));
        if (!isInPool(state, isLong, poolSize))
            charge += otherPoolCharge(isLong);
        auto memory = static_cast<double>(state.own.memoryTokens + state.peers.memoryTokens);
        double need = static_cast<double>(promptTokens(request) + request.output.value());
        if (memory + need > m_policy.maxMemoryShare * static_cast<double>(state.info.memory.value()))
            charge += microseconds(m_policy.memoryCost);
        if (running >= state.info.slots)
            wait += microseconds(m_policy.memoryCost);
    } else {
        double time = state.requestTime > 0 ? state.requestTime : m_requestTime;
        int excess = std::max(0, running + 1 - state.info.slots);
        candidate.queued = excess > 0;
        wait = time * (1 + static_cast<double>(excess) / state.info.slots);
        charge += time * running / state.info.slots;
    }
    wait *= state.cold.isCold(now) ? state.cold.slowdown() : 1;
    candidate.firstEvent = wait + distance;
    candidate.cost = wait + charge;
    return candidate;
}

bool EndpointPlacement::isInPool(const State& state, bool isLong, std::size_t poolSize)
{
    return poolSize == 0 || !state.poolOrder || (*state.poolOrder < poolSize) == isLong;
}

bool EndpointPlacement::isBetter(const Candidate& candidate, const std::optional<Candidate>& best) const
{
    if (!best)
        return true;
    // The endpoint id breaks ties, so that the choice does not depend on the map's order.
    return std::tie(candidate.cost, m_states[candidate.index].info.id)
        < std::tie(best->cost, m_states[best->index].info.id);
}

Refused EndpointPlacement::refusal(
    const PlacementRequest& request, const std::vector<EndpointId>& excluded, TimePoint now)
{
    Refused refused;
    if (allEvacuated(request)) {
        refused.reason = PlacementRefusal::Evacuated;
        refused.retryAfter = evacuatedRetryAfter;
        return refused;
    }
    refused.retryAfter = unusableRetryAfter;
    std::optional<TimePoint> pauseEnd;
    bool limited = false;
    bool cold = false;
    bool full = false;
    for (const auto& [id, index] : m_index) {
        const State& state = m_states[index];
        if (std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        auto reason = sendExclusion(state, request, now);
        if (reason && reason != EndpointExclusion::Paused)
            continue;
        if (reason)
            pauseEnd = std::min(pauseEnd.value_or(state.pause.end()), state.pause.end());
        else if (isColdLimited(state, now))
            cold = true;
        else if (state.limit.rate())
            limited = true;
        else if (isFull(state, request, now))
            full = true;
        else
            refused.reason = PlacementRefusal::AllEjected;
    }
    if (cold && !limited)
        return coldRefusal(request, now);
    if (limited) {
        m_limitTurns.refused(request.rank, now);
        refused.reason = PlacementRefusal::Limited;
        refused.retryAfter = limitedRetryAfter();
        return refused;
    }
    if (full)
        return memoryRefusal(request, now);
    if (refused.reason == PlacementRefusal::AllEjected || !pauseEnd)
        return refused;
    refused.reason = PlacementRefusal::Paused;
    refused.retryAfter = m_retrySpread.nextRetryAfter(*pauseEnd, now);
    return refused;
}

PlacementDecision EndpointPlacement::choose(
    const PlacementRequest& request, const std::vector<EndpointId>& excluded, TimePoint now)
{
    sumPeerLoads(now);
    updatePauses(request, now);
    std::size_t poolSize = m_pool.size(m_pooledEndpoints, now);
    assignRoles(poolSize);
    std::vector<std::size_t> preferred = preferredEndpoints(request, poolSize, now);
    double latest = latestFirstEvent(request, now);
    std::optional<Candidate> best;
    std::optional<Candidate> spill;
    bool unlimitedInTime = false;
    // When the other endpoints have left and only ejected ones remain, requests are sent to these.
    bool onlyEjected = onlyEjectedRemain(request, now);
    for (const auto& [id, index] : m_index) {
        if (exclusion(m_states[index], request, excluded, onlyEjected, now))
            continue;
        Candidate candidate = evaluate(index, request, preferred, poolSize, now);
        if (isBetter(candidate, best))
            best = candidate;
        bool inTime = !candidate.queued || candidate.firstEvent <= latest;
        unlimitedInTime = unlimitedInTime || (inTime && !candidate.limited);
        if (inTime && candidate.recomputed <= m_policy.maxSpilledTokens.value() && isBetter(candidate, spill))
            spill = candidate;
    }
    if (best && best->queued && best->firstEvent > latest && spill)
        best = spill;
    bool yields = best && best->limited && !unlimitedInTime && m_limitTurns.mustYield(request.rank, now);
    if (!best || yields)
        return refusal(request, excluded, now);
    bool isLate = best->queued && best->firstEvent > latest;
    bool returnsLate = isLate && admitsReturning(request, *best, now);
    if (isLate && !returnsLate) {
        const State& busy = m_states[best->index];
        if (busy.info.memory.value() > 0)
            m_pool.recordWork(
                Tokens(promptTokens(request)), expectedWork(busy, best->uncached, request, now), request.rank, now);
        return overloadedRefusal(request, *best, latest, now);
    }
    const State& state = m_states[best->index];
    Placement placement;
    placement.endpoint = best->index;
    placement.generation = state.generation;
    placement.uncachedTokens = best->uncached;
    placement.memoryTokens = promptTokens(request) + request.output.value();
    placement.rank = request.rank;
    placement.tokensAhead = tokensAhead(state, request.rank);
    placement.expectedFirstEvent = Duration(static_cast<std::int64_t>(best->firstEvent));
    placement.placedAt = now;
    placement.recomputedTokens = best->recomputed;
    placement.atPreferredEndpoint = best->preferred;
    placement.queued = best->queued;
    placement.atEjectedEndpoint = state.ejected;
    placement.returnedLate = returnsLate;
    if (state.info.memory.value() > 0 && request.prompt.size() > 1)
        placement.segment = lastSharedSegment(request);
    return placement;
}

const EndpointPlacement::State* EndpointPlacement::find(const EndpointId& id) const
{
    auto known = m_index.find(id);
    return known == m_index.end() ? nullptr : &m_states[known->second];
}

EndpointPlacement::State* EndpointPlacement::find(const EndpointId& id)
{
    return const_cast<State*>(std::as_const(*this).find(id));
}

const EndpointPlacement::State* EndpointPlacement::find(const Placement& placement) const
{
    if (placement.endpoint >= m_states.size())
        return nullptr;
    const State& state = m_states[placement.endpoint];
    return state.present && state.generation == placement.generation ? &state : nullptr;
}

EndpointPlacement::State* EndpointPlacement::find(const Placement& placement)
{
    return const_cast<State*>(std::as_const(*this).find(placement));
}

void EndpointPlacement::started(Placement& placement, const PlacementRequest& request, TimePoint now)
{
    State* state = find(placement);
    if (!state)
        return;
    takeCredit(*state, placement, now);
    reserveCold(*state, placement, now);
    ++state->own.running;
    state->own.backlog.add(placement.rank, Tokens(placement.uncachedTokens));
    state->own.memoryTokens += placement.memoryTokens;
    reserveMemory(*state, placement, request, now);
    state->probing = state->ejected;
    if (state->info.memory.value() == 0)
        return;
    Duration work = expectedWork(*state, placement.uncachedTokens, request, now);
    m_pool.recordWork(Tokens(promptTokens(request)), work, request.rank, now);
    recordPlaced(request, work, now);
    if (placement.segment) {
        std::int64_t ownTokens = placement.uncachedTokens - placement.recomputedTokens;
        m_segmentRates.recordRequest(*placement.segment, expectedWork(*state, ownTokens, request, now), now);
        m_waitingTokens[*placement.segment] += ownTokens;
    }
    for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
        SegmentTag segment = segmentTag(request.prompt[i].id);
        if (state->cachedSegments.recordOwnUse(segment, now))
            m_cacheHints.add(state->info.id, segment);
    }
}

Duration EndpointPlacement::expectedWork(
    const State& state, std::int64_t uncachedTokens, const PlacementRequest& request, TimePoint now) const
{
    double prefill = tokenTime(state, now) * static_cast<double>(uncachedTokens);
    double events = static_cast<double>(request.output.value()) / std::max(1, state.info.tokensPerEvent);
    // The mean, because prompts slow the streams beside them: with the interval of each engine, those without long
    // prompts would seem to need less work, and the pool for long prompts would take engines from them.
    double decode = events * m_speed.meanEventTime() / (usedSlots * state.info.slots);
    return Duration(static_cast<std::int64_t>(prefill + decode));
}

void EndpointPlacement::eventsArrived(
    const Placement& placement, std::size_t count, Duration sincePrevious, TimePoint now)
{
    State* state = find(placement);
    if (!state || placement.isCold)
        return;
    m_speed.recordEvents(state->speed, count, sincePrevious, now);
    if (m_sharesCapacity)
        m_pauses.recordEvents(state->pauses, count, sincePrevious, tokenTime(*state, now), m_speed.meanEventTime());
}

void EndpointPlacement::firstEvent(Placement& placement, TimePoint now)
{
    State* state = find(placement);
    if (!state || placement.firstEventSeen)
        return;
    placement.firstEventSeen = true;
    prefillEnded(placement);
    state->own.backlog.remove(placement.rank, Tokens(placement.uncachedTokens));
    placement.isCold = placement.isCold || state->cold.isCold(now);
    if (placement.isCold)
        return recordColdResponse(*state, placement, now);
    std::int64_t tokens = placement.uncachedTokens + placement.tokensAhead;
    if (state->info.memory.value() > 0)
        m_speed.recordFirstEvent(state->speed, tokens, now - placement.placedAt, now);
}

void EndpointPlacement::prefillEnded(const Placement& placement)
{
    if (!placement.segment)
        return;
    auto waiting = m_waitingTokens.find(*placement.segment);
    if (waiting == m_waitingTokens.end())
        return;
    waiting->second -= placement.uncachedTokens - placement.recomputedTokens;
    if (waiting->second <= 0)
        m_waitingTokens.erase(waiting);
}

bool EndpointPlacement::pause(const Placement& placement, Duration time, TimePoint now)
{
    State* state = find(placement);
    return state && state->pause.extend(time, now);
}

bool EndpointPlacement::accepts(Placement& placement, const PlacementRequest& request, TimePoint now)
{
    State* state = find(placement);
    if (!state || sendExclusion(placement, request, now))
        return false;
    if (state->limit.rate() && !placement.tookCredit)
        takeCredit(*state, placement, now);
    return (!state->limit.rate() || placement.tookCredit) && sendCold(*state, placement, now);
}

HealthChange EndpointPlacement::ended(const Placement& placement, EndpointOutcome outcome, TimePoint now)
{
    if (!placement.firstEventSeen)
        prefillEnded(placement);
    State* state = find(placement);
    if (!state)
        return HealthChange::None;
    --state->own.running;
    state->own.memoryTokens -= placement.memoryTokens;
    releaseMemory(*state, placement, now);
    if (!placement.firstEventSeen)
        state->own.backlog.remove(placement.rank, Tokens(placement.uncachedTokens));
    state->probing = false;
    if (outcome == EndpointOutcome::Neutral)
        return HealthChange::None;
    if (outcome == EndpointOutcome::Failed)
        return recordFailure(*state, now);
    double sample = microseconds(now - placement.placedAt);
    if (outcome == EndpointOutcome::Cancelled) {
        // A slow endpoint whose requests are cancelled would otherwise look as fast as the others.
        double known = state->requestTime > 0 ? state->requestTime : m_requestTime;
        if (state->info.memory.value() == 0 && sample > known)
            state->requestTime = known + averageWeight * (sample - known);
        return HealthChange::None;
    }
    if (state->info.memory.value() == 0 && !placement.isCold) {
        if (state->requestTime == 0)
            state->requestTime = m_requestTime;
        average(state->requestTime, sample);
        average(m_requestTime, sample);
    }
    return recordSuccess(*state, now);
}

} // namespace wisteriayard
