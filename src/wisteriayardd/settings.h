#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/lease.h"
#include "wisteriayard/units.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wisteriayard {

/// Settings of both roles.
struct CommonSettings {
    InstanceId instance;
    ZoneId zone;
    RegionId region;
    boost::asio::ip::tcp::endpoint store;
    boost::asio::ip::tcp::endpoint platform;
    /// Address of the admin port for health, readiness and metrics.
    boost::asio::ip::tcp::endpoint admin;
    /// Log file; standard output if empty.
    std::string logFile;
    Duration storeTimeout = std::chrono::seconds(2);
    /// Time between failing the readiness check and closing the listener.
    Duration drainDelay = std::chrono::seconds(5);
    /// Longest time that running requests may take to finish at shutdown.
    Duration drainTimeout = std::chrono::seconds(60);
};

/// Settings of at-most-once calls; the number of partitions is the same at entries and agents.
struct OnceSettings {
    std::uint32_t partitions = 16;
    /// Shortest time between two writes of one partition.
    Duration writeInterval = std::chrono::milliseconds(100);
    Duration retention = std::chrono::hours(24);
};

/// Settings of an entry instance.
struct EntrySettings {
    CommonSettings common;
    /// HTTP address for callers.
    boost::asio::ip::tcp::endpoint listen;
    /// Region of the key-value store, whose entries are polled on whether the store responds; empty disables the polls.
    RegionId storeRegion;
    /// ZeroMQ address for other entries.
    boost::asio::ip::tcp::endpoint peer;
    int trafficThreads = 2;
    int maxConnections = 10'000;
    Bytes maxBody { 8 * 1024 * 1024 };
    /// Memory for the heads, and for the bodies, of all connections of callers.
    Bytes headMemory { 16 * 1024 * 1024 };
    Bytes bodyMemory { 512 * 1024 * 1024 };
    /// Longest time to receive a request, and to keep an idle connection open.
    Duration readTimeout = std::chrono::seconds(30);
    OnceSettings once;
    /// Whether the entry is a candidate for the leases for orders and usage reports.
    bool planner = true;
    LeaseTimes lease;
    Duration usageWindow = std::chrono::seconds(60);
    Duration partialUsageInterval = std::chrono::seconds(5);
    /// Time after the end of a window in which its partial usage records may still be written.
    Duration usageGrace = std::chrono::seconds(30);
    /// Number of windows whose final usage records the store keeps. An entry that can't reach the store for longer
    /// loses the usage that it has not written.
    std::int64_t usageRetainedWindows = 1440;
    Duration plannerInterval = std::chrono::seconds(5);
    /// How long the load of a target must be high before more endpoints are ordered.
    Duration plannerScaleUpAfter = std::chrono::seconds(5);
    /// How long the load of a target must be low before endpoints are released.
    Duration plannerScaleDownAfter = std::chrono::minutes(2);
};

/// Kind of an agent's endpoint.
enum class EndpointKind {
    Engine,
    Service,
};

/// Settings of an agent.
struct AgentSettings {
    CommonSettings common;
    /// ZeroMQ address for entries.
    boost::asio::ip::tcp::endpoint listen;
    EndpointId endpoint;
    EndpointKind kind = EndpointKind::Engine;
    TargetId target;
    boost::asio::ip::tcp::endpoint endpointAddress;
    /// Number of requests that the endpoint runs concurrently.
    int slots = 8;
    /// Address of the order port; if absent, the endpoint receives no orders.
    std::optional<boost::asio::ip::tcp::endpoint> orderListen;
    OnceSettings once;
};

/// Text to print instead of running, for --help and --version.
struct ShowText {
    std::string text;
};

using Settings = std::variant<EntrySettings, AgentSettings, ShowText>;

/// Reads flags and environment variables (`WISTERIAYARD_` and the flag's name in upper case, `-` as `_`); flags take
/// precedence.
/// @return the settings, or InvalidArgument with a message that names the flag, its value and the allowed values
Result<Settings> parseSettings(int argc, const char* const* argv);

} // namespace wisteriayard
