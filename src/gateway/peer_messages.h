#pragma once

#include "wisteriayard/endpoint_placement.h"
#include "wisteriayard/error.h"
#include "wisteriayard/usage.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace wisteriayard {

/// Short name of an endpoint in datagrams, which are sent to all entries several times a second.
enum class EndpointTag : std::uint32_t {};
EndpointTag endpointTag(const EndpointId& id);

/// What an entry tells the others of itself.
struct PeerLoads {
    /// Wall-clock time of the sender in milliseconds.
    std::int64_t time = 0;
    /// Time for which the sender has heard the store; 0 during an outage.
    Duration contact {};
    std::map<EndpointTag, EndpointUse> endpoints;
    std::map<TargetId, WorkRates> work;
};

/// A part of the sender's usage that the receiver is asked to write.
struct PeerUsage {
    WindowId window;
    IncarnationId entry;
    UsagePart part;
};

using PeerMessage = std::variant<PeerLoads, PeerUsage>;

std::string encodePeerMessage(const PeerMessage& message);
/// @return Protocol if the datagram is cut, holds figures below 0 or nothing that is known
Result<PeerMessage> decodePeerMessage(std::string_view datagram);

} // namespace wisteriayard
