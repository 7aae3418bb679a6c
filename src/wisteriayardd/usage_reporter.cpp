#include "usage_reporter.h"

#include "clock.h"
#include "hash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriayard {

using boost::asio::awaitable;

namespace {

    constexpr std::size_t incarnationBytes = 8;
    constexpr Duration flushRetry = std::chrono::milliseconds(100);
    /// Records of other entries that arrive within this time share a transaction. Together with the store call it must
    /// be shorter than half of the part interval, after which entries write unconfirmed records themselves.
    constexpr Duration gatherTime = std::chrono::milliseconds(600);

} // namespace

UsageReporter::UsageReporter(boost::asio::io_context& io, Options options, std::shared_ptr<EventLog> log)
    : m_io(io)
    , m_times(options.times)
    , m_closesWindows(options.closesWindows)
    , m_clock(std::move(options.clock))
    , m_forwardUnstored(std::move(options.forwardUnstored))
    , m_submitToWriter(std::move(options.submitToWriter))
    , m_log(std::move(log))
    , m_self(options.instance.value() + "." + randomHex(incarnationBytes))
    , m_store(std::move(options.store))
    , m_keeper(io, *m_store, m_log, "usage", m_self.value(), options.lease)
    , m_closer(io, m_times, *m_store, m_keeper, std::move(options.sender), m_clock, m_log)
    , m_ledger(m_self)
{
    m_closer.setClosedHandler(std::move(options.closed));
}

void UsageReporter::start(std::function<bool()> isCandidate)
{
    m_keeper.setCandidate(std::move(isCandidate));
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->runWriteLoop(); }, boost::asio::detached);
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->runForeignWriteLoop(); }, boost::asio::detached);
    if (!m_closesWindows)
        return;
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->m_keeper.run(); }, boost::asio::detached);
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->m_closer.run(); }, boost::asio::detached);
}

void UsageReporter::count(const AccountId& account, const ClassId& requestClass, const UsageFigures& figures)
{
    boost::asio::post(m_io, [self = shared_from_this(), key = UsageKey { account, requestClass }, figures] {
        self->m_ledger.count(self->windowNow(), key, figures);
    });
}

WindowId UsageReporter::windowNow() const
{
    auto length = std::chrono::duration_cast<std::chrono::milliseconds>(m_times.window).count();
    return WindowId(m_clock() / length);
}

bool UsageReporter::mayBeClosed(WindowId window) const
{
    auto length = std::chrono::duration_cast<std::chrono::milliseconds>(m_times.window).count();
    auto grace = std::chrono::duration_cast<std::chrono::milliseconds>(m_times.grace + m_times.settleDelay).count();
    return m_clock() >= (window.value() + 1) * length + grace;
}

awaitable<void> UsageReporter::runWriteLoop()
{
    boost::asio::steady_timer timer(m_io);
    while (true) {
        // Records that are not confirmed within half of the interval are written by this entry itself.
        timer.expires_after(m_times.partialRecordInterval / 2);
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_await writeUnconfirmedRecords();
        timer.expires_after(m_times.partialRecordInterval / 2);
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_await writePartialRecords(true);
    }
}

awaitable<bool> UsageReporter::writePartialRecord(WindowId window, const PartialUsageRecord& record)
{
    std::map<IncarnationId, PartialUsageRecord> own;
    own.emplace(m_self, record);
    auto result = co_await m_store->transact(partialRecordsTransaction(window, own));
    if (!result) {
        m_log->write(Event::UsagePartFailed, { { "window", window.value() }, { "error", result.error().message } });
        // Called for each open window, because one that is about to be closed must not wait for the others.
        if (m_forwardUnstored)
            m_forwardUnstored(window, m_self, record);
        co_return false;
    }
    if (!result.value().succeeded) {
        // The window is closed; usage that its final record doesn't count is moved to a later window.
        (void)co_await settle(window);
        co_return false;
    }
    m_ledger.partialRecordStored(window, record.sequence);
    co_return true;
}

awaitable<void> UsageReporter::writeUnconfirmedRecords()
{
    for (WindowId window : std::exchange(m_unconfirmed, {})) {
        if (auto record = m_ledger.nextPartialRecord(window))
            (void)co_await writePartialRecord(window, *record);
    }
}

awaitable<bool> UsageReporter::writePartialRecords(bool submitToWriter)
{
    bool complete = true;
    bool storeFailed = false;
    for (WindowId window : m_ledger.windows()) {
        auto record = m_ledger.nextPartialRecord(window);
        if (record && submitToWriter && m_submitToWriter && m_submitToWriter(window, m_self, *record)) {
            m_unconfirmed.insert(window);
            complete = false;
        } else if (record && !submitToWriter && storeFailed && m_forwardUnstored) {
            // A process that stops has no time for further calls without a response.
            m_forwardUnstored(window, m_self, *record);
        } else if (record) {
            bool stored = co_await writePartialRecord(window, *record);
            complete = complete && stored;
            storeFailed = !stored;
            if (!stored && !m_forwardUnstored)
                co_return false;
        }
        if (mayBeClosed(window)) {
            bool settled = co_await settle(window);
            complete = complete && settled;
        }
    }
    co_return complete;
}

void UsageReporter::queueForeignRecord(
    WindowId window, const IncarnationId& entry, PartialUsageRecord record, std::function<void()> written)
{
    ForeignRecord& foreign = m_foreign[window][entry];
    if (record.sequence >= foreign.record.sequence)
        foreign = { std::move(record), std::move(written) };
}

awaitable<void> UsageReporter::runForeignWriteLoop()
{
    boost::asio::steady_timer timer(m_io);
    while (true) {
        timer.expires_after(gatherTime);
        co_await timer.async_wait(boost::asio::use_awaitable);
        while (!m_foreign.empty())
            co_await writeForeignRecords(m_foreign.begin()->first);
    }
}

awaitable<void> UsageReporter::writeForeignRecords(WindowId window)
{
    std::map<IncarnationId, PartialUsageRecord> records;
    std::vector<std::function<void()>> written;
    auto& waiting = m_foreign[window];
    while (!waiting.empty() && records.size() < keysPerTransaction) {
        auto first = waiting.begin();
        records[first->first] = std::move(first->second.record);
        written.push_back(std::move(first->second.written));
        waiting.erase(first);
    }
    if (waiting.empty())
        m_foreign.erase(window);
    auto result = co_await m_store->transact(partialRecordsTransaction(window, records));
    if (!result) {
        // The entries write their records themselves if no confirmation arrives.
        m_log->write(Event::UsagePartFailed,
            { { "window", window.value() }, { "entries", records.size() }, { "error", result.error().message } });
        co_return;
    }
    if (!result.value().succeeded)
        co_return; // the window is closed: the entries read its final usage record
    for (const auto& confirm : written)
        confirm();
}

void UsageReporter::partialRecordStored(WindowId window, const IncarnationId& entry, std::uint64_t sequence)
{
    if (entry != m_self)
        return;
    m_ledger.partialRecordStored(window, sequence);
    m_unconfirmed.erase(window);
}

void UsageReporter::windowClosed(WindowId window, const IncarnationId& entry, std::optional<std::uint64_t> counted)
{
    m_closer.windowClosed(window);
    if (entry != m_self)
        return;
    m_unconfirmed.erase(window);
    (void)applyFinalRecord(window, counted);
}

void UsageReporter::storeRestored(TimePoint now)
{
    m_ledger.partialRecordsLost();
    m_keeper.storeRestored(now);
    m_closer.storeRestored(now);
}

bool UsageReporter::applyFinalRecord(WindowId window, std::optional<std::uint64_t> counted)
{
    WindowId open = std::max(windowNow(), window + WindowId(1));
    std::int64_t late = m_ledger.settle(window, counted, open);
    if (late != 0)
        m_log->write(
            Event::UsageLate, { { "window", window.value() }, { "reported_in", open.value() }, { "requests", late } });
    return late == 0;
}

awaitable<bool> UsageReporter::settle(WindowId window)
{
    auto state = co_await readWindowState(*m_store, window);
    if (!state)
        co_return false;
    if (!state.value().final && !state.value().closed)
        co_return true;
    if (!state.value().final) {
        // What the deleted record counted is unknown, so counting the usage in a later window could bill it twice.
        m_log->write(Event::UsageLost, { { "window", window.value() } });
        m_ledger.drop(window);
        Transaction cleanUp;
        cleanUp.onSuccess.emplace_back(DeleteOperation { partialUsageRecordKey(window, m_self) });
        [[maybe_unused]] auto deleted = co_await m_store->transact(std::move(cleanUp));
        co_return true;
    }
    auto counted = state.value().final->counted.find(m_self);
    bool isCounted = counted != state.value().final->counted.end();
    co_return applyFinalRecord(window, isCounted ? std::optional(counted->second) : std::nullopt);
}

awaitable<void> UsageReporter::flush(Duration timeout)
{
    TimePoint deadline = bootTimeNow() + timeout;
    boost::asio::steady_timer timer(m_io);
    while (true) {
        bool complete = co_await writePartialRecords(false);
        if (complete || bootTimeNow() >= deadline)
            break;
        timer.expires_after(flushRetry);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_await m_keeper.release();
}

nlohmann::json UsageReporter::status() const
{
    return { { "instance", m_self.value() }, { "lease", leaseStateName(m_keeper.state()) },
        { "open_windows", m_ledger.windows().size() } };
}

} // namespace wisteriayard
