#define BOOST_TEST_MODULE membership
#include "wisteriayard/membership.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EndpointId id("e1");
const TimePoint start(seconds(50));
const Incarnation first(1000);
const Incarnation second(2000);

struct OutageCase {
    /// Time without contact before the entry is found missing.
    Duration silence;
    /// Another entry heard the store all the time.
    bool peerHeard;
    bool leavesAtOnce;
};
std::ostream& operator<<(std::ostream& out, const OutageCase& each) { return out << each.silence.count(); }

const OutageCase outageCases[] = {
    { milliseconds(0), false, true },
    { milliseconds(3100), false, true },
    { milliseconds(4500), false, false },
    { milliseconds(12000), true, true },
};

struct LeavingCase {
    const char* name;
    /// What the list shows after the endpoint said that it leaves, and whether its entry was away before.
    Incarnation listed;
    bool removedBefore;
    Duration after;
    bool usable;
};
std::ostream& operator<<(std::ostream& out, const LeavingCase& each) { return out << each.name; }

const LeavingCase leavingCases[] = {
    { "the list lags", first, false, milliseconds(100), false },
    { "the entry lapsed and is back", first, true, seconds(9), false },
    { "the endpoint restarted", second, false, milliseconds(100), true },
    { "the endpoint left and is back", second, true, seconds(9), true },
};

} // namespace

// Guards against requests to an endpoint that leaves while the store still lists it as ready.
BOOST_DATA_TEST_CASE(word_of_a_leaving_endpoint_holds_until_it_restarts, data::make(leavingCases), each)
{
    Membership membership;
    membership.heard(start);
    BOOST_TEST(membership.listed(id, first));
    membership.saidToLeave(id, first, start);
    TimePoint later = start + each.after;
    membership.heard(later);
    if (each.removedBefore)
        membership.unlisted(id, later);
    BOOST_TEST(membership.listed(id, each.listed) == each.usable);
    BOOST_TEST(membership.listed(id, each.listed) == each.usable);
}

// Guards against requests to a restarted endpoint that leaves too, after a late answer of its former incarnation.
BOOST_AUTO_TEST_CASE(late_word_of_a_former_incarnation_changes_nothing)
{
    Membership membership;
    membership.heard(start);
    membership.listed(id, second);
    membership.saidToLeave(id, second, start);
    membership.saidToLeave(id, first, start + milliseconds(10));
    BOOST_TEST(!membership.listed(id, second));
}

// Guards against dropping all endpoints whose entries lapsed with the store, and against keeping those that left
// while only this entry was cut off (DRAIN on scale-2, seed 617213339173).
BOOST_DATA_TEST_CASE(missing_entries_get_grace_after_an_outage_only, data::make(outageCases), each)
{
    Membership membership;
    membership.heard(start);
    membership.listed(id, first);
    TimePoint back = start + each.silence;
    membership.heard(back);
    if (each.peerHeard)
        membership.storeWasUpSince(start - seconds(20), back);
    BOOST_TEST(membership.unlisted(id, back) == each.leavesAtOnce);
    BOOST_TEST(membership.due(back + milliseconds(1900)).empty());
    BOOST_TEST(membership.due(back + milliseconds(2200)).empty() == each.leavesAtOnce);
}

// Guards against dropping an endpoint that has come back.
BOOST_AUTO_TEST_CASE(returned_entry_stays)
{
    Membership membership;
    membership.heard(start);
    membership.listed(id, first);
    membership.heard(start + seconds(8));
    BOOST_TEST(!membership.unlisted(id, start + seconds(8)));
    membership.listed(id, first);
    BOOST_TEST(membership.due(start + seconds(20)).empty());
    BOOST_TEST(membership.members().count(id) == 1u);
}

// Guards against a peer's word that arrives after the entry was found missing being ignored.
BOOST_AUTO_TEST_CASE(peer_ends_a_grace_that_has_begun)
{
    Membership membership;
    membership.heard(start);
    membership.listed(id, first);
    TimePoint back = start + seconds(8);
    membership.heard(back);
    BOOST_TEST(!membership.unlisted(id, back));
    membership.storeWasUpSince(start + seconds(4), back + milliseconds(50));
    BOOST_TEST(membership.due(back + milliseconds(50)).empty());
    membership.storeWasUpSince(start - seconds(4), back + milliseconds(50));
    BOOST_TEST(membership.due(back + milliseconds(50)).size() == 1u);
}
