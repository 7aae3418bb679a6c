#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriayard {

/// Service tiers in descending order of precedence.
enum class Tier {
    Top,
    Interactive,
    Bulk,
};

/// Number of service tiers.
inline constexpr std::size_t tierCount = 3;

/// Name of a tier as used in contracts: `top`, `interactive` or `bulk`.
std::string_view tierName(Tier tier);

/// Conditions of a class. A request matches if it meets all that are set.
struct ClassMatch {
    /// Model or plain service that the request is addressed to.
    TargetId target;
    /// HTTP method; any if empty.
    std::string method;
    /// Prefix of the path below the service; any if empty.
    std::string pathPrefix;
    /// Largest `max_tokens` that still matches; any if absent.
    std::optional<Tokens> maxTokensAtMost;
};

/// Latency targets of a class; one that is not set is not measured.
struct LatencyTargets {
    std::optional<Duration> firstToken;
    std::optional<Duration> betweenTokens;
    std::optional<Duration> total;
    /// Share of requests that must meet the targets, 0 to 1.
    double attainment = 0.95;
};

/// One request class of a contract.
struct RequestClass {
    ClassId name;
    Tier tier = Tier::Bulk;
    /// Order within the tier; lower numbers are served first.
    Priority priority { 0 };
    ClassMatch match;
    LatencyTargets targets;
    /// Longest time a request may wait before it is dispatched.
    Duration longestWait { 0 };
    /// Output length assumed until answers have been observed.
    Tokens expectedOutput { 0 };
    /// The call must not run twice; never retried or hedged.
    bool atMostOnce = false;
};

/// Limits of a client account across all entries; one that is not set does not apply.
struct AccountLimits {
    std::optional<double> requestsPerSecond;
    std::optional<double> tokensPerSecond;
    std::optional<std::int64_t> concurrent;
    std::optional<double> spendEndpointSecondsPerDay;
};

/// The contract of one client account.
struct Contract {
    AccountId account;
    /// Weight of the account's share of capacity relative to other accounts of the same class; above 0.
    double weight = 1.0;
    AccountLimits limits;
    /// Evaluated in order; a request belongs to the first class that it matches.
    std::vector<RequestClass> classes;
};

/// Attributes of a request that determine its class.
struct RequestAttributes {
    TargetId target;
    std::string method;
    /// Path below the service; empty for chats.
    std::string path;
    std::optional<Tokens> maxTokens;
};

/// Parses and validates a contract.
/// @param json the document
/// @return the contract, or InvalidArgument with the JSON path, the value and what is allowed
Result<Contract> parseContract(std::string_view json);

/// Finds the class of a request.
/// @return the first matching class, or nullptr if the contract has none
const RequestClass* classify(const Contract& contract, const RequestAttributes& request);

} // namespace wisteriayard
