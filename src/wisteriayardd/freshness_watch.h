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

/// Monitors the age of an entry's view, polls peers in the region of the store, and decides when the entry has to
/// refuse requests. Control thread only.
class FreshnessWatch : public std::enable_shared_from_this<FreshnessWatch> {
public:
    /// @param view the entry's view
    /// @param onStale called when the entry starts to refuse requests
    FreshnessWatch(boost::asio::io_context& io, const EntrySettings& settings, std::shared_ptr<EventLog> log,
        ConfigView& view, std::function<void()> onStale);

    /// Starts once the view has been loaded; later calls do nothing.
    void start();
    /// Sets the entries to poll from the platform's list.
    void setPeers(const std::vector<ListedEntry>& entries);
    /// Records the outcome of a store call of this entry.
    void recordStoreCall(bool answered, TimePoint now);
    /// Whether new requests have to be refused.
    bool refuses(TimePoint now) const;
    /// Adds to the status what peers and operators read from it: age of the view and last contact with the store.
    void addStatus(nlohmann::json& status, TimePoint now) const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> probeStore();
    boost::asio::awaitable<void> pollPeers();
    boost::asio::awaitable<PeerReport> pollPeer(boost::asio::ip::tcp::endpoint peer);
    std::vector<boost::asio::ip::tcp::endpoint> nextPeers();
    void setServing(Serving serving, TimePoint now);

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
    bool m_polling = false;
    bool m_lastCallFailed = false;
    TimePoint m_lastCallAt {};
    TimePoint m_lastContactAt {};
};

} // namespace wisteriayard
