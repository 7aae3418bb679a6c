#include "wisteriayard/cached_segments.h"

#include "wisteriayard/rendezvous.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// Time after which a hint for a segment in use is repeated; well below the lifetime of a cached segment.
    constexpr Duration hintInterval = std::chrono::seconds(4);
    /// Number of segments per engine above which expired ones are removed.
    constexpr std::size_t segmentsBeforeCleanup = 512;
    /// Limit on the segments per engine; further ones count as not cached. Loads share a few hundred long segments, but
    /// a caller may name thousands of others in each request.
    constexpr std::size_t maxSegments = 4096;
    /// Time after which expired segments are removed again while the limit is reached.
    constexpr Duration fullCleanupInterval = std::chrono::seconds(1);
    /// Rounds of datagrams that include a hint.
    constexpr int roundsPerHint = 2;
    /// Maximum number of queued hints; the oldest are dropped. It is reached only while no datagrams are sent.
    constexpr std::size_t maxHints = 1024;

} // namespace

SegmentTag segmentTag(std::uint64_t segment) { return SegmentTag(static_cast<std::uint32_t>(mixHash(segment))); }

bool CachedSegments::contains(SegmentTag segment, TimePoint now) const
{
    auto known = m_lastUse.find(segment);
    return known != m_lastUse.end() && now - known->second < m_lifetime;
}

bool CachedSegments::recordOwnUse(SegmentTag segment, TimePoint now)
{
    auto known = m_lastUse.find(segment);
    if (known != m_lastUse.end() && now - known->second < hintInterval)
        return false;
    return record(segment, now);
}

void CachedSegments::recordPeerUse(SegmentTag segment, TimePoint now) { (void)record(segment, now); }

bool CachedSegments::record(SegmentTag segment, TimePoint now)
{
    auto known = m_lastUse.find(segment);
    if (known != m_lastUse.end()) {
        known->second = now;
        return true;
    }
    if (m_lastUse.size() >= std::max(segmentsBeforeCleanup, m_sizeAtNextCleanup))
        removeExpired(now);
    if (m_lastUse.size() >= maxSegments)
        return false;
    m_lastUse.emplace(segment, now);
    return true;
}

void CachedSegments::removeExpired(TimePoint now)
{
    bool isFull = m_lastUse.size() >= maxSegments;
    if (isFull && now < m_nextFullCleanup)
        return;
    std::erase_if(m_lastUse, [&](const auto& each) { return now - each.second >= m_lifetime; });
    // Cleaning up at each new segment would take time in proportion to the square of their number.
    m_sizeAtNextCleanup = std::min(maxSegments, 2 * m_lastUse.size());
    if (isFull)
        m_nextFullCleanup = now + fullCleanupInterval;
}

void CacheHints::add(const EndpointId& endpoint, SegmentTag segment)
{
    if (m_items.size() >= maxHints)
        m_items.pop_front();
    m_items.push_back({ endpoint, segment });
}

std::map<EndpointId, std::vector<SegmentTag>> CacheHints::nextRound()
{
    std::map<EndpointId, std::vector<SegmentTag>> round;
    for (Item& item : m_items) {
        round[item.endpoint].push_back(item.segment);
        ++item.timesSent;
    }
    std::erase_if(m_items, [](const Item& item) { return item.timesSent >= roundsPerHint; });
    return round;
}

} // namespace wisteriayard
