#include "wisteriayard/allowed_regions.h"

namespace wisteriayard {

AllowedRegions AllowedRegions::intersection(const AllowedRegions& other) const
{
    if (!m_regions)
        return other;
    std::set<RegionId> common;
    for (const RegionId& region : *m_regions) {
        if (other.contains(region))
            common.insert(region);
    }
    return AllowedRegions(std::move(common));
}

} // namespace wisteriayard
