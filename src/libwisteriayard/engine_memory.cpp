#include "wisteriayard/engine_memory.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriayard {

namespace {

    /// Weight of a request in the mean size.
    constexpr double sizeWeight = 0.05;
    /// Time constant of the growth of the reported use: a popular segment attracts all entries within a second.
    constexpr Duration growthLifetime = std::chrono::seconds(1);
    /// Time from the moment that a report describes to its arrival, at most: reports are sent every 100 ms, and those
    /// of another region pass through its observers.
    constexpr Duration reportDelay = std::chrono::milliseconds(200);
    /// Standard deviations of the growth in the margin.
    constexpr double marginDeviations = 3;
    /// Limit, as a share of the memory, of the margin for the first request of this entry since the reports. Without
    /// it, many entries or large requests would exclude engines that are half empty, and the measured growth of a burst
    /// would exclude empty ones for a second after its end. Further requests have no limit: with one, bursts filled
    /// engines up to 1.8 times their memory.
    constexpr double maxFirstMarginShare = 0.5;
    /// Time after which the number of a source that is not listed is used for another one.
    constexpr Duration sourceRetention = std::chrono::seconds(60);
    /// Placements that are remembered for the margin; more change nothing, because the margin has reached its limit.
    constexpr std::size_t maxPlacements = 256;

    double meanPlusSpread(double mean, double variance) { return mean + marginDeviations * std::sqrt(variance); }

} // namespace

InstanceId regionSource(const RegionId& region) { return InstanceId("region/" + region.value()); }

void RequestSizes::record(std::int64_t tokens)
{
    auto sample = static_cast<double>(tokens);
    if (std::exchange(m_isEmpty, false)) {
        m_mean = sample;
        return;
    }
    double difference = sample - m_mean;
    m_mean += sizeWeight * difference;
    m_variance = (1 - sizeWeight) * (m_variance + sizeWeight * difference * difference);
}

void MemoryPeers::setEntries(const LimitEntries& entries, const RegionId& region)
{
    m_region = region;
    m_regions = entries.regions;
    m_regionSizes.clear();
    std::map<InstanceId, std::size_t> expected;
    for (const auto& [id, entryRegion] : entries.regions) {
        if (id != entries.self)
            ++m_regionSizes[entryRegion];
    }
    std::size_t others = 0;
    for (const auto& [id, entryRegion] : entries.regions) {
        if (id == entries.self)
            continue;
        ++others;
        bool isAlone = entryRegion == region || m_regionSizes[entryRegion] == 1;
        ++expected[isAlone ? id : regionSource(entryRegion)];
    }
    for (Source& source : m_sources)
        source.entries = 0;
    for (const auto& [id, count] : expected)
        m_sources[slot(id)].entries = count;
    m_unlisted = others == 0 && !entries.active ? assumedEntries : 0;
    m_entries = 1 + others + m_unlisted;
}

std::size_t MemoryPeers::slot(const InstanceId& id)
{
    auto known = m_slots.find(id);
    if (known != m_slots.end())
        return known->second;
    m_sources.push_back({ id, 0, std::nullopt });
    return m_slots[id] = m_sources.size() - 1;
}

std::optional<std::size_t> MemoryPeers::reported(const InstanceId& source, bool isEmpty, TimePoint now)
{
    auto region = m_regions.find(source);
    bool isCovered = region != m_regions.end() && region->second != m_region && m_regionSizes.at(region->second) > 1;
    // Entries of another region that don't report for themselves send reports without loads.
    if (isCovered && isEmpty)
        return std::nullopt;
    if (m_slots.count(source) == 0) {
        auto unused = std::find_if(m_sources.begin(), m_sources.end(), [now](const Source& each) {
            return each.entries == 0 && (!each.reportedAt || now - *each.reportedAt > sourceRetention);
        });
        if (unused != m_sources.end()) {
            m_slots.erase(unused->id);
            *unused = { source, 0, std::nullopt };
            m_slots[source] = static_cast<std::size_t>(unused - m_sources.begin());
        }
    }
    std::size_t number = slot(source);
    m_sources[number].reportedAt = now;
    return number;
}

std::int64_t EngineMemory::added(const MemoryNeed& need) const
{
    std::int64_t sum = need.own;
    for (const MemoryNeed::Shared& segment : need.shared)
        sum += m_shared.count(segment.key) > 0 ? 0 : segment.tokens;
    return sum;
}

void EngineMemory::reserve(const MemoryNeed& need, TimePoint now)
{
    m_own += added(need);
    for (const MemoryNeed::Shared& segment : need.shared) {
        Held& held = m_shared[segment.key];
        held.tokens = held.requests == 0 ? segment.tokens : held.tokens;
        ++held.requests;
    }
    if (m_placedAt.size() >= maxPlacements)
        m_placedAt.erase(m_placedAt.begin());
    m_placedAt.push_back(now);
}

void EngineMemory::release(const MemoryNeed& need)
{
    m_own -= need.own;
    for (const MemoryNeed::Shared& segment : need.shared) {
        auto held = m_shared.find(segment.key);
        if (held == m_shared.end() || --held->second.requests > 0)
            continue;
        m_own -= held->second.tokens;
        m_shared.erase(held);
    }
}

double EngineMemory::decayFactor(TimePoint now) const
{
    return std::exp(-toSeconds(now - m_growthAt) / toSeconds(growthLifetime));
}

void EngineMemory::applyReport(std::size_t source, std::int64_t tokens, TimePoint now)
{
    if (m_reported.size() <= source)
        m_reported.resize(source + 1);
    std::int64_t former = std::exchange(m_reported[source], tokens);
    if (tokens <= former)
        return;
    auto increase = static_cast<double>(tokens - former);
    double factor = decayFactor(now);
    m_growth = m_growth * factor + increase;
    m_growthSquares = m_growthSquares * factor + increase * increase;
    m_growthAt = now;
}

EngineMemory::Others EngineMemory::others(std::int64_t capacity, const MemoryPeers& peers, const RequestSizes& sizes,
    std::size_t placements, TimePoint now) const
{
    Others others;
    auto share = capacity / static_cast<std::int64_t>(peers.entries());
    others.silent = share * static_cast<std::int64_t>(peers.unlistedEntries());
    std::size_t reporting = 0;
    Duration ages {};
    for (std::size_t i = 0; i < peers.sources().size(); ++i) {
        const MemoryPeers::Source& source = peers.sources()[i];
        std::int64_t tokens = i < m_reported.size() ? m_reported[i] : 0;
        auto entries = static_cast<std::int64_t>(source.entries);
        if (!peers.isFresh(source, now)) {
            others.silent += entries > 0 ? std::max(entries * share, tokens) : 0;
            continue;
        }
        others.anyReport = true;
        others.reported += tokens;
        reporting += source.entries;
        ages += (now - *source.reportedAt) * entries;
    }
    if (reporting == 0)
        return others;
    Duration window = ages / static_cast<Duration::rep>(reporting) + reportDelay;
    double part = decayFactor(now) * toSeconds(window) / toSeconds(growthLifetime);
    double measured = meanPlusSpread(m_growth * part, m_growthSquares * part);
    // The growth of the past says nothing about requests that all entries place at the same moment, for example when a
    // segment becomes popular. The others are assumed to place as many requests as this entry, including the one that
    // is decided.
    auto end = m_placedAt.begin() + static_cast<std::ptrdiff_t>(placements);
    auto recent = std::find_if(m_placedAt.begin(), end, [&](TimePoint placedAt) { return now - placedAt <= window; });
    auto placed = static_cast<std::size_t>(end - recent);
    auto requests = static_cast<double>(reporting * (1 + placed));
    double simultaneous = meanPlusSpread(requests * sizes.mean(), requests * sizes.variance());
    double margin = std::max(measured, simultaneous);
    if (placed == 0)
        margin = std::min(margin, maxFirstMarginShare * static_cast<double>(capacity));
    others.margin = static_cast<std::int64_t>(margin);
    return others;
}

bool EngineMemory::fits(std::int64_t own, std::int64_t added, std::int64_t capacity, const Others& others)
{
    if (own + added + others.reported + others.silent + others.margin <= capacity)
        return true;
    // The own share admits at least one request.
    return !others.anyReport && own == 0 && added <= capacity;
}

bool EngineMemory::admits(const MemoryNeed& need, std::int64_t capacity, const MemoryPeers& peers,
    const RequestSizes& sizes, TimePoint now) const
{
    return fits(m_own, added(need), capacity, others(capacity, peers, sizes, now));
}

bool EngineMemory::admitsWhenReleased(const MemoryNeed& need, std::int64_t capacity, const MemoryPeers& peers,
    const RequestSizes& sizes, TimePoint now) const
{
    return m_own + added(need) + others(capacity, peers, sizes, now).silent <= capacity;
}

bool EngineMemory::admitsReserved(const MemoryNeed& need, std::int64_t capacity, const MemoryPeers& peers,
    const RequestSizes& sizes, TimePoint now) const
{
    std::int64_t tokens = need.own;
    for (const MemoryNeed::Shared& segment : need.shared) {
        auto held = m_shared.find(segment.key);
        tokens += held != m_shared.end() && held->second.requests == 1 ? held->second.tokens : 0;
    }
    std::size_t placements = m_placedAt.empty() ? 0 : m_placedAt.size() - 1;
    return fits(m_own - tokens, tokens, capacity, others(capacity, peers, sizes, placements, now));
}

} // namespace wisteriayard
