#pragma once

#include "wisteriayard/limits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wisteriayard::bench {

/// An account's contract and its demand.
struct AccountModel {
    AccountId id;
    AccountLimits limits;
    /// Requests per second over all entries.
    double arrivals = 0;
    /// Longest running time of a request; it is uniform up to this.
    Duration longestRun { 0 };
    std::int64_t estimatedTokens = 0;
    std::int64_t fewestTokens = 0;
    std::int64_t mostTokens = 0;
    double mostEndpointSeconds = 0;
};

/// What happens to the entries during a run.
enum class Scenario {
    Steady,
    /// An entry joins and another leaves every 5 s.
    Churn,
    /// The home of each account is killed after a third and after two thirds of the run.
    HomeLost,
};

/// What was seen of one account.
struct AccountResult {
    AccountId id;
    /// Largest use above the rate times the time, over all intervals of the run.
    Credits excess {};
    Credits used {};
    std::int64_t mostRunning = 0;
    std::int64_t refused = 0;
    std::int64_t admitted = 0;
    int homeChanges = 0;
    /// Most changes of the home within a lease period and the longest run of a request.
    int homeChangesAtOnce = 0;
};

/// What was seen of one run.
struct RunResult {
    std::vector<AccountResult> accounts;
    double messagesPerNode = 0;
    double bytesPerNode = 0;
    double mostBytesPerNode = 0;
    /// Longest time from a request to its decision.
    Duration longestDecision { 0 };
};

/// Entries with their lists, leases and homes in virtual time.
class Fleet {
public:
    Fleet(std::size_t entries, Scenario scenario, std::uint64_t seed, std::vector<AccountModel> accounts);
    RunResult run(Duration time);

private:
    struct Node {
        InstanceId id;
        bool up = true;
        std::unique_ptr<BudgetLease> lease;
        std::unique_ptr<BudgetOwner> home;
        std::uint64_t bytes = 0;
        std::uint64_t messages = 0;
        /// Requests that wait for the first grant, by account.
        std::map<AccountId, std::vector<std::function<void(BudgetAttempt)>>> pending;
    };
    struct Event {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };
    struct Tracker {
        AccountResult result;
        Credits level {};
        TimePoint levelAt {};
        std::int64_t running = 0;
        std::vector<TimePoint> changes;
        InstanceId home;
    };

    void at(TimePoint time, std::function<void()> action);
    Duration between(Duration least, Duration most);
    void addNode();
    void removeNode(Node& node, bool crash);
    void publish(Duration lag);
    void scheduleScenario(Duration time);
    void tick(Node& node);
    void flush(Node& node);
    void arrive(std::size_t account);
    void decide(Node& node, std::size_t account, const BudgetUse& estimate, const BudgetUse& real,
        BudgetAttempt attempt, TimePoint arrived);
    void start(Node& node, std::size_t account, const BudgetUse& estimate, const BudgetUse& real);
    void track(std::size_t account, std::size_t kind, double amount);

    Scenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<AccountModel> m_accounts;
    std::vector<Tracker> m_trackers;
    /// Listed entries.
    std::vector<std::shared_ptr<Node>> m_nodes;
    /// Every entry of the run, also those that are gone: events refer to them.
    std::map<InstanceId, std::shared_ptr<Node>> m_everyNode;
    std::priority_queue<Event> m_events;
    TimePoint m_now { std::chrono::seconds(1) };
    std::uint64_t m_order = 0;
    int m_nextName = 0;
    Duration m_longestDecision { 0 };
};

} // namespace wisteriayard::bench
