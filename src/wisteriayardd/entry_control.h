#pragma once

#include "config_feed.h"
#include "event_log.h"
#include "exchange.h"
#include "instance_list.h"
#include "settings.h"
#include "wisteriayard/scheduler.h"
#include "wisteriayard/view.h"

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
    RequestShape shape;
    Tokens promptTokens { 0 };
    std::uint64_t prefixHash = 0;
    std::shared_ptr<Exchange> exchange;
};

/// How an attempt ended, for the decisions that follow.
enum class AttemptEnd {
    /// The caller has its whole answer.
    Finished,
    /// It failed; the request has to be placed again.
    PlaceAgain,
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
    void attemptEnded(const RequestId& request, AttemptEnd end);
    /// Takes in a load report.
    void endpointReported(const EndpointId& endpoint, const EndpointLoad& load);
    /// An agent is silent or restarted.
    void agentLost(const EndpointId& endpoint);
    /// Models that an account may use, for `GET /v1/models`; the answer is called on the control thread.
    void listModels(const KeyHash& key, std::function<void(Result<std::vector<TargetId>>)> answer);

    /// The view is loaded and the process does not shut down. Any thread.
    bool ready() const { return m_ready; }
    void stopBeingReady() { m_ready = false; }
    /// State as JSON. Control thread only.
    std::string statusJson(TimePoint now) const;

private:
    struct LiveRequest {
        ArrivedRequest arrived;
        AccountId account;
        RequestClass requestClass;
        double weight = 1.0;
        Revision contractRevision;
        std::uint32_t attempts = 0;
    };
    struct KnownEndpoint {
        ListedEndpoint listed;
        bool lost = false;
    };

    boost::asio::awaitable<void> followInstances();
    boost::asio::awaitable<void> tickForever();
    boost::asio::awaitable<void> sleepFor(Duration time);
    void applyItem(const ConfigItem& item);
    void viewConfirmed(Revision revision, TimePoint at);
    void applyPeers(const InstanceList& list);
    void revoke(const KeyHash& key);
    void applyInstances(const InstanceList& list);
    void submitNow(ArrivedRequest request);
    void place(const LiveRequest& request);
    void carryOut(const Scheduler::Decisions& decisions);
    void carryOut(const Dispatch& dispatch);
    void carryOut(const Refusal& refusal);
    void refuse(const ArrivedRequest& request, ApiError error);
    void forgetRequest(const RequestId& id);
    Result<AccountId> authenticate(const KeyHash& key) const;

    boost::asio::io_context& m_io;
    EntrySettings m_settings;
    std::shared_ptr<EventLog> m_log;
    EndpointHandlers m_handlers;
    ConfigView m_view;
    PeerLinks m_peers;
    std::shared_ptr<ConfigFeed> m_feed;
    Scheduler m_scheduler;
    std::map<EndpointId, KnownEndpoint> m_endpoints;
    std::map<RequestId, LiveRequest> m_requests;
    std::map<KeyHash, std::set<RequestId>> m_requestsByKey;
    std::atomic<bool> m_ready { false };
    bool m_loaded = false;
};

} // namespace wisteriayard
