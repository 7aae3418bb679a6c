#include "wisteriayard/zone_planner.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    double loadFraction(const TargetLoad& load)
    {
        return load.slots > 0 ? static_cast<double>(load.running + load.queued) / load.slots : 0.0;
    }

    void trackSince(std::optional<TimePoint>& start, bool holds, TimePoint now)
    {
        if (!holds)
            start.reset();
        else if (!start)
            start = now;
    }

} // namespace

ZonePlanner::ZonePlanner(PlannerPolicy policy)
    : m_policy(policy)
{
}

void ZonePlanner::observe(Target& target, const TargetLoad& load, TimePoint now) const
{
    trackSince(target.highSince, loadFraction(load) > m_policy.highLoad, now);
    trackSince(target.lowSince, loadFraction(load) < m_policy.lowLoad && load.endpoints > 1, now);
    if (!target.ordered)
        return;
    bool grows = *target.ordered > load.endpoints;
    bool stillRequired = grows ? loadFraction(load) > m_policy.desiredLoad : loadFraction(load) < m_policy.desiredLoad;
    if (*target.ordered == load.endpoints || !stillRequired)
        target = Target {};
}

std::optional<int> ZonePlanner::desiredEndpoints(const Target& target, const TargetLoad& load, TimePoint now) const
{
    if (target.highSince && now - *target.highSince >= m_policy.scaleUpAfter) {
        double slotsPerEndpoint = static_cast<double>(load.slots) / load.endpoints;
        int needed
            = static_cast<int>(std::ceil((load.running + load.queued) / (slotsPerEndpoint * m_policy.desiredLoad)));
        // At most doubled in one step: a queue that grew during a stall is not lasting demand.
        return std::clamp(needed, load.endpoints + 1, load.endpoints * 2);
    }
    if (target.lowSince && now - *target.lowSince >= m_policy.scaleDownAfter)
        return load.endpoints - 1;
    return std::nullopt;
}

std::vector<ZoneOrder> ZonePlanner::plan(const std::vector<TargetLoad>& loads, TimePoint now)
{
    std::vector<ZoneOrder> orders;
    for (const TargetLoad& load : loads) {
        if (load.endpoints == 0)
            continue; // the load of a target without endpoints is unknown
        Target& target = m_targets[load.target];
        observe(target, load, now);
        if (!target.ordered)
            target.ordered = desiredEndpoints(target, load, now);
        if (target.ordered)
            orders.push_back({ load.target, *target.ordered });
    }
    return orders;
}

} // namespace wisteriayard
