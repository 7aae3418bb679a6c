#define BOOST_TEST_MODULE freshness
#include "wisteriayard/freshness.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
using std::chrono::milliseconds;

namespace {

struct PeersCase {
    const char* name;
    std::vector<PeerReport> reports;
    StoreState expected;
};

std::ostream& operator<<(std::ostream& out, const PeersCase& c) { return out << c.name; }

const PeerReport unreachable { false, true, milliseconds(0), std::chrono::seconds(60), Revision(0) };
const PeerReport down { true, true, milliseconds(500), std::chrono::seconds(4), Revision(7) };
const PeerReport answered { true, false, milliseconds(300), milliseconds(300), Revision(7) };

// Guards against serving on without evidence: only a peer that was reached can show that the store is down.
const PeersCase peersCases[] = {
    { "no peers", {}, StoreState::Unknown },
    { "no peer reached", { unreachable, unreachable }, StoreState::Unknown },
    { "store answers one", { down, answered }, StoreState::Up },
    { "down for all reached", { down, unreachable, down }, StoreState::DownForAll },
    { "failed just now", { { true, true, milliseconds(0), milliseconds(1999), Revision(7) } }, StoreState::Up },
    { "no store answer for the limit", { { true, true, failedCallLifetime, storeContactLimit, Revision(7) } },
        StoreState::DownForAll },
    { "no recent store answer, but no call failed",
        { { true, false, std::chrono::seconds(9), std::chrono::seconds(9), Revision(7) } }, StoreState::Up },
    { "failed long ago", { { true, true, milliseconds(3001), std::chrono::seconds(9), Revision(7) } },
        StoreState::Unknown },
    { "peer holds a newer change", { { true, true, milliseconds(0), std::chrono::seconds(9), Revision(8) } },
        StoreState::Up },
    { "peer holds an older view", { { true, true, milliseconds(0), std::chrono::seconds(9), Revision(6) } },
        StoreState::DownForAll },
};

struct DecideCase {
    milliseconds viewAge;
    StoreState state;
    milliseconds pollAge;
    Serving expected;
};

std::ostream& operator<<(std::ostream& out, const DecideCase& c)
{
    return out << c.viewAge.count() << ' ' << static_cast<int>(c.state) << ' ' << c.pollAge.count();
}

const DecideCase decideCases[] = {
    { milliseconds(0), StoreState::Unknown, milliseconds(0), Serving::Serve },
    { milliseconds(4000), StoreState::Up, milliseconds(0), Serving::Serve },
    { milliseconds(4001), StoreState::Up, milliseconds(0), Serving::ServeAndPollPeers },
    { milliseconds(4999), StoreState::Unknown, milliseconds(0), Serving::ServeAndPollPeers },
    { milliseconds(5000), StoreState::Unknown, milliseconds(0), Serving::Refuse },
    { milliseconds(5000), StoreState::Up, milliseconds(0), Serving::Refuse },
    { milliseconds(5000), StoreState::DownForAll, milliseconds(2000), Serving::ServeInOutage },
    { milliseconds(5000), StoreState::DownForAll, milliseconds(2001), Serving::Refuse },
    { milliseconds(3600000), StoreState::DownForAll, milliseconds(0), Serving::ServeInOutage },
};

} // namespace

BOOST_DATA_TEST_CASE(judges_peers, boost::unit_test::data::make(peersCases))
{
    BOOST_TEST(static_cast<int>(inferStoreState(sample.reports, Revision(7))) == static_cast<int>(sample.expected));
}

BOOST_DATA_TEST_CASE(decides, boost::unit_test::data::make(decideCases))
{
    FreshnessGuard guard;
    TimePoint polledAt { std::chrono::hours(1) };
    guard.setStoreState(sample.state, polledAt);
    Serving serving = guard.decide(sample.viewAge, polledAt + sample.pollAge);
    BOOST_TEST(static_cast<int>(serving) == static_cast<int>(sample.expected));
}

// Guards against an initial state that counts as a peer poll at time 0.
BOOST_AUTO_TEST_CASE(refuses_without_any_answer)
{
    FreshnessGuard guard;
    BOOST_TEST(static_cast<int>(guard.decide(viewStaleAge, TimePoint())) == static_cast<int>(Serving::Refuse));
}
