#pragma once

#include "event_log.h"
#include "lease_keeper.h"
#include "settings.h"
#include "store_client.h"
#include "wisteriayard/zone_planner.h"

#include <functional>
#include <memory>

namespace wisteriayard {

/// Planner of the entry's zone: orders endpoints from the platform while it holds the zone's lease (protocol P1).
/// Runs on the control thread.
class Planner : public std::enable_shared_from_this<Planner> {
public:
    /// @param loads gives the present load of the zone's targets
    Planner(boost::asio::io_context& io, const EntrySettings& settings, std::shared_ptr<EventLog> log,
        std::function<std::vector<TargetLoad>()> loads);

    void start();
    /// Gives the lease up, for shutdown.
    boost::asio::awaitable<void> release();
    /// State as JSON. Control thread only.
    nlohmann::json status() const;

private:
    boost::asio::awaitable<void> planForever();
    boost::asio::awaitable<void> send(ZoneOrder order);

    boost::asio::io_context& m_io;
    EntrySettings m_settings;
    std::shared_ptr<EventLog> m_log;
    std::function<std::vector<TargetLoad>()> m_loads;
    EtcdStoreClient m_store;
    LeaseKeeper m_keeper;
    ZonePlanner m_planner;
};

} // namespace wisteriayard
