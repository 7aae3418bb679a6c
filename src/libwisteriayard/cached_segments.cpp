#include "wisteriayard/cached_segments.h"

#include "wisteriayard/rendezvous.h"

namespace wisteriayard {

namespace {

    /// Time after which a hint for a segment in use is repeated; well below the lifetime of a cached segment.
    constexpr Duration hintInterval = std::chrono::seconds(4);
    /// Number of segments per engine above which expired ones are removed.
    constexpr std::size_t segmentsBeforeCleanup = 512;
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
    recordPeerUse(segment, now);
    return true;
}

void CachedSegments::recordPeerUse(SegmentTag segment, TimePoint now)
{
    if (m_lastUse.size() >= segmentsBeforeCleanup)
        removeExpired(now);
    m_lastUse[segment] = now;
}

void CachedSegments::removeExpired(TimePoint now)
{
    std::erase_if(m_lastUse, [&](const auto& each) { return now - each.second >= m_lifetime; });
}

void CacheHints::add(const EndpointId& endpoint, SegmentTag segment)
{
    if (m_items.size() >= maxHints)
        m_items.erase(m_items.begin());
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
