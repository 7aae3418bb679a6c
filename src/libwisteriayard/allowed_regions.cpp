#include "wisteriayard/allowed_regions.h"

#include <algorithm>

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

bool AllowedRegions::containsAnyOf(const std::set<RegionId>& regions) const
{
    return std::any_of(regions.begin(), regions.end(), [this](const RegionId& region) { return contains(region); });
}

} // namespace wisteriayard
