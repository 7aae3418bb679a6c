#pragma once

#include "wisteriayard/ids.h"

#include <optional>
#include <set>
#include <utility>

namespace wisteriayard {

/// Regions in which a request may be served, cached and stored.
class AllowedRegions {
public:
    /// Allows any region.
    AllowedRegions() = default;
    /// Allows only the given regions; none if the set is empty.
    explicit AllowedRegions(std::set<RegionId> regions)
        : m_regions(std::move(regions))
    {
    }

    /// An empty region is unknown, as that of an endpoint in a zone that the settings don't name; no list contains it.
    bool contains(const RegionId& region) const
    {
        return !m_regions || (!region.empty() && m_regions->count(region) > 0);
    }
    /// Whether any region is allowed.
    bool isAny() const { return !m_regions; }
    /// Whether no region is allowed.
    bool isEmpty() const { return m_regions && m_regions->empty(); }
    /// Whether at least one of the given regions is allowed.
    bool containsAnyOf(const std::set<RegionId>& regions) const;
    /// The allowed regions; absent if any region is allowed.
    const std::optional<std::set<RegionId>>& regions() const { return m_regions; }
    /// @return the regions that both allow
    AllowedRegions intersection(const AllowedRegions& other) const;

    friend bool operator==(const AllowedRegions&, const AllowedRegions&) = default;

private:
    /// Absent if any region is allowed.
    std::optional<std::set<RegionId>> m_regions;
};

} // namespace wisteriayard
