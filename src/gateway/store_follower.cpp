#include "store_follower.h"

#include "clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriayard {

namespace {

    /// Pause after a failed call: short against the time in which changes must take effect, long against the store's
    /// rates when all instances retry at once.
    constexpr Duration retryPause = std::chrono::milliseconds(250);
    /// Longest pause of a follower, which doubles its pause with each failure: in an outage of the store its observers
    /// go on trying and tell when it is over.
    constexpr Duration longestPause = std::chrono::seconds(2);
    /// Longest time without an answer to a watch of an entry that reads for itself only.
    constexpr Duration ownSilence = std::chrono::seconds(3);
    /// The same if others rely on the answers, or if this entry waits for observers to come back.
    constexpr Duration relaySilence = std::chrono::milliseconds(1000);
    /// Time between two looks whether the store has to be read; short against RelayTimes.
    constexpr Duration lookInterval = std::chrono::milliseconds(50);

} // namespace

WatchBatch changesSince(const std::set<std::string>& keys, Revision from, const StoreRange& range)
{
    WatchBatch batch { range.revision, {} };
    std::set<std::string> removed = keys;
    for (const StoreItem& item : range.items) {
        removed.erase(item.key);
        if (item.modRevision > from)
            batch.items.push_back(item);
    }
    for (const std::string& key : removed)
        batch.items.push_back({ key, std::string(), range.revision, Revision() });
    return batch;
}

StoreFollower::StoreFollower(boost::asio::io_context& io, std::unique_ptr<StoreClient> store, std::string prefix,
    Handlers handlers, std::shared_ptr<EventLog> log)
    : m_io(io)
    , m_store(std::move(store))
    , m_prefix(std::move(prefix))
    , m_handlers(std::move(handlers))
    , m_log(std::move(log))
{
}

bool StoreFollower::mustWatch() const
{
    return m_handlers.role() != ViewRole::Follower || m_view.storeReadCause(bootTimeNow()) != ReadCause::None;
}

boost::asio::awaitable<void> StoreFollower::run()
{
    boost::asio::steady_timer timer(m_io);
    while (true) {
        noteRole(m_handlers.role());
        if (!m_view.isLoaded())
            co_await readAll();
        else if (mustWatch())
            co_await watch();
        else
            m_cause = ReadCause::None;
        if (m_view.isLoaded() && !m_lost && mustWatch())
            continue;
        timer.expires_after(m_lost ? pauseAfterFailure() : lookInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

Duration StoreFollower::pauseAfterFailure()
{
    if (m_handlers.role() != ViewRole::Follower || !m_view.isLoaded())
        return retryPause;
    m_pause = std::min(2 * m_pause, longestPause);
    return m_pause;
}

boost::asio::awaitable<void> StoreFollower::readAll()
{
    noteReading(ReadCause::NotLoaded);
    auto range = co_await m_store->range(m_prefix, std::string());
    if (!range) {
        noteError(range.error());
        co_return;
    }
    noteHeard();
    TimePoint now = bootTimeNow();
    m_view.loaded(range.value().revision, now);
    // Without the lost history the other entries of the region would all read the store anew.
    auto lostAt = std::exchange(m_lostAt, std::nullopt);
    if (lostAt && m_handlers.role() == ViewRole::Observer)
        m_handlers.passOn(*lostAt, changesSince(m_keys, *lostAt, range.value()));
    m_keys.clear();
    noteKeys(range.value().items);
    m_handlers.snapshot(range.value(), now);
}

boost::asio::awaitable<void> StoreFollower::watch()
{
    bool released = false;
    bool alone = m_handlers.role() == ViewRole::Alone;
    auto handler = [this](const WatchBatch& batch) { takeBatch(batch, bootTimeNow()); };
    auto wanted = [this, alone, &released] {
        // The silence that the watch was begun with holds for one role only.
        released = !mustWatch() || (m_handlers.role() == ViewRole::Alone) != alone;
        noteRole(m_handlers.role());
        if (!released)
            noteReading(m_view.storeReadCause(bootTimeNow()));
        return !released;
    };
    Revision next(m_view.revision().value() + 1);
    Duration silence = alone ? ownSilence : relaySilence;
    Error ended
        = co_await m_store->watch(m_prefix, std::string(), next, silence, std::move(handler), std::move(wanted));
    if (released)
        co_return;
    noteError(ended);
    if (ended.code == Errc::Conflict) {
        // The history is gone: read anew at once.
        m_lostAt = m_view.revision();
        m_view.unload();
        m_lost = false;
    }
}

void StoreFollower::dropKnown(WatchBatch& batch, Revision known)
{
    std::erase_if(batch.items, [known](const StoreItem& item) { return item.modRevision <= known; });
}

std::optional<Revision> StoreFollower::lastChange(const WatchBatch& batch)
{
    std::optional<Revision> last;
    for (const StoreItem& item : batch.items)
        last = std::max(last.value_or(item.modRevision), item.modRevision);
    return last;
}

void StoreFollower::takeBatch(WatchBatch batch, TimePoint now)
{
    noteHeard();
    Revision known = m_view.revision();
    dropKnown(batch, known);
    m_view.advanceFromStore(batch.revision, lastChange(batch), now);
    noteKeys(batch.items);
    m_handlers.changes(batch, now);
    if (!batch.items.empty() && m_handlers.role() == ViewRole::Observer)
        m_handlers.passOn(known, batch);
}

void StoreFollower::takeChanges(const ViewChanges& changes, TimePoint now)
{
    Revision known = m_view.revision();
    WatchBatch batch { changes.to, changes.items };
    if (!m_view.advanceFromObserver(changes.from, changes.to, lastChange(batch), now))
        return;
    dropKnown(batch, known);
    noteKeys(batch.items);
    m_handlers.changes(batch, now);
}

void StoreFollower::noteKeys(const std::vector<StoreItem>& items)
{
    for (const StoreItem& item : items) {
        if (item.value.empty())
            m_keys.erase(item.key);
        else
            m_keys.insert(item.key);
    }
}

void StoreFollower::takeMark(const ViewProgress& mark, TimePoint now)
{
    TimePoint before = m_view.confirmedAt();
    m_view.applyProgress(mark, now);
    if (m_view.confirmedAt() <= before)
        return;
    noteHeard();
    m_handlers.changes(WatchBatch { m_view.revision(), {} }, m_view.confirmedAt());
}

void StoreFollower::noteRole(ViewRole role)
{
    if (m_role == role)
        return;
    m_role = role;
    m_log->write(Event::ViewRoleChanged,
        { { "prefix", m_prefix }, { "role", viewRoleName(role) }, { "revision", m_view.revision().value() } });
}

void StoreFollower::noteReading(ReadCause cause)
{
    m_handlers.reading(cause);
    // Each gap or silence is one line; the calls of an observer are none.
    if (std::exchange(m_cause, cause) == cause || cause == ReadCause::None)
        return;
    m_log->write(Event::ViewRead,
        { { "prefix", m_prefix }, { "cause", readCauseName(cause) }, { "revision", m_view.revision().value() },
            { "age_ms", m_view.progress(bootTimeNow()).age.count() / 1000 } });
}

void StoreFollower::noteError(const Error& error)
{
    if (m_lost)
        return;
    m_lost = true;
    m_pause = retryPause;
    m_log->write(Event::WatchEnded, { { "prefix", m_prefix }, { "error", error.message } });
}

void StoreFollower::noteHeard()
{
    if (!m_lost)
        return;
    m_lost = false;
    m_log->write(Event::WatchStarted, { { "prefix", m_prefix }, { "cause", "store_heard" } });
}

} // namespace wisteriayard
