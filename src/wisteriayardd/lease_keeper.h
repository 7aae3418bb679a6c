#pragma once

#include "event_log.h"
#include "store_client.h"
#include "wisteriayard/lease.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace wisteriayard {

/// Store key whose modification revision is the latest epoch of a lease; it is never deleted.
/// @param name name of the lease, for instance `planner/amman-a`
std::string leaseEpochKey(const std::string& name);

/// Acquires and renews one lease of the store while the process runs. Not thread-safe: used only on the thread of its
/// event loop.
class LeaseKeeper {
public:
    /// @param name name of the lease; its store key is `lease/<name>`
    /// @param holderId identifies this start of the process among all holders
    LeaseKeeper(boost::asio::io_context& io, StoreClient& store, std::shared_ptr<EventLog> log, std::string name,
        std::string holderId, LeaseTimes times);

    /// Sets a predicate; the lease is acquired only while it returns true. Limits how many processes poll the store for
    /// a lease.
    void setCandidate(std::function<bool()> isCandidate) { m_isCandidate = std::move(isCandidate); }
    /// Acquires and renews the lease until release().
    boost::asio::awaitable<void> run();
    /// The store came back from an older copy.
    void storeRestored(TimePoint now);
    /// Releases the lease at shutdown, so that a successor need not wait until it expires.
    boost::asio::awaitable<void> release();

    /// Time until which the holder may act, or none if the lease is not held.
    std::optional<TimePoint> authorityEnds(TimePoint now);
    /// Fencing token; valid only while authorityEnds() has a value.
    Epoch epoch() const { return m_holder.epoch(); }
    const std::string& key() const { return m_key; }
    const LeaseTimes& times() const { return m_times; }
    LeaseState state() const { return m_holder.state(); }

private:
    boost::asio::awaitable<void> acquire();
    /// Deletes the key if it is that of a lease which this process held before the store was restored and does not
    /// renew any more.
    boost::asio::awaitable<void> deleteRemainder();
    boost::asio::awaitable<void> readBack(const std::string& value);
    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<void> sleepFor(Duration time);
    void logStateChange();

    boost::asio::io_context& m_io;
    StoreClient& m_store;
    std::shared_ptr<EventLog> m_log;
    std::string m_name;
    std::string m_key;
    std::string m_holderId;
    LeaseTimes m_times;
    std::function<bool()> m_isCandidate = [] { return true; };
    LeaseHolder m_holder;
    LeaseId m_lease {};
    std::uint64_t m_attempt = 0;
    LeaseState m_loggedState = LeaseState::Free;
    bool m_released = false;
    /// This process held the lease before the store was restored, so the key may be in the copy.
    bool m_mayHaveRemainder = false;
};

} // namespace wisteriayard
