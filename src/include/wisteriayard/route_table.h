#pragma once

#include "wisteriayard/allowed_regions.h"
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

/// Whether requests of a route may be repeated.
enum class RequestKind {
    Idempotent,
    NonIdempotent,
    /// Answered by an event stream; not repeated unless the route is resumable.
    Stream,
};

/// Version of a routing configuration; increases, but not by a fixed step.
using ConfigVersion = StrongNumber<struct ConfigVersionTag, std::int64_t>;

/// One of the services that share the requests of a route.
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
    /// Maximum time until the complete response.
    Duration timeout {};
    /// Latency objective for the complete response, or for the first event of a stream.
    Duration objective {};
    /// Objective for the longest gap between two events of a stream.
    Duration gapObjective {};
    /// 0 is the most urgent.
    Priority priority { 0 };
    /// At least one.
    std::vector<WeightedTarget> targets;
    int maxAttempts = 1;
    /// Requests need no key.
    bool anonymous = false;
    /// A stream may be resumed at another endpoint after the last delivered event.
    bool resumable = false;
    /// Regions in which requests may be served.
    AllowedRegions allowedRegions;

    /// Whether a request that may already have run may be sent to another endpoint.
    bool isRetryable() const { return kind == RequestKind::Idempotent || resumable; }
};

/// Properties of the engines of a model service.
struct EngineTraits {
    /// Maximum number of requests in one batch.
    int slots = 1;
    /// Capacity of the KV cache, shared by running requests and cached prompt prefixes.
    Tokens cacheCapacity { 0 };
    /// Output tokens per event of a stream.
    int tokensPerEvent = 1;
};

/// A service that requests are routed to.
struct TargetInfo {
    TargetId id;
    /// Maximum number of connections to one endpoint, over all clients.
    int maxConnections = 1;
    /// Set for model services.
    std::optional<EngineTraits> engine;
    /// Time for which an endpoint is cold after it started; 0 if it states itself when it is.
    Duration warmup {};
    /// Requests per second that a cold endpoint accepts from all entries together; 0 for no limit.
    RequestRate coldPerSecond { 0 };
};

/// A field of a document of the platform that can't be used as it is.
struct InvalidField {
    /// Name of the field, with that of the object it belongs to.
    std::string name;
    /// What is wrong, and how the field is understood.
    std::string problem;
};

/// Size limits and timeouts for requests of callers.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    Bytes maxBody { 4 * 1024 * 1024 };
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// Client account that a key belongs to.
struct KeyOwner {
    AccountId account;
    /// Takes precedence over the priority of the route.
    std::optional<Priority> priority;
    /// Regions in which requests may be served; those of the route apply as well.
    AllowedRegions allowedRegions {};
};

/// Combines the priorities of account and route. The account's takes precedence; the route's breaks ties.
/// @return 0 (served first) to 8
Priority enginePriority(std::optional<Priority> account, Priority route);

/// A complete routing configuration.
struct RoutingConfig {
    ConfigVersion version { 0 };
    std::vector<Route> routes;
    std::map<TargetId, TargetInfo> targets;
    CallerLimits limits;
    /// False if no accounts are configured; no request needs a key then.
    bool keysRequired = false;
    std::unordered_map<KeyHash, KeyOwner> keys;
    /// Fields that are not valid, but do not make the configuration unusable.
    std::vector<InvalidField> invalidFields;
};

/// Maps a request to the route of its host with the longest matching prefix.
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(RoutingConfig config);

    /// @param host host as sent by the caller, with or without port
    /// @param target path and query of the request
    /// @return nullptr if no route matches
    const Route* find(std::string_view host, std::string_view target) const;
    /// Selects a service of a route by weight; the choice is the same for each attempt of a request.
    static const TargetId& pickTarget(const Route& route, const RequestId& request);
    /// @return nullptr if the key is unknown
    const KeyOwner* keyOwner(const KeyHash& key) const;
    /// @return regions in which requests of an account may be served; any region if the account has no key
    AllowedRegions accountRegions(const AccountId& account) const;
    /// Accounts with a key whose requests may be served in some regions only.
    const std::map<AccountId, AllowedRegions>& restrictedAccounts() const { return m_accountRegions; }

    const RoutingConfig& config() const { return m_config; }

private:
    using Prefixes = std::unordered_map<std::string, std::size_t>;

    RoutingConfig m_config;
    std::unordered_map<std::string, Prefixes> m_hosts;
    std::map<AccountId, AllowedRegions> m_accountRegions;
};

} // namespace wisteriayard
