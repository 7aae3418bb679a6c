#define BOOST_TEST_MODULE wire_socket
#include "wire_socket.h"

#include <boost/test/unit_test.hpp>

using namespace wisteriayard;

// Guards against messages that are never received because a send has consumed the edge of the edge-triggered ZMQ_FD.
BOOST_AUTO_TEST_CASE(every_envelope_gets_a_reply)
{
    constexpr std::uint64_t count = 2000;
    boost::asio::io_context io;
    zmq::context_t context;
    std::unique_ptr<WireSocket> router;
    router = std::make_unique<WireSocket>(
        io, context, WireSocket::Kind::Router, [&](const std::string& peer, const wire::Envelope& envelope) {
            wire::Envelope reply;
            reply.mutable_load()->set_sequence(envelope.ping().sequence());
            router->send(peer, reply);
        });
    BOOST_REQUIRE(router->bind("127.0.0.1:*"));
    BOOST_TEST(!router->bind("192.0.2.1:5555"));

    std::uint64_t received = 0;
    WireSocket dealer(io, context, WireSocket::Kind::Dealer, [&](const std::string&, const wire::Envelope& envelope) {
        BOOST_TEST(envelope.load().sequence() == received);
        if (++received == count)
            io.stop();
    });
    BOOST_REQUIRE(dealer.connect(router->boundAddress()));
    for (std::uint64_t i = 0; i < count; ++i) {
        wire::Envelope envelope;
        envelope.mutable_ping()->set_sequence(i);
        BOOST_TEST(dealer.send("", envelope));
    }
    io.run_for(std::chrono::seconds(60));
    BOOST_TEST(received == count);
}

// Guards against memory that is counted as free while ZeroMQ still holds the message, and against memory that is never
// counted as free.
BOOST_AUTO_TEST_CASE(memory_is_held_as_long_as_the_message)
{
    auto memory = std::make_shared<int>(0);
    std::weak_ptr<int> held = memory;
    {
        zmq::context_t context;
        boost::asio::io_context io;
        WireSocket dealer(io, context, WireSocket::Kind::Dealer, [](const std::string&, const wire::Envelope&) {});
        // A dealer that is not connected rejects the message; one that connects keeps it.
        BOOST_TEST(!dealer.send("", wire::Envelope(), std::make_shared<int>(0)));
        BOOST_REQUIRE(dealer.connect("127.0.0.1:1"));
        wire::Envelope envelope;
        envelope.mutable_submit()->set_body(std::string(100'000, 'x'));
        BOOST_TEST(dealer.send("", envelope, std::move(memory)));
        BOOST_TEST(!held.expired());
    }
    BOOST_TEST(held.expired());
}
