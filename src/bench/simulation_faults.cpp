// Fault injection of the simulation: schedule and effects of the faults of each scenario.
#include "simulation.h"

#include <algorithm>

namespace wisteriayard::bench {

namespace {

    constexpr double saturatedShare = 0.05;

} // namespace

void Simulation::scheduleFault(double share, FaultKind kind, std::uint32_t endpoint)
{
    m_faults.push_back({ kind, endpoint });
    auto at = Duration(static_cast<std::int64_t>(static_cast<double>(m_settings.length.count()) * share));
    schedule(m_now + at, EventKind::Fault, static_cast<std::uint32_t>(m_faults.size() - 1));
}

void Simulation::scheduleFaults()
{
    Scenario scenario = m_settings.scenario;
    std::uint32_t plain = 0;
    while (!m_endpoints[plain].plain)
        ++plain;
    if (scenario == Scenario::Stragglers) {
        for (std::uint32_t engine : { 1U, 8U }) {
            scheduleFault(0.25, FaultKind::Slow, engine);
            scheduleFault(0.75, FaultKind::Recover, engine);
        }
    }
    if (scenario == Scenario::Crashes || scenario == Scenario::BurstAndCrashes) {
        // Each minute one engine crashes and restarts 45 s later.
        double minute = 60 / std::chrono::duration<double>(m_settings.length).count();
        for (std::uint32_t i = 1; i * minute < 1; ++i) {
            std::uint32_t engine = 2 * i % 12;
            scheduleFault(i * minute, FaultKind::Crash, engine);
            scheduleFault((i + 0.75) * minute, FaultKind::Restart, engine);
        }
        scheduleFault(0.5, FaultKind::Crash, plain);
        scheduleFault(0.7, FaultKind::Restart, plain);
    }
    if (scenario == Scenario::CacheGaps) {
        for (int i = 1; i < 20; ++i)
            scheduleFault(i / 20.0, FaultKind::LoseCaches);
    }
    if (scenario == Scenario::LinkSaturated) {
        scheduleFault(0.25, FaultKind::SlowLink);
        scheduleFault(0.75, FaultKind::RestoreLink);
    }
}

void Simulation::applyFault(const Fault& fault)
{
    Endpoint& endpoint = m_endpoints[fault.endpoint];
    switch (fault.kind) {
    case FaultKind::Crash:
        crash(fault.endpoint);
        break;
    case FaultKind::Restart:
        endpoint.up = true;
        schedule(m_now + failureDetectionDelay, EventKind::EndpointUp, fault.endpoint);
        break;
    case FaultKind::Slow:
        endpoint.engine.setSlowdown(5);
        break;
    case FaultKind::Recover:
        endpoint.engine.setSlowdown(1);
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

void Simulation::crash(std::uint32_t index)
{
    Endpoint& endpoint = m_endpoints[index];
    endpoint.up = false;
    endpoint.stepping = false;
    ++endpoint.epoch;
    schedule(m_now + failureDetectionDelay, EventKind::EndpointDown, index);
    auto reportFailure = [&](std::uint32_t request, bool notExecuted) {
        schedule(m_now + failureDetectionDelay + m_deployment.interRegionDelay, EventKind::Failed, request,
            m_requests[request].attempt, notExecuted ? 1 : 0);
    };
    for (const EngineJob& job : endpoint.engine.crash()) {
        if (!isCurrentAttempt(job.request, job.attempt))
            continue;
        ClassMetrics& metrics = metricsOf(job.request);
        metrics.computedTokens += job.computed;
        metrics.wastedTokens += std::max<std::int64_t>(
            0, job.computed - (m_requests[job.request].delivered - m_requests[job.request].attemptStart));
        reportFailure(job.request, job.computed == 0);
    }
    for (std::uint32_t request : endpoint.serviceRunning)
        reportFailure(request, false);
    for (const auto& item : endpoint.serviceQueue)
        reportFailure(std::get<2>(item), true);
    endpoint.serviceRunning.clear();
    endpoint.serviceQueue.clear();
    endpoint.samples.clear();
}

} // namespace wisteriayard::bench
