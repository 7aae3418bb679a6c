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
