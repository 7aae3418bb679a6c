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

/// Limits and demand of an account.
struct AccountModel {
    AccountId id;
    AccountLimits limits;
    /// Requests per second over all entries.
    double arrivalRate = 0;
    /// Running times of requests are uniformly distributed up to this maximum.
    Duration maxRunTime { 0 };
    std::int64_t estimatedTokens = 0;
    std::int64_t minTokens = 0;
    std::int64_t maxTokens = 0;
    double maxEndpointSeconds = 0;
};

/// Membership changes during a run.
enum class Scenario {
    Steady,
    /// An entry joins and another leaves every 5 s.
    Churn,
    /// The budget owner of each account crashes after one third and after two thirds of the run.
    OwnerLost,
};

/// Measurements of one account.
struct AccountResult {
    AccountId id;
    /// Maximum use beyond rate times duration, over all intervals of the run.
    Credits excess {};
    Credits used {};
    std::int64_t maxRunning = 0;
    std::int64_t refused = 0;
    std::int64_t admitted = 0;
    int ownerChanges = 0;
    /// Maximum number of budget owner changes within a lease period, the maximum running time of a request and the
    /// delay of the member list.
    int maxRecentOwnerChanges = 0;
};

/// Measurements of one run.
struct RunResult {
    std::vector<AccountResult> accounts;
    double messagesPerNode = 0;
    double bytesPerNode = 0;
    double maxBytesPerNode = 0;
    /// Maximum time from the arrival of a request to its admission or refusal.
    Duration maxDecisionTime { 0 };
};

/// Simulates entries with their member lists, budget leases and budget owners in virtual time.
class Fleet {
public:
    Fleet(std::size_t entries, Scenario scenario, std::uint64_t seed, std::vector<AccountModel> accounts);
    RunResult run(Duration time);

private:
    struct Node {
        InstanceId id;
        bool up = true;
        std::unique_ptr<BudgetLease> lease;
        std::unique_ptr<BudgetOwner> budgetOwner;
        std::uint64_t bytes = 0;
        std::uint64_t messages = 0;
        /// Requests that wait for a budget grant, by account.
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
        TimePoint levelTime {};
        std::int64_t running = 0;
        std::vector<TimePoint> ownerChangeTimes;
        InstanceId owner;
    };

    void schedule(TimePoint time, std::function<void()> action);
    Duration randomDuration(Duration minimum, Duration maximum);
    void addNode();
    void removeNode(Node& node, bool crash);
    void publishMembers(Duration lag);
    void scheduleScenario(Duration time);
    void tick(Node& node);
    void flush(Node& node);
    void handleArrival(std::size_t account);
    void tryAdmit(Node& node, std::size_t account, const BudgetUse& estimate, const BudgetUse& actual,
        BudgetAttempt attempt, TimePoint arrived);
    void startRequest(Node& node, std::size_t account, const BudgetUse& estimate, const BudgetUse& actual);
    void recordUse(std::size_t account, std::size_t kind, double amount);

    Scenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<AccountModel> m_accounts;
    std::vector<Tracker> m_trackers;
    /// Entries on the member list.
    std::vector<std::shared_ptr<Node>> m_nodes;
    /// All entries of the run. Entries that have left are kept because events refer to them.
    std::map<InstanceId, std::shared_ptr<Node>> m_allNodes;
    std::priority_queue<Event> m_events;
    TimePoint m_now { std::chrono::seconds(1) };
    std::uint64_t m_order = 0;
    int m_nextName = 0;
    Duration m_maxDecisionTime { 0 };
};

} // namespace wisteriayard::bench
