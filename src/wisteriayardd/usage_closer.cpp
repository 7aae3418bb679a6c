#include "usage_closer.h"

#include "clock.h"
#include "wisteriayard/store_numbers.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriayard {

using boost::asio::awaitable;

namespace {

    /// Limit of final usage records kept in memory. A store comes back from a copy that is some seconds old, and
    /// windows have several seconds each.
    constexpr std::size_t maxKeptRecords = 8;

} // namespace

UsageCloser::UsageCloser(boost::asio::io_context& io, UsageTimes times, StoreClient& store, LeaseKeeper& keeper,
    UsageReportSender sender, WallClock clock, std::shared_ptr<EventLog> log)
    : m_io(io)
    , m_times(times)
    , m_store(store)
    , m_keeper(keeper)
    , m_sender(std::move(sender))
    , m_clock(std::move(clock))
    , m_log(std::move(log))
    , m_dueAtStart(lastDue())
    , m_settledAt(bootTimeNow() + m_times.restorationSettling)
{
}

void UsageCloser::storeRestored(TimePoint now)
{
    m_recordsToRestore = m_records;
    m_settledAt = now + m_times.restorationSettling;
}

awaitable<void> UsageCloser::run()
{
    boost::asio::steady_timer timer(m_io);
    while (true) {
        co_await restoreRecords();
        bool more = false;
        if (!m_keeper.authorityEnds(bootTimeNow())) {
            m_nextOpen.reset();
        } else if (!isWaiting()) {
            m_nextOpen.reset();
            auto result = co_await step();
            if (result)
                more = result.value();
            else
                m_log->write(Event::UsageStepFailed, { { "error", result.error().message } });
        }
        if (more)
            continue;
        timer.expires_after(m_times.stepInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

WindowId UsageCloser::lastDue() const
{
    auto length = std::chrono::duration_cast<std::chrono::milliseconds>(m_times.window).count();
    auto grace = std::chrono::duration_cast<std::chrono::milliseconds>(m_times.grace).count();
    return WindowId((m_clock() - grace) / length - 1);
}

bool UsageCloser::isDue(WindowId window) const { return window <= lastDue(); }

void UsageCloser::keepRecord(WindowId window, const std::string& record)
{
    m_records[window] = record;
    if (m_records.size() > maxKeptRecords)
        m_records.erase(m_records.begin());
}

awaitable<void> UsageCloser::restoreRecords()
{
    while (!m_recordsToRestore.empty()) {
        auto [window, record] = *m_recordsToRestore.begin();
        Transaction transaction;
        transaction.compares.emplace_back(CompareModRevision { finalUsageRecordKey(window), Revision(0) });
        transaction.onSuccess.emplace_back(PutOperation { finalUsageRecordKey(window), record, LeaseId() });
        auto result = co_await m_store.transact(std::move(transaction));
        if (!result) {
            m_log->write(Event::UsageStepFailed, { { "error", result.error().message } });
            co_return;
        }
        m_recordsToRestore.erase(window);
        if (result.value().succeeded)
            m_log->write(Event::UsageRecordRestored, { { "window", window.value() } });
    }
}

awaitable<Result<bool>> UsageCloser::checkMarks(StoreEra era)
{
    auto checked = co_await readEraMark(m_store, usageEraKey);
    if (!checked)
        co_return checked.error();
    if (checked.value().era == era)
        co_return true;
    // Without an earlier era there was no restoration.
    bool wasRestored = checked.value().era.has_value();
    if (wasRestored && bootTimeNow() < m_settledAt)
        co_return false;
    auto closed = co_await readWindowMark(m_store, usageClosedKey);
    if (!closed)
        co_return closed.error();
    std::optional<WindowId> last = m_lastClosed;
    // If all entries that knew the last closed window are gone, each one that was due may have been reported.
    if (wasRestored && !last)
        last = m_dueAtStart;
    bool isBehind = last && (!closed.value().window || *closed.value().window < *last);
    Transaction transaction;
    transaction.compares.emplace_back(CompareCreateRevision { m_keeper.key(), Revision(m_keeper.epoch().value()) });
    transaction.compares.emplace_back(CompareModRevision { std::string(usageEraKey), checked.value().revision });
    transaction.compares.emplace_back(CompareModRevision { std::string(usageClosedKey), closed.value().revision });
    transaction.onSuccess.emplace_back(
        PutOperation { std::string(usageEraKey), std::to_string(era.value()), LeaseId() });
    if (isBehind)
        transaction.onSuccess.emplace_back(
            PutOperation { std::string(usageClosedKey), std::to_string(last->value()), LeaseId() });
    if (isBehind && !closed.value().window)
        transaction.onSuccess.emplace_back(
            PutOperation { std::string(usageSentKey), std::to_string(last->value() - 1), LeaseId() });
    auto result = co_await m_store.transact(std::move(transaction));
    if (!result)
        co_return result.error();
    if (!result.value().succeeded)
        co_return fail(Errc::Conflict, "the usage marks were changed by another lease holder");
    auto windowField = [](const std::optional<WindowId>& window) {
        return window ? nlohmann::json(window->value()) : nlohmann::json();
    };
    m_log->write(Event::UsageMarksChecked,
        { { "era", era.value() }, { "closed_in_store", windowField(closed.value().window) },
            { "closed", windowField(isBehind ? last : closed.value().window) } });
    if (last)
        windowClosed(*last);
    co_return true;
}

awaitable<Result<bool>> UsageCloser::step()
{
    StoreEra era = eraOf(m_keeper.epoch());
    if (era != m_checkedEra) {
        auto checked = co_await checkMarks(era);
        if (!checked)
            co_return checked.error();
        if (!checked.value())
            co_return false;
        m_checkedEra = era;
    }
    auto closed = co_await readWindowMark(m_store, usageClosedKey);
    if (!closed)
        co_return closed.error();
    if (!closed.value().window) {
        auto oldest = co_await oldestPartialRecordWindow(m_store);
        if (!oldest)
            co_return oldest.error();
        if (!oldest.value() || !isDue(*oldest.value()))
            co_return false;
        co_return co_await closeWindow(closed.value(), *oldest.value());
    }
    auto sent = co_await readWindowMark(m_store, usageSentKey);
    if (!sent)
        co_return sent.error();
    if (sent.value().window && *sent.value().window < *closed.value().window)
        co_return co_await reportWindow(sent.value(), *sent.value().window + WindowId(1));
    WindowId next = *closed.value().window + WindowId(1);
    if (!isDue(next)) {
        m_nextOpen = next;
        co_return false;
    }
    co_return co_await closeWindow(closed.value(), next);
}

awaitable<Result<bool>> UsageCloser::closeWindow(const WindowMark& closed, WindowId next)
{
    auto records = co_await readPartialUsageRecords(m_store, next);
    if (!records)
        co_return records.error();
    if (!m_keeper.authorityEnds(bootTimeNow()))
        co_return false;
    FinalUsageRecord final = makeFinalUsageRecord(next, records.value());
    auto result = co_await m_store.transact(finalTransaction(closed, final));
    if (!result)
        co_return result.error(); // indeterminate write: the next step reads the state
    if (!result.value().succeeded)
        co_return fail(
            Errc::Conflict, "window " + std::to_string(next.value()) + " was closed by another lease holder");
    m_log->write(Event::UsageWindowClosed,
        { { "window", next.value() }, { "parts", records.value().size() }, { "requests", requestCount(final.content) },
            { "epoch", m_keeper.epoch().value() } });
    windowClosed(next);
    keepRecord(next, finalUsageRecordJson(final));
    if (m_closedHandler)
        m_closedHandler(final);
    co_return true;
}

Transaction UsageCloser::finalTransaction(const WindowMark& closed, const FinalUsageRecord& final) const
{
    Transaction transaction;
    Revision epoch(m_keeper.epoch().value());
    transaction.compares.emplace_back(CompareCreateRevision { m_keeper.key(), epoch });
    transaction.compares.emplace_back(CompareModRevision { finalUsageRecordKey(final.window), Revision(0) });
    transaction.compares.emplace_back(CompareModRevision { std::string(usageClosedKey), closed.revision });
    std::string window = std::to_string(final.window.value());
    transaction.onSuccess.emplace_back(
        PutOperation { finalUsageRecordKey(final.window), finalUsageRecordJson(final), LeaseId() });
    transaction.onSuccess.emplace_back(PutOperation { std::string(usageClosedKey), window, LeaseId() });
    if (!closed.window) {
        std::string before = std::to_string(final.window.value() - 1);
        transaction.onSuccess.emplace_back(PutOperation { std::string(usageSentKey), before, LeaseId() });
    }
    return transaction;
}

awaitable<Result<bool>> UsageCloser::reportWindow(const WindowMark& sent, WindowId next)
{
    auto item = co_await m_store.read(finalUsageRecordKey(next));
    bool isUnknown = !item && item.error().code == Errc::NotFound;
    if (!item && !isUnknown)
        co_return item.error();
    if (isUnknown) {
        // Closed before the store was restored, so another record may have been reported.
        m_log->write(Event::UsageReportSkipped, { { "window", next.value() } });
    } else {
        windowClosed(next);
        keepRecord(next, item.value().value);
        auto posted = co_await m_sender(m_keeper, next, item.value().value);
        if (!posted)
            co_return posted.error(); // the next step sends it again, unchanged
    }
    auto marked = co_await m_store.transact(sentTransaction(sent, next));
    if (!marked)
        co_return marked.error();
    if (!marked.value().succeeded)
        co_return false;
    if (!isUnknown)
        m_log->write(Event::UsageReportSent, { { "window", next.value() }, { "epoch", m_keeper.epoch().value() } });
    auto deleted = co_await deletePartialRecords(next);
    if (!deleted)
        co_return deleted.error();
    co_return true;
}

Transaction UsageCloser::sentTransaction(const WindowMark& sent, WindowId window) const
{
    Transaction transaction;
    Revision epoch(m_keeper.epoch().value());
    transaction.compares.emplace_back(CompareCreateRevision { m_keeper.key(), epoch });
    transaction.compares.emplace_back(CompareModRevision { std::string(usageSentKey), sent.revision });
    std::string text = std::to_string(window.value());
    transaction.onSuccess.emplace_back(PutOperation { std::string(usageSentKey), text, LeaseId() });
    WindowId old(window.value() - m_times.retainedWindows);
    transaction.onSuccess.emplace_back(DeleteOperation { finalUsageRecordKey(old) });
    return transaction;
}

awaitable<Status> UsageCloser::deletePartialRecords(WindowId last)
{
    // The range starts at the oldest record to include those that an interrupted lease holder left behind.
    auto range
        = co_await m_store.range(std::string(partialUsageRecordsPrefix), partialUsageWindowPrefix(last + WindowId(1)));
    if (!range)
        co_return range.error();
    CompareCreateRevision held { m_keeper.key(), Revision(m_keeper.epoch().value()) };
    for (Transaction& transaction : deleteTransactions(range.value().items, held)) {
        auto result = co_await m_store.transact(std::move(transaction));
        if (!result)
            co_return result.error();
    }
    co_return boost::outcome_v2::success();
}

} // namespace wisteriayard
