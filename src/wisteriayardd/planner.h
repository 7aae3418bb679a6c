#pragma once

#include "event_log.h"
#include "lease_keeper.h"
#include "settings.h"
#include "store_client.h"
#include "wisteriayard/zone_planner.h"

#include <functional>
#include <memory>

namespace wisteriayard {

/// Orders endpoints for the entry's zone from the platform while it holds the zone's planner lease (protocol P1).
/// Not thread-safe: used only on the control thread.
class Planner : public std::enable_shared_from_this<Planner> {
public:
    /// @param loads returns the current load of each target of the zone
    Planner(boost::asio::io_context& io, const EntrySettings& settings, std::shared_ptr<EventLog> log,
        std::function<std::vector<TargetLoad>()> loads);

    void start();
    /// Releases the lease at shutdown.
    boost::asio::awaitable<void> release();
    /// State of the lease as JSON.
    nlohmann::json status() const;

private:
    boost::asio::awaitable<void> planForever();
    boost::asio::awaitable<void> sendOrder(ZoneOrder order);

    boost::asio::io_context& m_io;
    EntrySettings m_settings;
    std::shared_ptr<EventLog> m_log;
    std::function<std::vector<TargetLoad>()> m_loads;
    EtcdStoreClient m_store;
    LeaseKeeper m_keeper;
    ZonePlanner m_planner;
};

} // namespace wisteriayard
