#pragma once

#include "wisteriayard/contract.h"
#include "wisteriayard/endpoint_selector.h"
#include "wisteriayard/error.h"
#include "wisteriayard/fair_queue.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/output_estimator.h"
#include "wisteriayard/retry_budget.h"
#include "wisteriayard/units.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace wisteriayard {

/// Why a request is submitted.
enum class Placement {
    First,
    /// An earlier attempt was rejected and never ran.
    NeverRan,
    /// An earlier attempt failed; counts against the retry budget.
    Retry,
    /// An earlier attempt was preempted.
    Preempted,
};

/// How an attempt ended.
struct AttemptResult {
    /// The whole answer was produced.
    bool complete = false;
    /// Output tokens over all attempts.
    Tokens output { 0 };
};

/// What the scheduler needs to know of a request.
struct RequestInfo {
    RequestId id;
    AccountId account;
    ClassId requestClass;
    TargetId target;
    Tier tier = Tier::Bulk;
    Priority priority { 0 };
    double weight = 1.0;
    Tokens promptTokens { 0 };
    Tokens expectedOutput { 0 };
    /// Hash of the leading part of the prompt; equal prefixes profit from the same endpoint's cache.
    std::uint64_t prefixHash = 0;
    /// Tokens of the prompt that prefixHash covers.
    Tokens prefixTokens { 0 };
    /// Longest time before dispatch.
    Duration longestWait { 0 };
    /// Latency targets of the class; an absent one never makes a request hopeless.
    std::optional<Duration> firstTokenTarget;
    std::optional<Duration> totalTarget;
    /// Why the request is submitted.
    Placement placement = Placement::First;
    /// Output tokens that earlier attempts delivered.
    Tokens delivered { 0 };
    /// A later attempt can go on from the tokens delivered; only such a request is preempted.
    bool resumable = false;
};

/// Checks a request.
/// @return InvalidArgument that names the field
Status validate(const RequestInfo& request);

/// Why a request was refused without having run.
enum class RefusalReason {
    QueueFull,
    WaitExceeded,
    /// It can no longer meet its latency target.
    TargetMissed,
    NoEndpoint,
    LimitExceeded,
    Duplicate,
    RetryBudget,
    Invalid,
};

/// Name of a refusal reason as it appears in logs and errors.
std::string_view refusalReasonName(RefusalReason reason);

/// Send the request to this endpoint now.
struct Dispatch {
    RequestId request;
    EndpointId endpoint;
};

/// Refuse the request now; it never ran.
struct Refusal {
    RequestId request;
    RefusalReason reason = RefusalReason::QueueFull;
    Duration retryAfter { 0 };
};

/// Cancel the running request and submit it again with Placement::Preempted.
struct Preempt {
    RequestId request;
    EndpointId endpoint;
};

/// A decision about a request that was submitted.
using Decision = std::variant<Dispatch, Refusal, Preempt>;

/// An endpoint was found too slow, or works again.
struct EndpointHealthChange {
    EndpointId endpoint;
    bool ejected = false;
};

/// Sizes that differ between deployments.
struct SchedulerSettings {
    /// Requests that one entry keeps waiting; more are refused, lowest tier first.
    std::size_t maxQueued = 4096;
    /// This entry's part of the link to other regions: half of 30 Mbit/s over three entries.
    double linkBytesPerSecond = 30e6 / 8 / 2 / 3;
};

/// Admission, queueing and endpoint choice of one entry.
///
/// Free of input and output; the caller carries out the decisions. Every event method returns the decisions
/// that the event caused, in order. Its cost does not depend on the number of endpoints, and grows at most with the
/// logarithm of the number of waiting requests and accounts. Time that goes backwards counts as standing still;
/// input that validate() rejects and unknown ids have no effect, but for an invalid request, which is refused.
class Scheduler {
public:
    using Decisions = std::vector<Decision>;

    /// Place of the entry, for the preference of near endpoints.
    Scheduler(ZoneId zone, RegionId region, SchedulerSettings settings = {});

    /// Adds an endpoint or replaces what is known of it.
    Decisions endpointAdded(const EndpointInfo& info, TimePoint now);
    /// Takes an endpoint out; nothing more is dispatched to it.
    Decisions endpointRemoved(const EndpointId& id, TimePoint now);
    /// Takes in a load report.
    Decisions endpointReported(const EndpointId& id, const EndpointLoad& load, TimePoint now);

    /// Takes in a new request, or one that has to be placed again.
    Decisions submit(const RequestInfo& request, TimePoint now);
    /// A dispatched request left its endpoint, whatever the outcome.
    Decisions finished(const RequestId& request, const AttemptResult& result, TimePoint now);
    /// Output of a running request arrived.
    /// @param output tokens over all attempts
    void progress(const RequestId& request, Tokens output, TimePoint now);
    /// A queued request is no longer wanted.
    Decisions cancelled(const RequestId& request, TimePoint now);
    /// Time passes: refuses what waited too long. To be called every 10 ms.
    Decisions tick(TimePoint now);

    std::size_t queued() const { return m_queued; }
    std::size_t running() const { return m_jobs.size() - m_free.size() - m_queued; }
    /// Changes of endpoints' health since the last call.
    std::vector<EndpointHealthChange> takeHealthChanges();

private:
    using Item = FairQueue::Item;
    /// Requests of one tier and priority share a fair queue.
    using ClassKey = std::pair<Tier, Priority>;
    using Deadline = std::pair<TimePoint, Item>;

    enum class JobState { Free, Queued, Running };
    struct Pool {
        explicit Pool(EndpointSelector endpoints)
            : selector(std::move(endpoints))
        {
        }

        EndpointSelector selector;
        std::map<ClassKey, FairQueue> queues;
        /// Keys of queues that are not empty, first to dispatch first.
        std::set<ClassKey> backlog;
        /// When a request goes ahead of the tiers below top.
        std::set<Deadline> ageing;
        /// Running bulk requests by the work that a preemption loses.
        std::set<std::pair<std::int64_t, Item>> preemptible;
        /// Work that is owed to each tier by its least share.
        std::array<double, tierCount> credit {};
        /// Work dispatched since the last update of the rates, and the rates in tokens per second.
        std::array<double, tierCount> dispatched {};
        std::array<double, tierCount> rate {};
        /// Slot time in seconds that requests above bulk asked for since the last update, and the slots that they
        /// need at once.
        double offered = 0;
        double needed = 0;
        int bulkRunning = 0;
        /// Time from dispatch to first token in microseconds: moving average and mean deviation.
        double firstToken = 0;
        double firstTokenDeviation = 0;
    };
    struct Job {
        RequestInfo info;
        JobState state = JobState::Free;
        Pool* pool = nullptr;
        TimePoint since {};
        TimePoint agesAt {};
        TimePoint refuseAt {};
        RefusalReason refuseReason = RefusalReason::WaitExceeded;
        FairQueue::Handle handle;
        double work = 0;
        std::int64_t estimate = 0;
        EndpointSelector::Index endpoint = 0;
        TimePoint dispatchedAt {};
        TimePoint lastProgress {};
        std::int64_t output = 0;
        std::int64_t openTokens = 0;
        std::int64_t prefill = 0;
        std::int64_t preemptionLoss = 0;
        /// It was dispatched ahead of the usual order.
        bool urgent = false;
    };
    /// What to dispatch next.
    struct Next {
        Item item = 0;
        /// Ahead of the usual order; not held back by the reserve.
        bool urgent = false;
    };

    TimePoint advance(TimePoint now);
    Pool& poolOf(const TargetId& target);
    Item allocate(const RequestInfo& request);
    void release(Item item);
    void refuse(Item item, RefusalReason reason, Duration retryAfter, Decisions& decisions);
    std::optional<RefusalReason> refusalAtDoor(const RequestInfo& request);
    void estimate(Job& job);
    void setDeadlines(Job& job);
    /// @return how much longer than it may the request would wait, if it would
    std::optional<Duration> predictedExcess(const Job& job) const;
    void enqueue(Item item);
    void dequeue(Item item, bool dispatched);
    void makeRoom(Item newcomer, Decisions& decisions);
    std::optional<Next> next(const Pool& pool) const;
    std::optional<Next> owed(const Pool& pool) const;
    void dispatchWaiting(Pool& pool, Decisions& decisions);
    bool dispatch(const Next& next, Decisions& decisions);
    static bool bulkMayStart(const Pool& pool);
    EndpointQuery queryOf(const Job& job, bool urgent) const;
    void charge(Pool& pool, Tier tier, double work);
    /// Charges the difference between real and estimated work.
    static void correct(const Job& job, double work);
    void preemptFor(const Job& job, Decisions& decisions);
    void observeFirstToken(Job& job);
    void observeGap(const Job& job, Duration gap);
    void updateRates(Pool& pool, double seconds);

    ZoneId m_zone;
    RegionId m_region;
    SchedulerSettings m_settings;
    TimePoint m_now {};
    TimePoint m_ratesAt {};
    std::map<TargetId, Pool> m_pools;
    std::unordered_map<EndpointId, Pool*> m_poolOfEndpoint;
    std::vector<Job> m_jobs;
    std::vector<Item> m_free;
    std::unordered_map<RequestId, Item> m_index;
    std::set<Deadline> m_deadlines;
    std::array<std::set<std::pair<TargetId, ClassKey>>, tierCount> m_backlog;
    std::size_t m_queued = 0;
    OutputEstimator m_estimator;
    RetryBudget m_retries;
    LinkBudget m_link;
    std::vector<EndpointHealthChange> m_healthChanges;
};

} // namespace wisteriayard
