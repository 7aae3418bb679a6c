#pragma once

#include "wisteriayard/contract.h"
#include "wisteriayard/scheduler.h"

#include <string>
#include <vector>

namespace wisteriayard::bench {

/// How requests of a class are sized.
struct ClassLoad {
    RequestClass requestClass;
    bool plain = false;
    double requestsPerSecond = 0;
    /// Tokens of the shared prefix, of the rest of the prompt, and mean of the output.
    int prefixTokens = 0;
    int promptTokens = 0;
    int outputMean = 0;
    /// Distinct prefixes of an account.
    int prefixesPerAccount = 1;
};

struct AccountLoad {
    AccountId id;
    double weight = 1;
    /// Share of the deployment's demand.
    double share = 0;
};

struct ZoneLoad {
    ZoneId zone;
    RegionId region;
    /// Share of callers that reach the entries of this zone.
    double share = 0;
};

/// A user's deployment.
struct Deployment {
    std::string name;
    Duration betweenZones { 0 };
    Duration betweenRegions { 0 };
    Duration toClients { 0 };
    std::vector<ZoneLoad> zones;
    /// Entries are spread over the zones in turn.
    int entries = 3;
    std::vector<AccountLoad> accounts;
    std::vector<ClassLoad> classes;
    /// Engines and plain servers of each target.
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

/// Index of the account that floods in Scenario::AccountFlood.
inline constexpr int floodingAccount = 5;

Deployment nadira();
Deployment malarstrand();
/// The deployment enlarged to 370 endpoints, 600 accounts and 8 models.
Deployment scaled(const Deployment& base);

/// One request of a caller.
struct Arrival {
    TimePoint at;
    std::uint16_t classIndex = 0;
    std::uint16_t account = 0;
    std::uint16_t entry = 0;
    std::int32_t output = 0;
    std::uint64_t prefixHash = 0;
};

/// Demand of a scenario; the same seed gives the same arrivals to every policy.
std::vector<Arrival> makeArrivals(const Deployment& deployment, Scenario scenario, Duration length, unsigned seed);

} // namespace wisteriayard::bench
