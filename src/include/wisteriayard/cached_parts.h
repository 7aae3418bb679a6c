#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace wisteriayard {

/// Short name of a prompt part in datagrams, the same at all entries. Two parts with one name only make a prompt look
/// cached that is not.
enum class PartTag : std::uint32_t {};
PartTag partTag(std::uint64_t part);

/// Shared prompt parts that one engine probably has in its cache, by the requests of all entries.
///
/// Load pattern: many requests share some hundred long prompt parts, and each entry sees few requests of a part. By its
/// own requests alone an entry takes parts as missing that others have had computed, or as present that no one had, and
/// its view of the engine's queue is off by whole prompts.
class CachedParts {
public:
    /// @param lifetime a part is taken as cached for so long after its last use
    explicit CachedParts(Duration lifetime)
        : m_lifetime(lifetime)
    {
    }

    bool holds(PartTag part, TimePoint now) const;
    /// A request of this entry uses the part here.
    /// @return whether other entries have to be told: no one said so lately
    bool used(PartTag part, TimePoint now);
    /// Another entry told that a request of its own uses the part here.
    void told(PartTag part, TimePoint now);

private:
    void forgetOld(TimePoint now);

    Duration m_lifetime;
    /// When each part was last said to be used.
    std::unordered_map<PartTag, TimePoint> m_saidAt;
};

/// Uses of prompt parts that other entries have to be told of.
class PartNews {
public:
    void add(const EndpointId& endpoint, PartTag part);
    /// News for one round of datagrams. Each is given out for a few rounds, since datagrams get lost.
    std::map<EndpointId, std::vector<PartTag>> nextRound();

private:
    struct Item {
        EndpointId endpoint;
        PartTag part;
        int rounds = 0;
    };

    std::vector<Item> m_items;
};

} // namespace wisteriayard
