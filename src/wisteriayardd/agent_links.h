#pragma once

#include "request_mailbox.h"
#include "wire_socket.h"
#include "wisteriayard/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace wisteriayard {

/// Connections of one traffic thread to agents. Matches replies to attempts by request id and attempt number, and
/// detects agents that no longer reply. Not thread-safe: used only on the thread's event loop.
class AgentLinks {
public:
    /// Called with the load that an agent reports in reply to a ping.
    using LoadHandler = std::function<void(const EndpointId&, const EndpointLoad&)>;
    /// Called when an agent stops replying or has restarted.
    using LostHandler = std::function<void(const EndpointId&)>;

    AgentLinks(boost::asio::io_context& io, zmq::context_t& context, LoadHandler onLoad, LostHandler onLost);
    ~AgentLinks();

    /// Sends an attempt to an agent and delivers the replies to the mailbox.
    /// @param submit unchanged when the function returns
    /// @param memory kept as long as the message to the agent is queued
    /// @return false if the agent can't be reached
    bool submit(const EndpointId& endpoint, const std::string& address, wire::Submit& submit,
        std::shared_ptr<RequestMailbox> mailbox, std::shared_ptr<void> memory = nullptr);
    /// Ends an attempt and drops its later replies. Has no effect on an attempt that has ended.
    /// @param cancelAtAgent whether to send the agent a cancellation
    void endAttempt(const RequestId& request, bool cancelAtAgent);
    /// Keeps a connection to the endpoint's agent open and pings it periodically for its load.
    void watch(const EndpointId& endpoint, const std::string& address);
    /// Closes the connection to the endpoint's agent when its last attempt has ended.
    void retire(const EndpointId& endpoint);

private:
    struct Link {
        EndpointId endpoint;
        std::string address;
        std::unique_ptr<WireSocket> socket;
        std::uint64_t incarnation = 0;
        std::uint64_t pingSequence = 0;
        int attempts = 0;
        bool watched = false;
        bool unresponsive = false;
        bool retired = false;
        TimePoint lastContact {};
        TimePoint lastPing {};
    };
    struct Attempt {
        std::shared_ptr<RequestMailbox> mailbox;
        std::uint32_t number = 0;
        EndpointId endpoint;
        /// Sequence number of the last ping that was sent before the attempt.
        std::uint64_t sentAfterPing = 0;
    };

    Link& link(const EndpointId& endpoint, const std::string& address);
    void openSocket(Link& link);
    void ping(Link& link, TimePoint now);
    void received(const EndpointId& endpoint, const wire::Envelope& envelope);
    void receivedLoad(Link& link, const wire::Load& load);
    /// Delivers a reply to the running attempt.
    /// @return false if the attempt has ended
    template <typename Message> bool deliver(const Message& message);
    /// Delivers a reply that ends the attempt.
    template <typename Message> void deliverLast(const Message& message);
    /// Fails attempts that a load report does not list although they were sent before its ping.
    void failUnknownAttempts(const Link& link, const wire::Load& load);
    void failAttempts(const EndpointId& endpoint);
    void scheduleTick();
    void tick(TimePoint now);

    boost::asio::io_context& m_io;
    zmq::context_t& m_context;
    LoadHandler m_onLoad;
    LostHandler m_onLost;
    std::map<EndpointId, Link> m_links;
    std::unordered_map<std::string, Attempt> m_attempts;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace wisteriayard
