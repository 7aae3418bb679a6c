#include "once_router.h"

#include "once_hash.h"
#include "wisteriayard/rendezvous.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// A leaving owner ends its calls and releases its partitions within the timeout of one service call (10 s). An
    /// owner that has not done so within this time is considered dead.
    constexpr Duration releaseTimeout = std::chrono::seconds(15);

    std::uint64_t rendezvousRank(const EndpointId& endpoint, std::uint32_t partition)
    {
        return rendezvousWeight(std::to_string(partition), InstanceId(endpoint.value()));
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
    // Serving agents are preferred to leaving ones.
    auto best = std::max_element(live.begin(), live.end(), [&](const EndpointId& a, const EndpointId& b) {
        return std::pair(!isLeaving(a), rendezvousRank(a, partition))
            < std::pair(!isLeaving(b), rendezvousRank(b, partition));
    });
    if (!known)
        return { *best, wire::ONCE_REDIRECT };
    auto since = m_leavingSince.find(owner->second);
    bool releases = since != m_leavingSince.end() && now - since->second < releaseTimeout;
    return { *best, releases ? wire::ONCE_AWAIT_RELEASE : wire::ONCE_TAKE_OVER };
}

void OnceRouter::recordOwner(const TargetId& service, const OnceKey& key, const EndpointId& owner)
{
    m_owners[{ service, oncePartitionOf(key, m_partitions) }] = owner;
}

void OnceRouter::markLeaving(const EndpointId& endpoint, TimePoint now) { m_leavingSince.emplace(endpoint, now); }

void OnceRouter::markServing(const EndpointId& endpoint) { m_leavingSince.erase(endpoint); }

void OnceRouter::markUnavailable(const EndpointId& endpoint) { m_leavingSince.erase(endpoint); }

} // namespace wisteriayard
