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

/// Settings that both roles have.
struct CommonSettings {
    InstanceId instance;
    ZoneId zone;
    RegionId region;
    boost::asio::ip::tcp::endpoint store;
    boost::asio::ip::tcp::endpoint platform;
    /// Health, readiness and metrics.
    boost::asio::ip::tcp::endpoint admin;
    /// Log file; standard output if empty.
    std::string logFile;
    Duration storeTimeout = std::chrono::seconds(2);
    /// Time between failing readiness and closing the listener.
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
    /// Callers' HTTP.
    boost::asio::ip::tcp::endpoint listen;
    /// Region of the key-value store. Entries there are asked whether the store answers; empty if none may be.
    RegionId storeRegion;
    /// ZeroMQ address for other entries.
    boost::asio::ip::tcp::endpoint peer;
    int trafficThreads = 2;
    int maxConnections = 10'000;
    Bytes maxBody { 8 * 1024 * 1024 };
    /// Time for a request to arrive, and for an idle connection to stay open.
    Duration readTimeout = std::chrono::seconds(30);
    OnceSettings once;
    /// Takes part in the leases for orders and usage reports.
    bool planner = true;
    LeaseTimes lease;
    Duration usageWindow = std::chrono::seconds(60);
    Duration usagePartInterval = std::chrono::seconds(5);
    /// Time after a window's end in which its parts may still be written.
    Duration usageGrace = std::chrono::seconds(30);
    /// Final records that the store keeps; an entry that was cut off for longer loses what it had not written.
    std::int64_t usageRetainedWindows = 1440;
    Duration plannerInterval = std::chrono::seconds(5);
    /// How long the load of a target has to be high before endpoints are ordered.
    Duration plannerGrowAfter = std::chrono::seconds(5);
    /// How long it has to be low before endpoints are given back.
    Duration plannerShrinkAfter = std::chrono::minutes(2);
};

/// What kind of endpoint an agent stands beside.
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
    /// Requests that the endpoint runs at once.
    int slots = 8;
    /// Order port of the slot; without one the endpoint gets no orders.
    std::optional<boost::asio::ip::tcp::endpoint> orderListen;
    OnceSettings once;
};

/// The command line only asked for help or the version; this is the text.
struct ShowText {
    std::string text;
};

using Settings = std::variant<EntrySettings, AgentSettings, ShowText>;

/// Reads flags and the environment (`WISTERIAYARD_` and the flag's name in capitals); a flag goes first.
/// @return the settings, or InvalidArgument that names the flag, the value and what is allowed
Result<Settings> parseSettings(int argc, const char* const* argv);

} // namespace wisteriayard
