#include "wisteriayard/cached_parts.h"

#include "wisteriayard/rendezvous.h"

namespace wisteriayard {

namespace {

    /// A use is said again after this time while the part is in use; well below the lifetime of a cached part.
    constexpr Duration sayAgain = std::chrono::seconds(4);
    /// Parts of one engine above which old ones are dropped.
    constexpr std::size_t mostParts = 512;
    constexpr int roundsTold = 2;
    /// News that wait for a round; more come only while no datagrams are sent, and the oldest are dropped.
    constexpr std::size_t mostNews = 1024;

} // namespace

PartTag partTag(std::uint64_t part) { return PartTag(static_cast<std::uint32_t>(mixHash(part))); }

bool CachedParts::holds(PartTag part, TimePoint now) const
{
    auto known = m_saidAt.find(part);
    return known != m_saidAt.end() && now - known->second < m_lifetime;
}

bool CachedParts::used(PartTag part, TimePoint now)
{
    auto known = m_saidAt.find(part);
    if (known != m_saidAt.end() && now - known->second < sayAgain)
        return false;
    told(part, now);
    return true;
}

void CachedParts::told(PartTag part, TimePoint now)
{
    if (m_saidAt.size() >= mostParts)
        forgetOld(now);
    m_saidAt[part] = now;
}

void CachedParts::forgetOld(TimePoint now)
{
    std::erase_if(m_saidAt, [&](const auto& each) { return now - each.second >= m_lifetime; });
}

void PartNews::add(const EndpointId& endpoint, PartTag part)
{
    if (m_items.size() >= mostNews)
        m_items.erase(m_items.begin());
    m_items.push_back({ endpoint, part });
}

std::map<EndpointId, std::vector<PartTag>> PartNews::nextRound()
{
    std::map<EndpointId, std::vector<PartTag>> round;
    for (Item& item : m_items) {
        round[item.endpoint].push_back(item.part);
        ++item.rounds;
    }
    std::erase_if(m_items, [](const Item& item) { return item.rounds >= roundsTold; });
    return round;
}

} // namespace wisteriayard
