#include "wisteriayard/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriayard {

namespace {

    constexpr int maxSlots = 10'000;
    constexpr int maxReported = 1'000'000;
    /// One slot in this many stays free for higher tiers.
    constexpr int slotsPerReserve = 8;
    /// Time after which the weight of a report has halved.
    constexpr double reportHalfLifeSeconds = 20;
    constexpr Duration historyStep = std::chrono::milliseconds(500);
    constexpr double gapWeight = 0.1;
    constexpr double probeGapWeight = 0.5;
    constexpr double medianStep = 0.01;
    constexpr double slowFactor = 2;
    constexpr Duration slowTime = std::chrono::seconds(5);
    constexpr Duration probeInterval = std::chrono::seconds(5);
    /// At most one endpoint in this many is ejected: if more are slow, the median is not reliable.
    constexpr std::size_t endpointsPerEjection = 3;
    /// Maximum by which the load of an endpoint with the prefix may exceed that of the best sampled one; less if little
    /// prefill is saved.
    constexpr double affinityCap = 0.35;
    constexpr double prefixPerLoad = 8'000;
    constexpr int preferredPerPrefix = 2;
    /// Load from which the next group is considered, and the least difference in load for choosing it.
    constexpr double spillLoad = 0.3;
    constexpr double spillGain = 0.1;
    /// Load up to which an endpoint of another region is worth the bytes and the delay of the link.
    constexpr double remoteLoad = 0.7;
    /// Load in this region from which another region is considered, and the least difference in load for choosing it. A
    /// wait behind the prefill of other requests takes far more than the 16 ms of the link.
    constexpr double remoteSpillLoad = 0.8;
    constexpr double remoteGain = 0.4;
    constexpr double bytesPerPromptToken = 4;
    constexpr double bytesPerOutputToken = 100;
    constexpr std::size_t refreshedAtOnce = 8;

    /// Number of uncached prompt tokens that counts as much as all slots of an endpoint: about 0.4 s of prefill, which
    /// is most of the time allowed for a first token.
    constexpr double prefillPerLoad = 4'000;
    /// Weight of one observation in the moving average of this entry's share of the running requests.
    constexpr double shareWeight = 0.02;
    /// Share of all slots that have to be in use for that observation.
    constexpr double shareLoad = 0.25;

    std::uint64_t mix(std::uint64_t value)
    {
        value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
        value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
        return value ^ (value >> 31);
    }

} // namespace

Status validate(const EndpointInfo& info)
{
    if (info.id.empty() || info.target.empty())
        return fail(Errc::InvalidArgument, "endpoint: id and target must not be empty");
    if (info.slots < 1 || info.slots > maxSlots)
        return fail(Errc::InvalidArgument, "endpoint " + info.id.value() + ": slots must be from 1 to 10000");
    return boost::outcome_v2::success();
}

Status validate(const EndpointLoad& load)
{
    bool counts = load.running >= 0 && load.queued >= 0 && load.running <= maxReported && load.queued <= maxReported;
    if (!counts || !std::isfinite(load.tokensPerSecond) || load.tokensPerSecond < 0)
        return fail(Errc::InvalidArgument, "load report: a figure is negative or too large");
    return boost::outcome_v2::success();
}

bool LinkBudget::take(double bytes, TimePoint now)
{
    double seconds = std::chrono::duration<double>(now - m_last).count();
    m_last = now;
    m_tokens = std::min(m_rate, m_tokens + std::max(0.0, seconds) * m_rate * m_scale);
    if (m_tokens < bytes)
        return false;
    m_tokens -= bytes;
    return true;
}

void LinkBudget::observe(bool late)
{
    constexpr double leastScale = 0.02;
    constexpr double recovery = 0.02;
    m_scale = late ? std::max(leastScale, m_scale / 2) : std::min(1.0, m_scale + recovery);
}

EndpointSelector::Index EndpointSelector::add(const EndpointInfo& info, TimePoint now)
{
    auto known = m_index.find(info.id);
    Index index = 0;
    if (known != m_index.end()) {
        index = known->second;
        State& state = m_states[index];
        m_slotSum -= state.info.slots;
        removeFromList(m_members[state.group], state.member, levelCount);
        removePreferred(index);
        for (std::size_t level = 0; level < levelCount; ++level)
            removeFromList(m_open[state.group][level], state.open[level], level);
    } else if (!m_free.empty()) {
        index = m_free.back();
        m_free.pop_back();
        m_states[index] = State();
    } else {
        index = static_cast<Index>(m_states.size());
        m_states.emplace_back();
    }
    m_index[info.id] = index;
    State& state = m_states[index];
    state.info = info;
    m_groupOthers[state.group] -= state.others;
    state.group = info.zone == m_zone ? 0 : info.region == m_region ? 1 : remoteGroup;
    m_groupOthers[state.group] += state.others;
    state.present = true;
    state.leaving = false;
    addToList(m_members[state.group], index, state.member);
    m_slotSum += info.slots;
    if (state.group != remoteGroup)
        addPreferred(index);
    for (auto& list : m_open[state.group])
        list.reserve(m_members[state.group].size());
    update(index, now);
    return index;
}

void EndpointSelector::remove(const EndpointId& id)
{
    auto known = m_index.find(id);
    if (known == m_index.end())
        return;
    Index index = known->second;
    State& state = m_states[index];
    removeFromList(m_members[state.group], state.member, levelCount);
    for (std::size_t level = 0; level < levelCount; ++level)
        removeFromList(m_open[state.group][level], state.open[level], level);
    removePreferred(index);
    m_slotSum -= state.info.slots;
    m_othersSum -= state.others;
    m_groupOthers[state.group] -= state.others;
    m_ejectedCount -= state.ejected;
    state.present = false;
    // Requests that are still running there refer to the state until they end.
    if (state.own == 0)
        m_free.push_back(index);
    m_index.erase(known);
}

std::optional<EndpointSelector::Index> EndpointSelector::find(const EndpointId& id) const
{
    auto known = m_index.find(id);
    return known == m_index.end() ? std::nullopt : std::optional(known->second);
}

std::uint64_t EndpointSelector::bucketWeight(std::size_t bucket, const EndpointInfo& info)
{
    return mix(std::hash<EndpointId> {}(info.id) + bucket * 0x9E3779B97F4A7C15ULL);
}

void EndpointSelector::addPreferred(Index index)
{
    for (std::size_t bucket = 0; bucket < prefixBuckets; ++bucket) {
        std::uint64_t weight = bucketWeight(bucket, m_states[index].info);
        PreferredEndpoint& preferred = m_preferred[bucket];
        if (preferred.endpoint == absent || weight > preferred.weight)
            preferred = { index, weight };
    }
}

void EndpointSelector::removePreferred(Index index)
{
    // With n endpoints, one is preferred for 1/n of the buckets, so the mean cost of the search doesn't depend on n.
    for (std::size_t bucket = 0; bucket < prefixBuckets; ++bucket) {
        PreferredEndpoint& preferred = m_preferred[bucket];
        if (preferred.endpoint != index)
            continue;
        preferred = {};
        for (std::size_t group = 0; group < remoteGroup; ++group) {
            for (Index other : m_members[group]) {
                std::uint64_t weight = bucketWeight(bucket, m_states[other].info);
                if (other != index && (preferred.endpoint == absent || weight > preferred.weight))
                    preferred = { other, weight };
            }
        }
    }
}

void EndpointSelector::addToList(std::vector<Index>& list, Index index, std::uint32_t& position)
{
    position = static_cast<std::uint32_t>(list.size());
    list.push_back(index);
}

void EndpointSelector::removeFromList(std::vector<Index>& list, std::uint32_t& position, std::size_t level)
{
    if (position == absent)
        return;
    Index last = list.back();
    list[position] = last;
    State& moved = m_states[last];
    (level == levelCount ? moved.member : moved.open[level]) = position;
    list.pop_back();
    position = absent;
}

double EndpointSelector::estimatedRequests(const State& state, TimePoint now) const
{
    double age = std::chrono::duration<double>(now - state.reportedAt).count();
    double trust = std::exp2(-std::max(0.0, age) / reportHalfLifeSeconds);
    std::size_t members = m_members[state.group].size();
    double mean = members == 0 ? 0 : m_groupOthers[state.group] / static_cast<double>(members);
    return state.own + trust * state.others + (1 - trust) * std::min(mean, static_cast<double>(state.info.slots));
}

bool EndpointSelector::isOpen(const State& state, std::size_t level, TimePoint now) const
{
    if (!state.present || state.leaving)
        return false;
    if (state.ejected)
        return level == 0 && state.own == 0 && now >= state.nextProbe;
    int reserve = level == 0 ? 0 : state.info.slots / slotsPerReserve;
    // Half a request of slack, since the number for other entries is an average.
    return estimatedRequests(state, now) + 0.5 < state.info.slots - reserve
        || (state.own == 0 && state.info.slots == 1);
}

void EndpointSelector::update(Index index, TimePoint now)
{
    State& state = m_states[index];
    for (std::size_t level = 0; level < levelCount; ++level) {
        bool open = isOpen(state, level, now);
        auto& list = m_open[state.group][level];
        if (open && state.open[level] == absent)
            addToList(list, index, state.open[level]);
        else if (!open)
            removeFromList(list, state.open[level], level);
    }
}

void EndpointSelector::recordHistory(State& state, TimePoint now)
{
    std::int64_t step = now.time_since_epoch() / historyStep;
    std::int64_t first = std::max(state.lastStep, step - static_cast<std::int64_t>(historySteps));
    for (std::int64_t each = first; each < step; ++each)
        state.history[static_cast<std::size_t>(each) % historySteps] = static_cast<std::uint16_t>(state.own);
    state.lastStep = std::max(state.lastStep, step);
}

int EndpointSelector::ownRequestsAt(const State& state, TimePoint at)
{
    std::int64_t step = at.time_since_epoch() / historyStep;
    if (step >= state.lastStep || step < 0)
        return state.own;
    step = std::max(step, state.lastStep - static_cast<std::int64_t>(historySteps) + 1);
    return state.history[static_cast<std::size_t>(std::max<std::int64_t>(0, step)) % historySteps];
}

void EndpointSelector::report(Index index, const EndpointLoad& load, TimePoint now)
{
    State& state = m_states[index];
    recordHistory(state, now);
    double others = std::max(0, load.running + load.queued - ownRequestsAt(state, load.takenAt));
    m_othersSum += others - state.others;
    m_groupOthers[state.group] += others - state.others;
    state.others = others;
    state.reportedAt = std::min(load.takenAt, now);
    state.leaving = load.leaving;
    update(index, now);
}

std::uint64_t EndpointSelector::random()
{
    m_random ^= m_random << 13;
    m_random ^= m_random >> 7;
    m_random ^= m_random << 17;
    return m_random;
}

double EndpointSelector::score(Index index, TimePoint now)
{
    ++m_inspected;
    const State& state = m_states[index];
    double slowness = m_medianGap > 0 && state.gap > m_medianGap ? state.gap / m_medianGap : 1;
    double prefill = static_cast<double>(state.prefillTokens) / prefillPerLoad;
    return (estimatedRequests(state, now) / state.info.slots + prefill) * slowness;
}

EndpointSelector::Index EndpointSelector::betterOfTwo(const std::vector<Index>& list, TimePoint now)
{
    Index first = list[random() % list.size()];
    Index second = list[random() % list.size()];
    if (first == second)
        return first;
    double left = score(first, now);
    double right = score(second, now);
    if (left != right)
        return left < right ? first : second;
    return m_states[first].ownTokens <= m_states[second].ownTokens ? first : second;
}

std::optional<EndpointSelector::Index> EndpointSelector::preferredForPrefix(
    const EndpointQuery& query, std::size_t level, double limit, TimePoint now)
{
    std::uint64_t key = query.prefixHash;
    for (int i = 0; i < preferredPerPrefix; ++i) {
        key = mix(key + 1);
        Index preferred = m_preferred[key % prefixBuckets].endpoint;
        if (preferred == absent)
            return std::nullopt;
        const State& state = m_states[preferred];
        if (state.open[level] != absent && !state.ejected && score(preferred, now) <= limit)
            return preferred;
    }
    return std::nullopt;
}

std::optional<EndpointSelector::Index> EndpointSelector::dueProbe(const EndpointQuery& query, TimePoint now)
{
    if (!m_dueProbe || !query.mayProbe)
        return std::nullopt;
    const State& state = m_states[*m_dueProbe];
    if (!state.present || !state.ejected || !isOpen(state, 0, now)) {
        m_dueProbe.reset();
        return std::nullopt;
    }
    // Requests of lower tiers are preferred as probes; others are used only if none came for one more interval.
    if (!query.keepReserve && now < state.nextProbe + probeInterval)
        return std::nullopt;
    return std::exchange(m_dueProbe, std::nullopt);
}

std::optional<EndpointSelector::Index> EndpointSelector::choose(
    const EndpointQuery& query, LinkBudget& link, TimePoint now)
{
    if (auto probe = dueProbe(query, now))
        return probe;
    std::size_t level = query.keepReserve ? 1 : 0;
    std::optional<Index> best;
    double bestLoad = 0;
    for (std::size_t group = 0; group < groupCount; ++group) {
        const auto& list = m_open[group][level];
        if (list.empty() || (best && bestLoad < (group == remoteGroup ? remoteSpillLoad : spillLoad)))
            continue;
        Index candidate = betterOfTwo(list, now);
        double load = score(candidate, now);
        if (best && load + (group == remoteGroup ? remoteGain : spillGain) > bestLoad)
            continue;
        double bytes = bytesPerPromptToken * static_cast<double>(query.promptTokens)
            + bytesPerOutputToken * static_cast<double>(query.outputTokens);
        if (group == remoteGroup && (load > remoteLoad || !link.take(bytes, now)))
            continue;
        best = candidate;
        bestLoad = load;
    }
    if (query.prefixHash == 0 || (best && m_states[*best].group == remoteGroup))
        return best;
    double cap = std::min(affinityCap, static_cast<double>(query.prefixTokens) / prefixPerLoad);
    auto preferred = preferredForPrefix(query, level, best ? bestLoad + cap : 1.0, now);
    return preferred ? preferred : best;
}

bool EndpointSelector::holdsPrefix(Index index, std::uint64_t prefixHash) const
{
    return prefixHash != 0 && m_states[index].prefixes[prefixHash % prefixSlots] == prefixHash;
}

std::int64_t EndpointSelector::started(Index index, const EndpointQuery& query, TimePoint now)
{
    State& state = m_states[index];
    recordHistory(state, now);
    ++state.own;
    ++m_ownSum;
    state.ownTokens += query.outputTokens;
    std::int64_t prefill = query.promptTokens - (holdsPrefix(index, query.prefixHash) ? query.prefixTokens : 0);
    state.prefillTokens += prefill;
    double allHeld = m_ownSum + m_othersSum;
    if (allHeld > shareLoad * m_slotSum)
        m_ownShare += shareWeight * (m_ownSum / allHeld - m_ownShare);
    if (state.ejected)
        state.nextProbe = now + probeInterval;
    if (query.prefixHash != 0)
        state.prefixes[query.prefixHash % prefixSlots] = query.prefixHash;
    update(index, now);
    return prefill;
}

void EndpointSelector::prefillDone(Index index, std::int64_t tokens)
{
    State& state = m_states[index];
    state.prefillTokens = std::max<std::int64_t>(0, state.prefillTokens - tokens);
}

void EndpointSelector::ended(Index index, std::int64_t openTokens, TimePoint now)
{
    State& state = m_states[index];
    recordHistory(state, now);
    state.own = std::max(0, state.own - 1);
    m_ownSum = std::max(0, m_ownSum - 1);
    state.ownTokens = std::max<std::int64_t>(0, state.ownTokens - openTokens);
    if (state.present)
        update(index, now);
    else if (state.own == 0)
        m_free.push_back(index);
}

void EndpointSelector::eject(State& state, TimePoint now)
{
    if (!state.slowSince)
        state.slowSince = now;
    if (now - *state.slowSince < slowTime || (m_ejectedCount + 1) * endpointsPerEjection > m_index.size())
        return;
    state.ejected = true;
    ++m_ejectedCount;
    state.nextProbe = now + probeInterval;
}

bool EndpointSelector::observeGap(Index index, Duration gap, TimePoint now)
{
    auto value = static_cast<double>(gap.count());
    State& state = m_states[index];
    if (value <= 0 || !state.present)
        return false;
    double weight = state.ejected ? probeGapWeight : gapWeight;
    state.gap = state.gap == 0 ? value : state.gap + weight * (value - state.gap);
    m_medianGap = m_medianGap == 0 ? value : m_medianGap * (value > m_medianGap ? 1 + medianStep : 1 - medianStep);
    bool wasEjected = state.ejected;
    if (state.gap > slowFactor * m_medianGap) {
        if (!state.ejected)
            eject(state, now);
    } else {
        state.slowSince.reset();
        m_ejectedCount -= state.ejected;
        state.ejected = false;
    }
    if (wasEjected != state.ejected)
        update(index, now);
    return wasEjected != state.ejected;
}

void EndpointSelector::refresh(TimePoint now)
{
    for (std::size_t i = 0; i < std::min(refreshedAtOnce, m_states.size()); ++i) {
        m_refreshNext = (m_refreshNext + 1) % m_states.size();
        if (!m_states[m_refreshNext].present)
            continue;
        update(static_cast<Index>(m_refreshNext), now);
        if (m_states[m_refreshNext].ejected && m_states[m_refreshNext].open[0] != absent)
            m_dueProbe = static_cast<Index>(m_refreshNext);
    }
}

} // namespace wisteriayard
