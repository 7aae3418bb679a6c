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

} // namespace

UsageReporter::UsageReporter(boost::asio::io_context& io, Parts parts, std::shared_ptr<EventLog> log)
    : m_io(io)
    , m_times(parts.times)
    , m_reports(parts.reports)
    , m_clock(std::move(parts.clock))
    , m_passOn(std::move(parts.passOn))
    , m_log(std::move(log))
    , m_self(parts.instance.value() + "." + randomHex(incarnationBytes))
    , m_store(std::move(parts.store))
    , m_keeper(io, *m_store, m_log, "usage", m_self.value(), parts.lease)
    , m_closer(io, m_times, *m_store, m_keeper, std::move(parts.sender), m_clock, m_log)
    , m_ledger(m_self)
{
}

void UsageReporter::start(std::function<bool()> isCandidate)
{
    m_keeper.setCandidate(std::move(isCandidate));
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->writeForever(); }, boost::asio::detached);
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
        timer.expires_after(m_times.partInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_await writeParts();
    }
}

awaitable<bool> UsageReporter::writeParts()
{
    bool complete = true;
    for (WindowId window : m_ledger.windows()) {
        auto part = m_ledger.nextPart(window);
        bool refused = false;
        if (part) {
            auto result = co_await m_store->transact(partTransaction(window, m_self, *part));
            if (!result) {
                m_log->write(
                    Event::UsagePartFailed, { { "window", window.value() }, { "error", result.error().message } });
                if (!m_passOn)
                    co_return false;
                // Each open window: the one that ends soon must not wait for the others.
                m_passOn(window, m_self, *part);
                complete = false;
                continue;
            }
            refused = !result.value().succeeded;
            if (!refused)
                m_ledger.partStored(window, part->sequence);
        }
        if (refused || mayBeClosed(window)) {
            bool carried = co_await settle(window);
            complete = complete && !carried && !refused;
        }
    }
    co_return complete;
}

awaitable<void> UsageReporter::writeFor(WindowId window, IncarnationId entry, UsagePart part)
{
    auto result = co_await m_store->transact(partTransaction(window, entry, part));
    if (!result)
        m_log->write(Event::UsagePartFailed,
            { { "window", window.value() }, { "entry", entry.value() }, { "error", result.error().message } });
}

awaitable<bool> UsageReporter::settle(WindowId window)
{
    auto record = co_await readWindowRecord(*m_store, window);
    if (!record)
        co_return false;
    if (!record.value().final && !record.value().closed)
        co_return false;
    if (!record.value().final) {
        // What the deleted record counted is not known: counting the rest again could bill it twice.
        m_log->write(Event::UsageLost, { { "window", window.value() } });
        m_ledger.drop(window);
        Transaction cleanUp;
        cleanUp.onSuccess.emplace_back(DeleteOperation { usagePartKey(window, m_self) });
        [[maybe_unused]] auto deleted = co_await m_store->transact(std::move(cleanUp));
        co_return false;
    }
    WindowId open = std::max(windowNow(), window + WindowId(1));
    std::int64_t late = m_ledger.settle(*record.value().final, open);
    if (late != 0)
        m_log->write(
            Event::UsageLate, { { "window", window.value() }, { "reported_in", open.value() }, { "requests", late } });
    co_return late != 0;
}

awaitable<void> UsageReporter::flush(Duration timeout)
{
    TimePoint deadline = bootTimeNow() + timeout;
    boost::asio::steady_timer timer(m_io);
    while (true) {
        bool complete = co_await writeParts();
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
