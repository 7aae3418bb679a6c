#include "store_follower.h"

#include "clock.h"
#include "wisteriayard/hash.h"
#include "wisteriayard/store_numbers.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>

namespace wisteriayard {

namespace {

    /// Delay after a failed call: short compared to the time in which changes must take effect, but long enough for the
    /// store's request rate when all instances retry at once.
    constexpr Duration retryDelay = std::chrono::milliseconds(250);
    /// Maximum delay of a follower, which doubles its delay after each failure. During an outage of the store the
    /// observers keep retrying and report its end.
    constexpr Duration maxRetryDelay = std::chrono::seconds(2);
    /// Timeout of a watch without a response from the store, for an entry that no other entry relies on. A watch that
    /// hangs since a disturbance of the store must end, and be followed by a read, within the 2.5 to 3 s that the first
    /// sites allow.
    constexpr Duration aloneWatchTimeout = std::chrono::milliseconds(1600);
    /// The same for an observer, whose followers rely on the responses, and for an entry that waits until observers are
    /// available again.
    constexpr Duration regionWatchTimeout = std::chrono::milliseconds(1000);
    /// Interval of checks whether the store has to be read; short compared to RelayTimes.
    constexpr Duration checkInterval = std::chrono::milliseconds(50);
    /// Largest value that is put together from a difference; the store holds values up to 1 MB.
    constexpr std::size_t maxValueBytes = 1024 * 1024;
    /// Changes of a copy that was not confirmed for longer are logged.
    constexpr Duration lateChangeThreshold = std::chrono::seconds(2);

} // namespace

std::string_view changeSourceName(ChangeSource source)
{
    switch (source) {
    case ChangeSource::Read:
        return "read";
    case ChangeSource::Watch:
        return "watch";
    case ChangeSource::Observer:
        return "observer";
    }
    return "unknown";
}

std::size_t supersededItems(const WatchBatch& batch)
{
    std::set<std::string_view> keys;
    for (const StoreItem& item : batch.items)
        keys.insert(item.key);
    return batch.items.size() - keys.size();
}

void dropSupersededItems(WatchBatch& batch)
{
    std::map<std::string, Revision> newest;
    for (const StoreItem& item : batch.items)
        newest[item.key] = std::max(newest[item.key], item.modRevision);
    std::erase_if(batch.items, [&newest](const StoreItem& item) { return item.modRevision < newest[item.key]; });
}

std::uint64_t hashOfKeys(const std::set<std::string>& keys)
{
    std::uint64_t hash = fnv1a(std::string_view());
    // No key holds a null character.
    for (const std::string& key : keys)
        hash = fnv1a(std::string_view(key.c_str(), key.size() + 1), hash);
    return hash;
}

WatchBatch changesSince(const std::set<std::string>& keys, Revision from, const StoreRange& range)
{
    WatchBatch batch { range.revision, {} };
    std::set<std::string> present;
    for (const StoreItem& item : range.items)
        present.insert(item.key);
    batch.keysHash = hashOfKeys(present);
    std::set<std::string> removed = keys;
    for (const StoreItem& item : range.items) {
        removed.erase(item.key);
        // Later pages may have newer changes, but not all of them; the next watch returns them.
        if (item.modRevision > from && item.modRevision <= range.revision)
            batch.items.push_back(item);
    }
    for (const std::string& key : removed)
        batch.items.push_back({ key, std::string(), range.revision, Revision() });
    return batch;
}

StoreFollower::StoreFollower(boost::asio::io_context& io, std::unique_ptr<StoreClient> store, std::string prefix,
    CatchUp catchUp, Handlers handlers, std::shared_ptr<EventLog> log)
    : m_io(io)
    , m_store(std::move(store))
    , m_prefix(std::move(prefix))
    , m_catchUp(catchUp)
    , m_handlers(std::move(handlers))
    , m_log(std::move(log))
{
}

bool StoreFollower::needsStore() const
{
    return m_handlers.role() != ViewRole::Follower || m_view.storeReadCause(bootTimeNow()) != ReadCause::None;
}

bool StoreFollower::needsCurrentState() const
{
    bool hasGap = m_view.storeReadCause(bootTimeNow()) == ReadCause::Gap;
    return m_catchUp == CatchUp::CurrentState && (m_mayHaveMissedChanges || hasGap);
}

boost::asio::awaitable<void> StoreFollower::run()
{
    boost::asio::steady_timer timer(m_io);
    while (true) {
        logRoleChange(m_handlers.role());
        if (!m_view.isLoaded())
            co_await readAll();
        else if (needsStore() && needsCurrentState())
            co_await readCurrentState();
        else if (needsStore())
            co_await watch();
        else
            m_readCause = ReadCause::None;
        if (m_view.isLoaded() && !m_contactLost && needsStore())
            continue;
        timer.expires_after(m_contactLost ? nextRetryDelay() : checkInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

Duration StoreFollower::nextRetryDelay()
{
    if (m_handlers.role() != ViewRole::Follower || !m_view.isLoaded())
        return retryDelay;
    m_retryDelay = std::min(2 * m_retryDelay, maxRetryDelay);
    return m_retryDelay;
}

boost::asio::awaitable<void> StoreFollower::readAll()
{
    reportRead(ReadCause::NotLoaded);
    auto range = co_await m_store->range(m_prefix, std::string());
    if (!range) {
        recordFailure(range.error());
        co_return;
    }
    recordContact();
    TimePoint now = bootTimeNow();
    ChangeOrigin from = origin(ChangeSource::Read, now);
    m_view.loaded(range.value().revision, now);
    // The changes that the store no longer has are relayed, so that the other entries of the region need not read the
    // store again.
    auto lostAt = std::exchange(m_historyLostAfter, std::nullopt);
    bool sameEra = lostAt && eraOf(*lostAt) == eraOf(range.value().revision);
    if (sameEra && m_handlers.role() == ViewRole::Observer)
        m_handlers.relayChanges(*lostAt, changesSince(m_keys, *lostAt, range.value()), m_values);
    m_keys.clear();
    m_values.clear();
    m_formerValues.clear();
    updateKeys(range.value().items);
    m_handlers.snapshot(range.value(), from, now);
}

boost::asio::awaitable<void> StoreFollower::readCurrentState()
{
    reportRead(m_view.storeReadCause(bootTimeNow()));
    TimePoint start = bootTimeNow();
    auto range = co_await m_store->range(m_prefix, std::string());
    if (!range) {
        recordFailure(range.error());
        co_return;
    }
    m_mayHaveMissedChanges = false;
    // Observers may have relayed newer changes during the read.
    if (range.value().revision >= m_view.revision())
        applyBatch(changesSince(m_keys, m_view.revision(), range.value()), ChangeSource::Read, start);
    else
        recordContact();
    if (!needsCurrentState())
        co_return;
    // The read has not closed the gap; it is not repeated at once.
    boost::asio::steady_timer timer(m_io, retryDelay);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

boost::asio::awaitable<void> StoreFollower::watch()
{
    bool released = false;
    bool alone = m_handlers.role() == ViewRole::Alone;
    auto handler = [this](const WatchBatch& batch) { applyBatch(batch, ChangeSource::Watch, bootTimeNow()); };
    auto keepWatching = [this, alone, &released] {
        // The timeout of the watch depends on the role, so a change of role ends the watch.
        bool roleChanged = (m_handlers.role() == ViewRole::Alone) != alone;
        released = roleChanged || !needsStore() || needsCurrentState();
        logRoleChange(m_handlers.role());
        if (!released)
            reportRead(m_view.storeReadCause(bootTimeNow()));
        return !released;
    };
    Revision next(m_view.revision().value() + 1);
    Duration timeout = alone ? aloneWatchTimeout : regionWatchTimeout;
    Error ended
        = co_await m_store->watch(m_prefix, std::string(), next, timeout, std::move(handler), std::move(keepWatching));
    if (released)
        co_return;
    recordFailure(ended);
    if (ended.code == Errc::Conflict) {
        // The store has compacted the history after this revision: read all keys again without delay.
        m_historyLostAfter = m_view.revision();
        m_view.unload();
        m_contactLost = false;
    }
}

void StoreFollower::dropKnownChanges(WatchBatch& batch, Revision known)
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

void StoreFollower::applyBatch(WatchBatch batch, ChangeSource source, TimePoint confirmedAt)
{
    recordContact();
    Revision known = m_view.revision();
    dropKnownChanges(batch, known);
    ChangeOrigin from = origin(source, bootTimeNow());
    reportChanges(batch, from);
    if (m_catchUp == CatchUp::CurrentState) {
        m_mayHaveMissedChanges = m_mayHaveMissedChanges || batch.mayBePartial;
        dropSupersededItems(batch);
    }
    // A part of the history says nothing about the present.
    if (batch.mayBePartial || m_mayHaveMissedChanges)
        confirmedAt = m_view.confirmedAt();
    // Changes that a comparison does not show may be as new as the read.
    m_view.advanceFromStore(batch.revision, batch.keysHash ? batch.revision : lastChange(batch), confirmedAt);
    // A copy of another era is not completed by changes.
    bool isRelayed = batch.keysHash ? eraOf(known) == eraOf(batch.revision) : !batch.items.empty();
    if (isRelayed && m_handlers.role() == ViewRole::Observer)
        m_handlers.relayChanges(known, batch, m_values);
    updateKeys(batch.items);
    m_handlers.changes(batch, from, confirmedAt);
}

std::optional<std::string> StoreFollower::resolve(const ViewDelta& delta) const
{
    for (const StoreValues* values : { &m_values, &m_formerValues }) {
        auto former = values->find(delta.key);
        if (former == values->end() || former->second.modRevision != delta.base)
            continue;
        auto value = applyValueDelta(former->second.value, delta.delta, maxValueBytes);
        if (value)
            return std::move(value.value());
        m_log->write(Event::ViewDeltaRejected,
            { { "key", delta.key }, { "revision", numberInEra(delta.revision) }, { "error", value.error().message } });
    }
    return std::nullopt;
}

void StoreFollower::applyRelayed(const ViewDelta& delta, TimePoint now)
{
    ViewChanges changes { delta.view, delta.from, delta.to, {}, delta.keysHash };
    if (delta.revision > m_view.revision()) {
        auto value = resolve(delta);
        if (!value) {
            m_view.announce(delta.revision, now);
            return;
        }
        changes.items.push_back({ delta.key, std::move(*value), delta.revision, Revision() });
    }
    applyRelayed(changes, now);
}

bool StoreFollower::hasKeysAfter(const ViewChanges& changes) const
{
    std::set<std::string> keys = m_keys;
    for (const StoreItem& item : changes.items) {
        if (item.value.empty())
            keys.erase(item.key);
        else
            keys.insert(item.key);
    }
    return hashOfKeys(keys) == *changes.keysHash;
}

void StoreFollower::applyRelayed(const ViewChanges& changes, TimePoint now)
{
    Revision known = m_view.revision();
    WatchBatch batch { changes.to, changes.items };
    ChangeOrigin from = origin(ChangeSource::Observer, now);
    if (changes.keysHash && !hasKeysAfter(changes)) {
        m_view.announce(changes.to, now);
        return;
    }
    std::optional<Revision> last = changes.keysHash ? changes.to : lastChange(batch);
    if (!m_view.advanceFromObserver(changes.from, changes.to, last, now))
        return;
    dropKnownChanges(batch, known);
    reportChanges(batch, from);
    updateKeys(batch.items);
    m_handlers.changes(batch, from, now);
}

void StoreFollower::updateKeys(const std::vector<StoreItem>& items)
{
    for (const StoreItem& item : items) {
        if (item.value.empty())
            m_keys.erase(item.key);
        else
            m_keys.insert(item.key);
        if (m_catchUp == CatchUp::CurrentState)
            updateValues(item);
    }
}

void StoreFollower::updateValues(const StoreItem& item)
{
    if (item.value.empty()) {
        m_values.erase(item.key);
        m_formerValues.erase(item.key);
        return;
    }
    auto [known, inserted] = m_values.try_emplace(item.key, item);
    if (!inserted)
        m_formerValues[item.key] = std::exchange(known->second, item);
}

void StoreFollower::applyProgress(const ViewProgress& reported, TimePoint now)
{
    TimePoint before = m_view.confirmedAt();
    m_view.applyProgress(reported, now);
    if (m_view.confirmedAt() <= before)
        return;
    recordContact();
    m_mayHaveMissedChanges = false;
    m_handlers.changes(WatchBatch { m_view.revision(), {} }, origin(ChangeSource::Observer, now), m_view.confirmedAt());
}

ChangeOrigin StoreFollower::origin(ChangeSource source, TimePoint now) const
{
    std::optional<Duration> unconfirmedFor;
    if (m_view.confirmedAt() != TimePoint())
        unconfirmedFor = now - m_view.confirmedAt();
    return { source, unconfirmedFor };
}

void StoreFollower::reportChanges(const WatchBatch& batch, const ChangeOrigin& origin)
{
    std::size_t superseded = supersededItems(batch);
    if (superseded > 0)
        m_handlers.supersededReceived(superseded);
    Duration unconfirmedFor = origin.unconfirmedFor.value_or(Duration(0));
    if (batch.items.empty() || (superseded == 0 && unconfirmedFor < lateChangeThreshold))
        return;
    std::size_t bytes = 0;
    for (const StoreItem& item : batch.items)
        bytes += item.value.size();
    m_log->write(Event::ViewChangesReceived,
        { { "prefix", m_prefix }, { "source", changeSourceName(origin.source) }, { "items", batch.items.size() },
            { "superseded", superseded }, { "bytes", bytes }, { "revision", numberInEra(batch.revision) },
            { "unconfirmed_ms", unconfirmedFor.count() / 1000 } });
}

void StoreFollower::logRoleChange(ViewRole role)
{
    if (m_role == role)
        return;
    m_role = role;
    m_log->write(Event::ViewRoleChanged,
        { { "prefix", m_prefix }, { "role", viewRoleName(role) }, { "revision", numberInEra(m_view.revision()) } });
}

void StoreFollower::reportRead(ReadCause cause)
{
    m_handlers.readStarted(cause);
    // Logs one line for each gap or stale period, and none for the regular calls of an observer.
    if (std::exchange(m_readCause, cause) == cause || cause == ReadCause::None)
        return;
    m_log->write(Event::ViewRead,
        { { "prefix", m_prefix }, { "cause", readCauseName(cause) }, { "revision", numberInEra(m_view.revision()) },
            { "age_ms", m_view.progress(bootTimeNow()).age.count() / 1000 } });
}

void StoreFollower::recordFailure(const Error& error)
{
    ++m_failedCalls;
    m_mayHaveMissedChanges = m_catchUp == CatchUp::CurrentState;
    if (m_contactLost)
        return;
    m_contactLost = true;
    m_contactLostAt = bootTimeNow();
    m_failedCalls = 1;
    m_retryDelay = retryDelay;
    m_log->write(Event::WatchEnded, { { "prefix", m_prefix }, { "error", error.message } });
}

void StoreFollower::recordContact()
{
    if (!m_contactLost)
        return;
    m_contactLost = false;
    m_log->write(Event::WatchStarted,
        { { "prefix", m_prefix }, { "cause", "store_heard" }, { "failed_calls", m_failedCalls },
            { "lost_ms", (bootTimeNow() - m_contactLostAt).count() / 1000 } });
}

} // namespace wisteriayard
