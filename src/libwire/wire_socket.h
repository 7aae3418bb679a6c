#pragma once

#include "wisteriayard.pb.h"
#include "wisteriayard/error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <functional>
#include <memory>
#include <string>

namespace wisteriayard {

/// ZeroMQ socket that sends and receives protobuf envelopes on an Asio io_context. Must be used only from the thread
/// that runs the io_context.
class WireSocket {
public:
    /// Called for each received envelope. The peer is its routing id on a router and empty on a dealer.
    using Handler = std::function<void(const std::string& peer, const wire::Envelope& envelope)>;

    enum class Kind {
        Router,
        Dealer,
    };

    /// @param heartbeat replace connections that do not respond to heartbeats; costs messages on idle connections
    WireSocket(boost::asio::io_context& io, zmq::context_t& context, Kind kind, Handler handler, bool heartbeat = true);
    WireSocket(const WireSocket&) = delete;
    WireSocket& operator=(const WireSocket&) = delete;
    ~WireSocket();

    /// Starts listening.
    /// @param address `IP:port`
    /// @return Unavailable if the address cannot be bound, such as one in use or not local
    Status bind(const std::string& address);
    /// Address of the last bind as `IP:port`, with the actual port if the system chose it.
    std::string boundAddress() const;
    /// Connects; ZeroMQ reconnects automatically when the connection breaks.
    /// @param address `IP:port`
    Status connect(const std::string& address);
    /// Sends an envelope without blocking.
    /// @param peer routing id; empty for a dealer
    /// @param memory kept until ZeroMQ has sent or dropped the envelope; may be released in any thread
    /// @return false if the peer is not connected or its queue is full; the envelope is then dropped
    bool send(const std::string& peer, const wire::Envelope& envelope, std::shared_ptr<void> memory = nullptr);

private:
    void scheduleReceive();
    void receiveAll();
    void receiveOne(zmq::message_t first);

    Kind m_kind;
    zmq::socket_t m_socket;
    boost::asio::posix::stream_descriptor m_descriptor;
    Handler m_handler;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_receivePosted = false;
};

} // namespace wisteriayard
