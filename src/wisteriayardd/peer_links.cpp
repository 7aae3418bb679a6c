#include "peer_links.h"

#include "clock.h"

namespace wisteriayard {

namespace {

    /// Budget owners are spread over all entries, so unused connections would add up and cost memory at each of them.
    constexpr Duration idleTime = std::chrono::seconds(10);
    /// A connection without a reply to its requests for this time is closed; the next request opens a new one.
    constexpr Duration answerTimeout = std::chrono::seconds(2);

} // namespace

PeerLinks::PeerLinks(boost::asio::io_context& io, zmq::context_t& context, Handler handler)
    : m_io(io)
    , m_context(context)
    , m_handler(std::move(handler))
{
    auto receive
        = [this](const std::string& route, const wire::Envelope& envelope) { receivedRequest(route, envelope); };
    m_router = std::make_unique<WireSocket>(io, context, WireSocket::Kind::Router, receive, false);
}

Status PeerLinks::listen(const std::string& address) { return m_router->bind(address); }

void PeerLinks::setPeers(std::map<InstanceId, std::string> addresses)
{
    m_addresses = std::move(addresses);
    std::erase_if(m_links, [this](const auto& each) {
        auto it = m_addresses.find(each.first);
        return it == m_addresses.end() || it->second != each.second.address;
    });
    std::erase_if(m_routes, [this](const auto& each) { return !m_addresses.count(each.first); });
}

bool PeerLinks::sendRequest(const InstanceId& to, const wire::Envelope& envelope, TimePoint now)
{
    auto address = m_addresses.find(to);
    if (address == m_addresses.end())
        return false;
    Link& link = m_links[to];
    if (!link.socket) {
        link.address = address->second;
        auto receive = [this, to](const std::string&, const wire::Envelope& answer) {
            auto it = m_links.find(to);
            if (it == m_links.end())
                return;
            it->second.unansweredSince.reset();
            it->second.lastUse = bootTimeNow();
            m_handler(to, answer);
        };
        link.socket = std::make_unique<WireSocket>(m_io, m_context, WireSocket::Kind::Dealer, receive, false);
        if (!link.socket->connect(link.address)) {
            m_links.erase(to);
            return false;
        }
    }
    link.lastUse = now;
    if (!link.unansweredSince)
        link.unansweredSince = now;
    return link.socket->send("", envelope);
}

bool PeerLinks::sendReply(const InstanceId& to, const wire::Envelope& envelope)
{
    auto route = m_routes.find(to);
    return route != m_routes.end() && m_router->send(route->second, envelope);
}

void PeerLinks::receivedRequest(const std::string& route, const wire::Envelope& envelope)
{
    InstanceId sender;
    if (envelope.has_view_digest())
        sender = InstanceId(envelope.view_digest().sender());
    else if (envelope.has_budget_request())
        sender = InstanceId(envelope.budget_request().sender());
    if (sender.empty())
        return;
    // A route identifies a connection, and the sender may have opened a new one.
    m_routes[sender] = route;
    m_handler(sender, envelope);
}

void PeerLinks::tick(TimePoint now)
{
    std::erase_if(m_links, [now](const auto& each) {
        const Link& link = each.second;
        bool unresponsive = link.unansweredSince && now - *link.unansweredSince > answerTimeout;
        return unresponsive || now - link.lastUse > idleTime;
    });
}

} // namespace wisteriayard
