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

/// A ZeroMQ socket on an Asio loop that carries protobuf envelopes. It belongs to the loop's thread.
class WireSocket {
public:
    /// Called for each envelope. The peer is the routing id for a router and empty for a dealer.
    using Handler = std::function<void(const std::string& peer, const wire::Envelope& envelope)>;

    enum class Kind {
        Router,
        Dealer,
    };

    /// @param heartbeat replace a connection that is silent; costs messages while it is idle
    WireSocket(boost::asio::io_context& io, zmq::context_t& context, Kind kind, Handler handler, bool heartbeat = true);
    WireSocket(const WireSocket&) = delete;
    WireSocket& operator=(const WireSocket&) = delete;
    ~WireSocket();

    /// Listens.
    /// @param address `IP:port`
    /// @return Unavailable if the address is in use or not local
    Status bind(const std::string& address);
    /// Address of the last bind as `IP:port`, with the port that the system chose.
    std::string boundAddress() const;
    /// Connects; ZeroMQ connects again by itself when the connection breaks.
    /// @param address `IP:port`
    Status connect(const std::string& address);
    /// Sends without waiting.
    /// @param peer routing id; empty for a dealer
    /// @return false if the peer is gone or its queue is full; the envelope is dropped then
    bool send(const std::string& peer, const wire::Envelope& envelope);

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
