#include "wisteriayard/zone_planner.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    double share(const TargetLoad& load)
    {
        return load.slots > 0 ? static_cast<double>(load.running + load.queued) / load.slots : 0.0;
    }

    void since(std::optional<TimePoint>& start, bool holds, TimePoint now)
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
    since(target.highSince, share(load) > m_policy.high, now);
    since(target.lowSince, share(load) < m_policy.low && load.endpoints > 1, now);
    if (!target.ordered)
        return;
    bool grows = *target.ordered > load.endpoints;
    bool stillAsked = grows ? share(load) > m_policy.aim : share(load) < m_policy.aim;
    if (*target.ordered == load.endpoints || !stillAsked)
        target = Target {};
}

std::optional<int> ZonePlanner::wanted(const Target& target, const TargetLoad& load, TimePoint now) const
{
    if (target.highSince && now - *target.highSince >= m_policy.growAfter) {
        double slotsOfOne = static_cast<double>(load.slots) / load.endpoints;
        int needed = static_cast<int>(std::ceil((load.running + load.queued) / (slotsOfOne * m_policy.aim)));
        // At most doubled in one step: a queue that grew during a stall is no lasting demand.
        return std::clamp(needed, load.endpoints + 1, load.endpoints * 2);
    }
    if (target.lowSince && now - *target.lowSince >= m_policy.shrinkAfter)
        return load.endpoints - 1;
    return std::nullopt;
}

std::vector<ZoneOrder> ZonePlanner::plan(const std::vector<TargetLoad>& loads, TimePoint now)
{
    std::vector<ZoneOrder> orders;
    for (const TargetLoad& load : loads) {
        if (load.endpoints == 0)
            continue; // nothing tells the load of a target without endpoints
        Target& target = m_targets[load.target];
        observe(target, load, now);
        if (!target.ordered)
            target.ordered = wanted(target, load, now);
        if (target.ordered)
            orders.push_back({ load.target, *target.ordered });
    }
    return orders;
}

} // namespace wisteriayard
