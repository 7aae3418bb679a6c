// EndpointPlacement: endpoints that accept few requests because they are cold.
#include "wisteriayard/endpoint_placement.h"

#include <algorithm>
#include <utility>

namespace wisteriayard {

void EndpointPlacement::setColdPolicy(const ColdPolicy& policy, TimePoint now)
{
    if (policy == m_coldPolicy)
        return;
    m_coldPolicy = policy;
    updateAllCold(now);
}

void EndpointPlacement::updateCold(State& state, TimePoint now)
{
    state.cold.update(state.info.id, state.info.region, m_coldPolicy, m_limitEntries, now);
}

void EndpointPlacement::updateAllCold(TimePoint now)
{
    for (const auto& [id, index] : m_index)
        updateCold(m_states[index], now);
}

void EndpointPlacement::confirmShares(TimePoint until, TimePoint now)
{
    bool begins = now >= m_sharesValidUntil && now < until;
    m_sharesValidUntil = until;
    if (!begins)
        return;
    // Credit of before may have been used by others meanwhile.
    for (const auto& [id, index] : m_index) {
        m_states[index].cold.dropCredit();
        updateCold(m_states[index], now);
    }
}

void EndpointPlacement::keepRestrictions(const State& state, TimePoint now)
{
    keepLimit(state, now);
    std::erase_if(m_formerCold, [now](const auto& each) { return !each.second.isCold(now); });
    if (state.cold.isCold(now))
        m_formerCold[state.info.id] = state.cold;
}

void EndpointPlacement::restoreRestrictions(std::size_t index)
{
    restoreLimit(index);
    State& state = m_states[index];
    auto former = m_formerCold.extract(state.info.id);
    if (!former.empty())
        state.cold = former.mapped().withoutCredit();
}

void EndpointPlacement::recordStart(const EndpointId& id, std::optional<TimePoint> startedAt, TimePoint now)
{
    State* state = find(id);
    if (!state)
        return;
    if (startedAt)
        state->cold.recordStart(*startedAt);
    updateCold(*state, now);
}

void EndpointPlacement::recordColdTime(const EndpointId& id, Duration left, TimePoint now)
{
    State* state = find(id);
    if (!state)
        return;
    state->cold.recordTimeLeft(left, now);
    updateCold(*state, now);
}

void EndpointPlacement::recordColdTime(const Placement& placement, Duration left, TimePoint now)
{
    if (const State* state = find(placement))
        recordColdTime(state->info.id, left, now);
}

void EndpointPlacement::setCold(const EndpointId& id, TimePoint now)
{
    State* state = find(id);
    if (!state)
        return;
    state->cold.mark(now);
    state->cachedSegments = CachedSegments(m_policy.cacheLifetime);
    updateCold(*state, now);
}

bool EndpointPlacement::isCold(const Placement& placement, TimePoint now) const
{
    const State* state = find(placement);
    return state && state->cold.isCold(now);
}

std::map<EndpointId, const ColdStart*> EndpointPlacement::coldEndpoints(TimePoint now) const
{
    std::map<EndpointId, const ColdStart*> cold;
    for (const auto& [id, index] : m_index) {
        if (m_states[index].cold.isCold(now))
            cold[id] = &m_states[index].cold;
    }
    return cold;
}

bool EndpointPlacement::isColdLimited(const State& state, TimePoint now) const
{
    return m_coldPolicy.perSecond.value() > 0 && state.cold.isCold(now);
}

bool EndpointPlacement::coldAdmits(const State& state, TimePoint now) const
{
    if (!isColdLimited(state, now))
        return true;
    return now < m_sharesValidUntil && state.cold.admits(now);
}

void EndpointPlacement::reserveCold(State& state, Placement& placement, TimePoint now)
{
    placement.isCold = state.cold.isCold(now);
    if (!placement.isCold)
        return;
    placement.slowdown = state.cold.slowdown();
    placement.reservedCold = isColdLimited(state, now) && state.cold.tryReserve(now);
    if (placement.reservedCold)
        m_limitTurns.taken();
}

bool EndpointPlacement::sendCold(State& state, Placement& placement, TimePoint now)
{
    // An endpoint that turned cold after the placement is slow, too.
    placement.isCold = placement.isCold || state.cold.isCold(now);
    bool isReserved = std::exchange(placement.reservedCold, false);
    bool maySend = now < m_sharesValidUntil || !isColdLimited(state, now);
    if (!maySend && isReserved)
        state.cold.release();
    return maySend && state.cold.trySend(isReserved, now);
}

void EndpointPlacement::recordColdResponse(State& state, const Placement& placement, TimePoint now)
{
    state.cold.recordResponseTime(
        now - placement.placedAt, scaled(placement.expectedFirstEvent, 1 / placement.slowdown));
}

Refused EndpointPlacement::coldRefusal(const PlacementRequest& request, TimePoint now)
{
    m_limitTurns.refused(request.rank, now);
    double rate = 0;
    for (const auto& [id, cold] : coldEndpoints(now))
        rate += cold->perSecond().value();
    // Assumes that each other entry refuses as many callers as this one.
    auto entries = static_cast<double>(std::max<std::size_t>(1, m_limitEntries.regions.size()));
    constexpr double maxSpacing = 60;
    Duration spacing = scaled(std::chrono::seconds(1), std::min(maxSpacing, entries / rate));
    Refused refused;
    refused.reason = PlacementRefusal::ColdStart;
    refused.retryAfter = m_coldReturns.next(spacing, now);
    return refused;
}

} // namespace wisteriayard
