#include "agent_links.h"

#include "attempt_hash.h"
#include "clock.h"

#include <boost/asio/post.hpp>

#include <set>

namespace wisteriayard {

namespace {

    constexpr Duration pingInterval = std::chrono::milliseconds(500);
    /// A link that is watched or has attempts is reopened when no message arrived for this long.
    constexpr Duration contactTimeout = std::chrono::seconds(2);
    constexpr Duration tickInterval = std::chrono::milliseconds(100);

} // namespace

AgentLinks::AgentLinks(boost::asio::io_context& io, zmq::context_t& context, LoadHandler onLoad, LostHandler onLost)
    : m_io(io)
    , m_context(context)
    , m_onLoad(std::move(onLoad))
    , m_onLost(std::move(onLost))
    , m_timer(io)
{
    scheduleTick();
}

AgentLinks::~AgentLinks() { *m_alive = false; }

AgentLinks::Link& AgentLinks::link(const EndpointId& endpoint, const std::string& address)
{
    Link& link = m_links[endpoint];
    if (!link.socket || link.address != address) {
        link.endpoint = endpoint;
        link.address = address;
        openSocket(link);
    }
    return link;
}

void AgentLinks::openSocket(Link& link)
{
    auto handler = [this, endpoint = link.endpoint](
                       const std::string&, const wire::Envelope& envelope) { received(endpoint, envelope); };
    link.socket = std::make_unique<WireSocket>(m_io, m_context, WireSocket::Kind::Dealer, handler);
    link.lastContact = bootTimeNow();
    if (!link.socket->connect(link.address))
        link.unresponsive = true;
}

bool AgentLinks::submit(const EndpointId& endpoint, const std::string& address, wire::Submit& submit,
    std::shared_ptr<RequestMailbox> mailbox, std::shared_ptr<void> memory)
{
    Link& target = link(endpoint, address);
    // An idle link is not pinged, so the time without contact counts from its first attempt.
    if (target.attempts == 0 && !target.watched)
        target.lastContact = bootTimeNow();
    wire::Envelope envelope;
    // Swapped, since a copy would need the memory of the body once more.
    envelope.mutable_submit()->Swap(&submit);
    bool isSent = target.socket->send("", envelope, std::move(memory));
    envelope.mutable_submit()->Swap(&submit);
    if (!isSent)
        return false;
    ++target.attempts;
    m_attempts[submit.request_id()] = { std::move(mailbox), submit.attempt(), endpoint, target.pingSequence };
    return true;
}

void AgentLinks::endAttempt(const RequestId& request, bool cancelAtAgent)
{
    auto it = m_attempts.find(request.value());
    if (it == m_attempts.end())
        return;
    auto linked = m_links.find(it->second.endpoint);
    if (linked != m_links.end()) {
        --linked->second.attempts;
        if (cancelAtAgent) {
            wire::Envelope envelope;
            envelope.mutable_cancel()->set_request_id(request.value());
            envelope.mutable_cancel()->set_attempt(it->second.number);
            linked->second.socket->send("", envelope);
        }
    }
    m_attempts.erase(it);
}

void AgentLinks::watch(const EndpointId& endpoint, const std::string& address)
{
    Link& target = link(endpoint, address);
    target.watched = true;
    target.retired = false;
    ping(target, bootTimeNow());
}

void AgentLinks::retire(const EndpointId& endpoint)
{
    auto it = m_links.find(endpoint);
    if (it != m_links.end())
        it->second.retired = true;
}

void AgentLinks::ping(Link& link, TimePoint now)
{
    link.lastPing = now;
    wire::Envelope envelope;
    envelope.mutable_ping()->set_sequence(++link.pingSequence);
    link.socket->send("", envelope);
}

void AgentLinks::received(const EndpointId& endpoint, const wire::Envelope& envelope)
{
    auto it = m_links.find(endpoint);
    if (it == m_links.end())
        return;
    it->second.lastContact = bootTimeNow();
    it->second.unresponsive = false;
    switch (envelope.message_case()) {
    case wire::Envelope::kLoad:
        receivedLoad(it->second, envelope.load());
        break;
    case wire::Envelope::kAccepted:
        deliver(envelope.accepted());
        break;
    case wire::Envelope::kRejected:
        deliverLast(envelope.rejected());
        break;
    case wire::Envelope::kChunk:
        deliver(envelope.chunk());
        break;
    case wire::Envelope::kFinished:
        deliverLast(envelope.finished());
        break;
    case wire::Envelope::kFailed:
        deliverLast(envelope.failed());
        break;
    default:
        break; // messages that only agents handle
    }
}

void AgentLinks::receivedLoad(Link& link, const wire::Load& load)
{
    bool restarted = link.incarnation != 0 && link.incarnation != load.incarnation();
    link.incarnation = load.incarnation();
    EndpointLoad report;
    report.running = static_cast<int>(load.running());
    report.queued = static_cast<int>(load.queued());
    report.tokensPerSecond = load.tokens_per_second();
    report.leaving = load.leaving();
    report.takenAt = bootTimeNow();
    EndpointId endpoint = link.endpoint;
    if (restarted) {
        // The attempts of the previous agent process are lost.
        failAttempts(endpoint);
        m_onLost(endpoint);
    }
    failUnknownAttempts(link, load);
    m_onLoad(endpoint, report);
}

void AgentLinks::failUnknownAttempts(const Link& link, const wire::Load& load)
{
    // A connection preserves the order of messages, so replies that the agent sent before this report have already
    // arrived. An attempt that is not in the report was lost with a previous agent process at this address or with a
    // previous connection.
    std::set<std::uint64_t> known(load.attempts().begin(), load.attempts().end());
    std::vector<std::string> lost;
    for (const auto& [request, attempt] : m_attempts) {
        bool expected = attempt.endpoint == link.endpoint && attempt.sentAfterPing < load.sequence();
        if (expected && !known.count(attemptHash(request, attempt.number)))
            lost.push_back(request);
    }
    for (const std::string& request : lost) {
        m_attempts.at(request).mailbox->push(AgentLost {});
        endAttempt(RequestId(request), false);
    }
}

template <typename Message> bool AgentLinks::deliver(const Message& message)
{
    auto it = m_attempts.find(message.request_id());
    // Drops replies to an earlier attempt and to a request that has ended.
    if (it == m_attempts.end() || it->second.number != message.attempt())
        return false;
    it->second.mailbox->push(message);
    return true;
}

template <typename Message> void AgentLinks::deliverLast(const Message& message)
{
    // The load reports that follow don't list the attempt. They may be read before the request handles this reply.
    if (deliver(message))
        endAttempt(RequestId(message.request_id()), false);
}

void AgentLinks::failAttempts(const EndpointId& endpoint)
{
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        bool lost = it->second.endpoint == endpoint;
        if (lost)
            it->second.mailbox->push(AgentLost {});
        it = lost ? m_attempts.erase(it) : std::next(it);
    }
    auto linked = m_links.find(endpoint);
    if (linked != m_links.end())
        linked->second.attempts = 0;
}

void AgentLinks::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this, alive = m_alive](const boost::system::error_code& error) {
        if (error || !*alive)
            return;
        tick(bootTimeNow());
        scheduleTick();
    });
}

void AgentLinks::tick(TimePoint now)
{
    for (auto it = m_links.begin(); it != m_links.end();)
        it = it->second.retired && it->second.attempts == 0 ? m_links.erase(it) : std::next(it);
    for (auto& [endpoint, link] : m_links) {
        if (!link.watched && link.attempts == 0)
            continue;
        if (now - link.lastContact > contactTimeout) {
            // A connection can stay broken although a new one to the same address works.
            openSocket(link);
            failAttempts(endpoint);
            if (!link.unresponsive)
                m_onLost(endpoint);
            link.unresponsive = true;
        }
        if (now - link.lastPing >= pingInterval)
            ping(link, now);
    }
}

} // namespace wisteriayard
