#pragma once

#include "budget_control.h"
#include "config_feed.h"
#include "event_log.h"
#include "freshness_watch.h"
#include "instance_list.h"
#include "once_router.h"
#include "request_mailbox.h"
#include "settings.h"
#include "wisteriayard/scheduler.h"
#include "wisteriayard/view.h"
#include "wisteriayard/zone_planner.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace wisteriayard {

/// A parsed request, passed from a traffic thread to the control thread.
struct ArrivedRequest {
    RequestId id;
    KeyHash key;
    RequestAttributes attributes;
    Tokens promptTokens { 0 };
    std::uint64_t prefixHash = 0;
    /// Requests to services only; empty if the caller sent none.
    std::string idempotencyKey;
    Tokens prefixTokens { 0 };
    /// A later attempt can continue after the tokens already delivered.
    bool resumable = false;
    std::shared_ptr<RequestMailbox> mailbox;
};

/// How an attempt ended; decides whether the request is scheduled again.
enum class AttemptEnd {
    /// The response is complete.
    Finished,
    /// The attempt failed and may have been executed in part; the request is scheduled again.
    MayHaveExecuted,
    /// The attempt was rejected and not executed; the request is scheduled again.
    NotExecuted,
    /// The attempt was preempted; the request is scheduled again.
    Preempted,
    /// The request ends without a complete response: it can't be retried, or the caller disconnected.
    Abandoned,
};

/// Control state of an entry: configuration view, endpoints, budgets and scheduler.
///
/// Runs on the control thread. Public functions may be called from any thread unless noted otherwise; they post to the
/// control thread.
class EntryControl : public std::enable_shared_from_this<EntryControl> {
public:
    /// Called on the control thread when the endpoints change.
    struct EndpointHandlers {
        std::function<void(const EndpointId&, const std::string& address)> added;
        std::function<void(const EndpointId&)> removed;
    };

    EntryControl(boost::asio::io_context& io, zmq::context_t& context, const EntrySettings& settings,
        std::shared_ptr<EventLog> log, EndpointHandlers handlers);

    /// Starts listening for other entries, and reading the configuration and the instance list.
    /// @return Unavailable if the peer port is in use
    Status start();

    /// Authenticates, classifies and schedules a request; the decision is posted to its mailbox.
    void submit(ArrivedRequest request);
    /// Reports how an attempt ended.
    /// @param output tokens delivered to the caller, over all attempts
    /// @param endpointTime processing time at the endpoint in this attempt; 0 if unknown
    void attemptEnded(const RequestId& request, AttemptEnd end, Tokens output, Duration endpointTime = Duration(0));
    /// Reports output of the running attempt: called for the first token and then at intervals.
    /// @param output tokens over all attempts
    void reportProgress(const RequestId& request, Tokens output);
    /// Applies what an agent's rejection says: that the endpoint is leaving, or which endpoint owns the at-most-once
    /// partition.
    void agentRejected(const RequestId& request, const wire::Rejected& rejected);
    /// Applies a load report.
    void endpointReported(const EndpointId& endpoint, const EndpointLoad& load);
    /// Removes an endpoint whose agent stopped responding or restarted, until its next load report.
    void agentLost(const EndpointId& endpoint);
    /// Lists the models that an account may use, for `GET /v1/models`. The callback runs on the control thread.
    void listModels(const KeyHash& key, std::function<void(Result<std::vector<TargetId>>)> callback);

    /// Whether the view is loaded and not stale and the process is not shutting down. Control thread only.
    bool ready() const;
    /// Makes ready() return false, so that load balancers stop sending requests. Any thread.
    void beginShutdown() { m_stopping = true; }
    /// Load of the targets in the entry's zone, as reported by agents. Control thread only.
    std::vector<TargetLoad> zoneLoads() const;
    /// State as JSON. Control thread only.
    std::string statusJson(TimePoint now) const;

private:
    using Json = nlohmann::json;

    struct LiveRequest {
        ArrivedRequest arrived;
        AccountId account;
        RequestClass requestClass;
        double weight = 1.0;
        Revision contractRevision;
        std::uint32_t attempts = 0;
        /// Attempts that failed or were rejected; preemptions don't count.
        std::uint32_t failures = 0;
        /// At least one attempt may have been executed, in part or completely.
        bool mayHaveExecuted = false;
        EndpointId lastEndpoint;
        /// Time of submission to the scheduler for the current attempt.
        TimePoint submittedAt {};
        /// Usage so far, charged to the account's budget.
        BudgetUse used;
    };
    struct KnownEndpoint {
        ListedEndpoint listed;
        bool lost = false;
        EndpointLoad load;
    };

    boost::asio::awaitable<void> pollInstances();
    boost::asio::awaitable<void> tickForever();
    boost::asio::awaitable<void> sleepFor(Duration time);
    void applyItem(const ConfigItem& item);
    void viewConfirmed(Revision revision, TimePoint at);
    void applyPeers(const InstanceList& list);
    void revokeKey(const KeyHash& key);
    void failOpenRequests();
    void applyInstances(const InstanceList& list);
    void handleSubmit(ArrivedRequest request);
    void submitToScheduler(LiveRequest& request, SubmitReason reason, Tokens delivered);
    std::optional<AccountLimits> limitsOf(const AccountId& account) const;
    void budgetDecided(const RequestId& id, std::optional<Duration> retryAfter);
    void handleAttemptEnd(const RequestId& id, AttemptEnd end, Tokens output, Duration endpointTime);
    void logHealthChanges();
    void carryOut(const Scheduler::Decisions& decisions);
    void carryOut(const Dispatch& dispatch);
    OnceRoute onceRoute(const LiveRequest& request, const EndpointId& dispatched) const;
    void carryOut(const Refusal& refusal);
    void carryOut(const Preempt& preempt);
    /// @param inputs inputs of the decision, for the log
    void refuse(const ArrivedRequest& request, ApiError error, Json inputs = Json::object());
    void removeRequest(const RequestId& id);
    Result<AccountId> authenticate(const KeyHash& key) const;

    boost::asio::io_context& m_io;
    EntrySettings m_settings;
    std::shared_ptr<EventLog> m_log;
    EndpointHandlers m_handlers;
    ConfigView m_view;
    PeerLinks m_peers;
    BudgetControl m_budgets;
    std::shared_ptr<ConfigFeed> m_feed;
    Scheduler m_scheduler;
    OnceRouter m_onceRouter;
    std::map<EndpointId, KnownEndpoint> m_endpoints;
    std::map<RequestId, LiveRequest> m_requests;
    std::map<KeyHash, std::set<RequestId>> m_requestsByKey;
    std::shared_ptr<FreshnessWatch> m_freshness;
    std::atomic<bool> m_loaded { false };
    std::atomic<bool> m_stopping { false };
};

} // namespace wisteriayard
