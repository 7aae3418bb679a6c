#pragma once

#include "wisteriayard/contract.h"
#include "wisteriayard/scheduler.h"

#include <string>
#include <vector>

namespace wisteriayard::bench {

/// Rate and request sizes of a class.
struct ClassLoad {
    RequestClass requestClass;
    bool plain = false;
    double requestsPerSecond = 0;
    /// Tokens of the shared prefix and of the rest of the prompt, and mean number of output tokens.
    int prefixTokens = 0;
    int promptTokens = 0;
    int outputMean = 0;
    /// Number of distinct prefixes of each account.
    int prefixesPerAccount = 1;
};

struct AccountLoad {
    AccountId id;
    double weight = 1;
    /// Share of the total demand.
    double share = 0;
};

struct ZoneLoad {
    ZoneId zone;
    RegionId region;
    /// Share of requests that arrive at the entries of this zone.
    double share = 0;
};

/// Topology and demand of a user's deployment.
struct Deployment {
    std::string name;
    Duration interZoneDelay { 0 };
    Duration interRegionDelay { 0 };
    Duration clientDelay { 0 };
    std::vector<ZoneLoad> zones;
    /// Number of entries, assigned to the zones in round-robin order.
    int entries = 3;
    std::vector<AccountLoad> accounts;
    std::vector<ClassLoad> classes;
    /// Engines or plain servers of one target.
    struct Fleet {
        TargetId target;
        int count = 0;
        bool plain = false;
    };
    std::vector<Fleet> fleets;
};

enum class Scenario {
    OrdinaryDay,
    ClassBurst,
    AccountFlood,
    Stragglers,
    Crashes,
    StaleReports,
    CacheGaps,
    LongOutputs,
    LinkSaturated,
    MonthEnd,
    BurstAndCrashes,
    ScaleStep,
};
inline constexpr int scenarioCount = 12;
std::string scenarioName(Scenario scenario);

/// Index of the account that exceeds its usual demand in Scenario::AccountFlood.
inline constexpr int floodingAccount = 5;

Deployment nadira();
Deployment malarstrand();
/// Scales a deployment up to 370 endpoints, 600 accounts and 8 models.
Deployment scaled(const Deployment& base);

/// Arrival of a request.
struct Arrival {
    TimePoint at;
    std::uint16_t classIndex = 0;
    std::uint16_t account = 0;
    std::uint16_t entry = 0;
    std::int32_t output = 0;
    std::uint64_t prefixHash = 0;
};

/// Draws the arrivals of a scenario, ordered by time. The same seed gives the same arrivals.
std::vector<Arrival> makeArrivals(const Deployment& deployment, Scenario scenario, Duration length, unsigned seed);

} // namespace wisteriayard::bench
