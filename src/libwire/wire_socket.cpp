#include "wire_socket.h"

#include <boost/asio/post.hpp>

#include <vector>

namespace wisteriayard {

namespace {

    /// Number of envelopes queued for one peer before sends fail; limits memory when a peer stops reading.
    constexpr int highWaterMark = 20000;
    /// Largest message that is accepted, in bytes: a request body of 8 MiB and the fields around it.
    constexpr std::int64_t maxMessageBytes = 9 * 1024 * 1024;
    /// ZeroMQ's own heartbeat detects unresponsive connections and replaces them. Intervals are in milliseconds.
    constexpr int heartbeatInterval = 1000;
    constexpr int heartbeatTimeout = 2000;
    constexpr int reconnectInterval = 50;
    constexpr int reconnectIntervalMax = 500;

    /// Bytes of a message that ZeroMQ holds, and the object that is kept with them.
    struct HeldMessage {
        std::vector<std::uint8_t> bytes;
        std::shared_ptr<void> memory;
    };

    zmq::message_t messageOf(const wire::Envelope& envelope, std::shared_ptr<void> memory)
    {
        std::size_t size = envelope.ByteSizeLong();
        if (!memory) {
            zmq::message_t message(size);
            envelope.SerializeWithCachedSizesToArray(static_cast<std::uint8_t*>(message.data()));
            return message;
        }
        auto held = std::make_unique<HeldMessage>();
        held->bytes.resize(size);
        held->memory = std::move(memory);
        envelope.SerializeWithCachedSizesToArray(held->bytes.data());
        auto release = [](void*, void* hint) { delete static_cast<HeldMessage*>(hint); };
        void* data = held->bytes.data();
        return { data, size, release, held.release() };
    }

} // namespace

WireSocket::WireSocket(boost::asio::io_context& io, zmq::context_t& context, Kind kind, Handler handler, bool heartbeat)
    : m_kind(kind)
    , m_socket(context, kind == Kind::Router ? zmq::socket_type::router : zmq::socket_type::dealer)
    , m_descriptor(io)
    , m_handler(std::move(handler))
{
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.set(zmq::sockopt::sndhwm, highWaterMark);
    m_socket.set(zmq::sockopt::rcvhwm, highWaterMark);
    m_socket.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
    if (heartbeat) {
        m_socket.set(zmq::sockopt::heartbeat_ivl, heartbeatInterval);
        m_socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeout);
    }
    m_socket.set(zmq::sockopt::reconnect_ivl, reconnectInterval);
    m_socket.set(zmq::sockopt::reconnect_ivl_max, reconnectIntervalMax);
    if (kind == Kind::Router)
        m_socket.set(zmq::sockopt::router_mandatory, true);
    m_descriptor.assign(m_socket.get(zmq::sockopt::fd));
    scheduleReceive();
}

WireSocket::~WireSocket()
{
    *m_alive = false;
    // The file descriptor is owned and closed by ZeroMQ.
    m_descriptor.release();
}

Status WireSocket::bind(const std::string& address)
{
    try {
        m_socket.bind("tcp://" + address);
    } catch (const zmq::error_t& error) {
        return fail(Errc::Unavailable, "cannot listen on " + address + ": " + error.what());
    }
    return boost::outcome_v2::success();
}

std::string WireSocket::boundAddress() const
{
    constexpr std::size_t schemeLength = sizeof("tcp://") - 1;
    return m_socket.get(zmq::sockopt::last_endpoint).substr(schemeLength);
}

Status WireSocket::connect(const std::string& address)
{
    try {
        m_socket.connect("tcp://" + address);
    } catch (const zmq::error_t& error) {
        return fail(Errc::InvalidArgument, "cannot connect to " + address + ": " + error.what());
    }
    return boost::outcome_v2::success();
}

bool WireSocket::send(const std::string& peer, const wire::Envelope& envelope, std::shared_ptr<void> memory)
{
    zmq::message_t body = messageOf(envelope, std::move(memory));
    bool sent = false;
    try {
        if (m_kind == Kind::Router
            && !m_socket.send(zmq::buffer(peer), zmq::send_flags::sndmore | zmq::send_flags::dontwait))
            return false;
        sent = m_socket.send(body, zmq::send_flags::dontwait).has_value();
    } catch (const zmq::error_t&) {
        sent = false; // EHOSTUNREACH: the router has no connection to the peer
    }
    // ZMQ_FD is edge-triggered and a send may consume the edge, so check for input after each send.
    if (!m_receivePosted) {
        m_receivePosted = true;
        boost::asio::post(m_descriptor.get_executor(), [this, alive = m_alive] {
            if (!*alive)
                return;
            m_receivePosted = false;
            receiveAll();
        });
    }
    return sent;
}

void WireSocket::scheduleReceive()
{
    m_descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
        [this, alive = m_alive](const boost::system::error_code& error) {
            if (error || !*alive)
                return;
            receiveAll();
            if (*alive)
                scheduleReceive();
        });
}

void WireSocket::receiveAll()
{
    auto alive = m_alive;
    while (*alive && (m_socket.get(zmq::sockopt::events) & ZMQ_POLLIN)) {
        zmq::message_t first;
        if (!m_socket.recv(first, zmq::recv_flags::dontwait))
            return;
        receiveOne(std::move(first));
    }
}

void WireSocket::receiveOne(zmq::message_t first)
{
    std::string peer;
    zmq::message_t body = std::move(first);
    if (m_kind == Kind::Router) {
        peer = body.to_string();
        if (!body.more() || !m_socket.recv(body, zmq::recv_flags::dontwait))
            return;
    }
    bool moreFrames = body.more();
    while (moreFrames) {
        zmq::message_t ignored;
        if (!m_socket.recv(ignored, zmq::recv_flags::dontwait))
            return;
        moreFrames = ignored.more();
    }
    wire::Envelope envelope;
    if (envelope.ParseFromArray(body.data(), static_cast<int>(body.size())))
        m_handler(peer, envelope);
}

} // namespace wisteriayard
