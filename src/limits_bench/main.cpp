// Runs fleets of 3, 30 and 300 entries and compares the excess over each limit with the bounds that
// docs/decisions/limits-over-entries.md derives. Prints JSON; exits 1 if a bound does not hold.
#include "fleet.h"

#include <nlohmann/json.hpp>

#include <iostream>

using namespace wisteriayard;
using namespace wisteriayard::bench;
using Json = nlohmann::json;

namespace {

constexpr Duration runTime = std::chrono::seconds(60);
constexpr double period = 2.0;
/// Time for which entries may disagree on the list, and the shortest time between asks.
constexpr double listSpread = 1.0;
constexpr double askDelay = 0.3;
/// A home lends this share of a limit at least when three times as much is wanted.
constexpr double leastUse = 0.8;

struct Load {
    const char* name;
    AccountLimits limits;
    double arrivals;
    Duration longestRun;
    std::int64_t mostTokens;
    double mostEndpointSeconds;
};

constexpr std::int64_t estimatedTokens = 300;
constexpr double secondsPerDay = 86400;

std::vector<AccountModel> models()
{
    using std::chrono::seconds;
    const std::vector<Load> loads {
        { "rate", { 50.0, {}, {}, {} }, 150, seconds(1), 300, 0 },
        { "slow", { 2.0, {}, {}, {} }, 6, seconds(1), 300, 0 },
        { "tokens", { {}, 15'000.0, 200, {} }, 100, seconds(2), 900, 0 },
        { "slots", { {}, {}, 40, {} }, 60, seconds(4), 300, 0 },
        { "spend", { {}, {}, 100, 5 * secondsPerDay }, 30, seconds(1), 300, 1.0 },
    };
    std::vector<AccountModel> result;
    for (const Load& load : loads)
        result.push_back({ AccountId(load.name), load.limits, load.arrivals, load.longestRun, estimatedTokens, 50,
            load.mostTokens, load.mostEndpointSeconds });
    return result;
}

/// The bound on the excess of one kind of credit.
double creditBound(const AccountModel& model, const AccountResult& seen, std::size_t kind, double entries)
{
    double rate = *creditRates(model.limits)[kind];
    auto which = static_cast<CreditKind>(kind);
    double capacity = creditCapacity(which, rate);
    double slots = static_cast<double>(model.limits.concurrent.value_or(0)) * (1 + seen.homeChangesAtOnce);
    double perHomeChange = rate * (period + 2 * listSpread + askDelay) + initialCredit(which, rate);
    double bound = capacity + maxOutstandingCredit(which, rate) + seen.homeChanges * perHomeChange;
    if (which == CreditKind::Tokens)
        bound += entries * estimatedTokens + slots * static_cast<double>(estimatedTokens + model.mostTokens);
    if (which == CreditKind::Spend)
        bound += slots * model.mostEndpointSeconds - capacity;
    return bound;
}

struct Check {
    Json line;
    bool holds = true;
};

Check check(const AccountModel& model, const AccountResult& seen, Scenario scenario, double entries)
{
    constexpr std::array<const char*, creditKinds> names { "requests", "tokens", "spend" };
    double seconds = std::chrono::duration<double>(runTime).count();
    Check result;
    result.line["account"] = seen.id.value();
    result.line["home_changes"] = seen.homeChanges;
    result.line["admitted"] = seen.admitted;
    result.line["refused"] = seen.refused;
    auto rates = creditRates(model.limits);
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        if (!rates[kind])
            continue;
        double bound = creditBound(model, seen, kind, entries);
        double use = seen.used[kind] / (*rates[kind] * seconds);
        result.line[names[kind]] = { { "limit_per_s", *rates[kind] }, { "excess", seen.excess[kind] },
            { "excess_bound", bound }, { "used_share", use } };
        bool enough = scenario != Scenario::Steady || use >= leastUse;
        result.holds = result.holds && seen.excess[kind] <= bound && enough;
    }
    if (model.limits.concurrent) {
        std::int64_t bound = *model.limits.concurrent * (1 + seen.homeChangesAtOnce);
        result.line["running"]
            = { { "limit", *model.limits.concurrent }, { "most", seen.mostRunning }, { "bound", bound } };
        result.holds = result.holds && seen.mostRunning <= bound;
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
    line["bytes_per_s_busiest_node"] = run.mostBytesPerNode;
    line["longest_decision_ms"] = run.longestDecision.count() / 1000;
    bool holds = run.longestDecision <= maxGrantWait;
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
            holds = runOne(entries, Scenario::HomeLost, "home_lost", seed, lines) && holds;
        }
    }
    std::cout << lines.dump(1) << '\n';
    return holds ? 0 : 1;
}
