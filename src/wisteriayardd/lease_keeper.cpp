#include "lease_keeper.h"

#include "clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriayard {

using boost::asio::awaitable;

namespace {

    /// Renewals per time to live; with several of them one lost renewal does not end the lease.
    constexpr int renewalsPerLease = 4;

    Transaction acquireTransaction(
        const std::string& key, const std::string& epochKey, const std::string& value, LeaseId lease)
    {
        Transaction transaction;
        transaction.compares.emplace_back(CompareModRevision { key, Revision(0) });
        transaction.onSuccess.emplace_back(PutOperation { key, value, lease });
        transaction.onSuccess.emplace_back(PutOperation { epochKey, value, LeaseId() });
        return transaction;
    }

    /// State for the log: all states without a granted lease count as free.
    LeaseState reportedState(LeaseState state)
    {
        bool held = state == LeaseState::Waiting || state == LeaseState::Holding;
        return held ? state : LeaseState::Free;
    }

} // namespace

std::string leaseEpochKey(const std::string& name) { return "epoch/" + name; }

LeaseKeeper::LeaseKeeper(boost::asio::io_context& io, StoreClient& store, std::shared_ptr<EventLog> log,
    std::string name, std::string holderId, LeaseTimes times)
    : m_io(io)
    , m_store(store)
    , m_log(std::move(log))
    , m_name(std::move(name))
    , m_key("lease/" + m_name)
    , m_holderId(std::move(holderId))
    , m_times(times)
    , m_holder(times, bootTimeNow())
{
}

awaitable<void> LeaseKeeper::sleepFor(Duration time)
{
    boost::asio::steady_timer timer(m_io, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

awaitable<void> LeaseKeeper::run()
{
    while (!m_released) {
        m_holder.tick(bootTimeNow());
        bool isFree = m_holder.state() == LeaseState::Free;
        if (isFree && m_mayHaveRemainder)
            co_await deleteRemainder();
        if (isFree && m_isCandidate())
            co_await acquire();
        else if (!isFree)
            co_await renew();
        logStateChange();
        co_await sleepFor(m_times.timeToLive / renewalsPerLease);
    }
}

awaitable<void> LeaseKeeper::acquire()
{
    // The lease time counts from before the first request, so that the holder never assumes more than the store grants.
    if (!m_holder.requestSent(bootTimeNow()))
        co_return;
    std::string value = m_holderId + "/" + std::to_string(++m_attempt);
    auto existing = co_await m_store.read(m_key);
    bool free = !existing && existing.error().code == Errc::NotFound;
    if (!free) {
        (void)m_holder.refused();
        co_return;
    }
    auto lease = co_await m_store.grantLease(m_times.timeToLive);
    if (!lease) {
        (void)m_holder.refused(); // a granted lease without a key has no effect
        co_return;
    }
    m_lease = lease.value();
    auto result = co_await m_store.transact(acquireTransaction(m_key, leaseEpochKey(m_name), value, m_lease));
    if (result && result.value().succeeded) {
        (void)m_holder.acquired(Epoch(result.value().revision.value()), bootTimeNow());
        co_return;
    }
    if (result || result.error().code == Errc::Unavailable) {
        (void)m_holder.refused();
        co_return;
    }
    (void)m_holder.requestUnanswered();
    co_await readBack(value);
}

awaitable<void> LeaseKeeper::deleteRemainder()
{
    auto item = co_await m_store.read(m_key);
    bool isOwn = item && item.value().value.rfind(m_holderId + "/", 0) == 0;
    if (isOwn) {
        Transaction transaction;
        transaction.compares.emplace_back(CompareModRevision { m_key, item.value().modRevision });
        transaction.onSuccess.emplace_back(DeleteOperation { m_key });
        [[maybe_unused]] auto deleted = co_await m_store.transact(std::move(transaction)); // else it expires
    }
    m_mayHaveRemainder = false;
}

awaitable<void> LeaseKeeper::readBack(const std::string& value)
{
    auto item = co_await m_store.read(m_key);
    if (item && item.value().value == value)
        (void)m_holder.acquired(Epoch(item.value().createRevision.value()), bootTimeNow());
    else
        (void)m_holder.refused(); // if the write still takes effect, its lease is not renewed and expires
}

awaitable<void> LeaseKeeper::renew()
{
    TimePoint sent = bootTimeNow();
    auto left = co_await m_store.keepAlive(m_lease);
    if (m_released)
        co_return;
    if (left && left.value() > Duration(0))
        (void)m_holder.renewed(sent);
    else if (left)
        (void)m_holder.lost();
    m_holder.tick(bootTimeNow());
}

void LeaseKeeper::storeRestored(TimePoint now)
{
    m_mayHaveRemainder = m_lease != LeaseId();
    m_holder.storeRestored(now);
    logStateChange();
}

awaitable<void> LeaseKeeper::release()
{
    m_released = true;
    if (!m_holder.lost())
        co_return;
    logStateChange();
    [[maybe_unused]] auto revoked = co_await m_store.revokeLease(m_lease);
}

std::optional<TimePoint> LeaseKeeper::authorityEnds(TimePoint now)
{
    m_holder.tick(now);
    logStateChange();
    return m_holder.authorityEnds(now);
}

void LeaseKeeper::logStateChange()
{
    LeaseState state = reportedState(m_holder.state());
    if (state == m_loggedState)
        return;
    m_loggedState = state;
    m_log->write(Event::LeaseChanged,
        { { "lease", m_key }, { "state", leaseStateName(state) }, { "epoch", m_holder.epoch().value() } });
}

} // namespace wisteriayard
