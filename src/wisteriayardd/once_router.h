#pragma once

#include "wisteriayard.pb.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/once.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace wisteriayard {

/// Where an entry sends an at-most-once call.
struct OnceRoute {
    EndpointId endpoint;
    wire::OnceMode mode = wire::ONCE_REDIRECT;
};

/// Knows which agent owns each at-most-once partition, as far as agents have told this entry. Wrong knowledge costs a
/// redirect or makes open calls unknown, but never runs a call twice: that is up to the store's compare-and-swap.
class OnceRouter {
public:
    /// @param partitions setting of the number of partitions of a service
    explicit OnceRouter(std::uint32_t partitions);

    /// Chooses the agent for a call.
    /// @param live endpoints of the service that are listed and answer; not empty
    OnceRoute choose(
        const TargetId& service, const OnceKey& key, const std::vector<EndpointId>& live, TimePoint now) const;

    /// An agent named the owner of a key's partition.
    void ownerNamed(const TargetId& service, const OnceKey& key, const EndpointId& owner);
    /// An agent takes no new work, but may have open calls.
    void leaving(const EndpointId& endpoint, TimePoint now);
    /// An agent takes new work.
    void serving(const EndpointId& endpoint);
    /// An agent is dead or not listed any more.
    void gone(const EndpointId& endpoint);

private:
    bool isLeaving(const EndpointId& endpoint) const { return m_leaving.count(endpoint) > 0; }

    std::uint32_t m_partitions;
    std::map<std::pair<TargetId, std::uint32_t>, EndpointId> m_owners;
    /// Since when.
    std::map<EndpointId, TimePoint> m_leaving;
};

} // namespace wisteriayard
