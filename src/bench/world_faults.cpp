// Faults of a scenario: when they come and what they do to the world.
#include "world.h"

#include <algorithm>

namespace wisteriayard::bench {

namespace {

    constexpr double saturatedShare = 0.05;

} // namespace

void World::planFault(double share, FaultKind kind, std::uint32_t endpoint)
{
    m_faults.push_back({ kind, endpoint });
    auto at = Duration(static_cast<std::int64_t>(static_cast<double>(m_settings.length.count()) * share));
    push(m_now + at, Kind::Fault, static_cast<std::uint32_t>(m_faults.size() - 1));
}

void World::planFaults()
{
    Scenario scenario = m_settings.scenario;
    std::uint32_t plain = 0;
    while (!m_endpoints[plain].plain)
        ++plain;
    if (scenario == Scenario::Stragglers) {
        for (std::uint32_t engine : { 1U, 8U }) {
            planFault(0.25, FaultKind::Slow, engine);
            planFault(0.75, FaultKind::Recover, engine);
        }
    }
    if (scenario == Scenario::Crashes || scenario == Scenario::BurstAndCrashes) {
        // One engine each minute, which is out for 45 s.
        double minute = 60 / std::chrono::duration<double>(m_settings.length).count();
        for (std::uint32_t i = 1; i * minute < 1; ++i) {
            std::uint32_t engine = 2 * i % 12;
            planFault(i * minute, FaultKind::Crash, engine);
            planFault((i + 0.75) * minute, FaultKind::Restart, engine);
        }
        planFault(0.5, FaultKind::Crash, plain);
        planFault(0.7, FaultKind::Restart, plain);
    }
    if (scenario == Scenario::CacheGaps) {
        for (int i = 1; i < 20; ++i)
            planFault(i / 20.0, FaultKind::LoseCaches);
    }
    if (scenario == Scenario::LinkSaturated) {
        planFault(0.25, FaultKind::SlowLink);
        planFault(0.75, FaultKind::RestoreLink);
    }
}

void World::applyFault(const Fault& fault)
{
    Endpoint& endpoint = m_endpoints[fault.endpoint];
    switch (fault.kind) {
    case FaultKind::Crash:
        crash(fault.endpoint);
        break;
    case FaultKind::Restart:
        endpoint.up = true;
        push(m_now + failureNotice, Kind::EndpointUp, fault.endpoint);
        break;
    case FaultKind::Slow:
        endpoint.engine.setSlowness(5);
        break;
    case FaultKind::Recover:
        endpoint.engine.setSlowness(1);
        break;
    case FaultKind::LoseCaches:
        for (Endpoint& each : m_endpoints) {
            if (m_random() % 2)
                each.engine.loseCache();
        }
        break;
    case FaultKind::SlowLink:
        m_linkRate = linkBytesPerSecond * saturatedShare;
        break;
    case FaultKind::RestoreLink:
        m_linkRate = linkBytesPerSecond;
        break;
    }
}

void World::crash(std::uint32_t index)
{
    Endpoint& endpoint = m_endpoints[index];
    endpoint.up = false;
    endpoint.stepping = false;
    ++endpoint.epoch;
    push(m_now + failureNotice, Kind::EndpointDown, index);
    auto lose = [&](std::uint32_t request, bool neverRan) {
        push(m_now + failureNotice + m_deployment.betweenRegions, Kind::Failed, request, m_live[request].attempt,
            neverRan ? 1 : 0);
    };
    for (const EngineJob& job : endpoint.engine.crash()) {
        if (!current(job.request, job.attempt))
            continue;
        ClassFigures& figures = figuresOf(job.request);
        figures.computedTokens += job.computed;
        figures.wastedTokens += std::max<std::int64_t>(
            0, job.computed - (m_live[job.request].delivered - m_live[job.request].attemptStart));
        lose(job.request, job.computed == 0);
    }
    for (std::uint32_t request : endpoint.serviceRunning)
        lose(request, false);
    for (const auto& item : endpoint.serviceQueue)
        lose(std::get<2>(item), true);
    endpoint.serviceRunning.clear();
    endpoint.serviceQueue.clear();
    endpoint.samples.clear();
}

} // namespace wisteriayard::bench
