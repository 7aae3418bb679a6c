#pragma once

#include "settings.h"
#include "wisteriayard/error.h"
#include "wisteriayard/scheduler.h"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriayard {

/// An endpoint instance on the platform's list.
struct ListedEndpoint {
    EndpointInfo info;
    EndpointKind kind = EndpointKind::Engine;
    /// `IP:port` of its agent.
    std::string agentAddress;
    bool leaving = false;
};

/// An entry instance on the platform's list.
struct ListedEntry {
    InstanceId instance;
    ZoneId zone;
    /// Empty if the list has none.
    RegionId region;
    /// `IP:port` of its admin port.
    std::string adminAddress;
    /// `IP:port` for messages of other entries.
    std::string peerAddress;
    bool leaving = false;
};

/// The platform's list of live and leaving instances. Changes appear in it with a delay.
struct InstanceList {
    std::vector<ListedEndpoint> endpoints;
    std::vector<ListedEntry> entries;
};

/// Parses the platform's list.
/// @return the list, or Protocol with a message that names the instance and the field
Result<InstanceList> parseInstanceList(std::string_view json);

} // namespace wisteriayard
