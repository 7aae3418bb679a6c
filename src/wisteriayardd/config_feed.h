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

/// Keeps an entry's contracts and keys up to date: a relay watches the store, other entries receive updates from
/// relays. Not thread-safe: used only on the control thread.
class ConfigFeed : public std::enable_shared_from_this<ConfigFeed> {
public:
    struct Handlers {
        /// A key of the store changed.
        std::function<void(const ConfigItem&)> changed;
        /// The items are complete up to a revision; at the given time the store had no later one.
        std::function<void(Revision, TimePoint)> confirmed;
        /// A call to the store ended; true if the store responded.
        std::function<void(bool)> storeCalled;
    };

    ConfigFeed(boost::asio::io_context& io, const CommonSettings& settings, std::shared_ptr<EventLog> log,
        PeerLinks& peers, Handlers handlers);

    void start();
    /// Sets the live entries of the zone.
    void membersChanged(std::vector<InstanceId> members);
    /// Handles a message of another entry; ignores all but view digests and view updates.
    void received(const InstanceId& from, const wire::Envelope& envelope);

    const Fanout& fanout() const { return m_fanout; }

private:
    boost::asio::awaitable<void> watchForever();
    boost::asio::awaitable<void> watchOnce();
    boost::asio::awaitable<void> probeForever();
    boost::asio::awaitable<void> tickForever();
    boost::asio::awaitable<void> sleepFor(Duration time);
    void dispatch(const FanoutResult& result);
    void send(const FanoutSend& send);

    boost::asio::io_context& m_io;
    CommonSettings m_settings;
    std::shared_ptr<EventLog> m_log;
    PeerLinks& m_peers;
    Handlers m_handlers;
    EtcdStoreClient m_store;
    Fanout m_fanout;
    std::map<InstanceId, UpdateAssembler> m_assemblers;
    bool m_membersKnown = false;
};

} // namespace wisteriayard
