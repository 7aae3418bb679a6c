#include "wisteriayard/route_table.h"

#include "wisteriayard/rendezvous.h"

#include <algorithm>
#include <cctype>

namespace wisteriayard {

namespace {

    /// Converts a host name to lower case and strips the port.
    std::string canonicalHost(std::string_view host)
    {
        std::string text(host.substr(0, host.find(':')));
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
        return text;
    }

} // namespace

Priority enginePriority(std::optional<Priority> account, Priority route)
{
    // Engines support ten priorities, enough for three account ranks with three route ranks each.
    constexpr std::int32_t ranks = 3;
    std::int32_t accountRank = account ? std::clamp<std::int32_t>(account->value(), 0, ranks - 1) : 0;
    return Priority(accountRank * ranks + std::clamp<std::int32_t>(route.value(), 0, ranks - 1));
}

RouteTable::RouteTable(RoutingConfig config)
    : m_config(std::move(config))
{
    for (std::size_t i = 0; i < m_config.routes.size(); ++i)
        m_hosts[canonicalHost(m_config.routes[i].host)][m_config.routes[i].prefix] = i;
    for (const auto& [key, owner] : m_config.keys) {
        if (!owner.allowedRegions.isAny())
            m_accountRegions[owner.account] = m_accountRegions[owner.account].intersection(owner.allowedRegions);
    }
}

const Route* RouteTable::find(std::string_view host, std::string_view target) const
{
    auto prefixes = m_hosts.find(canonicalHost(host));
    if (prefixes == m_hosts.end())
        return nullptr;
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        auto found = prefixes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != prefixes->second.end())
            return &m_config.routes[found->second];
        if (slash == 0)
            break;
    }
    return nullptr;
}

const TargetId& RouteTable::pickTarget(const Route& route, const RequestId& request)
{
    if (route.targets.size() == 1)
        return route.targets.front().target;
    std::int64_t total = 0;
    for (const WeightedTarget& each : route.targets)
        total += each.weight;
    std::uint64_t hash = rendezvousWeight(request.value(), InstanceId(route.name));
    auto point = total > 0 ? static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(total)) : 0;
    for (const WeightedTarget& each : route.targets) {
        if (point < each.weight)
            return each.target;
        point -= each.weight;
    }
    return route.targets.back().target;
}

const KeyOwner* RouteTable::keyOwner(const KeyHash& key) const
{
    auto found = m_config.keys.find(key);
    return found == m_config.keys.end() ? nullptr : &found->second;
}

AllowedRegions RouteTable::accountRegions(const AccountId& account) const
{
    auto found = m_accountRegions.find(account);
    return found == m_accountRegions.end() ? AllowedRegions() : found->second;
}

} // namespace wisteriayard
