// Simulates fleets of 3, 30 and 300 entries and checks the excess over each account limit against the bounds derived
// in docs/decisions/limits-over-entries.md. Prints JSON; exits with status 1 if a bound does not hold.
#include "fleet.h"

#include <nlohmann/json.hpp>

#include <iostream>

using namespace wisteriayard;
using namespace wisteriayard::bench;
using Json = nlohmann::json;

namespace {

constexpr Duration runTime = std::chrono::seconds(60);
constexpr double period = 2.0;
/// Time for which entries may have different member lists, and minimum interval between budget requests, in seconds.
constexpr double listSpread = 1.0;
constexpr double minRequestInterval = 0.3;
/// Minimum share of a limit that is used when the demand is three times the limit.
constexpr double minUsedShare = 0.8;

struct AccountDemand {
    const char* name;
    AccountLimits limits;
    double arrivalRate;
    Duration maxRunTime;
    std::int64_t maxTokens;
    double maxEndpointSeconds;
};

constexpr std::int64_t estimatedTokens = 300;
constexpr double secondsPerDay = 86400;

std::vector<AccountModel> models()
{
    using std::chrono::seconds;
    const std::vector<AccountDemand> demands {
        { "rate", { 50.0, {}, {}, {} }, 150, seconds(1), 300, 0 },
        { "slow", { 2.0, {}, {}, {} }, 6, seconds(1), 300, 0 },
        { "tokens", { {}, 15'000.0, 200, {} }, 100, seconds(2), 900, 0 },
        { "slots", { {}, {}, 40, {} }, 60, seconds(4), 300, 0 },
        { "spend", { {}, {}, 100, 5 * secondsPerDay }, 30, seconds(1), 300, 1.0 },
    };
    std::vector<AccountModel> result;
    for (const AccountDemand& demand : demands)
        result.push_back({ AccountId(demand.name), demand.limits, demand.arrivalRate, demand.maxRunTime,
            estimatedTokens, 50, demand.maxTokens, demand.maxEndpointSeconds });
    return result;
}

/// Upper bound of the excess for one kind of credit.
double creditBound(const AccountModel& model, const AccountResult& measured, std::size_t kind, double entries)
{
    double rate = *creditRates(model.limits)[kind];
    auto which = static_cast<CreditKind>(kind);
    double capacity = creditCapacity(which, rate);
    double slots = static_cast<double>(model.limits.concurrent.value_or(0)) * (1 + measured.maxRecentOwnerChanges);
    double perOwnerChange = rate * (period + 2 * listSpread + minRequestInterval) + initialCredit(which, rate);
    double bound = capacity + maxOutstandingCredit(which, rate) + measured.ownerChanges * perOwnerChange;
    if (which == CreditKind::Tokens)
        bound += entries * estimatedTokens + slots * static_cast<double>(estimatedTokens + model.maxTokens);
    if (which == CreditKind::Spend)
        bound += slots * model.maxEndpointSeconds - capacity;
    return bound;
}

struct Check {
    Json line;
    bool holds = true;
};

Check check(const AccountModel& model, const AccountResult& measured, Scenario scenario, double entries)
{
    constexpr std::array<const char*, creditKinds> names { "requests", "tokens", "spend" };
    double seconds = std::chrono::duration<double>(runTime).count();
    Check result;
    result.line["account"] = measured.id.value();
    result.line["home_changes"] = measured.ownerChanges;
    result.line["admitted"] = measured.admitted;
    result.line["refused"] = measured.refused;
    auto rates = creditRates(model.limits);
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        if (!rates[kind])
            continue;
        double bound = creditBound(model, measured, kind, entries);
        double use = measured.used[kind] / (*rates[kind] * seconds);
        result.line[names[kind]] = { { "limit_per_s", *rates[kind] }, { "excess", measured.excess[kind] },
            { "excess_bound", bound }, { "used_share", use } };
        bool enough = scenario != Scenario::Steady || use >= minUsedShare;
        result.holds = result.holds && measured.excess[kind] <= bound && enough;
    }
    if (model.limits.concurrent) {
        std::int64_t bound = *model.limits.concurrent * (1 + measured.maxRecentOwnerChanges);
        result.line["running"]
            = { { "limit", *model.limits.concurrent }, { "most", measured.maxRunning }, { "bound", bound } };
        result.holds = result.holds && measured.maxRunning <= bound;
    }
    result.line["holds"] = result.holds;
    return result;
}

bool runOne(std::size_t entries, Scenario scenario, const char* name, std::uint64_t seed, Json& lines)
{
    auto accounts = models();
    RunResult run = Fleet(entries, scenario, seed, accounts).run(runTime);
    Json line;
    line["entries"] = entries;
    line["scenario"] = name;
    line["seed"] = seed;
    line["messages_per_s_per_node"] = run.messagesPerNode;
    line["bytes_per_s_per_node"] = run.bytesPerNode;
    line["bytes_per_s_busiest_node"] = run.maxBytesPerNode;
    line["longest_decision_ms"] = run.maxDecisionTime.count() / 1000;
    bool holds = run.maxDecisionTime <= maxGrantWait;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        Check result = check(accounts[i], run.accounts[i], scenario, static_cast<double>(entries));
        holds = holds && result.holds;
        line["accounts"].push_back(std::move(result.line));
    }
    lines.push_back(std::move(line));
    return holds;
}

} // namespace

int main()
{
    Json lines = Json::array();
    bool holds = true;
    for (std::size_t entries : { 3U, 30U, 300U }) {
        for (std::uint64_t seed : { 1U, 2U, 3U }) {
            holds = runOne(entries, Scenario::Steady, "steady", seed, lines) && holds;
            holds = runOne(entries, Scenario::Churn, "churn", seed, lines) && holds;
            holds = runOne(entries, Scenario::OwnerLost, "home_lost", seed, lines) && holds;
        }
    }
    std::cout << lines.dump(1) << '\n';
    return holds ? 0 : 1;
}
