#define BOOST_TEST_MODULE agent_links
#include "agent_links.h"

#include "attempt_hash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace wisteriayard;

namespace {

const EndpointId endpoint("counter");
const RequestId request("request");
constexpr std::uint32_t attempt = 3;

enum class Reply {
    None,
    Accepted,
    Rejected,
    Finished,
    Failed,
};

/// What an agent sends for an attempt before the next load report, and what the report states.
struct Row {
    const char* name;
    Reply reply;
    bool listed;
    bool restarted;
    std::vector<std::string> events;
};

const std::vector<Row> rows = {
    { "attempt that is still running", Reply::Accepted, true, false, { "accepted" } },
    { "attempt that never arrived", Reply::None, false, false, { "lost" } },
    { "attempt of an earlier agent process", Reply::Accepted, false, true, { "accepted", "lost" } },
    { "rejected attempt", Reply::Rejected, false, false, { "rejected" } },
    { "finished attempt", Reply::Finished, false, false, { "finished" } },
    { "failed attempt", Reply::Failed, false, false, { "failed" } },
    { "rejected attempt, and a restart", Reply::Rejected, false, true, { "rejected" } },
};

std::string eventName(const RequestEvent& event)
{
    struct Name {
        std::string operator()(const AgentLost&) const { return "lost"; }
        std::string operator()(const TimedOut&) const { return "none"; }
        std::string operator()(const wire::Accepted&) const { return "accepted"; }
        std::string operator()(const wire::Rejected&) const { return "rejected"; }
        std::string operator()(const wire::Finished&) const { return "finished"; }
        std::string operator()(const wire::Failed&) const { return "failed"; }
        std::string operator()(const wire::Chunk&) const { return "chunk"; }
        std::string operator()(const Admitted&) const { return "admitted"; }
        std::string operator()(const Refused&) const { return "refused"; }
        std::string operator()(const KeyRevoked&) const { return "key_revoked"; }
        std::string operator()(const ViewStale&) const { return "view_stale"; }
        std::string operator()(const CallerGone&) const { return "caller_gone"; }
        std::string operator()(const Preempted&) const { return "preempted"; }
    };
    return std::visit(Name(), event);
}

wire::Envelope reply(Reply kind)
{
    wire::Envelope envelope;
    auto setIds = [](auto* message) {
        message->set_request_id(request.value());
        message->set_attempt(attempt);
    };
    if (kind == Reply::Accepted)
        setIds(envelope.mutable_accepted());
    if (kind == Reply::Rejected)
        setIds(envelope.mutable_rejected());
    if (kind == Reply::Finished)
        setIds(envelope.mutable_finished());
    if (kind == Reply::Failed)
        setIds(envelope.mutable_failed());
    return envelope;
}

/// Agent that replies to an attempt, and in the same moment to the next ping.
class StandInAgent {
public:
    StandInAgent(boost::asio::io_context& io, zmq::context_t& context, const Row& row)
        : m_row(row)
        , m_socket(io, context, WireSocket::Kind::Router,
              [this](const std::string& peer, const wire::Envelope& envelope) { received(peer, envelope); })
    {
        BOOST_REQUIRE(m_socket.bind("127.0.0.1:*"));
    }

    std::string address() const { return m_socket.boundAddress(); }

private:
    void received(const std::string& peer, const wire::Envelope& envelope)
    {
        m_submitted = m_submitted || envelope.has_submit();
        if (!envelope.has_ping())
            return;
        if (m_submitted && !m_replied && m_row.reply != Reply::None)
            m_socket.send(peer, reply(m_row.reply));
        m_replied = m_submitted;
        wire::Envelope load;
        load.mutable_load()->set_sequence(envelope.ping().sequence());
        load.mutable_load()->set_incarnation(m_submitted && m_row.restarted ? 2 : 1);
        if (m_row.listed)
            load.mutable_load()->add_attempts(attemptHash(request.value(), attempt));
        m_socket.send(peer, load);
    }

    const Row& m_row;
    WireSocket m_socket;
    bool m_submitted = false;
    bool m_replied = false;
};

void runUntil(boost::asio::io_context& io, const int& count, int wanted)
{
    while (count < wanted)
        io.run_one();
}

std::vector<std::string> drain(boost::asio::io_context& io, const std::shared_ptr<RequestMailbox>& mailbox)
{
    std::vector<std::string> events;
    bool ended = false;
    auto read = [&]() -> boost::asio::awaitable<void> {
        while (true) {
            std::string name = eventName(co_await mailbox->next(Duration(0)));
            if (name == "none")
                break;
            events.push_back(std::move(name));
        }
        ended = true;
    };
    boost::asio::co_spawn(io, read, boost::asio::detached);
    while (!ended)
        io.run_one();
    return events;
}

} // namespace

// Guards against a call with a final reply that is reported as lost, too: the load report that an agent sends after the
// reply no longer lists the attempt, and both may be read before the request handles the reply. The call's next attempt
// was then answered with an unknown outcome.
BOOST_AUTO_TEST_CASE(final_reply_ends_the_attempt)
{
    for (const Row& row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            boost::asio::io_context io;
            zmq::context_t context;
            int reports = 0;
            AgentLinks links(
                io, context, [&](const EndpointId&, const EndpointLoad&) { ++reports; }, [](const EndpointId&) {});
            StandInAgent agent(io, context, row);
            links.watch(endpoint, agent.address());
            runUntil(io, reports, 1);
            auto mailbox = std::make_shared<RequestMailbox>(io, request);
            wire::Submit submit;
            submit.set_request_id(request.value());
            submit.set_attempt(attempt);
            BOOST_REQUIRE(links.submit(endpoint, agent.address(), submit, mailbox));
            runUntil(io, reports, 3);
            BOOST_TEST(drain(io, mailbox) == row.events, boost::test_tools::per_element());
        }
    }
}
