// EndpointPlacement: memory of engines as a bound.
#include "wisteriayard/endpoint_placement.h"

#include "wisteriayard/rendezvous.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// Assumed time for which a request holds memory before one has ended, in microseconds.
    constexpr double initialMemoryTime = 1'000'000;
    constexpr double memoryTimeWeight = 0.05;
    /// Share of an engine's memory up to which the longest answer of a request counts, instead of the expected one.
    constexpr double maxEstimatedShare = 0.5;
    constexpr Duration minMemoryRetryAfter = std::chrono::milliseconds(100);
    constexpr Duration maxMemoryRetryAfter = std::chrono::seconds(5);

} // namespace

MemoryNeed EndpointPlacement::memoryNeed(const State& state, const PlacementRequest& request) const
{
    MemoryNeed need;
    std::int64_t prompt = 0;
    std::uint64_t key = 0;
    for (std::size_t i = 0; i < request.prompt.size(); ++i) {
        const PromptSegment& segment = request.prompt[i];
        prompt += segment.tokens.value();
        key = mixHash(key ^ mixHash(segment.id));
        if (i + 1 < request.prompt.size())
            need.shared.push_back({ key, segment.tokens.value() });
        else
            need.own = segment.tokens.value();
    }
    std::int64_t unlisted = std::max<std::int64_t>(0, request.statedPrompt.value() - prompt);
    prompt += unlisted;
    std::int64_t output = std::max(request.output.value(), request.outputLimit.value());
    // With a higher upper estimate, a request would find no engine beside those that other entries may have placed at
    // the same moment, although its answer is probably shorter.
    auto most = static_cast<std::int64_t>(maxEstimatedShare * static_cast<double>(state.info.memory.value()));
    output = std::min(output, std::max(request.output.value(), most - prompt));
    need.own += unlisted + output;
    return need;
}

bool EndpointPlacement::isFull(const State& state, const PlacementRequest& request, TimePoint now) const
{
    return m_enforcesMemory && state.info.memory.value() > 0
        && !state.memory.admits(
            memoryNeed(state, request), state.info.memory.value(), m_memoryPeers, m_requestSizes, now);
}

bool EndpointPlacement::hasMemory(const State& state, const Placement& placement, TimePoint now) const
{
    return !m_enforcesMemory || state.info.memory.value() == 0
        || state.memory.admitsReserved(
            placement.memoryNeed, state.info.memory.value(), m_memoryPeers, m_requestSizes, now);
}

bool EndpointPlacement::mayAwaitMemory(const PlacementRequest& request, TimePoint now) const
{
    bool mayAwait = false;
    for (const auto& [id, index] : m_index) {
        const State& state = m_states[index];
        if (!m_enforcesMemory || availabilityExclusion(state, request, now))
            continue;
        if (!isFull(state, request, now))
            return false;
        mayAwait = mayAwait
            || (state.memory.own() == 0
                && state.memory.admitsWhenReleased(
                    memoryNeed(state, request), state.info.memory.value(), m_memoryPeers, m_requestSizes, now));
    }
    return mayAwait;
}

std::size_t EndpointPlacement::fullEngines(TimePoint now) const
{
    if (!m_enforcesMemory)
        return 0;
    MemoryNeed need { {}, static_cast<std::int64_t>(m_requestSizes.mean()) };
    return static_cast<std::size_t>(std::count_if(m_index.begin(), m_index.end(), [&](const auto& each) {
        const State& state = m_states[each.second];
        std::int64_t capacity = state.info.memory.value();
        return capacity > 0 && !state.memory.admits(need, capacity, m_memoryPeers, m_requestSizes, now);
    }));
}

void EndpointPlacement::reserveMemory(
    State& state, Placement& placement, const PlacementRequest& request, TimePoint now)
{
    if (!m_enforcesMemory || state.info.memory.value() == 0)
        return;
    placement.memoryNeed = memoryNeed(state, request);
    m_requestSizes.record(state.memory.added(placement.memoryNeed));
    state.memory.reserve(placement.memoryNeed, now);
}

void EndpointPlacement::releaseMemory(State& state, const Placement& placement, TimePoint now)
{
    if (!m_enforcesMemory || state.info.memory.value() == 0)
        return;
    state.memory.release(placement.memoryNeed);
    auto held = static_cast<double>((now - placement.placedAt).count());
    m_memoryTime = m_memoryTime == 0 ? held : m_memoryTime + memoryTimeWeight * (held - m_memoryTime);
}

void EndpointPlacement::recordPeerMemory(
    const InstanceId& peer, const std::map<EndpointId, EndpointUse>& use, TimePoint now)
{
    if (!m_enforcesMemory)
        return;
    auto source = m_memoryPeers.reported(peer, use.empty(), now);
    if (!source)
        return;
    for (const auto& [id, index] : m_index) {
        auto reported = use.find(id);
        m_states[index].memory.applyReport(*source, reported == use.end() ? 0 : reported->second.memoryTokens, now);
    }
}

Refused EndpointPlacement::memoryRefusal(const PlacementRequest& request, TimePoint now)
{
    // Running requests release their memory evenly over the mean time for which they hold it.
    double time = m_memoryTime > 0 ? m_memoryTime : initialMemoryTime;
    double used = 0;
    double earliest = time;
    double smallest = 0;
    for (const auto& [id, index] : m_index) {
        const State& state = m_states[index];
        std::int64_t capacity = state.info.memory.value();
        if (capacity == 0 || sendExclusion(state, request, now))
            continue;
        EngineMemory::Others others = state.memory.others(capacity, m_memoryPeers, m_requestSizes, now);
        auto known = static_cast<double>(state.memory.own() + others.reported);
        auto added = static_cast<double>(state.memory.added(memoryNeed(state, request)));
        double missing
            = known + static_cast<double>(others.silent + others.margin) + added - static_cast<double>(capacity);
        used += known;
        smallest = smallest == 0 ? added : std::min(smallest, added);
        if (known > 0)
            earliest = std::min(earliest, time * std::clamp(missing / known, 0.0, 1.0));
    }
    // Assumes that each other entry refuses as many callers as this one.
    double spacing = used > 0 ? static_cast<double>(m_memoryPeers.entries()) * time * smallest / used : time;
    auto limited = [](double microseconds) {
        return Duration(
            static_cast<std::int64_t>(std::min(microseconds, static_cast<double>(maxMemoryRetryAfter.count()))));
    };
    Refused refused;
    refused.reason = PlacementRefusal::EngineMemory;
    refused.retryAfter = std::max({ minMemoryRetryAfter, limited(earliest),
        std::min(maxMemoryRetryAfter, m_memoryReturns.next(limited(spacing), now)) });
    return refused;
}

} // namespace wisteriayard
