#include "once_partition.h"

#include "clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace wisteriayard {

using boost::asio::awaitable;

namespace {

    constexpr Duration storeRetryDelay = std::chrono::milliseconds(100);
    constexpr Duration releasePollInterval = std::chrono::milliseconds(50);
    /// How long a call waits for a leaving owner to release the partition. After that the entry gets a not_owner
    /// rejection and may retry.
    constexpr Duration releaseTimeout = std::chrono::seconds(1);
    /// Attempts of one claim, as other agents may claim the partition at the same time.
    constexpr int claimAttempts = 5;

    WallTime wallTimeNow() { return WallTime(wallClockMilliseconds()); }

} // namespace

OncePartition::OncePartition(std::shared_ptr<OnceContext> context, std::string key)
    : m_context(std::move(context))
    , m_key(std::move(key))
    , m_claimEnded(m_context->io)
{
}

awaitable<void> OncePartition::sleepFor(Duration time)
{
    boost::asio::steady_timer timer(m_context->io, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

void OncePartition::logEvent(Event event, const std::string& field, const std::string& value)
{
    nlohmann::json fields = { { "key", m_key }, { field, value } };
    if (m_log)
        fields["epoch"] = m_log->owner().epoch.value();
    m_context->log->write(event, std::move(fields));
}

awaitable<OnceClaim> OncePartition::claim(OnceClaimMode mode)
{
    auto self = shared_from_this();
    bool waited = m_claiming;
    while (m_claiming) {
        boost::system::error_code ignored;
        co_await m_claimEnded.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    if (m_log)
        co_return OnceClaim { OnceClaim::Kind::Owned, {} };
    // Calls that waited for a running claim share its failure, so that a store that doesn't respond gets one request
    // instead of one for each call.
    if (waited && m_lastClaim.kind == OnceClaim::Kind::StoreUnavailable)
        co_return m_lastClaim;
    m_claiming = true;
    m_claimEnded.expires_at(boost::asio::steady_timer::time_point::max());
    m_lastClaim = co_await tryClaim(mode);
    m_claiming = false;
    m_claimEnded.cancel();
    co_return m_lastClaim;
}

awaitable<OnceClaim> OncePartition::tryClaim(OnceClaimMode mode)
{
    TimePoint deadline = bootTimeNow() + releaseTimeout;
    for (int attempt = 0; attempt < claimAttempts;) {
        auto item = co_await m_context->store.read(m_key);
        bool absent = !item && item.error().code == Errc::NotFound;
        if (!item && !absent) {
            logEvent(Event::OnceStoreUnavailable, "error", item.error().message);
            co_return OnceClaim {};
        }
        std::string stored = absent ? std::string() : item.value().value;
        m_revision = absent ? Revision(0) : item.value().modRevision;
        auto former = OnceLog::ownerOf(stored);
        if (!former) {
            logEvent(Event::OnceRecordUnusable, "error", former.error().message);
            co_return OnceClaim {};
        }
        // A former owner at the same endpoint has exited, as two agents can't listen on one address.
        bool free = former.value().endpoint.empty() || former.value().endpoint == m_context->endpoint;
        if (!free && mode == OnceClaimMode::AwaitRelease && bootTimeNow() < deadline) {
            co_await sleepFor(releasePollInterval);
            continue;
        }
        if (!free && mode != OnceClaimMode::TakeOver)
            co_return OnceClaim { OnceClaim::Kind::OtherOwner, former.value().endpoint };
        OnceLimits limits;
        limits.retention = m_context->settings.retention;
        Epoch next = former.value().epoch + Epoch(1);
        OnceLog log(OnceOwner { next, m_context->endpoint, m_context->incarnation }, limits);
        if (auto loaded = log.load(stored); !loaded)
            co_return OnceClaim {};
        auto result = co_await m_context->store.transact(transaction(log.claimValue()));
        if (result && result.value().succeeded) {
            m_revision = result.value().revision;
            m_log = std::move(log);
            logEvent(Event::OncePartitionClaimed, "former_owner", former.value().endpoint.value());
            co_return OnceClaim { OnceClaim::Kind::Owned, {} };
        }
        // After an unanswered request or a conflicting write the record is read again.
        if (!result && result.error().code == Errc::Unavailable)
            co_return OnceClaim {};
        ++attempt;
    }
    co_return OnceClaim {};
}

Transaction OncePartition::transaction(std::string value) const
{
    Transaction transaction;
    transaction.compares.push_back(CompareModRevision { m_key, m_revision });
    transaction.onSuccess.push_back(PutOperation { m_key, std::move(value), LeaseId() });
    transaction.onFailure.push_back(ReadOperation { m_key });
    return transaction;
}

awaitable<OnceDecision> OncePartition::submit(OnceCall call)
{
    auto self = shared_from_this();
    if (!m_log)
        co_return OnceRefuse { call.id, OnceRefusalReason::NotOwner };
    auto decision = m_log->submit(call, wallTimeNow());
    if (decision)
        co_return std::move(*decision);
    auto waiter = std::make_shared<Waiter>(Waiter { boost::asio::steady_timer(m_context->io), std::nullopt });
    waiter->wake.expires_at(boost::asio::steady_timer::time_point::max());
    m_waiters[call.id] = waiter;
    startWriting();
    while (!waiter->decision) {
        boost::system::error_code ignored;
        co_await waiter->wake.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    co_return std::move(*waiter->decision);
}

void OncePartition::deliverDecisions(const OnceLog::Decisions& decisions)
{
    for (const OnceDecision& decision : decisions) {
        OnceCallId call = std::visit([](const auto& each) { return each.call; }, decision);
        auto it = m_waiters.find(call);
        if (it == m_waiters.end())
            continue;
        it->second->decision = decision;
        it->second->wake.cancel();
        m_waiters.erase(it);
    }
}

void OncePartition::recordAnswer(OnceCallId call, OnceAnswer answer)
{
    if (!m_log)
        return;
    m_log->recordAnswer(call, std::move(answer));
    startWriting();
}

void OncePartition::markUnresolved(OnceCallId call)
{
    if (m_log)
        m_log->markUnresolved(call);
}

void OncePartition::cancel(OnceCallId call)
{
    if (!m_log)
        return;
    m_log->cancel(call);
    startWriting();
}

void OncePartition::startWriting()
{
    if (m_writing || !m_log || !m_log->needsWrite())
        return;
    m_writing = true;
    boost::asio::co_spawn(
        m_context->io, [self = shared_from_this()] { return self->writeAll(); }, boost::asio::detached);
}

awaitable<void> OncePartition::writeAll()
{
    auto self = shared_from_this();
    while (m_log && m_log->needsWrite()) {
        Duration wait = m_lastWrite + m_context->settings.writeInterval - bootTimeNow();
        if (wait > Duration(0))
            co_await sleepFor(wait);
        auto value = m_log->beginWrite(wallTimeNow());
        if (!value)
            break;
        m_lastWrite = bootTimeNow();
        co_await write(std::move(*value));
    }
    m_writing = false;
}

awaitable<void> OncePartition::write(std::string value)
{
    bool indeterminate = false;
    while (true) {
        auto result = co_await m_context->store.transact(transaction(value));
        if (resolveWrite(result, value, indeterminate))
            co_return;
        if (!result && result.error().code == Errc::Unavailable && !indeterminate) {
            logEvent(Event::OnceStoreUnavailable, "error", result.error().message);
            deliverDecisions(m_log->writeFailed());
            co_await sleepFor(storeRetryDelay);
            co_return;
        }
        if (!indeterminate) {
            // Repeating the write resolves it: the compare lets at most one of the two take effect.
            indeterminate = true;
            logEvent(Event::OnceWriteInDoubt, "error", result.error().message);
            deliverDecisions(m_log->writeIndeterminate());
            continue;
        }
        deliverDecisions(m_log->abandonIndeterminateWrite());
        co_await sleepFor(storeRetryDelay);
    }
}

bool OncePartition::resolveWrite(const Result<TransactionResult>& result, const std::string& value, bool indeterminate)
{
    if (!result)
        return false;
    const auto& items = result.value().items;
    bool committedEarlier = indeterminate && !items.empty() && items.front().value == value;
    if (result.value().succeeded || committedEarlier) {
        m_revision = committedEarlier ? items.front().modRevision : result.value().revision;
        deliverDecisions(m_log->writeCommitted());
        return true;
    }
    std::string stored = items.empty() ? std::string() : items.front().value;
    auto owner = OnceLog::ownerOf(stored);
    logEvent(Event::OncePartitionLost, "owner", owner ? owner.value().endpoint.value() : std::string());
    deliverDecisions(m_log->fenced(stored));
    m_log.reset();
    return true;
}

awaitable<void> OncePartition::release()
{
    auto self = shared_from_this();
    if (!m_log || m_claiming || m_writing || m_log->needsWrite() || m_log->openCalls() > 0)
        co_return;
    m_writing = true;
    auto result = co_await m_context->store.transact(transaction(m_log->releaseValue()));
    m_writing = false;
    if (!result)
        co_return; // the next write finds out whether the release took effect
    logEvent(Event::OncePartitionReleased, "endpoint", m_context->endpoint.value());
    m_log.reset();
}

} // namespace wisteriayard
