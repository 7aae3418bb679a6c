#pragma once

#include "gateway_state.h"
#include "peer_messages.h"
#include "wisteriayard/share_activation.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace wisteriayard {

/// Registers this entry in the store, reads the registrations of the others, and reports this entry's load on endpoints
/// to them in datagrams. A lost datagram or a missing registration only makes the load estimates less accurate.
/// Observers also relay changes of the store. If such a datagram is lost, the next progress report shows the gap and
/// the receiver reads the store.
class PeerExchange {
public:
    /// Access to this entry's copies of parts of the store.
    struct Views {
        std::function<std::map<StoreView, ViewProgress>(TimePoint now)> progress;
        std::function<void(StoreView, const ViewProgress&, TimePoint now)> applyProgress;
        std::function<void(const RelayedChange&, TimePoint now)> applyChange;
    };

    PeerExchange(GatewayState& state, std::unique_ptr<StoreClient> store);
    void setViews(Views views) { m_views = std::move(views); }

    /// Opens the socket.
    /// @return Unavailable if the port cannot be bound
    Status open();
    /// Registers this entry and renews the registration until this entry shuts down.
    boost::asio::awaitable<void> keepRegistered();
    /// Sends load reports to the peers until the event loop ends.
    boost::asio::awaitable<void> sendLoads();
    /// Receives and handles datagrams until the socket is closed.
    boost::asio::awaitable<void> receiveDatagrams();
    /// The store came back from an older copy. Registers again at once, and keeps peers that are still heard although
    /// their registrations are missing, until they have done the same.
    void storeRestored(TimePoint now);
    /// Removes the registration at shutdown.
    boost::asio::awaitable<void> unregister();

    /// Reads the registrations of other entries regularly until the event loop ends.
    boost::asio::awaitable<void> followRegistrations();
    /// Requests that another entry write a partial usage record of this entry.
    void requestUsageWrite(WindowId window, const IncarnationId& entry, const PartialUsageRecord& record);
    /// Sends a partial usage record of this entry to an observer, which writes the records of many entries together.
    /// @return false if this entry is not a follower, no observer is available, or the record doesn't fit into a
    /// datagram
    bool sendUsageToObserver(WindowId window, const IncarnationId& entry, const PartialUsageRecord& record);
    /// Tells all entries that a usage window is closed, and each one the number of its partial usage record that the
    /// final usage record includes. Called before the window is reported.
    void announceWindowClosed(const FinalUsageRecord& final);
    /// Whether this entry is one of the few that try to acquire a free lease.
    bool isLeaseCandidate() const;
    /// This entry's turn among all live ones to send a request with a suspect on trial.
    TrialTurn trialTurn(SuspectTag suspect) const;
    /// This entry's role in following the store, as of the last round of sending.
    ViewRole role() const { return m_role; }
    /// Relays changes of the store to the entries of this region.
    /// @param formerValues values of keys before the changes
    void relayChanges(StoreView view, Revision from, const WatchBatch& batch, const StoreValues& formerValues);
    /// Announces this entry's shutdown to the other entries.
    void announceShutdown();
    static std::string registrationPrefix() { return "member/"; }

private:
    struct Peer {
        boost::asio::ip::udp::endpoint address;
        RegionId region;
        TimePoint lastContact {};
        /// Whether it had contact with the store at its last report.
        bool reachesStore = false;
        bool isObserver = false;
        bool leaving = false;
        /// Its last report.
        PeerLoads loads;
        TimePoint loadsReceivedAt {};
    };
    /// An entry that is no longer registered, and may be again soon.
    struct MissingPeer {
        RegionId region;
        TimePoint since {};
    };

    boost::asio::awaitable<RegistrationState> registerSelf();
    boost::asio::awaitable<RegistrationState> renewRegistration();
    std::string registration() const;
    bool isLive(const Peer& peer, TimePoint now) const;
    void updateRole(TimePoint now);
    void detectPause(TimePoint now);
    void sendToAll(TimePoint now);
    void send(const std::string& datagram, const Peer& peer);
    /// @param readSince time at which the read began
    void replaceRegistrations(const StoreRange& range, TimePoint readSince);
    void applyRegistration(const StoreItem& item);
    void updateEntryCount();
    /// Determines the entries among which rate limits of endpoints are divided.
    void updateLimitEntries(TimePoint now);
    PeerContact peerContact(TimePoint now) const;
    /// Passes unused credit for limited endpoints on to entries of this region that have requests.
    void passOnCredit(TimePoint now);
    /// Visitor that handles a decoded message.
    struct MessageHandler;
    void receive(std::string_view datagram, const boost::asio::ip::udp::endpoint& sender, TimePoint now);
    void writePeerUsage(const PeerUsageToWrite& message, const Peer& from);
    void applyChange(const RelayedChange& change, TimePoint now);
    void applyLoads(const InstanceId& peer, const PeerLoads& loads, TimePoint now);
    /// Report without loads: only time, contact with the store, and whether this entry is leaving.
    PeerLoads livenessReport(TimePoint now) const;
    PeerLoads ownLoads(TimePoint now);
    /// Sum of the loads of this region's entries, sent to the entries of other regions.
    PeerLoads regionLoads(const PeerLoads& own, TimePoint now) const;
    bool isInSameRegion(const Peer& peer) const { return peer.region == m_state.settings.region; }
    /// Duration of the current contact with the store without an outage; 0 during an outage.
    Duration storeContactTime(TimePoint now) const;

    GatewayState& m_state;
    std::unique_ptr<StoreClient> m_store;
    boost::asio::ip::udp::socket m_socket;
    Views m_views;
    std::map<InstanceId, Peer> m_peers;
    ViewRole m_role = ViewRole::Alone;
    /// Entries that were registered until recently. They keep their shares of rate limits for a while.
    std::map<InstanceId, MissingPeer> m_missingPeers;
    LimitEntries m_limitEntries;
    LeaseId m_lease {};
    /// Waits for the next call about the registration.
    boost::asio::steady_timer m_registrationTimer;
    /// Until then registrations may be missing because the store was restored.
    TimePoint m_registrationsIncompleteUntil {};
    ShareActivation m_activation;
    /// A registration was attempted. Later attempts may find the registration that an unanswered one has made.
    bool m_registrationTried = false;
    bool m_leaving = false;
    TimePoint m_sentAt {};
    /// The last report states requests on endpoints.
    bool m_reportedUse = false;
    /// Time of the last report to the entries of other regions.
    TimePoint m_sentToOtherRegionsAt {};
    /// Time of the last check by detectPause(); a long gap means that this process was paused.
    TimePoint m_pauseCheckedAt {};
    /// Progress reports and changes received before this time may have waited in the socket during a pause of this
    /// process, so they are ignored.
    TimePoint m_ignoreViewsUntil {};
    /// A datagram arrived from an unknown address, so the registrations are read early.
    bool m_unknownSenderSeen = false;
    /// Selects the peers that write usage records in turn.
    std::size_t m_nextUsageWriter = 0;
    /// Selects the peers that unused credit is passed on to in turn.
    std::size_t m_nextCreditReceiver = 0;
};

} // namespace wisteriayard
