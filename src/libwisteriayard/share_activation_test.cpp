#define BOOST_TEST_MODULE share_activation
#include "wisteriayard/share_activation.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(Duration time) { return TimePoint(seconds(1000) + time); }

PeerContact contact(bool isLive, bool reachesStore)
{
    PeerContact peers;
    peers.add(true, false);
    peers.add(isLive, reachesStore);
    return peers;
}

const PeerContact outage = contact(true, false);
const PeerContact storeReached = contact(true, true);
const PeerContact silentPeer = contact(false, false);

struct ActivationCase {
    const char* name;
    /// Start of the last read of the list, last confirmation, and time of the check. The entry registered at 0 s.
    Duration readAt;
    Duration confirmedAt;
    Duration checkedAt;
    bool wasRegisteredAtStart;
    PeerContact peers;
    bool active;
    bool exclusive;
};
std::ostream& operator<<(std::ostream& out, const ActivationCase& each) { return out << each.name; }

const ActivationCase activationCases[] = {
    { "too early", seconds(6), seconds(6), milliseconds(7900), false, storeReached, false, false },
    { "counted by all", seconds(6), seconds(6), seconds(8), false, storeReached, true, true },
    { "restarted", seconds(1), seconds(1), seconds(2), true, storeReached, true, false },
    { "list not read since the registration", seconds(-1), seconds(6), seconds(8), false, storeReached, false, false },
    { "old list", seconds(1), seconds(6), milliseconds(8900), false, storeReached, true, false },
    { "list that is not too old", seconds(1), seconds(6), milliseconds(8899), false, storeReached, true, true },
    { "not confirmed", seconds(14), seconds(6), seconds(15), false, storeReached, false, false },
    { "outage", seconds(14), seconds(14), seconds(40), false, outage, true, true },
    { "outage, and a silent entry", seconds(14), seconds(14), seconds(40), false, silentPeer, true, false },
    { "outage after a short registration", seconds(6), seconds(6), seconds(40), false, outage, true, false },
    { "alone without the store", seconds(14), seconds(14), seconds(40), false, PeerContact(), true, true },
};

} // namespace

// Guards against shares that are used before the others count this entry, after they may have ceased to, and by two
// entries at a time.
BOOST_DATA_TEST_CASE(shares_are_used_while_they_are_this_entrys, data::make(activationCases), each)
{
    ShareActivation activation;
    activation.registering();
    activation.registered(at(seconds(0)), at(seconds(0)), each.wasRegisteredAtStart, false);
    activation.listRead(at(each.readAt), at(each.readAt + milliseconds(1)));
    activation.confirmed(at(each.confirmedAt));
    TimePoint now = at(each.checkedAt);
    BOOST_TEST(activation.isActive(each.peers, now) == each.active);
    BOOST_TEST((now < activation.updateExclusive(each.peers, now)) == each.exclusive);
}

// Pattern: an entry loses the store alone, and later the store is down for all. Guards against shares that another
// entry took over in between.
BOOST_AUTO_TEST_CASE(shares_that_lapsed_stay_unused_in_an_outage)
{
    ShareActivation activation;
    activation.registered(at(seconds(0)), at(seconds(0)), false, false);
    activation.listRead(at(seconds(14)), at(seconds(14)));
    activation.confirmed(at(seconds(14)));
    BOOST_TEST((activation.updateExclusive(storeReached, at(seconds(15))) == at(milliseconds(21900))));
    BOOST_TEST((activation.updateExclusive(storeReached, at(seconds(24))) < at(seconds(24))));
    BOOST_TEST((activation.updateExclusive(outage, at(seconds(40))) < at(seconds(40))));
    activation.confirmed(at(seconds(41)));
    activation.listRead(at(seconds(41)), at(seconds(41)));
    BOOST_TEST((activation.updateExclusive(storeReached, at(seconds(42))) > at(seconds(42))));
}

// Guards against an entry that uses shares after a restart of its registration as if it had never lapsed.
BOOST_AUTO_TEST_CASE(new_registration_starts_anew_unless_it_was_counted)
{
    for (bool wasCounted : { false, true }) {
        ShareActivation activation;
        activation.registered(at(seconds(0)), at(seconds(0)), false, false);
        activation.registering();
        activation.registered(at(seconds(20)), at(seconds(20)), false, wasCounted);
        activation.listRead(at(seconds(21)), at(seconds(21)));
        BOOST_TEST(activation.isActive(storeReached, at(seconds(22))) == wasCounted);
        BOOST_TEST((activation.updateExclusive(storeReached, at(seconds(22))) > at(seconds(22))) == wasCounted);
    }
}
