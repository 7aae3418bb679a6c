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

/// Agent that an entry sends an at-most-once call to, and how the agent may claim the partition.
struct OnceRoute {
    EndpointId endpoint;
    wire::OnceMode mode = wire::ONCE_REDIRECT;
};

/// Routes at-most-once calls to the owners of their partitions, as far as agents have reported them to this entry. An
/// outdated owner costs a redirect or leaves open calls unresolved, but never runs a call twice: the store's
/// compare-and-swap prevents that.
class OnceRouter {
public:
    /// @param partitions configured number of partitions of a service
    explicit OnceRouter(std::uint32_t partitions);

    /// Chooses the agent for a call.
    /// @param live endpoints of the service that are listed and reachable; not empty
    OnceRoute choose(
        const TargetId& service, const OnceKey& key, const std::vector<EndpointId>& live, TimePoint now) const;

    /// Records the owner of a key's partition as an agent reported it.
    void recordOwner(const TargetId& service, const OnceKey& key, const EndpointId& owner);
    /// Records that an agent rejects new calls but may still have open ones.
    void markLeaving(const EndpointId& endpoint, TimePoint now);
    /// Records that an agent accepts new calls.
    void markServing(const EndpointId& endpoint);
    /// Records that an agent is dead or no longer listed, so that its partitions are taken over.
    void markUnavailable(const EndpointId& endpoint);

private:
    bool isLeaving(const EndpointId& endpoint) const { return m_leavingSince.count(endpoint) > 0; }

    std::uint32_t m_partitions;
    std::map<std::pair<TargetId, std::uint32_t>, EndpointId> m_owners;
    /// Leaving agents and the time when each began to leave.
    std::map<EndpointId, TimePoint> m_leavingSince;
};

} // namespace wisteriayard
