// EndpointPlacement: ejection of endpoints at which requests fail.
#include "wisteriayard/endpoint_placement.h"

#include <algorithm>
#include <utility>

namespace wisteriayard {

namespace {

    /// Failures in a row after which an endpoint is ejected, and the failure rate that does the same.
    constexpr int ejectAfterFailures = 3;
    constexpr double ejectFailureRate = 0.6;
    constexpr double failureWeight = 0.2;
    constexpr Duration firstEjection = std::chrono::milliseconds(1000);
    constexpr Duration maxEjection = std::chrono::seconds(6);
    /// Maximum share of ejected endpoints: if more fail, the cause lies elsewhere, and the rest would be overloaded.
    constexpr double maxEjectedShare = 0.5;
    /// Failures in a row that are reported to other entries. A single one may be due to the request.
    constexpr int reportAfterFailures = 2;
    /// Time since the last failure for which it is reported.
    constexpr Duration failureReporting = std::chrono::seconds(1);
    /// Time for which an own success weighs more than the reports of other entries.
    constexpr Duration successPrecedence = std::chrono::milliseconds(500);

} // namespace

bool EndpointPlacement::mayEject() const
{
    std::size_t usable = 0;
    std::size_t ejected = 0;
    for (const auto& [id, index] : m_index) {
        if (m_states[index].isEvacuated)
            continue;
        ++usable;
        ejected += m_states[index].ejected ? 1 : 0;
    }
    return static_cast<double>(ejected + 1) <= maxEjectedShare * static_cast<double>(usable);
}

bool EndpointPlacement::eject(State& state, TimePoint now)
{
    if (!mayEject())
        return false;
    state.ejected = true;
    state.ejection = firstEjection;
    state.ejectedUntil = now + state.ejection;
    return true;
}

HealthChange EndpointPlacement::recordFailure(State& state, TimePoint now)
{
    ++state.consecutiveFailures;
    state.lastFailure = now;
    state.failureRate += failureWeight * (1 - state.failureRate);
    if (state.ejected) {
        state.ejection = std::min(2 * state.ejection, maxEjection);
        state.ejectedUntil = now + state.ejection;
        return HealthChange::None;
    }
    bool failing = state.consecutiveFailures >= ejectAfterFailures || state.failureRate >= ejectFailureRate
        || m_peerFailures.entries(state.info.id, now) >= PeerFailures::entriesToDoubt;
    return failing && eject(state, now) ? HealthChange::Ejected : HealthChange::None;
}

HealthChange EndpointPlacement::recordSuccess(State& state, TimePoint now)
{
    state.consecutiveFailures = 0;
    state.lastSuccess = now;
    state.failureRate -= failureWeight * state.failureRate;
    if (!state.ejected)
        return HealthChange::None;
    state.ejected = false;
    state.failureRate = 0;
    return HealthChange::Restored;
}

std::vector<EndpointId> EndpointPlacement::failingEndpoints(TimePoint now) const
{
    std::vector<EndpointId> failing;
    for (const auto& [id, index] : m_index) {
        const State& state = m_states[index];
        if (state.consecutiveFailures >= reportAfterFailures && now - state.lastFailure < failureReporting)
            failing.push_back(id);
    }
    return failing;
}

std::vector<EndpointId> EndpointPlacement::updatePeerFailures(
    const InstanceId& peer, std::map<EndpointId, std::uint32_t> failing, TimePoint now)
{
    std::vector<EndpointId> reported;
    for (const auto& [id, entries] : failing)
        reported.push_back(id);
    m_peerFailures.update(peer, std::move(failing), now);
    std::vector<EndpointId> ejected;
    for (const EndpointId& id : reported) {
        State* state = find(id);
        if (!state || state->ejected || now - state->lastSuccess < successPrecedence)
            continue;
        if (m_peerFailures.entries(id, now) >= PeerFailures::entriesToEject && eject(*state, now))
            ejected.push_back(id);
    }
    return ejected;
}

} // namespace wisteriayard
