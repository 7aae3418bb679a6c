#pragma once

#include "baseline.h"
#include "engine_model.h"
#include "workload.h"

#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <variant>

namespace wisteriayard::bench {

/// Time until a broken connection or a failed connect is detected.
inline constexpr Duration failureDetectionDelay = std::chrono::milliseconds(100);
/// Bandwidth of the link between regions in each direction: 30 Mbit/s.
inline constexpr double linkBytesPerSecond = 30e6 / 8;

enum class PolicyKind {
    Core,
    FifoRoundRobin,
    FifoLeastOutstanding,
    PriorityLeastOutstanding,
};
inline constexpr int policyCount = 4;
std::string policyName(PolicyKind kind);

/// Metrics of one class in one run.
struct ClassMetrics {
    std::string name;
    Tier tier = Tier::Bulk;
    Duration longestWait { 0 };
    std::int64_t submitted = 0;
    std::int64_t met = 0;
    std::int64_t goodTokens = 0;
    std::int64_t computedTokens = 0;
    std::int64_t wastedTokens = 0;
    std::int64_t shed = 0;
    std::int64_t notExecutedRefusals = 0;
    std::int64_t preempted = 0;
    std::int64_t failed = 0;
    std::int64_t crossRegionBytes = 0;
    Duration maxWait { 0 };
    /// Endpoint time that the completed work takes with all slots in use.
    double lowerBoundSeconds = 0;
    double spendSeconds = 0;
    /// Submitted requests and requests within their targets, by account.
    std::vector<std::pair<std::int64_t, std::int64_t>> byAccount;
};

struct RunMetrics {
    std::vector<ClassMetrics> classes;
    double seconds = 0;
};

/// Parameters of a run.
struct RunSettings {
    Scenario scenario = Scenario::OrdinaryDay;
    PolicyKind policy = PolicyKind::Core;
    unsigned seed = 1;
    Duration length { 0 };
    /// Prints dispatches, refusals and missed latency targets to standard error.
    bool trace = false;
};

/// Discrete-event simulation of the entries, endpoints and links of a deployment.
class Simulation {
public:
    Simulation(const Deployment& deployment, const std::vector<Arrival>& arrivals, RunSettings settings);
    RunMetrics run();

private:
    enum class EventKind : std::uint8_t {
        Arrive,
        ReachEndpoint,
        EngineStep,
        ServiceDone,
        Progress,
        Finished,
        Failed,
        Cancel,
        Report,
        Tick,
        EndpointDown,
        EndpointUp,
        Fault,
    };
    struct Event {
        TimePoint at;
        std::uint64_t order;
        EventKind kind;
        std::uint32_t subject;
        std::uint32_t attempt;
        std::int64_t value;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };
    struct RequestState {
        TimePoint firstDispatch {};
        TimePoint firstToken {};
        TimePoint lastToken {};
        std::int32_t delivered = 0;
        std::int32_t attemptStart = 0;
        std::int32_t endpoint = -1;
        std::uint16_t attempt = 0;
        bool dispatched = false;
        bool done = false;
    };
    struct Endpoint {
        EndpointInfo info;
        std::size_t zone = 0;
        bool plain = false;
        bool up = true;
        std::uint32_t epoch = 0;
        bool stepping = false;
        EngineModel engine;
        std::set<std::tuple<std::int32_t, std::uint64_t, std::uint32_t>> serviceQueue;
        std::set<std::uint32_t> serviceRunning;
        std::deque<std::tuple<TimePoint, int, int>> samples;
        std::int64_t lastReportedTokens = 0;
        double tokenRate = 0;
    };
    struct Entry {
        std::size_t zone = 0;
        std::variant<Scheduler, Baseline> policy;
        std::vector<bool> knownEndpoints;
    };
    enum class FaultKind : std::uint8_t { Crash, Restart, Slow, Recover, LoseCaches, SlowLink, RestoreLink };
    struct Fault {
        FaultKind kind;
        std::uint32_t endpoint;
    };

    void buildEndpoints();
    void buildEntries();
    /// Adds an entry's subset of a target's endpoints to its policy.
    void addEndpointSubset(Entry& entry, std::uint64_t number, const TargetId& target);
    void scheduleFaults();
    void scheduleFault(double share, FaultKind kind, std::uint32_t endpoint = 0);
    void schedule(
        TimePoint at, EventKind kind, std::uint32_t subject, std::uint32_t attempt = 0, std::int64_t value = 0);
    void handle(const Event& event);
    void submit(std::uint32_t request, SubmitReason reason);
    void execute(const Scheduler::Decisions& decisions);
    void execute(const Dispatch& dispatch);
    void execute(const Refusal& refusal);
    void execute(const Preempt& preempt);
    void handleEndpointArrival(const Event& event);
    void startStep(Endpoint& endpoint, std::uint32_t index);
    void completeEngineStep(const Event& event);
    void startServiceCalls(Endpoint& endpoint);
    void completeService(const Event& event);
    void attemptFinished(std::uint32_t request);
    void attemptFailed(const Event& event);
    void cancelAtEndpoint(const Event& event);
    void report(std::uint32_t endpoint);
    void applyFault(const Fault& fault);
    void crash(std::uint32_t endpoint);
    void finishRequest(std::uint32_t request, bool complete);
    bool metTargets(std::uint32_t request) const;
    Duration networkDelay(std::size_t fromZone, std::size_t toZone, std::int64_t bytes, ClassMetrics& metrics);
    bool isCurrentAttempt(std::uint32_t request, std::uint32_t attempt) const;
    const ClassLoad& loadOf(std::uint32_t request) const
    {
        return m_deployment.classes[m_arrivals[request].classIndex];
    }
    ClassMetrics& metricsOf(std::uint32_t request) { return m_metrics.classes[m_arrivals[request].classIndex]; }
    RequestInfo makeRequestInfo(std::uint32_t request, SubmitReason reason) const;
    Duration serviceTime(std::uint32_t request) const;
    double idealSeconds(std::uint32_t request) const;

    const Deployment& m_deployment;
    const std::vector<Arrival>& m_arrivals;
    RunSettings m_settings;
    TimePoint m_now {};
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::size_t m_nextArrival = 0;
    std::size_t m_openRequests = 0;
    std::vector<RequestState> m_requests;
    std::vector<Endpoint> m_endpoints;
    std::vector<Entry> m_entries;
    std::vector<Fault> m_faults;
    std::mt19937_64 m_random;
    /// Bandwidth of each link in bytes per second, and the time at which each direction becomes idle.
    double m_linkRate = 0;
    std::map<std::pair<RegionId, RegionId>, TimePoint> m_linkFreeAt;
    Duration m_reportLag { 0 };
    RunMetrics m_metrics;
};

} // namespace wisteriayard::bench
