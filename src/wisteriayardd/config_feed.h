#pragma once

#include "event_log.h"
#include "peer_links.h"
#include "settings.h"
#include "store_client.h"
#include "view_messages.h"
#include "wisteriayard/fanout.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace wisteriayard {

/// Keeps an entry's contracts and keys up to date: from the store's watch if it is a relay, else from relays.
/// Belongs to the control thread.
class ConfigFeed : public std::enable_shared_from_this<ConfigFeed> {
public:
    struct Handlers {
        /// A key of the store changed.
        std::function<void(const ConfigItem&)> changed;
        /// The items are complete up to a revision, as the store stood at a time.
        std::function<void(Revision, TimePoint)> confirmed;
        /// A call of the store ended; true if the store answered.
        std::function<void(bool)> storeCalled;
    };

    ConfigFeed(boost::asio::io_context& io, const CommonSettings& settings, std::shared_ptr<EventLog> log,
        PeerLinks& peers, Handlers handlers);

    void start();
    /// The live entries of the zone changed.
    void membersChanged(std::vector<InstanceId> members);
    /// A message of another entry; others than digests and updates are left alone.
    void received(const InstanceId& from, const wire::Envelope& envelope);

    const Fanout& fanout() const { return m_fanout; }

private:
    boost::asio::awaitable<void> watchForever();
    boost::asio::awaitable<void> watchOnce();
    boost::asio::awaitable<void> probeForever();
    boost::asio::awaitable<void> tickForever();
    boost::asio::awaitable<void> sleepFor(Duration time);
    void carryOut(const FanoutResult& result);
    void send(const FanoutSend& send);

    boost::asio::io_context& m_io;
    CommonSettings m_settings;
    std::shared_ptr<EventLog> m_log;
    PeerLinks& m_peers;
    Handlers m_handlers;
    EtcdStoreClient m_store;
    Fanout m_fanout;
    std::map<InstanceId, UpdateAssembler> m_assemblers;
    bool m_placed = false;
};

} // namespace wisteriayard
