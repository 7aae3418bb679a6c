#include "wisteriayard/scheduler.h"

#include <algorithm>
#include <tuple>

namespace wisteriayard {

namespace {

    /// Requests that one entry keeps waiting; more are refused, lowest tier first.
    constexpr std::size_t maxQueued = 4096;
    constexpr Duration defaultRetryAfter = std::chrono::seconds(1);

} // namespace

std::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::WaitExceeded:
        return "wait_exceeded";
    case RefusalReason::NoEndpoint:
        return "no_endpoint";
    case RefusalReason::LimitExceeded:
        return "limit_exceeded";
    case RefusalReason::Duplicate:
        return "duplicate";
    }
    return "unknown";
}

Scheduler::Scheduler(ZoneId zone, RegionId region)
    : m_zone(std::move(zone))
    , m_region(std::move(region))
{
}

Scheduler::Decisions Scheduler::endpointAdded(const EndpointInfo& info, TimePoint now)
{
    m_endpoints[info.id].info = info;
    Decisions decisions;
    dispatchWaiting(now, decisions);
    return decisions;
}

Scheduler::Decisions Scheduler::endpointRemoved(const EndpointId& id, TimePoint now)
{
    m_endpoints.erase(id);
    Decisions decisions;
    dispatchWaiting(now, decisions);
    return decisions;
}

Scheduler::Decisions Scheduler::endpointReported(const EndpointId& id, const EndpointLoad& load, TimePoint now)
{
    Decisions decisions;
    auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return decisions;
    it->second.load = load;
    dispatchWaiting(now, decisions);
    return decisions;
}

Scheduler::Decisions Scheduler::submit(const RequestInfo& request, TimePoint now)
{
    Decisions decisions;
    bool queuedAlready = std::any_of(
        m_queue.begin(), m_queue.end(), [&](const Waiting& waiting) { return waiting.info.id == request.id; });
    if (m_running.count(request.id) || queuedAlready) {
        decisions.push_back(Refusal { request.id, RefusalReason::Duplicate, Duration(0) });
        return decisions;
    }
    m_queue.push_back({ request, now });
    if (m_queue.size() > maxQueued) {
        auto lowest = std::max_element(m_queue.begin(), m_queue.end(),
            [](const Waiting& a, const Waiting& b) { return a.info.tier < b.info.tier; });
        decisions.push_back(Refusal { lowest->info.id, RefusalReason::QueueFull, defaultRetryAfter });
        m_queue.erase(lowest);
    }
    dispatchWaiting(now, decisions);
    return decisions;
}

Scheduler::Decisions Scheduler::finished(const RequestId& request, const AttemptResult&, TimePoint now)
{
    Decisions decisions;
    auto it = m_running.find(request);
    if (it == m_running.end())
        return decisions;
    auto endpoint = m_endpoints.find(it->second);
    if (endpoint != m_endpoints.end() && endpoint->second.inFlight > 0)
        --endpoint->second.inFlight;
    m_running.erase(it);
    dispatchWaiting(now, decisions);
    return decisions;
}

Scheduler::Decisions Scheduler::cancelled(const RequestId& request, TimePoint)
{
    auto it = std::find_if(
        m_queue.begin(), m_queue.end(), [&](const Waiting& waiting) { return waiting.info.id == request; });
    if (it != m_queue.end())
        m_queue.erase(it);
    return {};
}

Scheduler::Decisions Scheduler::tick(TimePoint now)
{
    Decisions decisions;
    dispatchWaiting(now, decisions);
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        bool expired = now - it->since > it->info.longestWait;
        if (expired)
            decisions.push_back(Refusal { it->info.id, RefusalReason::WaitExceeded, defaultRetryAfter });
        it = expired ? m_queue.erase(it) : it + 1;
    }
    return decisions;
}

void Scheduler::progress(const RequestId&, Tokens, TimePoint) { }

void Scheduler::dispatchWaiting(TimePoint, Decisions& decisions)
{
    std::vector<std::size_t> order(m_queue.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const RequestInfo& left = m_queue[a].info;
        const RequestInfo& right = m_queue[b].info;
        return std::tie(left.tier, left.priority) < std::tie(right.tier, right.priority);
    });
    std::vector<bool> placed(m_queue.size(), false);
    for (std::size_t index : order) {
        const RequestInfo& request = m_queue[index].info;
        Endpoint* endpoint = chooseEndpoint(request);
        if (!endpoint)
            continue;
        ++endpoint->inFlight;
        m_running[request.id] = endpoint->info.id;
        decisions.push_back(Dispatch { request.id, endpoint->info.id });
        placed[index] = true;
    }
    std::deque<Waiting> rest;
    for (std::size_t i = 0; i < placed.size(); ++i) {
        if (!placed[i])
            rest.push_back(std::move(m_queue[i]));
    }
    m_queue = std::move(rest);
}

Scheduler::Endpoint* Scheduler::chooseEndpoint(const RequestInfo& request)
{
    Endpoint* best = nullptr;
    auto rank = [&](const Endpoint& endpoint) {
        int distance = endpoint.info.zone == m_zone ? 0 : endpoint.info.region == m_region ? 1 : 2;
        double load = static_cast<double>(endpoint.inFlight) / endpoint.info.slots;
        return std::tuple(distance == 2, load, distance);
    };
    for (auto& [id, endpoint] : m_endpoints) {
        if (endpoint.info.target != request.target || endpoint.load.leaving)
            continue;
        if (endpoint.inFlight >= endpoint.info.slots)
            continue;
        if (!best || rank(endpoint) < rank(*best))
            best = &endpoint;
    }
    return best;
}

} // namespace wisteriayard
