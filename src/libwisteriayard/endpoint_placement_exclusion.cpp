// EndpointPlacement: reasons why an endpoint is no candidate for a request.
#include "wisteriayard/endpoint_placement.h"

#include <algorithm>

namespace wisteriayard {

std::optional<EndpointExclusion> EndpointPlacement::sendExclusion(
    const State& state, const PlacementRequest& request, TimePoint now) const
{
    if (!request.allowedRegions.contains(state.info.region))
        return EndpointExclusion::OtherRegion;
    if (state.pause.isActive(now))
        return EndpointExclusion::Paused;
    return std::nullopt;
}

std::optional<EndpointExclusion> EndpointPlacement::availabilityExclusion(
    const State& state, const PlacementRequest& request, TimePoint now) const
{
    if (auto reason = sendExclusion(state, request, now))
        return reason;
    bool isTrialDue = now >= state.ejectedUntil && !state.probing;
    if (state.ejected && !isTrialDue)
        return EndpointExclusion::Ejected;
    return std::nullopt;
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
    return std::nullopt;
}

bool EndpointPlacement::onlyEjectedRemain(const PlacementRequest& request, TimePoint now) const
{
    return std::none_of(m_index.begin(), m_index.end(),
        [&](const auto& each) { return !availabilityExclusion(m_states[each.second], request, now); });
}

} // namespace wisteriayard
