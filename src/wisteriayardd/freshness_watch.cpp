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
    /// The entry calls the store itself from this age of the view on, so that its peers learn whether it answers.
    constexpr Duration probeAge = std::chrono::seconds(3);
    constexpr Duration probeInterval = std::chrono::seconds(1);
    constexpr Duration probeTimeout = std::chrono::milliseconds(900);
    constexpr Duration askInterval = std::chrono::milliseconds(300);
    /// Three rounds fit between peerPollAge and viewStaleAge, with the pause between them.
    constexpr Duration askTimeout = std::chrono::milliseconds(400);
    constexpr Duration answerPoll = std::chrono::milliseconds(5);
    constexpr std::size_t peersPerRound = 3;
    constexpr Bytes maxStatus { 16 * 1024 * 1024 };

    PeerReport readReport(const std::string& body)
    {
        PeerReport report;
        Json json = Json::parse(body, nullptr, false);
        if (!json.is_object() || !json.contains("store") || !json["store"].is_object())
            return report;
        const Json& store = json["store"];
        auto silence = store.find("answered_ms_ago");
        auto called = store.find("called_ms_ago");
        auto failed = store.find("last_call_failed");
        bool timesGiven = silence != store.end() && silence->is_number_integer() && called != store.end()
            && called->is_number_integer();
        if (!timesGiven || failed == store.end() || !failed->is_boolean())
            return report;
        report.reached = true;
        report.lastCallFailed = failed->get<bool>();
        report.lastCallAge = std::chrono::milliseconds(called->get<std::int64_t>());
        report.storeAnswerAge = std::chrono::milliseconds(silence->get<std::int64_t>());
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
        m_io, [self = shared_from_this()] { return self->follow(); }, boost::asio::detached);
}

void FreshnessWatch::peersListed(const std::vector<ListedEntry>& entries)
{
    m_peers.clear();
    for (const ListedEntry& entry : entries) {
        auto address = parseAddress(entry.adminAddress);
        bool near = !m_storeRegion.value().empty() && entry.region == m_storeRegion;
        if (near && address && entry.instance != m_instance)
            m_peers.push_back(address.value());
    }
}

void FreshnessWatch::storeCalled(bool answered, TimePoint now)
{
    m_lastCallFailed = !answered;
    m_calledAt = now;
    if (answered)
        m_storeAnsweredAt = now;
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
    status["store"]["called_ms_ago"] = milliseconds(now - m_calledAt);
    // A confirmed view shows too that the store answered, be it through another entry.
    status["store"]["answered_ms_ago"] = milliseconds(std::min(now - m_storeAnsweredAt, m_view.age(now)));
    status["refuses"] = refuses(now);
}

boost::asio::awaitable<void> FreshnessWatch::follow()
{
    boost::asio::steady_timer timer(m_io);
    TimePoint probedAt {};
    TimePoint askedAt {};
    while (true) {
        TimePoint now = bootTimeNow();
        Duration age = m_view.age(now);
        if (age > probeAge && !m_probing && now - probedAt >= probeInterval) {
            probedAt = now;
            m_probing = true;
            boost::asio::co_spawn(
                m_io, [self = shared_from_this()] { return self->probeStore(); }, boost::asio::detached);
        }
        if (age > peerPollAge && !m_asking && now - askedAt >= askInterval) {
            askedAt = now;
            m_asking = true;
            boost::asio::co_spawn(
                m_io, [self = shared_from_this()] { return self->askPeers(); }, boost::asio::detached);
        }
        enter(m_guard.decide(age, now), now);
        timer.expires_after(checkInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

void FreshnessWatch::enter(Serving serving, TimePoint now)
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
    // No key has this name; the answer's header tells the store's revision.
    TimePoint asked = bootTimeNow();
    auto answer = co_await m_probe.range(std::string(contractPrefix), "");
    storeCalled(bool(answer), bootTimeNow());
    if (answer)
        m_view.recordSourceRevision(answer.value().revision, asked);
    m_probing = false;
}

std::vector<boost::asio::ip::tcp::endpoint> FreshnessWatch::peersToAsk()
{
    // The peers take turns, so that one that hangs is not asked in every round.
    std::vector<boost::asio::ip::tcp::endpoint> chosen;
    std::size_t count = std::min(peersPerRound, m_peers.size());
    for (std::size_t i = 0; i < count; ++i)
        chosen.push_back(m_peers[m_nextPeer++ % m_peers.size()]);
    return chosen;
}

boost::asio::awaitable<PeerReport> FreshnessWatch::askPeer(boost::asio::ip::tcp::endpoint peer)
{
    HttpConnection connection(m_io.get_executor(), peer, maxStatus);
    auto response = co_await connection.exchange(makeHttpRequest(http::verb::get, "/status"), askTimeout);
    co_return response ? readReport(response.value().body()) : PeerReport {};
}

boost::asio::awaitable<void> FreshnessWatch::askPeers()
{
    TimePoint asked = bootTimeNow();
    auto reports = std::make_shared<std::vector<PeerReport>>();
    auto peers = peersToAsk();
    auto waiting = std::make_shared<std::size_t>(peers.size());
    for (const auto& peer : peers) {
        auto ask = [self = shared_from_this(), peer, reports, waiting]() -> boost::asio::awaitable<void> {
            PeerReport report = co_await self->askPeer(peer);
            reports->push_back(report);
            --*waiting;
        };
        boost::asio::co_spawn(m_io, ask, boost::asio::detached);
    }
    boost::asio::steady_timer poll(m_io);
    TimePoint deadline = asked + askTimeout + checkInterval;
    while (*waiting > 0 && bootTimeNow() < deadline) {
        poll.expires_after(answerPoll);
        co_await poll.async_wait(boost::asio::use_awaitable);
    }
    m_guard.setStoreState(inferStoreState(*reports, m_view.newestChange()), asked);
    m_asking = false;
}

} // namespace wisteriayard
