#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <boost/asio/ip/tcp.hpp>

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

/// Settings of an entry instance.
struct EntrySettings {
    CommonSettings common;
    /// Callers' HTTP.
    boost::asio::ip::tcp::endpoint listen;
    /// ZeroMQ address for other entries.
    boost::asio::ip::tcp::endpoint peer;
    int trafficThreads = 2;
    int maxConnections = 10'000;
    Bytes maxBody { 8 * 1024 * 1024 };
    /// Time for a request to arrive, and for an idle connection to stay open.
    Duration readTimeout = std::chrono::seconds(30);
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
