#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisteriayard {

/// What may be done again with requests of a route.
enum class RequestKind {
    Idempotent,
    NonIdempotent,
    /// Answered by a series of events; runs once unless the route allows resumption.
    Stream,
};

/// Name of a kind as in logs.

/// Version of a routing configuration; grows in uneven steps.
using ConfigVersion = StrongNumber<struct ConfigVersionTag, std::int64_t>;

/// One of the services that a route is split over.
struct WeightedTarget {
    TargetId target;
    std::int64_t weight = 1;
};

/// Requests of one host whose path begins with a prefix.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// Longest time that a request is kept waiting for its whole answer.
    Duration timeout {};
    /// Time to the whole answer, or to the first event, that the contract aims at.
    Duration objective {};
    /// Longest pause between two events that the contract aims at.
    Duration gapObjective {};
    /// 0 is the most urgent.
    Priority priority { 0 };
    /// At least one.
    std::vector<WeightedTarget> targets;
    int maxAttempts = 1;
    /// Needs no key.
    bool anonymous = false;
    /// A stream may go on at another endpoint after its last delivered event.
    bool resumable = false;

    /// Whether a request that may have run may be sent to a further endpoint.
    bool isRepeatable() const { return kind == RequestKind::Idempotent || resumable; }
};

/// What is known of the engines of a model service.
struct EngineTraits {
    /// Requests that an engine runs in one batch.
    int slots = 1;
    /// Tokens that running requests and cached prompt parts share.
    Tokens cacheCapacity { 0 };
    /// Output tokens of one event of a stream.
    int tokensPerEvent = 1;
};

/// A service that requests are routed to.
struct TargetInfo {
    TargetId id;
    /// Connections that one endpoint accepts from all callers together.
    int maxConnections = 1;
    /// Set for model services.
    std::optional<EngineTraits> engine;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    Bytes maxBody { 4 * 1024 * 1024 };
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// Client account that a key belongs to.
struct KeyOwner {
    AccountId account;
    /// Comes before the priority of the route.
    std::optional<Priority> priority;
};

/// Priority of a request at an engine: the account's comes first, the route's decides among equal accounts.
/// @return 0 to 8, 0 first
Priority enginePriority(std::optional<Priority> account, Priority route);

/// A complete routing configuration.
struct RoutingConfig {
    ConfigVersion version { 0 };
    std::vector<Route> routes;
    std::map<TargetId, TargetInfo> targets;
    CallerLimits limits;
    /// Without accounts no request needs a key.
    bool keysRequired = false;
    std::unordered_map<KeyHash, KeyOwner> keys;
};

/// Finds the route of a request: the longest prefix among the routes of its host.
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(RoutingConfig config);

    /// @param host as the caller wrote it, with or without port
    /// @param target path and query of the request
    /// @return nothing if no route matches
    const Route* find(std::string_view host, std::string_view target) const;
    /// Picks one of a route's services; equal requests get the same one.
    static const TargetId& pickTarget(const Route& route, const RequestId& request);
    /// @return nothing if the key is not known
    const KeyOwner* keyOwner(const KeyHash& key) const;

    const RoutingConfig& config() const { return m_config; }

private:
    using Prefixes = std::unordered_map<std::string, std::size_t>;

    RoutingConfig m_config;
    std::unordered_map<std::string, Prefixes> m_hosts;
};

} // namespace wisteriayard
