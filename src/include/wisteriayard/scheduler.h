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

/// Reason why a request is submitted.
enum class SubmitReason {
    First,
    /// The endpoint rejected an earlier attempt without executing it.
    NotExecuted,
    /// An earlier attempt failed; the new one counts against the retry budget.
    Retry,
    /// An earlier attempt was preempted.
    Preempted,
};

/// How an attempt ended.
struct AttemptResult {
    /// The answer was produced completely.
    bool complete = false;
    /// Output tokens over all attempts.
    Tokens output { 0 };
};

/// Properties of a request that the scheduler uses.
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
    /// Hash of the beginning of the prompt; requests with equal prefixes benefit from the cache of the same endpoint.
    std::uint64_t prefixHash = 0;
    /// Number of prompt tokens that prefixHash covers.
    Tokens prefixTokens { 0 };
    /// Maximum time in the queue.
    Duration longestWait { 0 };
    /// Latency targets of the class; a request is refused when it can no longer meet one that is set.
    std::optional<Duration> firstTokenTarget;
    std::optional<Duration> totalTarget;
    SubmitReason submitReason = SubmitReason::First;
    /// Output tokens that earlier attempts delivered.
    Tokens delivered { 0 };
    /// A later attempt can continue after the tokens delivered; only such a request is preempted.
    bool resumable = false;
};

/// Checks the fields of a request.
/// @return success, or InvalidArgument that names the field
Status validate(const RequestInfo& request);

/// Reason why a request was refused without being executed.
enum class RefusalReason {
    QueueFull,
    WaitExceeded,
    /// The request can no longer meet its latency target.
    TargetMissed,
    NoEndpoint,
    LimitExceeded,
    Duplicate,
    RetryBudget,
    Invalid,
};

/// Name of a refusal reason as it appears in logs and errors.
std::string_view refusalReasonName(RefusalReason reason);

/// Instruction to send the request to this endpoint now.
struct Dispatch {
    RequestId request;
    EndpointId endpoint;
};

/// Instruction to refuse the request; it was not executed.
struct Refusal {
    RequestId request;
    RefusalReason reason = RefusalReason::QueueFull;
    Duration retryAfter { 0 };
};

/// Instruction to cancel the running request and submit it again with SubmitReason::Preempted.
struct Preempt {
    RequestId request;
    EndpointId endpoint;
};

/// Decision about a submitted request.
using Decision = std::variant<Dispatch, Refusal, Preempt>;

/// An endpoint was ejected because it is too slow, or was readmitted.
struct EndpointHealthChange {
    EndpointId endpoint;
    bool ejected = false;
};

/// Limits that differ between deployments.
struct SchedulerSettings {
    /// Maximum number of requests queued at one entry; above it, requests are refused, lowest tier first.
    std::size_t maxQueued = 4096;
    /// Share of this entry in the link to other regions: half of 30 Mbit/s, divided among three entries.
    double linkBytesPerSecond = 30e6 / 8 / 2 / 3;
};

/// Admission, queueing and endpoint choice of one entry.
///
/// Performs no I/O; the caller carries out the decisions. Each event method returns the decisions that the event
/// caused, in order. Its cost does not depend on the number of endpoints, and is at most logarithmic in the number of
/// queued requests and accounts. A time before that of the previous event counts as the time of that event. Unknown ids
/// and input that validate() rejects have no effect, except that an invalid request is refused.
class Scheduler {
public:
    using Decisions = std::vector<Decision>;

    /// @param zone zone of the entry; endpoints in its zone, then in its region, are preferred
    Scheduler(ZoneId zone, RegionId region, SchedulerSettings settings = {});

    /// Adds an endpoint or replaces its properties.
    Decisions endpointAdded(const EndpointInfo& info, TimePoint now);
    /// Removes an endpoint; no more requests are dispatched to it.
    Decisions endpointRemoved(const EndpointId& id, TimePoint now);
    /// Applies a load report.
    Decisions endpointReported(const EndpointId& id, const EndpointLoad& load, TimePoint now);

    /// Queues a new request, or one that needs another attempt.
    Decisions submit(const RequestInfo& request, TimePoint now);
    /// Ends the attempt of a dispatched request, whatever its outcome.
    Decisions finished(const RequestId& request, const AttemptResult& result, TimePoint now);
    /// Records output of a running request.
    /// @param output tokens over all attempts
    void progress(const RequestId& request, Tokens output, TimePoint now);
    /// Removes a queued request that its caller has cancelled.
    Decisions cancelled(const RequestId& request, TimePoint now);
    /// Refuses requests that have reached their deadline, and updates rates. To be called every 10 ms.
    Decisions tick(TimePoint now);

    std::size_t queued() const { return m_queued; }
    std::size_t running() const { return m_jobs.size() - m_free.size() - m_queued; }
    /// Returns the health changes of endpoints since the last call.
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
        /// Keys of the queues that are not empty, in dispatch order.
        std::set<ClassKey> backlog;
        /// Times at which requests are dispatched ahead of all tiers below top.
        std::set<Deadline> promotions;
        /// Running bulk requests that can be preempted, by the work that a preemption loses.
        std::set<std::pair<std::int64_t, Item>> preemptible;
        /// Work that each tier may still claim from its minimum share; negative if it got too much.
        std::array<double, tierCount> minShareCredit {};
        /// Work dispatched since the last update of the rates, and its smoothed rate in tokens per second.
        std::array<double, tierCount> dispatchedWork {};
        std::array<double, tierCount> dispatchRate {};
        /// Slot time in seconds that requests above bulk need and that arrived since the last update, and the smoothed
        /// number of slots that such requests occupy.
        double offeredSlotSeconds = 0;
        double neededSlots = 0;
        int bulkRunning = 0;
        /// Time from dispatch to first token in microseconds: moving average and mean deviation.
        double firstToken = 0;
        double firstTokenDeviation = 0;
    };
    struct Job {
        RequestInfo info;
        JobState state = JobState::Free;
        Pool* pool = nullptr;
        TimePoint submittedAt {};
        TimePoint promoteAt {};
        TimePoint refuseAt {};
        RefusalReason refuseReason = RefusalReason::WaitExceeded;
        FairQueue::Handle handle;
        double work = 0;
        std::int64_t estimatedOutput = 0;
        EndpointSelector::Index endpoint = 0;
        TimePoint dispatchedAt {};
        TimePoint lastProgress {};
        std::int64_t outputTokens = 0;
        std::int64_t remainingTokens = 0;
        std::int64_t prefillTokens = 0;
        std::int64_t preemptionLoss = 0;
        /// The request was dispatched ahead of the tier order.
        bool urgent = false;
    };
    /// Request to dispatch next.
    struct Candidate {
        Item item = 0;
        /// Dispatched ahead of the tier order, and also to slots that are reserved for higher tiers.
        bool urgent = false;
    };

    TimePoint advance(TimePoint now);
    Pool& poolFor(const TargetId& target);
    Item allocate(const RequestInfo& request);
    void release(Item item);
    void refuse(Item item, RefusalReason reason, Duration retryAfter, Decisions& decisions);
    std::optional<RefusalReason> admissionRefusal(const RequestInfo& request);
    void estimate(Job& job);
    void setDeadlines(Job& job);
    /// @return predicted waiting time beyond the deadline of the request, if there is any
    std::optional<Duration> predictedExcess(const Job& job) const;
    void enqueue(Item item);
    void dequeue(Item item, bool dispatched);
    void enforceQueueLimit(Item arrival, Decisions& decisions);
    std::optional<Candidate> next(const Pool& pool) const;
    std::optional<Candidate> nextByMinShare(const Pool& pool) const;
    void dispatchWaiting(Pool& pool, Decisions& decisions);
    bool dispatch(const Candidate& next, Decisions& decisions);
    static bool canStartBulk(const Pool& pool);
    EndpointQuery makeQuery(const Job& job, bool urgent) const;
    void charge(Pool& pool, Tier tier, double work);
    /// Charges the difference between actual and estimated work.
    static void adjustCharge(const Job& job, double work);
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
