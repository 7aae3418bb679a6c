#include "wisteriayard/region_rules.h"

#include <algorithm>

namespace wisteriayard {

void RequestRegions::classified(const RouteTable& routes, const Route& route, std::optional<AccountId> account,
    std::string_view host, std::string_view target)
{
    m_host = host;
    m_target = target;
    m_routeName = route.name;
    m_account = std::move(account);
    m_atClassification = regionsOf(routes, &route);
    m_allowed = m_atClassification;
    m_version = routes.config().version;
}

AllowedRegions RequestRegions::regionsOf(const RouteTable& routes, const Route* route) const
{
    AllowedRegions regions = route ? route->allowedRegions : AllowedRegions();
    return m_account ? regions.intersection(routes.accountRegions(*m_account)) : regions;
}

const Route* RequestRegions::routeIn(const RouteTable& routes) const
{
    if (const Route* route = routes.find(m_host, m_target))
        return route;
    const std::vector<Route>& all = routes.config().routes;
    auto named = std::find_if(all.begin(), all.end(), [this](const Route& each) { return each.name == m_routeName; });
    return named == all.end() ? nullptr : &*named;
}

const AllowedRegions& RequestRegions::allowed(const RouteTable& newest)
{
    if (newest.config().version != m_version) {
        m_version = newest.config().version;
        m_allowed = m_atClassification.intersection(regionsOf(newest, routeIn(newest)));
    }
    return m_allowed;
}

namespace {

    void addUnknown(std::set<RegionId>& unknown, const AllowedRegions& allowed, const std::set<RegionId>& known)
    {
        if (allowed.isAny())
            return;
        std::set_difference(allowed.regions()->begin(), allowed.regions()->end(), known.begin(), known.end(),
            std::inserter(unknown, unknown.end()));
    }

} // namespace

RegionFindings checkRegions(const RouteTable& routes, const std::set<RegionId>& known)
{
    RegionFindings findings;
    std::vector<const Route*> restrictedRoutes;
    for (const Route& route : routes.config().routes) {
        addUnknown(findings.unknownRegions, route.allowedRegions, known);
        if (!route.allowedRegions.containsAnyOf(known))
            findings.routes.push_back(route.name);
        else if (!route.allowedRegions.isAny() && !route.anonymous)
            restrictedRoutes.push_back(&route);
    }
    for (const auto& [account, allowed] : routes.restrictedAccounts()) {
        addUnknown(findings.unknownRegions, allowed, known);
        if (!allowed.containsAnyOf(known)) {
            findings.accounts.push_back(account);
            continue;
        }
        for (const Route* route : restrictedRoutes) {
            if (route->allowedRegions.intersection(allowed).containsAnyOf(known))
                continue;
            ++findings.combinations;
            if (findings.listedCombinations.size() < RegionFindings::maxListedCombinations)
                findings.listedCombinations.emplace_back(route->name, account);
        }
    }
    return findings;
}

} // namespace wisteriayard
