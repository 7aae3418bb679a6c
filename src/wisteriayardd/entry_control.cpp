#include "entry_control.h"

#include "address.h"
#include "clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace wisteriayard {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

    constexpr Duration instancePoll = std::chrono::milliseconds(500);
    constexpr Duration instanceTimeout = std::chrono::seconds(2);
    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    constexpr Bytes maxInstanceList { 16 * 1024 * 1024 };
    /// Attempts of one request, so that failing endpoints can't multiply work without bound.
    constexpr std::uint32_t maxAttempts = 4;

    ApiError refusalError(RefusalReason reason, Duration retryAfter)
    {
        ApiError error;
        error.type = "overloaded_error";
        error.code = refusalReasonName(reason);
        error.retryAfter = retryAfter;
        switch (reason) {
        case RefusalReason::LimitExceeded:
            error.status = http::status::too_many_requests;
            error.type = "rate_limit_error";
            error.message = "a limit of the account's contract is used up";
            break;
        case RefusalReason::Duplicate:
            error.status = http::status::conflict;
            error.message = "a request with this id is running";
            error.retryAfter.reset();
            break;
        case RefusalReason::QueueFull:
        case RefusalReason::WaitExceeded:
        case RefusalReason::NoEndpoint:
            error.status = http::status::service_unavailable;
            error.message = "no capacity for this class now";
            break;
        }
        return error;
    }

} // namespace

EntryControl::EntryControl(boost::asio::io_context& io, zmq::context_t& context, const EntrySettings& settings,
    std::shared_ptr<EventLog> log, EndpointHandlers handlers)
    : m_io(io)
    , m_settings(settings)
    , m_log(std::move(log))
    , m_handlers(std::move(handlers))
    , m_peers(io, context,
          [this](const InstanceId& from, const wire::Envelope& envelope) { m_feed->received(from, envelope); })
    , m_feed(std::make_shared<ConfigFeed>(io, settings.common, m_log, m_peers,
          ConfigFeed::Handlers { [this](const ConfigItem& item) { applyItem(item); },
              [this](Revision revision, TimePoint at) { viewConfirmed(revision, at); } }))
    , m_scheduler(settings.common.zone, settings.common.region)
{
}

Status EntryControl::start()
{
    BOOST_OUTCOME_TRY(m_peers.listen(formatAddress(m_settings.peer)));
    m_feed->start();
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->followInstances(); }, boost::asio::detached);
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
    m_view.confirmed(revision, at);
    if (m_loaded)
        return;
    m_log->write(Event::ViewLoaded, { { "revision", revision.value() } });
    m_loaded = true;
    m_ready = true;
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
        revoke(withdrawn->key);
}

void EntryControl::revoke(const KeyHash& key)
{
    auto it = m_requestsByKey.find(key);
    std::size_t open = it == m_requestsByKey.end() ? 0 : it->second.size();
    m_log->write(Event::KeyWithdrawnInForce, { { "key_hash", key.value() }, { "open_requests", open } });
    if (it == m_requestsByKey.end())
        return;
    for (const RequestId& id : it->second)
        m_requests.at(id).arrived.exchange->post(KeyRevoked {});
}

boost::asio::awaitable<void> EntryControl::followInstances()
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
            // The last list stays in use: agents tell themselves when they leave.
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
    for (const ListedEntry& entry : list.entries) {
        if (entry.instance == self || entry.leaving)
            continue;
        addresses[entry.instance] = entry.peerAddress;
        if (entry.zone == m_settings.common.zone)
            zone.push_back(entry.instance);
    }
    m_peers.setPeers(std::move(addresses));
    m_feed->membersChanged(std::move(zone));
}

void EntryControl::applyInstances(const InstanceList& list)
{
    applyPeers(list);
    TimePoint now = bootTimeNow();
    std::set<EndpointId> live;
    for (const ListedEndpoint& listed : list.endpoints) {
        if (listed.leaving)
            continue;
        live.insert(listed.info.id);
        auto known = m_endpoints.find(listed.info.id);
        if (known != m_endpoints.end() && known->second.listed.agentAddress == listed.agentAddress)
            continue;
        m_endpoints[listed.info.id] = { listed, false };
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
        // Requests that still run there go on; only new work stops.
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
        m_peers.tick(now);
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
    boost::asio::post(m_io,
        [self = shared_from_this(), request = std::move(request)]() mutable { self->submitNow(std::move(request)); });
}

void EntryControl::submitNow(ArrivedRequest request)
{
    if (!m_ready && m_view.revision() == Revision(0)) {
        refuse(request,
            { http::status::service_unavailable, "overloaded_error", "not_ready",
                "this instance has not loaded its configuration yet", RunOutcome::NotRun, std::chrono::seconds(1) });
        return;
    }
    auto account = authenticate(request.key);
    if (!account) {
        refuse(request,
            { http::status::unauthorized, "authentication_error", "invalid_api_key", account.error().message,
                RunOutcome::NotRun, std::nullopt });
        return;
    }
    auto contract = m_view.contract(account.value());
    const RequestClass* requestClass = contract ? classify(*contract, request.shape) : nullptr;
    if (!requestClass) {
        refuse(request,
            { http::status::not_found, "invalid_request_error", "no_class",
                "no class of the account's contract matches \"" + request.shape.target.value() + "\"",
                RunOutcome::NotRun, std::nullopt });
        return;
    }
    LiveRequest live { std::move(request), account.value(), *requestClass, contract->weight,
        m_view.contractRevision(account.value()), 0 };
    RequestId id = live.arrived.id;
    m_requestsByKey[live.arrived.key].insert(id);
    auto inserted = m_requests.emplace(id, std::move(live)).first;
    place(inserted->second);
}

void EntryControl::place(const LiveRequest& request)
{
    RequestInfo info;
    info.id = request.arrived.id;
    info.account = request.account;
    info.requestClass = request.requestClass.name;
    info.target = request.arrived.shape.target;
    info.tier = request.requestClass.tier;
    info.priority = request.requestClass.priority;
    info.weight = request.weight;
    info.promptTokens = request.arrived.promptTokens;
    info.expectedOutput = request.requestClass.expectedOutput;
    info.prefixHash = request.arrived.prefixHash;
    info.longestWait = request.requestClass.longestWait;
    carryOut(m_scheduler.submit(info, bootTimeNow()));
}

void EntryControl::carryOut(const Scheduler::Decisions& decisions)
{
    for (const Decision& decision : decisions)
        std::visit([this](const auto& each) { carryOut(each); }, decision);
}

void EntryControl::carryOut(const Dispatch& dispatch)
{
    auto it = m_requests.find(dispatch.request);
    auto endpoint = m_endpoints.find(dispatch.endpoint);
    if (it == m_requests.end() || endpoint == m_endpoints.end()) {
        carryOut(m_scheduler.finished(dispatch.request, bootTimeNow()));
        return;
    }
    LiveRequest& request = it->second;
    Admitted admitted { dispatch.endpoint, endpoint->second.listed.agentAddress, ++request.attempts, request.account,
        request.requestClass.name, request.requestClass.tier, request.requestClass.priority,
        request.requestClass.atMostOnce };
    m_log->write(Event::RequestAdmitted,
        { { "request", dispatch.request.value() }, { "account", request.account.value() },
            { "class", request.requestClass.name.value() }, { "endpoint", dispatch.endpoint.value() },
            { "attempt", admitted.attempt }, { "contract_revision", request.contractRevision.value() } });
    request.arrived.exchange->post(std::move(admitted));
}

void EntryControl::carryOut(const Refusal& refusal)
{
    auto it = m_requests.find(refusal.request);
    if (it == m_requests.end())
        return;
    ApiError error = refusalError(refusal.reason, refusal.retryAfter);
    // After a first attempt the request may have run in part.
    if (it->second.attempts > 0 && it->second.requestClass.atMostOnce)
        error.outcome = RunOutcome::Unknown;
    ArrivedRequest arrived = it->second.arrived;
    forgetRequest(refusal.request);
    refuse(arrived, std::move(error));
}

void EntryControl::refuse(const ArrivedRequest& request, ApiError error)
{
    m_log->write(Event::RequestRefused, { { "request", request.id.value() }, { "code", error.code } });
    request.exchange->post(Refused { std::move(error) });
}

void EntryControl::attemptEnded(const RequestId& id, AttemptEnd end)
{
    boost::asio::post(m_io, [self = shared_from_this(), id, end] {
        TimePoint now = bootTimeNow();
        self->carryOut(self->m_scheduler.cancelled(id, now));
        self->carryOut(self->m_scheduler.finished(id, now));
        auto it = self->m_requests.find(id);
        if (it == self->m_requests.end())
            return;
        if (end == AttemptEnd::PlaceAgain && it->second.attempts < maxAttempts) {
            self->place(it->second);
            return;
        }
        if (end == AttemptEnd::PlaceAgain)
            self->carryOut(Refusal { id, RefusalReason::NoEndpoint, std::chrono::seconds(1) });
        else
            self->forgetRequest(id);
    });
}

void EntryControl::forgetRequest(const RequestId& id)
{
    auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
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
        auto it = self->m_endpoints.find(endpoint);
        if (it == self->m_endpoints.end() || it->second.lost)
            return;
        it->second.lost = true;
        self->carryOut(self->m_scheduler.endpointRemoved(endpoint, bootTimeNow()));
    });
}

void EntryControl::listModels(const KeyHash& key, std::function<void(Result<std::vector<TargetId>>)> answer)
{
    boost::asio::post(m_io, [self = shared_from_this(), key, answer = std::move(answer)] {
        auto account = self->authenticate(key);
        if (!account) {
            answer(account.error());
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
        answer(std::vector<TargetId>(models.begin(), models.end()));
    });
}

std::string EntryControl::statusJson(TimePoint now) const
{
    Json endpoints = Json::array();
    for (const auto& [id, endpoint] : m_endpoints)
        endpoints.push_back({ { "endpoint", id.value() }, { "target", endpoint.listed.info.target.value() },
            { "zone", endpoint.listed.info.zone.value() }, { "lost", endpoint.lost } });
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_view.age(now)).count();
    Json status = { { "instance", m_settings.common.instance.value() }, { "zone", m_settings.common.zone.value() },
        { "role", "entry" }, { "ready", m_ready.load() }, { "view_revision", m_view.revision().value() },
        { "view_age_ms", age }, { "queued", m_scheduler.queued() }, { "running", m_scheduler.running() },
        { "endpoints", endpoints }, { "rank_in_zone", m_feed->fanout().rank() },
        { "watches_store", m_feed->fanout().watches() }, { "peer_links", m_peers.links() } };
    return status.dump();
}

} // namespace wisteriayard
