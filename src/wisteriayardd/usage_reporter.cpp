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
    /// Parts of other entries that come within this time share a transaction. With the call it ends within the half
    /// part interval after which entries write their parts themselves.
    constexpr Duration gatherTime = std::chrono::milliseconds(600);

} // namespace

UsageReporter::UsageReporter(boost::asio::io_context& io, Parts parts, std::shared_ptr<EventLog> log)
    : m_io(io)
    , m_times(parts.times)
    , m_reports(parts.reports)
    , m_clock(std::move(parts.clock))
    , m_passOn(std::move(parts.passOn))
    , m_viaWriter(std::move(parts.viaWriter))
    , m_log(std::move(log))
    , m_self(parts.instance.value() + "." + randomHex(incarnationBytes))
    , m_store(std::move(parts.store))
    , m_keeper(io, *m_store, m_log, "usage", m_self.value(), parts.lease)
    , m_closer(io, m_times, *m_store, m_keeper, std::move(parts.sender), m_clock, m_log)
    , m_ledger(m_self)
{
    m_closer.setClosed(std::move(parts.closed));
}

void UsageReporter::start(std::function<bool()> isCandidate)
{
    m_keeper.setCandidate(std::move(isCandidate));
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->writeForever(); }, boost::asio::detached);
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->writeForOthers(); }, boost::asio::detached);
    if (!m_reports)
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

awaitable<void> UsageReporter::writeForever()
{
    boost::asio::steady_timer timer(m_io);
    while (true) {
        // A writer that does not confirm within half of the interval is not waited for any longer.
        timer.expires_after(m_times.partInterval / 2);
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_await writeUnconfirmed();
        timer.expires_after(m_times.partInterval / 2);
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_await writeParts(true);
    }
}

awaitable<bool> UsageReporter::writePart(WindowId window, const PartialUsageRecord& part)
{
    std::map<IncarnationId, PartialUsageRecord> own;
    own.emplace(m_self, part);
    auto result = co_await m_store->transact(partsTransaction(window, own));
    if (!result) {
        m_log->write(Event::UsagePartFailed, { { "window", window.value() }, { "error", result.error().message } });
        // Each open window: the one that ends soon must not wait for the others.
        if (m_passOn)
            m_passOn(window, m_self, part);
        co_return false;
    }
    if (!result.value().succeeded) {
        // The window is closed; what its record does not count is written with a later one.
        (void)co_await settle(window);
        co_return false;
    }
    m_ledger.partialRecordStored(window, part.sequence);
    co_return true;
}

awaitable<void> UsageReporter::writeUnconfirmed()
{
    for (WindowId window : std::exchange(m_unconfirmed, {})) {
        if (auto part = m_ledger.nextPartialRecord(window))
            (void)co_await writePart(window, *part);
    }
}

awaitable<bool> UsageReporter::writeParts(bool viaWriter)
{
    bool complete = true;
    for (WindowId window : m_ledger.windows()) {
        auto part = m_ledger.nextPartialRecord(window);
        if (part && viaWriter && m_viaWriter && m_viaWriter(window, m_self, *part)) {
            m_unconfirmed.insert(window);
            complete = false;
        } else if (part) {
            bool stored = co_await writePart(window, *part);
            complete = complete && stored;
            if (!stored && !m_passOn)
                co_return false;
        }
        if (mayBeClosed(window)) {
            bool settled = co_await settle(window);
            complete = complete && settled;
        }
    }
    co_return complete;
}

void UsageReporter::writeFor(
    WindowId window, const IncarnationId& entry, PartialUsageRecord part, std::function<void()> written)
{
    ForeignPart& foreign = m_foreign[window][entry];
    if (part.sequence >= foreign.part.sequence)
        foreign = { std::move(part), std::move(written) };
}

awaitable<void> UsageReporter::writeForOthers()
{
    boost::asio::steady_timer timer(m_io);
    while (true) {
        timer.expires_after(gatherTime);
        co_await timer.async_wait(boost::asio::use_awaitable);
        while (!m_foreign.empty())
            co_await writeForOthers(m_foreign.begin()->first);
    }
}

awaitable<void> UsageReporter::writeForOthers(WindowId window)
{
    std::map<IncarnationId, PartialUsageRecord> parts;
    std::vector<std::function<void()>> written;
    auto& waiting = m_foreign[window];
    while (!waiting.empty() && parts.size() < keysPerTransaction) {
        auto first = waiting.begin();
        parts[first->first] = std::move(first->second.part);
        written.push_back(std::move(first->second.written));
        waiting.erase(first);
    }
    if (waiting.empty())
        m_foreign.erase(window);
    auto result = co_await m_store->transact(partsTransaction(window, parts));
    if (!result) {
        // The entries write them themselves when no confirmation comes.
        m_log->write(Event::UsagePartFailed,
            { { "window", window.value() }, { "entries", parts.size() }, { "error", result.error().message } });
        co_return;
    }
    if (!result.value().succeeded)
        co_return; // closed: the entries learn it from the record
    for (const auto& confirm : written)
        confirm();
}

void UsageReporter::partWritten(WindowId window, const IncarnationId& entry, std::uint64_t sequence)
{
    if (entry != m_self)
        return;
    m_ledger.partialRecordStored(window, sequence);
    m_unconfirmed.erase(window);
}

void UsageReporter::windowClosed(WindowId window, const IncarnationId& entry, std::optional<std::uint64_t> counted)
{
    if (entry != m_self)
        return;
    m_unconfirmed.erase(window);
    (void)settleBy(window, counted);
}

bool UsageReporter::settleBy(WindowId window, std::optional<std::uint64_t> counted)
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
    auto record = co_await readWindowRecord(*m_store, window);
    if (!record)
        co_return false;
    if (!record.value().final && !record.value().closed)
        co_return true;
    if (!record.value().final) {
        // What the deleted record counted is not known: counting the rest again could bill it twice.
        m_log->write(Event::UsageLost, { { "window", window.value() } });
        m_ledger.drop(window);
        Transaction cleanUp;
        cleanUp.onSuccess.emplace_back(DeleteOperation { usagePartKey(window, m_self) });
        [[maybe_unused]] auto deleted = co_await m_store->transact(std::move(cleanUp));
        co_return true;
    }
    auto counted = record.value().final->counted.find(m_self);
    bool isCounted = counted != record.value().final->counted.end();
    co_return settleBy(window, isCounted ? std::optional(counted->second) : std::nullopt);
}

awaitable<void> UsageReporter::flush(Duration timeout)
{
    TimePoint deadline = bootTimeNow() + timeout;
    boost::asio::steady_timer timer(m_io);
    while (true) {
        bool complete = co_await writeParts(false);
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
