#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace wisteriayard {

/// 32-bit hash of a prompt segment's id, used in datagrams; equal at all entries. A collision of two segments only
/// makes an uncached prompt look cached.
enum class SegmentTag : std::uint32_t {};
SegmentTag segmentTag(std::uint64_t segment);

/// Shared prompt segments that one engine probably has in its prefix cache, according to the requests of all entries.
///
/// Load pattern: many requests share a few hundred long prompt segments, and each entry sees few requests per segment.
/// From its own requests alone, an entry would miss segments that requests of other entries have brought into the
/// cache, or assume cached ones that no engine has computed, and its estimate of the engine's queue would be wrong by
/// whole prompts.
class CachedSegments {
public:
    /// @param lifetime time after its last use for which a segment counts as cached
    explicit CachedSegments(Duration lifetime)
        : m_lifetime(lifetime)
    {
    }

    bool contains(SegmentTag segment, TimePoint now) const;
    std::size_t size() const { return m_lastUse.size(); }
    /// Records that a request of this entry uses the segment at this engine.
    /// @return whether to send a cache hint to other entries, because none was sent or received recently; never for a
    /// segment beyond the limit, which is not recorded
    bool recordOwnUse(SegmentTag segment, TimePoint now);
    /// Records a cache hint of another entry.
    void recordPeerUse(SegmentTag segment, TimePoint now);

private:
    /// @return false if the segment is beyond the limit
    bool record(SegmentTag segment, TimePoint now);
    void removeExpired(TimePoint now);

    Duration m_lifetime;
    std::size_t m_sizeAtNextCleanup = 0;
    TimePoint m_nextFullCleanup {};
    /// Time of the last use that was announced by a cache hint, sent or received.
    std::unordered_map<SegmentTag, TimePoint> m_lastUse;
};

/// Queue of cache hints to other entries: each says that an engine probably has a prompt segment in its cache.
class CacheHints {
public:
    void add(const EndpointId& endpoint, SegmentTag segment);
    /// Returns the hints to send in the next round of datagrams. Each hint is sent in several rounds, since datagrams
    /// get lost.
    std::map<EndpointId, std::vector<SegmentTag>> nextRound();

private:
    struct Item {
        EndpointId endpoint;
        SegmentTag segment;
        int timesSent = 0;
    };

    std::deque<Item> m_items;
};

} // namespace wisteriayard
