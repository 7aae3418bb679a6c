#pragma once

#include "wisteriayard/route_table.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriayard {

/// Regions in which one request may be served: those that the configuration allows under which the request was
/// classified, as far as the newest configuration allows them too.
class RequestRegions {
public:
    /// Records the regions at classification.
    /// @param account absent if the request needs no key
    /// @param host,target of the request; the referenced text must outlive this object
    void classified(const RouteTable& routes, const Route& route, std::optional<AccountId> account,
        std::string_view host, std::string_view target);
    /// @param newest configuration in force now; its version is that at classification or a later one
    const AllowedRegions& allowed(const RouteTable& newest);

private:
    AllowedRegions regionsOf(const RouteTable& routes, const Route* route) const;
    /// The route that a later configuration has for the request: by host and path, or else by name.
    const Route* routeIn(const RouteTable& routes) const;

    std::string_view m_host;
    std::string_view m_target;
    std::string m_routeName;
    std::optional<AccountId> m_account;
    AllowedRegions m_atClassification;
    /// Result for the configuration of this version.
    AllowedRegions m_allowed;
    ConfigVersion m_version { 0 };
};

/// Restrictions of a configuration under which requests are refused because no region can serve them.
struct RegionFindings {
    /// Limit on listed combinations: their number is the product of routes and accounts.
    static constexpr std::size_t maxListedCombinations = 8;

    /// Regions in lists that are not among those of the deployment.
    std::set<RegionId> unknownRegions;
    /// Routes and accounts whose lists contain no known region.
    std::vector<std::string> routes;
    std::vector<AccountId> accounts;
    /// Number of combinations of other routes and accounts without a common known region, and the first of them.
    std::size_t combinations = 0;
    std::vector<std::pair<std::string, AccountId>> listedCombinations;

    bool isEmpty() const { return unknownRegions.empty() && routes.empty() && accounts.empty() && combinations == 0; }
};

/// @param known regions of the deployment
RegionFindings checkRegions(const RouteTable& routes, const std::set<RegionId>& known);

} // namespace wisteriayard
