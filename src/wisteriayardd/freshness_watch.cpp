#include "freshness_watch.h"

#include "address.h"
#include "clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriayard {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

    constexpr Duration checkInterval = std::chrono::milliseconds(50);
    /// Age of the view from which the entry calls the store itself, so that peers that poll it learn whether the store
    /// answers.
    constexpr Duration probeAge = std::chrono::seconds(3);
    constexpr Duration probeInterval = std::chrono::seconds(1);
    constexpr Duration probeTimeout = std::chrono::milliseconds(900);
    constexpr Duration pollInterval = std::chrono::milliseconds(300);
    /// Three polls fit between peerPollAge and viewStaleAge, including the intervals between them.
    constexpr Duration pollTimeout = std::chrono::milliseconds(400);
    constexpr Duration reportCheckInterval = std::chrono::milliseconds(5);
    constexpr std::size_t peersPerRound = 3;
    constexpr Bytes maxStatus { 16 * 1024 * 1024 };

    PeerReport parsePeerReport(const std::string& body)
    {
        PeerReport report;
        Json json = Json::parse(body, nullptr, false);
        if (!json.is_object() || !json.contains("store") || !json["store"].is_object())
            return report;
        const Json& store = json["store"];
        auto answered = store.find("answered_ms_ago");
        auto called = store.find("called_ms_ago");
        auto failed = store.find("last_call_failed");
        bool timesGiven = answered != store.end() && answered->is_number_integer() && called != store.end()
            && called->is_number_integer();
        if (!timesGiven || failed == store.end() || !failed->is_boolean())
            return report;
        report.reached = true;
        report.lastCallFailed = failed->get<bool>();
        report.lastCallAge = std::chrono::milliseconds(called->get<std::int64_t>());
        report.storeAnswerAge = std::chrono::milliseconds(answered->get<std::int64_t>());
        auto newest = json.find("newest_change");
        if (newest != json.end() && newest->is_number_integer())
            report.newestChange = Revision(newest->get<std::int64_t>());
        return report;
    }

} // namespace

FreshnessWatch::FreshnessWatch(boost::asio::io_context& io, const EntrySettings& settings,
    std::shared_ptr<EventLog> log, ConfigView& view, std::function<void()> onStale)
    : m_io(io)
    , m_instance(settings.common.instance)
    , m_storeRegion(settings.storeRegion)
    , m_log(std::move(log))
    , m_view(view)
    , m_onStale(std::move(onStale))
    , m_probe(io.get_executor(), settings.common.store, probeTimeout)
{
}

void FreshnessWatch::start()
{
    if (m_started)
        return;
    m_started = true;
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->run(); }, boost::asio::detached);
}

void FreshnessWatch::setPeers(const std::vector<ListedEntry>& entries)
{
    m_peers.clear();
    for (const ListedEntry& entry : entries) {
        auto address = parseAddress(entry.adminAddress);
        bool near = !m_storeRegion.value().empty() && entry.region == m_storeRegion;
        if (near && address && entry.instance != m_instance)
            m_peers.push_back(address.value());
    }
}

void FreshnessWatch::recordStoreCall(bool answered, TimePoint now)
{
    m_lastCallFailed = !answered;
    m_lastCallAt = now;
    if (answered)
        m_lastContactAt = now;
}

bool FreshnessWatch::refuses(TimePoint now) const
{
    return m_started && m_guard.decide(m_view.age(now), now) == Serving::Refuse;
}

void FreshnessWatch::addStatus(Json& status, TimePoint now) const
{
    auto milliseconds
        = [](Duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time).count(); };
    status["newest_change"] = m_view.newestChange().value();
    status["store"] = Json::object();
    status["store"]["last_call_failed"] = m_lastCallFailed;
    status["store"]["called_ms_ago"] = milliseconds(now - m_lastCallAt);
    // A confirmed view also proves that the store answered, possibly to another entry.
    status["store"]["answered_ms_ago"] = milliseconds(std::min(now - m_lastContactAt, m_view.age(now)));
    status["refuses"] = refuses(now);
}

boost::asio::awaitable<void> FreshnessWatch::run()
{
    boost::asio::steady_timer timer(m_io);
    TimePoint probedAt {};
    TimePoint polledAt {};
    while (true) {
        TimePoint now = bootTimeNow();
        Duration age = m_view.age(now);
        if (age > probeAge && !m_probing && now - probedAt >= probeInterval) {
            probedAt = now;
            m_probing = true;
            boost::asio::co_spawn(
                m_io, [self = shared_from_this()] { return self->probeStore(); }, boost::asio::detached);
        }
        if (age > peerPollAge && !m_polling && now - polledAt >= pollInterval) {
            polledAt = now;
            m_polling = true;
            boost::asio::co_spawn(
                m_io, [self = shared_from_this()] { return self->pollPeers(); }, boost::asio::detached);
        }
        setServing(m_guard.decide(age, now), now);
        timer.expires_after(checkInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

void FreshnessWatch::setServing(Serving serving, TimePoint now)
{
    if (serving == m_serving)
        return;
    Serving before = m_serving;
    m_serving = serving;
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_view.age(now)).count();
    Json fields;
    fields["view_age_ms"] = age;
    fields["view_revision"] = m_view.revision().value();
    if (serving == Serving::Refuse) {
        fields["rule"] = "view_stale";
        m_log->write(Event::ViewStale, fields);
        m_onStale();
    } else if (serving == Serving::ServeInOutage) {
        fields["rule"] = "store_down_for_all";
        m_log->write(Event::StoreDownForAll, fields);
    } else if (before == Serving::Refuse || before == Serving::ServeInOutage) {
        m_log->write(Event::ViewFresh, fields);
    }
}

boost::asio::awaitable<void> FreshnessWatch::probeStore()
{
    // No key has this name; only the revision in the response header is needed.
    TimePoint sentAt = bootTimeNow();
    auto response = co_await m_probe.range(std::string(contractPrefix), "");
    recordStoreCall(bool(response), bootTimeNow());
    if (response)
        m_view.recordSourceRevision(response.value().revision, sentAt);
    m_probing = false;
}

std::vector<boost::asio::ip::tcp::endpoint> FreshnessWatch::nextPeers()
{
    // Round robin, so that a hanging peer is not polled every time.
    std::vector<boost::asio::ip::tcp::endpoint> peers;
    std::size_t count = std::min(peersPerRound, m_peers.size());
    for (std::size_t i = 0; i < count; ++i)
        peers.push_back(m_peers[m_nextPeer++ % m_peers.size()]);
    return peers;
}

boost::asio::awaitable<PeerReport> FreshnessWatch::pollPeer(boost::asio::ip::tcp::endpoint peer)
{
    HttpConnection connection(m_io.get_executor(), peer, maxStatus);
    auto response = co_await connection.exchange(makeHttpRequest(http::verb::get, "/status"), pollTimeout);
    co_return response ? parsePeerReport(response.value().body()) : PeerReport {};
}

boost::asio::awaitable<void> FreshnessWatch::pollPeers()
{
    TimePoint sentAt = bootTimeNow();
    auto reports = std::make_shared<std::vector<PeerReport>>();
    auto peers = nextPeers();
    auto waiting = std::make_shared<std::size_t>(peers.size());
    for (const auto& peer : peers) {
        auto poll = [self = shared_from_this(), peer, reports, waiting]() -> boost::asio::awaitable<void> {
            PeerReport report = co_await self->pollPeer(peer);
            reports->push_back(report);
            --*waiting;
        };
        boost::asio::co_spawn(m_io, poll, boost::asio::detached);
    }
    boost::asio::steady_timer timer(m_io);
    TimePoint deadline = sentAt + pollTimeout + checkInterval;
    while (*waiting > 0 && bootTimeNow() < deadline) {
        timer.expires_after(reportCheckInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    m_guard.setStoreState(inferStoreState(*reports, m_view.newestChange()), sentAt);
    m_polling = false;
}

} // namespace wisteriayard
