#include "baseline.h"

#include <algorithm>

namespace wisteriayard::bench {

namespace {

    constexpr std::size_t maxQueued = 4096;
    constexpr Duration retryAfter = std::chrono::seconds(1);

} // namespace

Baseline::Decisions Baseline::endpointAdded(const EndpointInfo& info, TimePoint)
{
    Pool& pool = m_pools[info.target];
    pool.endpoints.push_back({ info, 0 });
    Decisions decisions;
    dispatch(pool, decisions);
    return decisions;
}

Baseline::Decisions Baseline::endpointRemoved(const EndpointId& id, TimePoint)
{
    for (auto& [target, pool] : m_pools) {
        auto gone = [&](const Endpoint& endpoint) { return endpoint.info.id == id; };
        pool.endpoints.erase(std::remove_if(pool.endpoints.begin(), pool.endpoints.end(), gone), pool.endpoints.end());
    }
    return {};
}

Baseline::Decisions Baseline::submit(const RequestInfo& request, TimePoint now)
{
    Decisions decisions;
    Pool& pool = m_pools[request.target];
    auto& queue = pool.queues[m_rules.strictPriority ? static_cast<std::size_t>(request.tier) : 0];
    if (queue.size() >= maxQueued) {
        decisions.push_back(Refusal { request.id, RefusalReason::QueueFull, retryAfter });
        return decisions;
    }
    queue.push_back({ request, now });
    dispatch(pool, decisions);
    return decisions;
}

Baseline::Decisions Baseline::finished(const RequestId& request, const AttemptResult&, TimePoint)
{
    Decisions decisions;
    auto it = m_running.find(request);
    if (it == m_running.end())
        return decisions;
    Pool& pool = m_pools[it->second.first];
    for (Endpoint& endpoint : pool.endpoints) {
        if (endpoint.info.id == it->second.second && endpoint.inFlight > 0)
            --endpoint.inFlight;
    }
    m_running.erase(it);
    dispatch(pool, decisions);
    return decisions;
}

Baseline::Decisions Baseline::tick(TimePoint now)
{
    Decisions decisions;
    for (auto& [target, pool] : m_pools) {
        for (auto& queue : pool.queues) {
            auto expired = [&](const Waiting& waiting) { return now - waiting.since > waiting.info.longestWait; };
            for (const Waiting& waiting : queue) {
                if (expired(waiting))
                    decisions.push_back(Refusal { waiting.info.id, RefusalReason::WaitExceeded, retryAfter });
            }
            queue.erase(std::remove_if(queue.begin(), queue.end(), expired), queue.end());
        }
        dispatch(pool, decisions);
    }
    return decisions;
}

Baseline::Endpoint* Baseline::selectEndpoint(Pool& pool)
{
    Endpoint* best = nullptr;
    for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
        Endpoint& endpoint = pool.endpoints[(pool.next + i) % pool.endpoints.size()];
        if (endpoint.inFlight >= endpoint.info.slots)
            continue;
        if (!best || endpoint.inFlight < best->inFlight)
            best = &endpoint;
        if (m_rules.roundRobin)
            break;
    }
    if (best)
        pool.next = static_cast<std::size_t>(best - pool.endpoints.data()) + 1;
    return best;
}

void Baseline::dispatch(Pool& pool, Decisions& decisions)
{
    for (auto& queue : pool.queues) {
        while (!queue.empty()) {
            Endpoint* endpoint = selectEndpoint(pool);
            if (!endpoint)
                return;
            ++endpoint->inFlight;
            const RequestInfo& info = queue.front().info;
            m_running[info.id] = { info.target, endpoint->info.id };
            decisions.push_back(Dispatch { info.id, endpoint->info.id });
            queue.pop_front();
        }
    }
}

} // namespace wisteriayard::bench
