#pragma once

#include "budget_control.h"
#include "config_feed.h"
#include "event_log.h"
#include "exchange.h"
#include "freshness_watch.h"
#include "instance_list.h"
#include "once_router.h"
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

/// A request as the traffic thread hands it to the control thread.
struct ArrivedRequest {
    RequestId id;
    KeyHash key;
    RequestAttributes shape;
    Tokens promptTokens { 0 };
    std::uint64_t prefixHash = 0;
    /// Services only; empty if there is none.
    std::string idempotencyKey;
    Tokens prefixTokens { 0 };
    /// A later attempt can go on from the tokens delivered.
    bool resumable = false;
    std::shared_ptr<Exchange> exchange;
};

/// How an attempt ended, for the decisions that follow.
enum class AttemptEnd {
    /// The caller has its whole answer.
    Finished,
    /// It failed and may have run in part; the request has to be placed again.
    PlaceAgain,
    /// It was rejected and never ran; the request has to be placed again.
    NeverRan,
    /// It was preempted; the request has to be placed again.
    Preempted,
    /// It failed or the caller left; the request ends.
    GivenUp,
};

/// Control state of an entry: configuration view, endpoints and scheduler. It runs on the control thread;
/// the public functions may be called by any thread and post to it.
class EntryControl : public std::enable_shared_from_this<EntryControl> {
public:
    /// Called on the control thread when the endpoints change.
    struct EndpointHandlers {
        std::function<void(const EndpointId&, const std::string& address)> added;
        std::function<void(const EndpointId&)> removed;
    };

    EntryControl(boost::asio::io_context& io, zmq::context_t& context, const EntrySettings& settings,
        std::shared_ptr<EventLog> log, EndpointHandlers handlers);

    /// Starts to listen for other entries and to read the configuration and the instance list.
    /// @return Unavailable if the peer port is in use
    Status start();

    /// Authenticates, classifies and schedules a request; the outcome goes to its exchange.
    void submit(ArrivedRequest request);
    /// Reports how an attempt ended.
    /// @param output tokens that the caller has over all attempts
    /// @param endpointTime time that the endpoint worked on it in this attempt, if that is known
    void attemptEnded(const RequestId& request, AttemptEnd end, Tokens output, Duration endpointTime = Duration(0));
    /// Output arrived; to be called for the first token and then now and then.
    /// @param output tokens over all attempts
    void progressed(const RequestId& request, Tokens output);
    /// An agent rejected a request: it may be leaving, or have named the owner of an at-most-once partition.
    void agentRejected(const RequestId& request, const wire::Rejected& rejected);
    /// Takes in a load report.
    void endpointReported(const EndpointId& endpoint, const EndpointLoad& load);
    /// An agent is silent or restarted.
    void agentLost(const EndpointId& endpoint);
    /// Models that an account may use, for `GET /v1/models`; the answer is called on the control thread.
    void listModels(const KeyHash& key, std::function<void(Result<std::vector<TargetId>>)> answer);

    /// The view is loaded and not stale, and the process does not shut down. Control thread only.
    bool ready() const;
    void stopBeingReady() { m_stopping = true; }
    /// Load of the targets in the entry's zone, as agents reported it. Control thread only.
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
        /// Attempts that failed or were rejected.
        std::uint32_t failures = 0;
        /// An attempt may have run, in part or as a whole.
        bool mayHaveRun = false;
        EndpointId lastEndpoint;
        /// When it was submitted for the present attempt.
        TimePoint submittedAt {};
        /// What it used of the account's limits so far.
        BudgetUse used;
    };
    struct KnownEndpoint {
        ListedEndpoint listed;
        bool lost = false;
        EndpointLoad load;
    };

    boost::asio::awaitable<void> followInstances();
    boost::asio::awaitable<void> tickForever();
    boost::asio::awaitable<void> sleepFor(Duration time);
    void applyItem(const ConfigItem& item);
    void viewConfirmed(Revision revision, TimePoint at);
    void applyPeers(const InstanceList& list);
    void revoke(const KeyHash& key);
    void endAllStale();
    void applyInstances(const InstanceList& list);
    void submitNow(ArrivedRequest request);
    void place(LiveRequest& request, SubmitReason reason, Tokens delivered);
    std::optional<AccountLimits> limitsOf(const AccountId& account) const;
    void budgetDecided(const RequestId& id, std::optional<Duration> retryAfter);
    void attemptEndedNow(const RequestId& id, AttemptEnd end, Tokens output, Duration endpointTime);
    void logHealthChanges();
    void carryOut(const Scheduler::Decisions& decisions);
    void carryOut(const Dispatch& dispatch);
    OnceRoute onceRoute(const LiveRequest& request, const EndpointId& dispatched) const;
    void carryOut(const Refusal& refusal);
    void carryOut(const Preempt& preempt);
    /// @param inputs what the decision is based on, for the log
    void refuse(const ArrivedRequest& request, ApiError error, Json inputs = Json::object());
    void forgetRequest(const RequestId& id);
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
