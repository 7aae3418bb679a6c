#pragma once

#include "wire_socket.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace wisteriayard {

/// Connections to other entries. Requests are sent on a connection that this entry opens to the other one, and replies
/// arrive on the same connection. Only on the thread of the event loop.
class PeerLinks {
public:
    /// Called for each received message with its sender.
    using Handler = std::function<void(const InstanceId& from, const wire::Envelope& envelope)>;

    PeerLinks(boost::asio::io_context& io, zmq::context_t& context, Handler handler);

    /// Listens for requests of other entries.
    Status listen(const std::string& address);
    /// Replaces the addresses of the other entries; closes connections to any others.
    void setPeers(std::map<InstanceId, std::string> addresses);
    /// Sends a request.
    /// @return false if the entry is not known, can't be connected or its queue is full
    bool sendRequest(const InstanceId& to, const wire::Envelope& envelope, TimePoint now);
    /// Sends a reply to an entry that has sent a request.
    /// @return false if there is no connection from it
    bool sendReply(const InstanceId& to, const wire::Envelope& envelope);
    /// Closes connections that are idle or on which replies are overdue.
    void tick(TimePoint now);

    /// Number of open connections to other entries.
    std::size_t openLinks() const { return m_links.size(); }

private:
    struct Link {
        std::string address;
        std::unique_ptr<WireSocket> socket;
        TimePoint lastUse {};
        /// Time of the first request since the last reply.
        std::optional<TimePoint> unansweredSince;
    };

    void receivedRequest(const std::string& route, const wire::Envelope& envelope);

    boost::asio::io_context& m_io;
    zmq::context_t& m_context;
    Handler m_handler;
    std::unique_ptr<WireSocket> m_router;
    std::map<InstanceId, std::string> m_addresses;
    std::map<InstanceId, Link> m_links;
    std::map<InstanceId, std::string> m_routes;
};

} // namespace wisteriayard
