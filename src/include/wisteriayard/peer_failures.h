#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace wisteriayard {

/// Endpoints at which requests of other entries fail, as reported by them.
///
/// Load pattern: an endpoint fails every request while its health check succeeds. If each of many entries has to find
/// out by itself, each loses several requests there.
class PeerFailures {
public:
    /// Number of other entries whose reports together weigh as much as own failures.
    static constexpr std::uint32_t entriesToDoubt = 2;
    /// Number of other entries whose reports suffice without an own failure. A single entry may have lost its own
    /// connection to an endpoint.
    static constexpr std::uint32_t entriesToEject = 3;

    /// Replaces the latest report of a peer.
    /// @param failing number of entries for which requests fail, by endpoint
    void update(const InstanceId& peer, std::map<EndpointId, std::uint32_t> failing, TimePoint now);
    /// Number of other entries that reported recently that their requests to an endpoint fail.
    std::uint32_t entries(const EndpointId& endpoint, TimePoint now) const;

private:
    struct Report {
        std::map<EndpointId, std::uint32_t> failing;
        TimePoint receivedAt {};
    };

    std::unordered_map<InstanceId, Report> m_reports;
};

} // namespace wisteriayard
