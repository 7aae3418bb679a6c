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

/// Connections of the control thread to other entries. A request goes out on a connection of its own to the other
/// entry, and the answer comes back on it. Belongs to the loop's thread.
class PeerLinks {
public:
    /// Called for each message with its sender.
    using Handler = std::function<void(const InstanceId& from, const wire::Envelope& envelope)>;

    PeerLinks(boost::asio::io_context& io, zmq::context_t& context, Handler handler);

    /// Listens for other entries' requests.
    Status listen(const std::string& address);
    /// Replaces the addresses of the other entries; connections to others close.
    void setPeers(std::map<InstanceId, std::string> addresses);
    /// Sends a request. @return false if the entry is not known or its queue is full
    bool request(const InstanceId& to, const wire::Envelope& envelope, TimePoint now);
    /// Answers the sender of a request. @return false if its connection is gone
    bool answer(const InstanceId& to, const wire::Envelope& envelope);
    /// Closes idle connections and those without answers.
    void tick(TimePoint now);

    /// Open connections to other entries.
    std::size_t links() const { return m_links.size(); }

private:
    struct Link {
        std::string address;
        std::unique_ptr<WireSocket> socket;
        TimePoint lastUse {};
        /// Since when requests have had no answer.
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
