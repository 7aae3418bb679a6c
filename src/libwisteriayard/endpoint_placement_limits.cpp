// EndpointPlacement: the rate limits that endpoints name for all entries together.
#include "wisteriayard/endpoint_placement.h"

#include <algorithm>
#include <utility>

namespace wisteriayard {

namespace {

    /// Range of the time after which a caller that was refused for lack of credit returns, however low or high the
    /// limits are.
    constexpr Duration minLimitedRetryAfter = std::chrono::milliseconds(100);
    constexpr Duration maxLimitedRetryAfter = std::chrono::seconds(5);

} // namespace

std::optional<RequestRate> EndpointPlacement::limit(const Placement& placement) const
{
    const State* state = find(placement);
    return state ? state->limit.rate() : std::nullopt;
}

bool EndpointPlacement::recordLimit(
    const Placement& placement, std::optional<RequestRate> rate, TimePoint sentAt, TimePoint now)
{
    State* state = find(placement);
    if (!state || !state->limit.recordResponse(rate, sentAt, now))
        return false;
    limitChanged(*state, now);
    return true;
}

void EndpointPlacement::keepLimit(const State& state, TimePoint now)
{
    std::erase_if(m_formerLimits, [now](const auto& each) { return !each.second.limit.isRecent(now); });
    if (state.limit.isRecent(now))
        m_formerLimits[state.info.id] = { state.info.region, state.limit };
}

void EndpointPlacement::restoreLimit(std::size_t index)
{
    State& state = m_states[index];
    auto former = m_formerLimits.extract(state.info.id);
    if (former.empty())
        return;
    state.limit = std::move(former.mapped().limit);
    m_limited.insert(index);
}

void EndpointPlacement::limitChanged(State& state, TimePoint now)
{
    m_limited.insert(m_index.at(state.info.id));
    state.limit.updateShare(state.info.id, state.info.region, m_limitEntries, now);
    orderEndpoints();
}

void EndpointPlacement::setLimitEntries(const LimitEntries& entries, TimePoint now)
{
    m_limitEntries = entries;
    m_memoryPeers.setEntries(entries, m_region);
    for (std::size_t index : m_limited) {
        State& state = m_states[index];
        state.limit.updateShare(state.info.id, state.info.region, entries, now);
    }
    for (auto& [id, former] : m_formerLimits)
        former.limit.updateShare(id, former.region, entries, now);
    updateAllCold(now);
}

std::map<EndpointId, LimitObservation> EndpointPlacement::limitReports(TimePoint now) const
{
    std::map<EndpointId, LimitObservation> reports;
    for (std::size_t index : m_limited) {
        if (auto observation = m_states[index].limit.reportable(now))
            reports[m_states[index].info.id] = *observation;
    }
    return reports;
}

bool EndpointPlacement::applyLimitReport(const EndpointId& id, const LimitObservation& observation, TimePoint now)
{
    State* state = find(id);
    if (!state || !state->limit.recordPeerObservation(observation))
        return false;
    limitChanged(*state, now);
    return true;
}

std::vector<EndpointId> EndpointPlacement::takeUnusedCredit(TimePoint now)
{
    std::vector<EndpointId> taken;
    for (std::size_t index : m_limited) {
        if (m_states[index].limit.takeUnused(now))
            taken.push_back(m_states[index].info.id);
    }
    return taken;
}

void EndpointPlacement::addPassedOnCredit(const EndpointId& id, TimePoint now)
{
    if (State* state = find(id))
        state->limit.addPassedOn(now);
}

std::optional<RequestRate> EndpointPlacement::limit(const EndpointId& id) const
{
    const State* state = find(id);
    return state ? state->limit.rate() : std::nullopt;
}

RequestRate EndpointPlacement::limitShare(const EndpointId& id) const
{
    const State* state = find(id);
    return state ? state->limit.share() : RequestRate(0);
}

void EndpointPlacement::takeCredit(State& state, Placement& placement, TimePoint now)
{
    placement.tookCredit = state.limit.rate() && state.limit.tryAcquire(now);
    if (placement.tookCredit)
        m_limitTurns.taken();
}

void EndpointPlacement::notSent(Placement& placement, TimePoint now)
{
    State* state = find(placement);
    if (state && std::exchange(placement.tookCredit, false))
        state->limit.giveBack(now);
    if (state && std::exchange(placement.reservedCold, false))
        state->cold.release();
}

Duration EndpointPlacement::limitedRetryAfter()
{
    double rate = 0;
    for (std::size_t index : m_limited)
        rate += m_states[index].limit.rate().value_or(RequestRate(0)).value();
    // Assumes that each other entry refuses as many callers as this one.
    auto entries = static_cast<double>(std::max<std::size_t>(1, m_limitEntries.regions.size()));
    double seconds = std::min(toSeconds(maxLimitedRetryAfter), entries / rate);
    Duration spacing = scaled(std::chrono::seconds(1), seconds);
    return std::max(minLimitedRetryAfter, spacing) + m_limitedRetrySpread.nextOffset(spacing);
}

} // namespace wisteriayard
