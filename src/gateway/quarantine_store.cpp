#include "quarantine_store.h"

#include "clock.h"
#include "store_json.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>

namespace wisteriayard {

using boost::asio::awaitable;
using boost::asio::use_awaitable;

namespace {

    const std::string prefix = "quarantine/";
    /// Within the prefix; entries without this rule ignore such keys.
    const std::string probationPrefix = prefix + "probation/";
    /// The longest lease that the platform's store grants. Entries that are running keep the segment longer.
    constexpr Duration timeToLive = std::chrono::minutes(10);
    /// Lifetime of observations. A probation without a trial ends then.
    constexpr Duration probationTimeToLive = std::chrono::minutes(1);
    constexpr Duration writeInterval = std::chrono::milliseconds(200);
    constexpr Duration retryDelay = std::chrono::seconds(1);
    /// Limit on queued changes but quarantines, whose number the suspects limit; a change beyond it is only known to
    /// running entries.
    constexpr std::size_t maxPending = 64;

    std::string keyOf(const std::string& start, SuspectTag tag)
    {
        return start + std::to_string(static_cast<std::uint32_t>(tag));
    }

    std::optional<SuspectTag> suspectOf(const std::string& start, const std::string& key)
    {
        std::uint32_t value = 0;
        const char* end = key.data() + key.size();
        auto parsed = std::from_chars(key.data() + std::min(start.size(), key.size()), end, value);
        if (!key.starts_with(start) || parsed.ec != std::errc() || parsed.ptr != end)
            return std::nullopt;
        return SuspectTag(value);
    }

} // namespace

QuarantineStore::QuarantineStore(
    boost::asio::io_context& io, std::unique_ptr<StoreClient> store, CrashGuard& guard, std::shared_ptr<EventLog> log)
    : m_io(io)
    , m_store(std::move(store))
    , m_guard(guard)
    , m_log(std::move(log))
{
}

void QuarantineStore::changed(const QuarantineChange& change)
{
    bool isQuarantined = change.state == SuspectState::Quarantined;
    if (isQuarantined || m_pending.size() < maxPending || m_pending.count(change.tag) > 0)
        m_pending[change.tag] = change.state;
}

awaitable<void> QuarantineStore::run()
{
    boost::asio::steady_timer timer(m_io);
    while (true) {
        bool loaded = co_await load();
        if (loaded)
            break;
        timer.expires_after(retryDelay);
        co_await timer.async_wait(use_awaitable);
    }
    while (true) {
        timer.expires_after(m_failing ? retryDelay : writeInterval);
        co_await timer.async_wait(use_awaitable);
        if (m_pending.empty())
            continue;
        // A crash of several endpoints puts many segments on probation; their writes must not delay a quarantine.
        auto next = std::find_if(m_pending.begin(), m_pending.end(),
            [](const auto& each) { return each.second == SuspectState::Quarantined; });
        auto [tag, state] = next == m_pending.end() ? *m_pending.begin() : *next;
        bool written = co_await write(tag, state);
        // The state may have changed during the call.
        if (written && m_pending.at(tag) == state)
            m_pending.erase(tag);
    }
}

awaitable<bool> QuarantineStore::load()
{
    auto range = co_await m_store->range(prefix, prefixEnd(prefix), ReadConsistency::Linearizable);
    if (!range) {
        logFailure(range.error());
        co_return false;
    }
    m_failing = false;
    for (const StoreItem& item : range.value().items) {
        if (auto tag = suspectOf(prefix, item.key))
            m_guard.restore(*tag, bootTimeNow());
        else if (auto onProbation = suspectOf(probationPrefix, item.key))
            m_guard.restoreProbation(*onProbation, bootTimeNow());
    }
    co_return true;
}

awaitable<bool> QuarantineStore::write(SuspectTag tag, SuspectState state)
{
    std::string quarantineKey = keyOf(prefix, tag);
    std::string probationKey = keyOf(probationPrefix, tag);
    Transaction transaction;
    if (state != SuspectState::Free) {
        bool isQuarantined = state == SuspectState::Quarantined;
        auto lease = co_await m_store->grantLease(isQuarantined ? timeToLive : probationTimeToLive);
        if (!lease) {
            logFailure(lease.error());
            co_return false;
        }
        transaction.onSuccess.emplace_back(
            PutOperation { isQuarantined ? quarantineKey : probationKey, "1", lease.value() });
    }
    // A probation that was queued before another entry stored the quarantine must not delete it.
    if (state == SuspectState::Free)
        transaction.onSuccess.emplace_back(DeleteOperation { quarantineKey });
    if (state != SuspectState::OnProbation)
        transaction.onSuccess.emplace_back(DeleteOperation { probationKey });
    auto result = co_await m_store->transact(std::move(transaction));
    if (!result) {
        logFailure(result.error());
        co_return false;
    }
    m_failing = false;
    co_return true;
}

void QuarantineStore::logFailure(const Error& error)
{
    if (!std::exchange(m_failing, true))
        m_log->write(Event::QuarantineStoreFailed, { { "error", error.message } });
}

} // namespace wisteriayard
