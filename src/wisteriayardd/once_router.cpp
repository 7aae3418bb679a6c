#include "once_router.h"

#include "once_hash.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// A leaving owner ends its calls and releases its partitions within the time of one service call (10 s). One
    /// that has not is taken for dead.
    constexpr Duration releaseBound = std::chrono::seconds(15);

    /// FNV-1a: the same rank at every entry.
    std::uint64_t rankOf(const EndpointId& endpoint, std::uint32_t partition)
    {
        std::uint64_t hash = 1469598103934665603ULL;
        for (char each : endpoint.value() + "/" + std::to_string(partition))
            hash = (hash ^ static_cast<unsigned char>(each)) * 1099511628211ULL;
        // The last characters reach the high bits only through a final mix.
        hash ^= hash >> 33;
        hash *= 0xff51afd7ed558ccdULL;
        return hash ^ hash >> 33;
    }

} // namespace

OnceRouter::OnceRouter(std::uint32_t partitions)
    : m_partitions(partitions)
{
}

OnceRoute OnceRouter::choose(
    const TargetId& service, const OnceKey& key, const std::vector<EndpointId>& live, TimePoint now) const
{
    std::uint32_t partition = oncePartitionOf(key, m_partitions);
    auto owner = m_owners.find({ service, partition });
    bool known = owner != m_owners.end();
    bool ownerLive = known && std::find(live.begin(), live.end(), owner->second) != live.end();
    if (ownerLive && !isLeaving(owner->second))
        return { owner->second, wire::ONCE_REDIRECT };
    // Agents that serve go before agents that leave.
    auto best = std::max_element(live.begin(), live.end(), [&](const EndpointId& a, const EndpointId& b) {
        return std::pair(!isLeaving(a), rankOf(a, partition)) < std::pair(!isLeaving(b), rankOf(b, partition));
    });
    if (!known)
        return { *best, wire::ONCE_REDIRECT };
    auto since = m_leaving.find(owner->second);
    bool releases = since != m_leaving.end() && now - since->second < releaseBound;
    return { *best, releases ? wire::ONCE_AWAIT_RELEASE : wire::ONCE_TAKE_OVER };
}

void OnceRouter::ownerNamed(const TargetId& service, const OnceKey& key, const EndpointId& owner)
{
    m_owners[{ service, oncePartitionOf(key, m_partitions) }] = owner;
}

void OnceRouter::leaving(const EndpointId& endpoint, TimePoint now) { m_leaving.emplace(endpoint, now); }

void OnceRouter::serving(const EndpointId& endpoint) { m_leaving.erase(endpoint); }

void OnceRouter::gone(const EndpointId& endpoint) { m_leaving.erase(endpoint); }

} // namespace wisteriayard
