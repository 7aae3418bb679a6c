#pragma once

#include "gateway_state.h"
#include "peer_messages.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <memory>
#include <set>

namespace wisteriayard {

/// Registers the entry in the store, learns of the others there, and tells them its load on endpoints by datagrams.
/// A lost datagram or a missing entry only makes the view of the load coarser.
class PeerExchange {
public:
    PeerExchange(GatewayState& state, std::unique_ptr<StoreClient> store);

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
    void passOnUsage(WindowId window, const IncarnationId& entry, const UsagePart& part);
    /// Whether this entry is one of the few that ask for a free lease.
    bool isLeaseCandidate() const;
    static std::string registrationPrefix() { return "member/"; }

private:
    boost::asio::awaitable<void> registerSelf();
    void replace(const StoreRange& range);
    void takeIn(const StoreItem& item);
    void countEntries();
    void receive(std::string_view datagram, const boost::asio::ip::udp::endpoint& sender, TimePoint now);
    void receiveUsage(const PeerUsage& message);
    void receiveLoads(const InstanceId& peer, const PeerLoads& loads, TimePoint now);
    std::string message();
    /// Time for which this entry has heard the store without an outage; 0 during one.
    Duration contactTime(TimePoint now) const;

    GatewayState& m_state;
    std::unique_ptr<StoreClient> m_store;
    boost::asio::ip::udp::socket m_socket;
    std::map<InstanceId, boost::asio::ip::udp::endpoint> m_peers;
    /// Peers that heard the store when they last told.
    std::set<InstanceId> m_inContact;
    LeaseId m_lease {};
    bool m_leaving = false;
    bool m_idleSent = false;
    /// Peers in turn are asked to write usage.
    std::size_t m_nextHelper = 0;
};

} // namespace wisteriayard
