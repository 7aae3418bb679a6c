// EndpointPlacement: which requests are placed when capacity is short.
#include "wisteriayard/endpoint_placement.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    double microseconds(Duration time) { return static_cast<double>(time.count()); }

} // namespace

void EndpointPlacement::setSharesCapacity(bool shares)
{
    m_sharesCapacity = shares;
    m_speed.setSharesFirstTimes(shares);
}

double EndpointPlacement::latestFirstEvent(const PlacementRequest& request, TimePoint)
{
    double inTime = m_policy.maxTimeLeftShare * microseconds(request.timeLeft);
    bool hasEngines = std::any_of(
        m_states.begin(), m_states.end(), [](const State& state) { return state.info.memory.value() > 0; });
    // An assumed time is no reason to refuse a request that the engines may be able to answer in time.
    if (m_sharesCapacity && hasEngines && m_speed.isAssumed())
        return inTime;
    return std::min(inTime, m_policy.maxObjectiveShare * microseconds(request.objective));
}

} // namespace wisteriayard
