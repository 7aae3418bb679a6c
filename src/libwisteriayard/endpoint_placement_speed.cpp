// EndpointPlacement: speeds of engines.
#include "wisteriayard/endpoint_placement.h"

#include <algorithm>
#include <utility>

namespace wisteriayard {

namespace {

    /// Parts of the pause objective from which on the expected time between two events has a cost, and at which it has
    /// the whole cost. Single pauses are longer than the mean.
    constexpr double firstCostAt = 0.95;
    constexpr double fullCostAt = 1.1;

    /// Speeds change slowly, and a report for each engine in each datagram would be most of its size.
    constexpr Duration differentSpeedInterval = std::chrono::seconds(1);
    /// Interval for engines that are not known to differ from the mean. Reports of all engines each second raised the
    /// bytes between the regions of a fleet of 103 entries by up to half.
    constexpr Duration usualSpeedInterval = std::chrono::seconds(5);
    /// Time after the first sample for which reports are sent at the short interval, so that differences are found.
    constexpr Duration firstSpeedReports = std::chrono::seconds(5);

} // namespace

double EndpointPlacement::gapCharge(const State& state, const PlacementRequest& request, TimePoint now) const
{
    if (request.gapObjective <= Duration(0))
        return 0;
    if (!m_speed.mayPauseLonger(state.speed, scaled(request.gapObjective, firstCostAt), now))
        return 0;
    double objective = static_cast<double>(request.gapObjective.count());
    double part = m_speed.pauseTime(state.speed, now) / objective;
    double excess = std::clamp((part - firstCostAt) / (fullCostAt - firstCostAt), 0.0, 1.0);
    return excess * static_cast<double>(m_policy.gapCost.count());
}

double EndpointPlacement::otherPoolCharge(bool isLong) const
{
    Duration cost = isLong ? m_policy.longOutsidePoolCost : m_policy.shortInsidePoolCost;
    double factor = 1 + (m_policy.latePausesCostFactor - 1) * m_pauses.latePart();
    return factor * static_cast<double>(cost.count());
}

void EndpointPlacement::updatePauses(const PlacementRequest& request, TimePoint now)
{
    if (!m_sharesCapacity)
        return;
    m_pauses.recordObjective(request.gapObjective, now);
    Duration elapsed = now - std::exchange(m_pausesUpdatedAt, now);
    for (const auto& [id, index] : m_index) {
        State& state = m_states[index];
        std::int64_t backlog = state.own.backlog.total().value() + state.peers.backlog.total().value();
        m_pauses.recordBacklog(state.pauses, backlog, elapsed);
    }
}

void EndpointPlacement::assignRoles(std::size_t poolSize)
{
    for (State& state : m_states) {
        if (poolSize == 0 || !state.poolOrder)
            state.speed.role = EngineRole::AllPrompts;
        else
            state.speed.role = *state.poolOrder < poolSize ? EngineRole::LongPrompts : EngineRole::ShortPrompts;
    }
}

Duration EndpointPlacement::speedReportInterval(const State& state, TimePoint now) const
{
    bool isFirst = !m_firstSpeedReportAt || now - *m_firstSpeedReportAt < firstSpeedReports;
    return isFirst || m_speed.differs(state.speed, now) ? differentSpeedInterval : usualSpeedInterval;
}

std::map<EndpointId, SpeedReport> EndpointPlacement::speedReports(TimePoint now)
{
    std::map<EndpointId, SpeedReport> reports;
    for (const auto& [id, index] : m_index) {
        State& state = m_states[index];
        if (now - state.speedReportedAt < speedReportInterval(state, now))
            continue;
        auto report = m_speed.report(state.speed, now);
        if (!report || now - report->age <= state.speedReportedAt)
            continue;
        reports[id] = *report;
        state.speedReportedAt = now;
        m_firstSpeedReportAt = m_firstSpeedReportAt.value_or(now);
    }
    return reports;
}

void EndpointPlacement::applySpeedReport(
    const InstanceId& peer, const EndpointId& id, const SpeedReport& report, TimePoint now)
{
    addSpeedReport(peer, id, report, now);
    speedReportsAdded(now);
}

void EndpointPlacement::addSpeedReport(
    const InstanceId& peer, const EndpointId& id, const SpeedReport& report, TimePoint now)
{
    State* state = find(id);
    if (state && state->info.memory.value() > 0)
        m_speed.addReport(state->speed, peer, report, now);
}

} // namespace wisteriayard
