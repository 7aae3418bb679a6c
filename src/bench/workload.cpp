#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace wisteriayard::bench {

namespace {

    using std::chrono::milliseconds;

    RequestClass makeClass(const char* name, Tier tier, int priority, const char* target, LatencyTargets targets,
        Duration longestWait, int expectedOutput, bool atMostOnce = false)
    {
        RequestClass result;
        result.name = ClassId(name);
        result.tier = tier;
        result.priority = Priority(priority);
        result.match.target = TargetId(target);
        result.targets = targets;
        result.longestWait = longestWait;
        result.expectedOutput = Tokens(expectedOutput);
        result.atMostOnce = atMostOnce;
        return result;
    }

    LatencyTargets streamTargets(int firstMs, int betweenMs)
    {
        return { milliseconds(firstMs), milliseconds(betweenMs), std::nullopt, 0.99 };
    }

    LatencyTargets totalTarget(int ms) { return { std::nullopt, std::nullopt, milliseconds(ms), 0.99 }; }

    /// Creates two accounts of weight 8 with 0.3 of the demand each; the others share the rest equally.
    std::vector<AccountLoad> makeAccounts(const std::vector<const char*>& names)
    {
        std::vector<AccountLoad> accounts;
        for (std::size_t i = 0; i < names.size(); ++i) {
            bool large = i < 2;
            accounts.push_back({ AccountId(names[i]), large ? 8.0 : 1.0, large ? 0.3 : 0.4 / (names.size() - 2.0) });
        }
        return accounts;
    }

    /// Rate of a class relative to its mean rate on an ordinary day.
    double demandFactor(const Deployment& deployment, Scenario scenario, std::size_t classIndex, double phase)
    {
        constexpr double swing = 0.15;
        // The ordinary load is 0.48 of the engines' capacity, so this factor makes it twice the capacity.
        constexpr double monthEndFactor = 4.2;
        double ordinary = 1 + swing * std::sin(2 * M_PI * phase);
        const ClassLoad& load = deployment.classes[classIndex];
        bool middle = phase > 1.0 / 3 && phase < 2.0 / 3;
        bool bursts = scenario == Scenario::ClassBurst || scenario == Scenario::BurstAndCrashes;
        if (bursts && middle && load.requestClass.tier == Tier::Bulk)
            return 10;
        if (scenario == Scenario::MonthEnd && !load.plain)
            return monthEndFactor;
        return ordinary;
    }

    double accountFactor(Scenario scenario, int account, const ClassLoad& load, double phase)
    {
        bool floods
            = scenario == Scenario::AccountFlood && account == floodingAccount && !load.plain && phase > 1.0 / 3;
        return floods ? 20 : 1;
    }

} // namespace

std::string scenarioName(Scenario scenario)
{
    static const char* const names[scenarioCount]
        = { "ordinary_day", "class_burst", "account_flood", "stragglers", "crashes", "stale_reports", "cache_gaps",
              "long_outputs", "link_saturated", "month_end", "burst_and_crashes", "scale_step" };
    return names[static_cast<int>(scenario)];
}

Deployment nadira()
{
    Deployment result;
    result.name = "nadira";
    result.interZoneDelay = milliseconds(1);
    result.interRegionDelay = milliseconds(8);
    result.clientDelay = milliseconds(3);
    result.zones = { { ZoneId("amman-a"), RegionId("amman"), 0.35 }, { ZoneId("amman-b"), RegionId("amman"), 0.35 },
        { ZoneId("dubai-a"), RegionId("dubai"), 0.3 } };
    result.accounts = makeAccounts(
        { "jordan", "olfactia", "ambra", "cedar", "musk", "neroli", "rosa", "tonka", "vetiver", "yuzu" });
    result.classes = { { makeClass("charge", Tier::Top, 0, "counter", totalTarget(500), milliseconds(5000), 0, true),
                           true, 12, 0, 0, 0, 1 },
        { makeClass("stock", Tier::Interactive, 0, "counter", totalTarget(300), milliseconds(5000), 0), true, 25, 0, 0,
            0, 1 },
        { makeClass("lookup", Tier::Interactive, 1, "scent", streamTargets(540, 28), milliseconds(10000), 80), false,
            50, 2500, 60, 80, 3 },
        { makeClass("chat", Tier::Bulk, 2, "scent", streamTargets(2000, 60), milliseconds(60000), 200), false, 28, 0,
            300, 200, 1 } };
    result.fleets = { { TargetId("scent"), 20, false }, { TargetId("counter"), 3, true } };
    return result;
}

Deployment malarstrand()
{
    Deployment result;
    result.name = "malarstrand";
    result.interZoneDelay = Duration(500);
    result.interRegionDelay = milliseconds(8);
    result.clientDelay = milliseconds(3);
    result.zones = { { ZoneId("vasteras-a"), RegionId("svealand"), 0.35 },
        { ZoneId("eskilstuna-b"), RegionId("svealand"), 0.35 }, { ZoneId("umea-a"), RegionId("norrland"), 0.3 } };
    result.accounts = makeAccounts({ "clerks", "planners", "arboga", "eskilstuna", "hallsta", "koping", "sala",
        "surahammar", "umea", "vasteras" });
    result.classes = { { makeClass("fetch", Tier::Top, 0, "archive", totalTarget(300), milliseconds(5000), 0), true, 15,
                           0, 0, 0, 1 },
        { makeClass("publish", Tier::Interactive, 0, "archive", totalTarget(2000), milliseconds(10000), 0, true), true,
            3, 0, 0, 0, 1 },
        { makeClass("explain", Tier::Interactive, 1, "draft", streamTargets(540, 28), milliseconds(10000), 120), false,
            25, 800, 100, 120, 2 },
        { makeClass("rebuild", Tier::Bulk, 2, "draft", totalTarget(600000), milliseconds(600000), 2000), false, 2.2,
            3000, 1000, 2000, 2 } };
    result.fleets = { { TargetId("draft"), 12, false }, { TargetId("archive"), 3, true } };
    return result;
}

Deployment scaled(const Deployment& base)
{
    constexpr int models = 8;
    constexpr int engines = 360;
    constexpr int plainServers = 10;
    constexpr int accounts = 600;
    Deployment result = base;
    result.entries = 12;
    int baseEngines = base.fleets[0].count;
    result.fleets = { { base.fleets[1].target, plainServers, true } };
    result.classes.clear();
    for (const ClassLoad& load : base.classes) {
        ClassLoad grown = load;
        if (load.plain) {
            grown.requestsPerSecond *= plainServers / 3.0;
            result.classes.push_back(grown);
            continue;
        }
        grown.requestsPerSecond *= static_cast<double>(engines) / baseEngines / models;
        grown.prefixesPerAccount = 1;
        for (int model = 0; model < models; ++model) {
            TargetId target(load.requestClass.match.target.value() + std::to_string(model));
            grown.requestClass.match.target = target;
            result.classes.push_back(grown);
        }
    }
    for (int model = 0; model < models; ++model)
        result.fleets.push_back(
            { TargetId(base.fleets[0].target.value() + std::to_string(model)), engines / models, false });
    result.accounts.clear();
    constexpr int large = 20;
    for (int i = 0; i < accounts; ++i) {
        bool isLarge = i < large;
        result.accounts.push_back({ AccountId("account" + std::to_string(i)), isLarge ? 8.0 : 1.0,
            isLarge ? 0.4 / large : 0.6 / (accounts - large) });
    }
    return result;
}

std::vector<Arrival> makeArrivals(const Deployment& deployment, Scenario scenario, Duration length, unsigned seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> unit(0, 1);
    std::vector<Arrival> arrivals;
    double seconds = std::chrono::duration<double>(length).count();
    std::vector<double> zoneShares;
    for (const ZoneLoad& zone : deployment.zones)
        zoneShares.push_back(zone.share);
    std::discrete_distribution<int> pickZone(zoneShares.begin(), zoneShares.end());
    int zones = static_cast<int>(deployment.zones.size());
    int entriesPerZone = std::max(1, deployment.entries / zones);
    for (std::size_t c = 0; c < deployment.classes.size(); ++c) {
        const ClassLoad& load = deployment.classes[c];
        for (std::size_t a = 0; a < deployment.accounts.size(); ++a) {
            // Draws a Poisson process at the highest rate and thins it to the current rate.
            double peak = load.requestsPerSecond * deployment.accounts[a].share * 10;
            if (scenario == Scenario::AccountFlood && static_cast<int>(a) == floodingAccount)
                peak *= 3;
            std::exponential_distribution<double> gap(peak);
            for (double t = gap(random); t < seconds; t += gap(random)) {
                double phase = t / seconds;
                double rate = load.requestsPerSecond * deployment.accounts[a].share
                    * demandFactor(deployment, scenario, c, phase)
                    * accountFactor(scenario, static_cast<int>(a), load, phase);
                if (unit(random) * peak > rate)
                    continue;
                Arrival arrival;
                arrival.at = TimePoint(Duration(static_cast<std::int64_t>(t * 1e6)));
                arrival.classIndex = static_cast<std::uint16_t>(c);
                arrival.account = static_cast<std::uint16_t>(a);
                int zone = pickZone(random);
                int member = static_cast<int>(unit(random) * entriesPerZone);
                arrival.entry = static_cast<std::uint16_t>(zone + member * zones);
                double mean = load.outputMean * (scenario == Scenario::LongOutputs ? 3 : 1);
                double output = mean * (0.35 + std::exponential_distribution<double>(1 / 0.65)(random));
                arrival.output = load.plain ? 0 : static_cast<std::int32_t>(std::clamp(output, 1.0, 5 * mean));
                int prefix = static_cast<int>(unit(random) * load.prefixesPerAccount);
                arrival.prefixHash
                    = load.prefixTokens ? (c * 1'000'003 + a * 1009 + prefix + 1) * 0x9E3779B97F4A7C15ULL : 0;
                arrivals.push_back(arrival);
            }
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival& x, const Arrival& y) { return x.at < y.at; });
    return arrivals;
}

} // namespace wisteriayard::bench
