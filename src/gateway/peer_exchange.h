#pragma once

#include "gateway_state.h"
#include "peer_messages.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <memory>

namespace wisteriayard {

/// Registers the entry in the store, learns of the others there, and tells them its load on endpoints by datagrams.
/// A lost datagram or a missing entry only makes the view of the load coarser. Observers also pass on changes of the
/// store; a lost datagram of these shows in the next mark, and the receiver reads the store.
class PeerExchange {
public:
    /// Copies of the store that this entry keeps.
    struct Views {
        std::function<std::map<StoreView, ViewProgress>(TimePoint now)> marks;
        std::function<void(StoreView, const ViewProgress&, TimePoint now)> takeMark;
        std::function<void(const ViewChanges&, TimePoint now)> takeChanges;
    };

    PeerExchange(GatewayState& state, std::unique_ptr<StoreClient> store);
    void setViews(Views views) { m_views = std::move(views); }

    /// Opens the socket. @return Unavailable if the port is taken
    Status open();
    /// Keeps the registration alive until the loop ends.
    boost::asio::awaitable<void> keepRegistered();
    /// Sends loads until the loop ends.
    boost::asio::awaitable<void> sendLoads();
    boost::asio::awaitable<void> receiveLoads();
    /// Removes the registration at shutdown.
    boost::asio::awaitable<void> leave();

    /// Reads the registrations until the loop ends.
    boost::asio::awaitable<void> followRegistrations();
    /// Asks another entry to write a part of this entry's usage.
    void passOnUsage(WindowId window, const IncarnationId& entry, const PartialUsageRecord& part);
    /// Gives a part of this entry's usage to an observer, which writes those of many entries together.
    /// @return whether there is one
    bool offerUsage(WindowId window, const IncarnationId& entry, const PartialUsageRecord& part);
    /// Tells the entries what of their usage the record of a window counts.
    void announceClosed(const FinalUsageRecord& final);
    /// Whether this entry is one of the few that ask for a free lease.
    bool isLeaseCandidate() const;
    /// How this entry follows the store, as of the last datagrams sent.
    ViewRole role() const { return m_role; }
    /// Tells the entries of the region of changes of the store.
    void passOnChanges(StoreView view, Revision from, const WatchBatch& batch);
    /// Tells the other entries that this one is stopping.
    void announceLeaving();
    static std::string registrationPrefix() { return "member/"; }

private:
    struct Peer {
        boost::asio::ip::udp::endpoint address;
        RegionId region;
        TimePoint heardAt {};
        /// It heard the store when it last told.
        bool inContact = false;
        bool isObserver = false;
        bool leaving = false;
        /// What it last told of its own requests.
        PeerLoads told;
    };

    boost::asio::awaitable<void> registerSelf();
    std::string registration() const;
    bool isLive(const Peer& peer, TimePoint now) const;
    void updateRole(TimePoint now);
    void notePause(TimePoint now);
    void sendToAll(TimePoint now);
    void send(const std::string& datagram, const Peer& peer);
    void replace(const StoreRange& range);
    void takeIn(const StoreItem& item);
    void countEntries();
    /// Handles a message that was decoded.
    struct Receive;
    void receive(std::string_view datagram, const boost::asio::ip::udp::endpoint& sender, TimePoint now);
    void receiveUsage(const PeerUsage& message, const Peer& from);
    void receiveChanges(const ViewChanges& changes, TimePoint now);
    void receiveLoads(const InstanceId& peer, const PeerLoads& loads, TimePoint now);
    /// What all entries are told of this one.
    PeerLoads state(TimePoint now) const;
    PeerLoads ownLoads(TimePoint now);
    /// Sum over the entries of this region, for those of other regions.
    PeerLoads regionLoads(const PeerLoads& own, TimePoint now) const;
    bool isNear(const Peer& peer) const { return peer.region == m_state.settings.region; }
    /// Time for which this entry has heard the store without an outage; 0 during one.
    Duration contactTime(TimePoint now) const;

    GatewayState& m_state;
    std::unique_ptr<StoreClient> m_store;
    boost::asio::ip::udp::socket m_socket;
    Views m_views;
    std::map<InstanceId, Peer> m_peers;
    ViewRole m_role = ViewRole::Alone;
    LeaseId m_lease {};
    bool m_leaving = false;
    TimePoint m_sentAt {};
    /// When this entry last told those of other regions that it lives.
    TimePoint m_sentFarAt {};
    /// Last round of the loop that sends; a long gap means that this process did not run.
    TimePoint m_roundAt {};
    /// Marks that arrived before may have waited in the socket while this process did not run.
    TimePoint m_trustMarksFrom {};
    /// A datagram came from an entry that is not known here.
    bool m_strangerHeard = false;
    /// Peers in turn are asked to write usage.
    std::size_t m_nextHelper = 0;
};

} // namespace wisteriayard
