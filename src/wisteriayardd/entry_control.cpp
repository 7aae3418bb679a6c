#include "entry_control.h"

#include "address.h"
#include "clock.h"
#include "decision_log.h"
#include "once_hash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace wisteriayard {

namespace http = boost::beast::http;

namespace {

    constexpr Duration instancePoll = std::chrono::milliseconds(500);
    constexpr Duration instanceTimeout = std::chrono::seconds(2);
    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    constexpr Bytes maxInstanceList { 16 * 1024 * 1024 };
    /// Limit of failed attempts per request, so that failing endpoints don't multiply the work without bound.
    constexpr std::uint32_t maxAttempts = 4;

} // namespace

EntryControl::EntryControl(boost::asio::io_context& io, zmq::context_t& context, const EntrySettings& settings,
    std::shared_ptr<EventLog> log, EndpointHandlers handlers)
    : m_io(io)
    , m_settings(settings)
    , m_log(std::move(log))
    , m_handlers(std::move(handlers))
    , m_peers(io, context,
          [this](const InstanceId& from, const wire::Envelope& envelope) {
              m_feed->received(from, envelope);
              m_budgets.handleMessage(from, envelope, bootTimeNow());
          })
    , m_budgets(settings.common.instance, m_peers,
          BudgetControl::Handlers { [this](const AccountId& account) { return limitsOf(account); },
              [this](const RequestId& id) { budgetDecided(id, std::nullopt); },
              [this](const RequestId& id, Duration retryAfter) { budgetDecided(id, retryAfter); } },
          bootTimeNow())
    , m_feed(std::make_shared<ConfigFeed>(io, settings.common, m_log, m_peers,
          ConfigFeed::Handlers { [this](const ConfigItem& item) { applyItem(item); },
              [this](Revision revision, TimePoint at) { viewConfirmed(revision, at); },
              [this](bool answered) { m_freshness->recordStoreCall(answered, bootTimeNow()); } }))
    , m_scheduler(settings.common.zone, settings.common.region)
    , m_onceRouter(settings.once.partitions)
    , m_freshness(std::make_shared<FreshnessWatch>(io, settings, m_log, m_view, [this] { failOpenRequests(); }))
{
}

Status EntryControl::start()
{
    BOOST_OUTCOME_TRY(m_peers.listen(formatAddress(m_settings.peer)));
    m_feed->start();
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->pollInstances(); }, boost::asio::detached);
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->tickForever(); }, boost::asio::detached);
    return boost::outcome_v2::success();
}

boost::asio::awaitable<void> EntryControl::sleepFor(Duration time)
{
    boost::asio::steady_timer timer(m_io, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

void EntryControl::viewConfirmed(Revision revision, TimePoint at)
{
    m_view.confirmCompleteTo(revision, at);
    if (m_loaded)
        return;
    m_log->write(Event::ViewLoaded, { { "revision", revision.value() } });
    m_loaded = true;
    m_freshness->start();
}

void EntryControl::applyItem(const ConfigItem& item)
{
    auto change = m_view.apply(item.key, item.value, item.revision);
    if (!change) {
        m_log->write(Event::ConfigRejected,
            { { "key", item.key }, { "revision", item.revision.value() }, { "error", change.error().message } });
        return;
    }
    if (auto* contract = std::get_if<ContractChanged>(&change.value()))
        m_log->write(Event::ContractInForce,
            { { "account", contract->account.value() }, { "revision", contract->revision.value() } });
    if (auto* withdrawn = std::get_if<KeyWithdrawn>(&change.value()))
        revokeKey(withdrawn->key);
}

void EntryControl::revokeKey(const KeyHash& key)
{
    auto it = m_requestsByKey.find(key);
    std::size_t open = it == m_requestsByKey.end() ? 0 : it->second.size();
    m_log->write(Event::KeyWithdrawnInForce, { { "key_hash", key.value() }, { "open_requests", open } });
    if (it == m_requestsByKey.end())
        return;
    for (const RequestId& id : it->second) {
        Json fields = keyInputs(m_view, key);
        fields["request"] = id.value();
        fields["rule"] = "key_withdrawn";
        m_log->write(Event::RequestRevoked, fields);
        m_requests.at(id).arrived.mailbox->post(KeyRevoked {});
    }
}

void EntryControl::failOpenRequests()
{
    for (const auto& [id, request] : m_requests) {
        Json fields = keyInputs(m_view, request.arrived.key);
        fields["request"] = id.value();
        fields["rule"] = "view_stale";
        m_log->write(Event::RequestRevoked, fields);
        request.arrived.mailbox->post(ViewStale {});
    }
}

bool EntryControl::ready() const { return m_loaded && !m_stopping && !m_freshness->refuses(bootTimeNow()); }

boost::asio::awaitable<void> EntryControl::pollInstances()
{
    HttpConnection connection(m_io.get_executor(), m_settings.common.platform, maxInstanceList);
    while (true) {
        auto request = makeHttpRequest(http::verb::get, "/v1/instances");
        auto response = co_await connection.exchange(std::move(request), instanceTimeout);
        if (response) {
            auto list = parseInstanceList(response.value().body());
            if (list)
                applyInstances(list.value());
            else
                m_log->write(Event::InstanceListUnavailable, { { "error", list.error().message } });
        } else {
            // The last list stays in use: agents announce their shutdown in load reports and rejections.
            m_log->write(Event::InstanceListUnavailable, { { "error", response.error().message } });
        }
        co_await sleepFor(instancePoll);
    }
}

void EntryControl::applyPeers(const InstanceList& list)
{
    const InstanceId& self = m_settings.common.instance;
    std::map<InstanceId, std::string> addresses;
    std::vector<InstanceId> zone;
    std::vector<InstanceId> all;
    bool leaving = false;
    for (const ListedEntry& entry : list.entries) {
        leaving = leaving || (entry.instance == self && entry.leaving);
        if (entry.instance == self || entry.leaving)
            continue;
        addresses[entry.instance] = entry.peerAddress;
        all.push_back(entry.instance);
        if (entry.zone == m_settings.common.zone)
            zone.push_back(entry.instance);
    }
    // The list may lag behind, so this entry need not be listed yet.
    if (!leaving || all.empty())
        all.push_back(self);
    std::sort(all.begin(), all.end());
    m_peers.setPeers(std::move(addresses));
    m_budgets.membersChanged(all, bootTimeNow());
    m_feed->membersChanged(std::move(zone));
}

void EntryControl::applyInstances(const InstanceList& list)
{
    applyPeers(list);
    TimePoint now = bootTimeNow();
    std::set<EndpointId> live;
    m_freshness->setPeers(list.entries);
    for (const ListedEndpoint& listed : list.endpoints) {
        if (listed.leaving) {
            m_onceRouter.markLeaving(listed.info.id, now);
            continue;
        }
        live.insert(listed.info.id);
        auto known = m_endpoints.find(listed.info.id);
        if (known != m_endpoints.end() && known->second.listed.agentAddress == listed.agentAddress)
            continue;
        m_endpoints[listed.info.id] = { listed, false, {} };
        m_log->write(
            Event::EndpointAdded, { { "endpoint", listed.info.id.value() }, { "target", listed.info.target.value() } });
        m_handlers.added(listed.info.id, listed.agentAddress);
        carryOut(m_scheduler.endpointAdded(listed.info, now));
    }
    for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
        if (live.count(it->first)) {
            ++it;
            continue;
        }
        EndpointId id = it->first;
        it = m_endpoints.erase(it);
        m_log->write(Event::EndpointRemoved, { { "endpoint", id.value() } });
        // Requests running at the endpoint continue; it gets no new ones.
        carryOut(m_scheduler.endpointRemoved(id, now));
        m_handlers.removed(id);
    }
}

boost::asio::awaitable<void> EntryControl::tickForever()
{
    while (true) {
        co_await sleepFor(tickInterval);
        TimePoint now = bootTimeNow();
        carryOut(m_scheduler.tick(now));
        m_budgets.tick(now);
        m_peers.tick(now);
        logHealthChanges();
    }
}

Result<AccountId> EntryControl::authenticate(const KeyHash& key) const
{
    auto record = m_view.key(key);
    if (!record)
        return fail(Errc::Unauthorized, "the key is not known");
    if (record->withdrawn)
        return fail(Errc::Unauthorized, "the key was withdrawn");
    return record->account;
}

void EntryControl::submit(ArrivedRequest request)
{
    boost::asio::post(m_io, [self = shared_from_this(), request = std::move(request)]() mutable {
        self->handleSubmit(std::move(request));
    });
}

void EntryControl::handleSubmit(ArrivedRequest request)
{
    if (!m_loaded) {
        refuse(request,
            { http::status::service_unavailable, "overloaded_error", "not_ready",
                "this instance has not loaded its configuration yet", ExecutionOutcome::NotExecuted,
                std::chrono::seconds(1) });
        return;
    }
    if (m_freshness->refuses(bootTimeNow())) {
        refuse(request, viewStaleError(ExecutionOutcome::NotExecuted));
        return;
    }
    Json inputs = keyInputs(m_view, request.key);
    auto account = authenticate(request.key);
    if (!account) {
        inputs["rule"] = "key_not_valid";
        refuse(request,
            { http::status::unauthorized, "authentication_error", "invalid_api_key", account.error().message,
                ExecutionOutcome::NotExecuted, std::nullopt },
            std::move(inputs));
        return;
    }
    auto contract = m_view.contract(account.value());
    const RequestClass* requestClass = contract ? classify(*contract, request.attributes) : nullptr;
    inputs.update(classificationInputs(request.attributes, m_view.contractRevision(account.value())));
    if (!requestClass) {
        refuse(request,
            { http::status::not_found, "invalid_request_error", "no_class",
                "no class of the account's contract matches \"" + request.attributes.target.value() + "\"",
                ExecutionOutcome::NotExecuted, std::nullopt },
            std::move(inputs));
        return;
    }
    inputs["request"] = request.id.value();
    inputs["class"] = requestClass->name.value();
    inputs["rule"] = "first_matching_class";
    m_log->write(Event::RequestClassified, inputs);
    LiveRequest live { std::move(request), account.value(), *requestClass, contract->weight,
        m_view.contractRevision(account.value()), 0, 0, false, {}, {}, {} };
    // Set here too, because the wait is also logged for a request refused by its account's limits, which never
    // reaches the scheduler.
    live.submittedAt = bootTimeNow();
    RequestId id = live.arrived.id;
    m_requestsByKey[live.arrived.key].insert(id);
    auto inserted = m_requests.emplace(id, std::move(live)).first;
    const LiveRequest& accepted = inserted->second;
    BudgetUse estimate { accepted.arrived.promptTokens + accepted.requestClass.expectedOutput, 0.0 };
    m_budgets.admit(id, accepted.account, contract->limits, estimate, bootTimeNow());
}

std::optional<AccountLimits> EntryControl::limitsOf(const AccountId& account) const
{
    auto contract = m_view.contract(account);
    return contract ? std::optional(contract->limits) : std::nullopt;
}

void EntryControl::budgetDecided(const RequestId& id, std::optional<Duration> retryAfter)
{
    auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    if (retryAfter)
        carryOut(Refusal { id, RefusalReason::LimitExceeded, *retryAfter });
    else
        submitToScheduler(it->second, SubmitReason::First, Tokens(0));
}

void EntryControl::submitToScheduler(LiveRequest& request, SubmitReason reason, Tokens delivered)
{
    request.submittedAt = bootTimeNow();
    RequestInfo info;
    info.id = request.arrived.id;
    info.account = request.account;
    info.requestClass = request.requestClass.name;
    info.target = request.arrived.attributes.target;
    info.tier = request.requestClass.tier;
    info.priority = request.requestClass.priority;
    info.weight = request.weight;
    info.promptTokens = request.arrived.promptTokens;
    info.expectedOutput = request.requestClass.expectedOutput;
    info.prefixHash = request.arrived.prefixHash;
    info.prefixTokens = request.arrived.prefixTokens;
    info.longestWait = request.requestClass.longestWait;
    info.firstTokenTarget = request.requestClass.targets.firstToken;
    info.totalTarget = request.requestClass.targets.total;
    info.submitReason = reason;
    info.delivered = delivered;
    info.resumable = request.arrived.resumable;
    carryOut(m_scheduler.submit(info, request.submittedAt));
}

void EntryControl::carryOut(const Scheduler::Decisions& decisions)
{
    for (const Decision& decision : decisions)
        std::visit([this](const auto& each) { carryOut(each); }, decision);
}

void EntryControl::carryOut(const Dispatch& dispatch)
{
    auto it = m_requests.find(dispatch.request);
    OnceRoute route { dispatch.endpoint };
    if (it != m_requests.end())
        route = onceRoute(it->second, dispatch.endpoint);
    auto endpoint = m_endpoints.find(route.endpoint);
    if (it == m_requests.end() || endpoint == m_endpoints.end()) {
        carryOut(m_scheduler.finished(dispatch.request, {}, bootTimeNow()));
        return;
    }
    LiveRequest& request = it->second;
    request.lastEndpoint = route.endpoint;
    Admitted admitted { route.endpoint, endpoint->second.listed.agentAddress, ++request.attempts, request.account,
        request.requestClass.name, request.requestClass.tier, request.requestClass.priority,
        request.requestClass.atMostOnce, route.mode };
    Json fields = waitInputs(
        request.account, request.requestClass, request.contractRevision, bootTimeNow() - request.submittedAt);
    fields["request"] = dispatch.request.value();
    fields["endpoint"] = route.endpoint.value();
    fields["attempt"] = admitted.attempt;
    fields["rule"] = "scheduler_dispatch";
    m_log->write(Event::RequestAdmitted, fields);
    request.arrived.mailbox->post(std::move(admitted));
}

void EntryControl::carryOut(const Refusal& refusal)
{
    auto it = m_requests.find(refusal.request);
    if (it == m_requests.end())
        return;
    ApiError error = refusalError(refusal.reason, refusal.retryAfter);
    if (it->second.mayHaveExecuted)
        error.outcome = ExecutionOutcome::MayHaveExecuted;
    ArrivedRequest arrived = it->second.arrived;
    Json inputs = waitInputs(it->second.account, it->second.requestClass, it->second.contractRevision,
        bootTimeNow() - it->second.submittedAt);
    inputs["attempts"] = it->second.attempts;
    inputs["target"] = arrived.attributes.target.value();
    removeRequest(refusal.request);
    refuse(arrived, std::move(error), std::move(inputs));
}

OnceRoute EntryControl::onceRoute(const LiveRequest& request, const EndpointId& dispatched) const
{
    // Only the owner of the call's partition may execute it, whichever endpoint the scheduler chose.
    std::vector<EndpointId> live;
    for (const auto& [id, endpoint] : m_endpoints) {
        bool serves = endpoint.listed.info.target == request.arrived.attributes.target
            && endpoint.listed.kind == EndpointKind::Service;
        if (serves && !endpoint.lost)
            live.push_back(id);
    }
    if (!request.requestClass.atMostOnce || live.empty())
        return { dispatched };
    OnceKey key = onceKey(request.account, request.arrived.idempotencyKey, request.arrived.id);
    return m_onceRouter.choose(request.arrived.attributes.target, key, live, bootTimeNow());
}

void EntryControl::agentRejected(const RequestId& id, const wire::Rejected& rejected)
{
    boost::asio::post(m_io, [self = shared_from_this(), id, rejected] {
        auto it = self->m_requests.find(id);
        if (it == self->m_requests.end())
            return;
        const LiveRequest& request = it->second;
        if (rejected.reason() == "leaving") {
            // The scheduler must not choose this endpoint again before the next load report shows that it is leaving.
            TimePoint now = bootTimeNow();
            EndpointLoad load;
            load.leaving = true;
            load.takenAt = now;
            self->m_onceRouter.markLeaving(request.lastEndpoint, now);
            self->carryOut(self->m_scheduler.endpointReported(request.lastEndpoint, load, now));
        }
        if (rejected.owner().empty())
            return;
        OnceKey key = onceKey(request.account, request.arrived.idempotencyKey, id);
        self->m_onceRouter.recordOwner(request.arrived.attributes.target, key, EndpointId(rejected.owner()));
    });
}

void EntryControl::carryOut(const Preempt& preempt)
{
    auto it = m_requests.find(preempt.request);
    if (it == m_requests.end())
        return;
    Json fields = waitInputs(it->second.account, it->second.requestClass, it->second.contractRevision, Duration(0));
    fields["request"] = preempt.request.value();
    fields.erase("waited_us");
    fields["endpoint"] = preempt.endpoint.value();
    fields["rule"] = "preempted_for_top";
    m_log->write(Event::RequestPreempted, fields);
    it->second.arrived.mailbox->post(Preempted {});
}

void EntryControl::refuse(const ArrivedRequest& request, ApiError error, Json inputs)
{
    inputs["request"] = request.id.value();
    inputs["code"] = error.code;
    inputs.emplace("rule", error.code);
    inputs.emplace("contract_revision", 0);
    m_log->write(Event::RequestRefused, std::move(inputs));
    request.mailbox->post(Refused { std::move(error) });
}

void EntryControl::attemptEnded(const RequestId& id, AttemptEnd end, Tokens output, Duration endpointTime)
{
    boost::asio::post(m_io, [self = shared_from_this(), id, end, output, endpointTime] {
        self->handleAttemptEnd(id, end, output, endpointTime);
    });
}

void EntryControl::handleAttemptEnd(const RequestId& id, AttemptEnd end, Tokens output, Duration endpointTime)
{
    TimePoint now = bootTimeNow();
    carryOut(m_scheduler.cancelled(id, now));
    carryOut(m_scheduler.finished(id, { end == AttemptEnd::Finished, output }, now));
    auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    if (it->second.attempts > 0)
        it->second.used = { it->second.arrived.promptTokens + output,
            it->second.used.endpointSeconds + std::chrono::duration<double>(endpointTime).count() };
    if (end == AttemptEnd::Finished || end == AttemptEnd::Abandoned) {
        removeRequest(id);
        return;
    }
    it->second.mayHaveExecuted = it->second.mayHaveExecuted || end == AttemptEnd::MayHaveExecuted;
    // A preemption is not a failure and doesn't count towards maxAttempts.
    if (end == AttemptEnd::Preempted && it->second.failures < maxAttempts) {
        submitToScheduler(it->second, SubmitReason::Preempted, output);
        return;
    }
    if (++it->second.failures >= maxAttempts) {
        carryOut(Refusal { id, RefusalReason::NoEndpoint, std::chrono::seconds(1) });
        return;
    }
    submitToScheduler(
        it->second, end == AttemptEnd::NotExecuted ? SubmitReason::NotExecuted : SubmitReason::Retry, output);
}

void EntryControl::reportProgress(const RequestId& request, Tokens output)
{
    boost::asio::post(m_io,
        [self = shared_from_this(), request, output] { self->m_scheduler.progress(request, output, bootTimeNow()); });
}

void EntryControl::logHealthChanges()
{
    for (const EndpointHealthChange& change : m_scheduler.takeHealthChanges())
        m_log->write(change.ejected ? Event::EndpointEjected : Event::EndpointTakenBack,
            { { "endpoint", change.endpoint.value() } });
}

void EntryControl::removeRequest(const RequestId& id)
{
    auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    m_budgets.requestEnded(id, it->second.used);
    auto byKey = m_requestsByKey.find(it->second.arrived.key);
    byKey->second.erase(id);
    if (byKey->second.empty())
        m_requestsByKey.erase(byKey);
    m_requests.erase(it);
}

void EntryControl::endpointReported(const EndpointId& endpoint, const EndpointLoad& load)
{
    boost::asio::post(m_io, [self = shared_from_this(), endpoint, load] {
        auto it = self->m_endpoints.find(endpoint);
        if (it == self->m_endpoints.end())
            return;
        TimePoint now = bootTimeNow();
        it->second.load = load;
        if (load.leaving)
            self->m_onceRouter.markLeaving(endpoint, now);
        else
            self->m_onceRouter.markServing(endpoint);
        if (it->second.lost) {
            it->second.lost = false;
            self->carryOut(self->m_scheduler.endpointAdded(it->second.listed.info, now));
        }
        self->carryOut(self->m_scheduler.endpointReported(endpoint, load, now));
    });
}

void EntryControl::agentLost(const EndpointId& endpoint)
{
    boost::asio::post(m_io, [self = shared_from_this(), endpoint] {
        self->m_log->write(Event::AgentLost, { { "endpoint", endpoint.value() } });
        self->m_onceRouter.markUnavailable(endpoint);
        auto it = self->m_endpoints.find(endpoint);
        if (it == self->m_endpoints.end() || it->second.lost)
            return;
        it->second.lost = true;
        self->carryOut(self->m_scheduler.endpointRemoved(endpoint, bootTimeNow()));
    });
}

void EntryControl::listModels(const KeyHash& key, std::function<void(Result<std::vector<TargetId>>)> callback)
{
    boost::asio::post(m_io, [self = shared_from_this(), key, callback = std::move(callback)] {
        auto account = self->authenticate(key);
        if (!account) {
            callback(account.error());
            return;
        }
        std::set<TargetId> engines;
        for (const auto& [id, endpoint] : self->m_endpoints) {
            if (endpoint.listed.kind == EndpointKind::Engine)
                engines.insert(endpoint.listed.info.target);
        }
        std::set<TargetId> models;
        auto contract = self->m_view.contract(account.value());
        for (const RequestClass& each : contract ? contract->classes : std::vector<RequestClass>()) {
            if (engines.count(each.match.target))
                models.insert(each.match.target);
        }
        callback(std::vector<TargetId>(models.begin(), models.end()));
    });
}

std::vector<TargetLoad> EntryControl::zoneLoads() const
{
    std::map<TargetId, TargetLoad> loads;
    for (const auto& [id, endpoint] : m_endpoints) {
        const EndpointInfo& info = endpoint.listed.info;
        if (info.zone != m_settings.common.zone || endpoint.lost)
            continue;
        TargetLoad& load = loads[info.target];
        load.target = info.target;
        ++load.endpoints;
        load.slots += info.slots;
        load.running += endpoint.load.running;
        load.queued += endpoint.load.queued;
    }
    std::vector<TargetLoad> list;
    for (const auto& [target, load] : loads)
        list.push_back(load);
    return list;
}

std::string EntryControl::statusJson(TimePoint now) const
{
    Json endpoints = Json::array();
    for (const auto& [id, endpoint] : m_endpoints)
        endpoints.push_back({ { "endpoint", id.value() }, { "target", endpoint.listed.info.target.value() },
            { "zone", endpoint.listed.info.zone.value() }, { "lost", endpoint.lost } });
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_view.age(now)).count();
    Json status = { { "instance", m_settings.common.instance.value() }, { "zone", m_settings.common.zone.value() },
        { "role", "entry" }, { "ready", ready() }, { "view_revision", m_view.revision().value() },
        { "view_age_ms", age }, { "queued", m_scheduler.queued() }, { "running", m_scheduler.running() },
        { "endpoints", endpoints }, { "rank_in_zone", m_feed->fanout().rank() },
        { "watches_store", m_feed->fanout().watchesStore() }, { "peer_links", m_peers.openLinks() },
        { "homed_accounts", m_budgets.ownedAccounts() } };
    AuditAnchor position = m_log->position();
    status["log"]
        = { { "incarnation", position.incarnation }, { "sequence", position.sequence }, { "hash", position.hash } };
    m_freshness->addStatus(status, now);
    return status.dump();
}

} // namespace wisteriayard
