#include "wisteriayard/entry_share.h"

#include "wisteriayard/rendezvous.h"

#include <algorithm>

namespace wisteriayard {

std::vector<InstanceId> shareHolders(
    std::string_view key, const RegionId& region, const LimitEntries& entries, std::size_t count)
{
    std::vector<InstanceId> candidates;
    for (const auto& [instance, home] : entries.regions) {
        if (home == region)
            candidates.push_back(instance);
    }
    if (candidates.empty()) {
        for (const auto& [instance, home] : entries.regions)
            candidates.push_back(instance);
    }
    return rendezvousTop(key, candidates, count);
}

double EntryShare::shareOf(
    const EndpointId& endpoint, const RegionId& region, const LimitEntries& entries, const Terms& terms)
{
    std::vector<InstanceId> holders = shareHolders(endpoint.value(), region, entries, terms.maxHolders);
    m_holders = holders.size();
    bool isHolder = terms.active && std::find(holders.begin(), holders.end(), entries.self) != holders.end();
    return isHolder ? terms.rate.value() / static_cast<double>(holders.size()) : 0;
}

} // namespace wisteriayard
