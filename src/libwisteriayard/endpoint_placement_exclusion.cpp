// EndpointPlacement: reasons why an endpoint is no candidate for a request.
#include "wisteriayard/endpoint_placement.h"

#include <algorithm>

namespace wisteriayard {

std::optional<EndpointExclusion> EndpointPlacement::sendExclusion(
    const State& state, const PlacementRequest& request, TimePoint now) const
{
    if (!request.allowedRegions.contains(state.info.region))
        return EndpointExclusion::OtherRegion;
    if (state.isEvacuated)
        return EndpointExclusion::Evacuated;
    if (state.pause.isActive(now))
        return EndpointExclusion::Paused;
    return std::nullopt;
}

std::optional<EndpointExclusion> EndpointPlacement::sendExclusion(
    const Placement& placement, const PlacementRequest& request, TimePoint now) const
{
    const State* state = find(placement);
    if (!state)
        return std::nullopt;
    if (auto reason = sendExclusion(*state, request, now))
        return reason;
    return hasMemory(*state, placement, now) ? std::nullopt : std::optional(EndpointExclusion::Memory);
}

std::optional<EndpointExclusion> EndpointPlacement::availabilityExclusion(
    const State& state, const PlacementRequest& request, TimePoint now) const
{
    if (auto reason = sendExclusion(state, request, now))
        return reason;
    if (!state.ejected)
        return std::nullopt;
    // While requests of several other entries fail there, a trial would only fail as well.
    bool isTrialDue = now >= state.ejectedUntil && !state.probing
        && m_peerFailures.entries(state.info.id, now) < PeerFailures::entriesToEject;
    return isTrialDue ? std::nullopt : std::optional(EndpointExclusion::Ejected);
}

std::optional<EndpointExclusion> EndpointPlacement::exclusion(const State& state, const PlacementRequest& request,
    const std::vector<EndpointId>& tried, bool onlyEjected, TimePoint now) const
{
    if (std::find(tried.begin(), tried.end(), state.info.id) != tried.end())
        return EndpointExclusion::AlreadyTried;
    auto reason = onlyEjected ? sendExclusion(state, request, now) : availabilityExclusion(state, request, now);
    if (reason)
        return reason;
    if (!coldAdmits(state, now))
        return EndpointExclusion::ColdStart;
    if (!state.limit.admits(now))
        return EndpointExclusion::RateLimit;
    if (isFull(state, request, now))
        return EndpointExclusion::Memory;
    return std::nullopt;
}

bool EndpointPlacement::onlyEjectedRemain(const PlacementRequest& request, TimePoint now) const
{
    return std::none_of(m_index.begin(), m_index.end(),
        [&](const auto& each) { return !availabilityExclusion(m_states[each.second], request, now); });
}

bool EndpointPlacement::allEvacuated(const PlacementRequest& request) const
{
    bool anyAllowed = false;
    for (const auto& [id, index] : m_index) {
        if (!request.allowedRegions.contains(m_states[index].info.region))
            continue;
        if (!m_states[index].isEvacuated)
            return false;
        anyAllowed = true;
    }
    return anyAllowed;
}

void EndpointPlacement::setEvacuatedZones(std::set<ZoneId> zones)
{
    m_evacuatedZones = std::move(zones);
    for (const auto& [id, index] : m_index)
        m_states[index].isEvacuated = isInEvacuatedZone(m_states[index].info);
    orderEndpoints();
}

void EndpointPlacement::forgetCachedSegments(const std::set<ZoneId>& zones)
{
    for (const auto& [id, index] : m_index) {
        if (zones.count(m_states[index].info.zone) > 0)
            m_states[index].cachedSegments = CachedSegments(m_policy.cacheLifetime);
    }
}

} // namespace wisteriayard
