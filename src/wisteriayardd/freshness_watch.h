#pragma once

#include "event_log.h"
#include "instance_list.h"
#include "settings.h"
#include "store_client.h"
#include "wisteriayard/freshness.h"
#include "wisteriayard/view.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace wisteriayard {

/// Watches the age of an entry's view, asks peers near the store, and says when the entry has to refuse.
/// Belongs to the control thread.
class FreshnessWatch : public std::enable_shared_from_this<FreshnessWatch> {
public:
    /// @param view the entry's view
    /// @param onStale called when the entry begins to refuse
    FreshnessWatch(boost::asio::io_context& io, const EntrySettings& settings, std::shared_ptr<EventLog> log,
        ConfigView& view, std::function<void()> onStale);

    /// Starts once the view has been loaded; later calls do nothing.
    void start();
    /// Takes in the entries on the platform's list.
    void peersListed(const std::vector<ListedEntry>& entries);
    /// Takes in the outcome of a store call of this entry.
    void storeCalled(bool answered, TimePoint now);
    /// Whether new requests have to be refused now.
    bool refuses(TimePoint now) const;
    /// Adds what peers and operators ask for to the state of the entry.
    void addStatus(nlohmann::json& status, TimePoint now) const;

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> probeStore();
    boost::asio::awaitable<void> askPeers();
    boost::asio::awaitable<PeerReport> askPeer(boost::asio::ip::tcp::endpoint peer);
    std::vector<boost::asio::ip::tcp::endpoint> peersToAsk();
    void enter(Serving serving, TimePoint now);

    boost::asio::io_context& m_io;
    InstanceId m_instance;
    RegionId m_storeRegion;
    std::shared_ptr<EventLog> m_log;
    ConfigView& m_view;
    std::function<void()> m_onStale;
    EtcdStoreClient m_probe;
    FreshnessGuard m_guard;
    std::vector<boost::asio::ip::tcp::endpoint> m_peers;
    std::size_t m_nextPeer = 0;
    Serving m_serving = Serving::Serve;
    bool m_started = false;
    bool m_probing = false;
    bool m_asking = false;
    bool m_lastCallFailed = false;
    TimePoint m_calledAt {};
    TimePoint m_storeAnsweredAt {};
};

} // namespace wisteriayard
