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

/// Connections of one traffic thread to agents. Matches answers to requests by id and attempt, and finds
/// agents that went silent. Belongs to the thread's loop.
class AgentLinks {
public:
    /// Called when an agent answered a ping.
    using LoadHandler = std::function<void(const EndpointId&, const EndpointLoad&)>;
    /// Called when an agent is silent or restarted.
    using LostHandler = std::function<void(const EndpointId&)>;

    AgentLinks(boost::asio::io_context& io, zmq::context_t& context, LoadHandler onLoad, LostHandler onLost);
    ~AgentLinks();

    /// Starts an attempt; its answers go to the mailbox.
    /// @return false if the agent can't be reached
    bool submit(const EndpointId& endpoint, const std::string& address, const wire::Submit& submit,
        std::shared_ptr<RequestMailbox> mailbox);
    /// Ends an attempt: later answers are dropped.
    /// @param cancelAtAgent tell the agent to stop working on it
    void end(const RequestId& request, bool cancelAtAgent);
    /// Keeps a connection to an endpoint and pings it, so that its load is known.
    void watch(const EndpointId& endpoint, const std::string& address);
    /// The endpoint gets no new work: its running attempts go on, then the connection closes.
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
        bool silent = false;
        bool retired = false;
        TimePoint lastHeard {};
        TimePoint lastPing {};
    };
    struct Attempt {
        std::shared_ptr<RequestMailbox> mailbox;
        std::uint32_t number = 0;
        EndpointId endpoint;
        /// The last ping that was sent before the attempt.
        std::uint64_t sentAfterPing = 0;
    };

    Link& link(const EndpointId& endpoint, const std::string& address);
    void openSocket(Link& link);
    void ping(Link& link, TimePoint now);
    void received(const EndpointId& endpoint, const wire::Envelope& envelope);
    void receivedLoad(Link& link, const wire::Load& load);
    template <typename Message> void deliver(const Message& message);
    /// Finds attempts that the agent does not know although they were sent before the ping that it answers.
    void loseUnknownAttempts(const Link& link, const wire::Load& load);
    void loseAttempts(const EndpointId& endpoint);
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
