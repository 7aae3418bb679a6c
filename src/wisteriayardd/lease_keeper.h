#pragma once

#include "event_log.h"
#include "store_client.h"
#include "wisteriayard/lease.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace wisteriayard {

/// Key that keeps the highest epoch of a lease as its modification revision; it is never deleted.
/// @param name name of the lease, for instance `planner/amman-a`
std::string leaseEpochKey(const std::string& name);

/// Takes and renews one lease of the store for as long as the process runs. Belongs to one loop's thread.
class LeaseKeeper {
public:
    /// @param name the key is `lease/<name>`
    /// @param self value that tells this process from all others
    LeaseKeeper(boost::asio::io_context& io, StoreClient& store, std::shared_ptr<EventLog> log, std::string name,
        std::string self, LeaseTimes times);

    /// Only asked for a free lease while the function says so; lets many processes share the polling.
    void setCandidate(std::function<bool()> isCandidate) { m_isCandidate = std::move(isCandidate); }
    /// Runs until the loop ends.
    boost::asio::awaitable<void> run();
    /// Gives the lease up at shutdown, so that a successor need not wait for it to run out.
    boost::asio::awaitable<void> release();

    /// When the authority to act ends; none if there is none.
    std::optional<TimePoint> authorityEnds(TimePoint now);
    /// Fencing token. Only while authorityEnds() has a value.
    Epoch epoch() const { return m_holder.epoch(); }
    const std::string& key() const { return m_key; }
    const LeaseTimes& times() const { return m_times; }
    LeaseState state() const { return m_holder.state(); }

private:
    boost::asio::awaitable<void> acquire();
    boost::asio::awaitable<void> readBack(const std::string& value);
    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<void> sleepFor(Duration time);
    void noteState();

    boost::asio::io_context& m_io;
    StoreClient& m_store;
    std::shared_ptr<EventLog> m_log;
    std::string m_name;
    std::string m_key;
    std::string m_self;
    LeaseTimes m_times;
    std::function<bool()> m_isCandidate = [] { return true; };
    LeaseHolder m_holder;
    LeaseId m_lease {};
    std::uint64_t m_attempt = 0;
    LeaseState m_logged = LeaseState::Free;
    bool m_released = false;
};

} // namespace wisteriayard
