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

/// Time until a broken connection or a failed connect is noticed.
inline constexpr Duration failureNotice = std::chrono::milliseconds(100);
/// The link between regions, each way: 30 Mbit/s.
inline constexpr double linkBytesPerSecond = 30e6 / 8;

enum class PolicyKind {
    Core,
    FifoRoundRobin,
    FifoLeastOutstanding,
    PriorityLeastOutstanding,
};
inline constexpr int policyCount = 4;
std::string policyName(PolicyKind kind);

/// Figures of one class in one run.
struct ClassFigures {
    std::string name;
    Tier tier = Tier::Bulk;
    Duration longestWait { 0 };
    std::int64_t submitted = 0;
    std::int64_t met = 0;
    std::int64_t goodTokens = 0;
    std::int64_t computedTokens = 0;
    std::int64_t wastedTokens = 0;
    std::int64_t shed = 0;
    std::int64_t notRunRefusals = 0;
    std::int64_t preempted = 0;
    std::int64_t failed = 0;
    std::int64_t crossRegionBytes = 0;
    Duration maxWait { 0 };
    /// Endpoint time of the delivered work at the endpoints' full rate.
    double lowerBoundSeconds = 0;
    double spendSeconds = 0;
    /// By account: submitted and met.
    std::vector<std::pair<std::int64_t, std::int64_t>> byAccount;
};

struct RunFigures {
    std::vector<ClassFigures> classes;
    double seconds = 0;
};

/// What a run needs.
struct RunSettings {
    Scenario scenario = Scenario::OrdinaryDay;
    PolicyKind policy = PolicyKind::Core;
    unsigned seed = 1;
    Duration length { 0 };
    /// Prints each attempt's life to standard error.
    bool trace = false;
};

/// Event loop with a virtual clock over the entries, endpoints and links of one deployment.
class World {
public:
    World(const Deployment& deployment, const std::vector<Arrival>& arrivals, RunSettings settings);
    RunFigures run();

private:
    enum class Kind : std::uint8_t {
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
        Kind kind;
        std::uint32_t subject;
        std::uint32_t attempt;
        std::int64_t value;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };
    struct Live {
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
        std::int64_t tokensAtSample = 0;
        double tokenRate = 0;
    };
    struct Entry {
        std::size_t zone = 0;
        std::variant<Scheduler, Baseline> policy;
        std::vector<bool> knows;
    };
    enum class FaultKind : std::uint8_t { Crash, Restart, Slow, Recover, LoseCaches, SlowLink, RestoreLink };
    struct Fault {
        FaultKind kind;
        std::uint32_t endpoint;
    };

    void buildEndpoints();
    void buildEntries();
    /// Tells an entry of its subset of a target's endpoints.
    void introduce(Entry& entry, std::uint64_t number, const TargetId& target);
    void planFaults();
    void planFault(double share, FaultKind kind, std::uint32_t endpoint = 0);
    void push(TimePoint at, Kind kind, std::uint32_t subject, std::uint32_t attempt = 0, std::int64_t value = 0);
    void handle(const Event& event);
    void submit(std::uint32_t request, SubmitReason reason);
    void carryOut(const Scheduler::Decisions& decisions);
    void carryOut(const Dispatch& dispatch);
    void carryOut(const Refusal& refusal);
    void carryOut(const Preempt& preempt);
    void reachEndpoint(const Event& event);
    void startStep(Endpoint& endpoint, std::uint32_t index);
    void engineStep(const Event& event);
    void startServices(Endpoint& endpoint);
    void serviceDone(const Event& event);
    void attemptFinished(std::uint32_t request);
    void attemptFailed(const Event& event);
    void cancelAtEndpoint(const Event& event);
    void report(std::uint32_t endpoint);
    void applyFault(const Fault& fault);
    void crash(std::uint32_t endpoint);
    void ended(std::uint32_t request, bool complete);
    bool metTargets(std::uint32_t request) const;
    Duration travel(std::size_t fromZone, std::size_t toZone, std::int64_t bytes, ClassFigures& figures);
    bool current(std::uint32_t request, std::uint32_t attempt) const;
    const ClassLoad& loadOf(std::uint32_t request) const
    {
        return m_deployment.classes[m_arrivals[request].classIndex];
    }
    ClassFigures& figuresOf(std::uint32_t request) { return m_figures.classes[m_arrivals[request].classIndex]; }
    RequestInfo infoOf(std::uint32_t request, SubmitReason reason) const;
    Duration serviceTime(std::uint32_t request) const;
    double idealSeconds(std::uint32_t request) const;

    const Deployment& m_deployment;
    const std::vector<Arrival>& m_arrivals;
    RunSettings m_settings;
    TimePoint m_now {};
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::size_t m_nextArrival = 0;
    std::size_t m_open = 0;
    std::vector<Live> m_live;
    std::vector<Endpoint> m_endpoints;
    std::vector<Entry> m_entries;
    std::vector<Fault> m_faults;
    std::mt19937_64 m_random;
    /// Bytes per second, and when each direction is free.
    double m_linkRate = 0;
    std::map<std::pair<RegionId, RegionId>, TimePoint> m_linkFree;
    Duration m_reportLag { 0 };
    RunFigures m_figures;
};

} // namespace wisteriayard::bench
