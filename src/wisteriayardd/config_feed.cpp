#include "config_feed.h"

#include "clock.h"
#include "store_json.h"
#include "wisteriayard/view.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriayard {

namespace {

    constexpr Duration storeRetryDelay = std::chrono::milliseconds(200);
    /// A watch without a message for this long is reopened; the store sends progress notifications more often.
    constexpr Duration watchTimeout = std::chrono::seconds(2);
    constexpr Duration tickInterval = std::chrono::milliseconds(50);
    /// How often a relay reads the store's revision. Progress notifications of the watch may have been buffered, so
    /// they don't show how old the state is.
    constexpr Duration probeInterval = std::chrono::seconds(1);
    /// Longest wait for the first instance list, which determines the relays.
    constexpr Duration firstMembersTimeout = std::chrono::seconds(1);

    std::vector<ConfigItem> configItems(const std::vector<StoreItem>& items)
    {
        std::vector<ConfigItem> result;
        for (const StoreItem& item : items)
            result.push_back({ item.key, item.value, item.modRevision });
        return result;
    }

} // namespace

ConfigFeed::ConfigFeed(boost::asio::io_context& io, const CommonSettings& settings, std::shared_ptr<EventLog> log,
    PeerLinks& peers, Handlers handlers)
    : m_io(io)
    , m_settings(settings)
    , m_log(std::move(log))
    , m_peers(peers)
    , m_handlers(std::move(handlers))
    , m_store(io.get_executor(), settings.store, settings.storeTimeout)
    , m_fanout(settings.zone, settings.instance, bootTimeNow())
{
}

void ConfigFeed::start()
{
    auto self = shared_from_this();
    boost::asio::co_spawn(
        m_io, [self] { return self->watchForever(); }, boost::asio::detached);
    boost::asio::co_spawn(
        m_io, [self] { return self->probeForever(); }, boost::asio::detached);
    boost::asio::co_spawn(
        m_io, [self] { return self->tickForever(); }, boost::asio::detached);
}

boost::asio::awaitable<void> ConfigFeed::sleepFor(Duration time)
{
    boost::asio::steady_timer timer(m_io, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

boost::asio::awaitable<void> ConfigFeed::watchForever()
{
    TimePoint startedAt = bootTimeNow();
    while (!m_membersKnown && bootTimeNow() - startedAt < firstMembersTimeout)
        co_await sleepFor(tickInterval);
    while (true) {
        if (m_fanout.watchesStore()) {
            m_log->write(Event::WatchStarted, { { "rank", m_fanout.rank() } });
            while (m_fanout.watchesStore())
                co_await watchOnce();
            std::string source = m_fanout.source() ? m_fanout.source()->value() : "";
            m_log->write(Event::WatchReleased, { { "rank", m_fanout.rank() }, { "source", source } });
        }
        co_await sleepFor(tickInterval);
    }
}

boost::asio::awaitable<void> ConfigFeed::watchOnce()
{
    // One watch covers contracts and keys.
    const std::string first(contractPrefix);
    const std::string end = prefixEnd(std::string(keyPrefix));
    TimePoint requestedAt = bootTimeNow();
    auto range = co_await m_store.range(first, end);
    m_handlers.storeCalled(bool(range));
    if (!range) {
        m_log->write(Event::WatchEnded, { { "error", range.error().message } });
        co_await sleepFor(storeRetryDelay);
        co_return;
    }
    Revision revision = range.value().revision;
    dispatch(m_fanout.applyStoreSnapshot(configItems(range.value().items), revision, requestedAt, bootTimeNow()));
    auto onBatch = [this](const WatchBatch& batch) {
        m_handlers.storeCalled(true);
        dispatch(m_fanout.applyStoreChanges(configItems(batch.items), batch.revision, bootTimeNow()));
    };
    auto keepWatching = [this] { return m_fanout.watchesStore(); };
    Error ended = co_await m_store.watch(first, end, revision + Revision(1), watchTimeout, onBatch, keepWatching);
    if (!m_fanout.watchesStore())
        co_return;
    m_handlers.storeCalled(false);
    m_log->write(Event::WatchEnded, { { "error", ended.message } });
    co_await sleepFor(storeRetryDelay);
}

boost::asio::awaitable<void> ConfigFeed::probeForever()
{
    while (true) {
        co_await sleepFor(probeInterval);
        if (!m_fanout.watchesStore() || m_fanout.revision() == Revision(0))
            continue;
        // No contract has this key, so the response contains only the store's revision.
        TimePoint requestedAt = bootTimeNow();
        auto probe = co_await m_store.range(std::string(contractPrefix), "");
        m_handlers.storeCalled(bool(probe));
        if (probe)
            dispatch(m_fanout.applyStoreProbe(probe.value().revision, requestedAt, bootTimeNow()));
    }
}

boost::asio::awaitable<void> ConfigFeed::tickForever()
{
    while (true) {
        co_await sleepFor(tickInterval);
        dispatch(m_fanout.tick(bootTimeNow()));
    }
}

void ConfigFeed::membersChanged(std::vector<InstanceId> members)
{
    m_membersKnown = true;
    dispatch(m_fanout.membersChanged(std::move(members), bootTimeNow()));
}

void ConfigFeed::received(const InstanceId& from, const wire::Envelope& envelope)
{
    TimePoint now = bootTimeNow();
    if (envelope.has_view_digest()) {
        ViewDigest digest { envelope.view_digest().sequence(), Revision(envelope.view_digest().revision()) };
        dispatch(m_fanout.received(from, digest, now));
    } else if (envelope.has_view_update()) {
        auto update = m_assemblers[from].add(envelope.view_update());
        if (update)
            dispatch(m_fanout.received(from, *update, now));
    }
}

void ConfigFeed::dispatch(const FanoutResult& result)
{
    for (const ConfigItem& item : result.changed)
        m_handlers.changed(item);
    for (const FanoutSend& each : result.sends)
        send(each);
    if (m_fanout.confirmedAt())
        m_handlers.confirmed(m_fanout.revision(), *m_fanout.confirmedAt());
}

void ConfigFeed::send(const FanoutSend& send)
{
    if (const auto* update = std::get_if<ViewUpdate>(&send.message)) {
        for (const wire::Envelope& envelope : packViewUpdate(*update))
            m_peers.sendReply(send.to, envelope);
        return;
    }
    const auto& digest = std::get<ViewDigest>(send.message);
    wire::Envelope envelope;
    envelope.mutable_view_digest()->set_sender(m_settings.instance.value());
    envelope.mutable_view_digest()->set_sequence(digest.sequence);
    envelope.mutable_view_digest()->set_revision(digest.revision.value());
    m_peers.sendRequest(send.to, envelope, bootTimeNow());
}

} // namespace wisteriayard
