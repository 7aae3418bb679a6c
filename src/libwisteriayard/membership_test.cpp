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
    /// Time without contact with the store before the registration is missing from the list.
    Duration contactGap;
    /// Another entry had contact with the store throughout.
    bool peerHadContact;
    bool removedAtOnce;
};
std::ostream& operator<<(std::ostream& out, const OutageCase& each) { return out << each.contactGap.count(); }

const OutageCase outageCases[] = {
    { milliseconds(0), false, true },
    { milliseconds(3100), false, true },
    { milliseconds(4500), false, false },
    { milliseconds(12000), true, true },
};

struct RegistrationCase {
    RegistrationState state;
    Duration latest;
};
std::ostream& operator<<(std::ostream& out, const RegistrationCase& each)
{
    return out << static_cast<int>(each.state);
}

const RegistrationCase registrationCases[] = {
    { RegistrationState::Confirmed, milliseconds(3000) },
    { RegistrationState::Lapsed, milliseconds(0) },
    { RegistrationState::Unconfirmed, milliseconds(1000) },
};

struct LeavingCase {
    const char* name;
    /// The incarnation listed after the shutdown announcement, and whether the registration was removed in between.
    Incarnation listed;
    bool removedBefore;
    Duration after;
    bool usable;
};
std::ostream& operator<<(std::ostream& out, const LeavingCase& each) { return out << each.name; }

const LeavingCase leavingCases[] = {
    { "the list lags", first, false, milliseconds(100), false },
    { "the registration lapsed and is back", first, true, seconds(9), false },
    { "the endpoint restarted", second, false, milliseconds(100), true },
    { "the endpoint left and is back", second, true, seconds(9), true },
};

} // namespace

// Guards against requests to an endpoint that has announced its shutdown while the store still lists it as ready.
BOOST_DATA_TEST_CASE(word_of_a_leaving_endpoint_holds_until_it_restarts, data::make(leavingCases), each)
{
    Membership membership;
    membership.storeContacted(start);
    BOOST_TEST(membership.registrationListed(id, first));
    membership.shutdownAnnounced(id, first, start);
    TimePoint later = start + each.after;
    membership.storeContacted(later);
    if (each.removedBefore)
        membership.registrationRemoved(id, later);
    BOOST_TEST(membership.registrationListed(id, each.listed) == each.usable);
    BOOST_TEST(membership.registrationListed(id, each.listed) == each.usable);
}

// Guards against requests to a restarted endpoint that is shutting down again, when a late response of its former
// incarnation replaces the newer announcement.
BOOST_AUTO_TEST_CASE(late_word_of_a_former_incarnation_changes_nothing)
{
    Membership membership;
    membership.storeContacted(start);
    membership.registrationListed(id, second);
    membership.shutdownAnnounced(id, second, start);
    membership.shutdownAnnounced(id, first, start + milliseconds(10));
    BOOST_TEST(!membership.registrationListed(id, second));
}

// Guards against removing all endpoints whose registrations lapsed during a store outage, and against keeping endpoints
// that were removed while only this entry had lost the store (DRAIN on scale-2, seed 617213339173).
BOOST_DATA_TEST_CASE(missing_entries_get_grace_after_an_outage_only, data::make(outageCases), each)
{
    Membership membership;
    membership.storeContacted(start);
    membership.registrationListed(id, first);
    TimePoint back = start + each.contactGap;
    membership.storeContacted(back);
    if (each.peerHadContact)
        membership.storeWasUpSince(start - seconds(20), back);
    BOOST_TEST(membership.registrationRemoved(id, back) == each.removedAtOnce);
    BOOST_TEST(membership.removeLapsed(back + milliseconds(1900)).empty());
    BOOST_TEST(membership.removeLapsed(back + milliseconds(2200)).empty() == each.removedAtOnce);
}

// Guards against removing an endpoint that has registered again.
BOOST_AUTO_TEST_CASE(returned_entry_stays)
{
    Membership membership;
    membership.storeContacted(start);
    membership.registrationListed(id, first);
    membership.storeContacted(start + seconds(8));
    BOOST_TEST(!membership.registrationRemoved(id, start + seconds(8)));
    membership.registrationListed(id, first);
    BOOST_TEST(membership.removeLapsed(start + seconds(20)).empty());
    BOOST_TEST(membership.members().count(id) == 1u);
}

// Guards against ignoring a peer's contact time that arrives after the grace period has begun.
BOOST_AUTO_TEST_CASE(peer_ends_a_grace_that_has_begun)
{
    Membership membership;
    membership.storeContacted(start);
    membership.registrationListed(id, first);
    TimePoint back = start + seconds(8);
    membership.storeContacted(back);
    BOOST_TEST(!membership.registrationRemoved(id, back));
    membership.storeWasUpSince(start + seconds(4), back + milliseconds(50));
    BOOST_TEST(membership.removeLapsed(back + milliseconds(50)).empty());
    membership.storeWasUpSince(start - seconds(4), back + milliseconds(50));
    BOOST_TEST(membership.removeLapsed(back + milliseconds(50)).size() == 1u);
}

// Guards against an entry that stays unregistered for seconds after it has reached the store again: the others did not
// send it their reports, so it kept endpoints that had left and sent requests to them. Confirmed: three calls in the
// time to live of 9 s; the others: well within the grace period of 2.1 s.
BOOST_DATA_TEST_CASE(entry_registers_again_soon, data::make(registrationCases), each)
{
    BOOST_TEST(registrationCallDelay(each.state) <= each.latest);
}

// Guards against dropping an endpoint that joined after the copy from which the store was restored, although other
// entries report that there was no outage.
BOOST_AUTO_TEST_CASE(endpoint_missing_after_a_restoration_gets_grace)
{
    Membership membership;
    membership.storeContacted(start);
    membership.registrationListed(id, first);
    TimePoint back = start + seconds(1);
    membership.storeContacted(back);
    membership.storeRestored(back);
    BOOST_TEST(!membership.registrationRemoved(id, back));
    membership.storeWasUpSince(start - seconds(4), back + milliseconds(50));
    BOOST_TEST(membership.removeLapsed(back + milliseconds(1900)).empty());
    BOOST_TEST(membership.removeLapsed(back + milliseconds(2200)).size() == 1u);
}

struct DepartureCase {
    const char* name;
    Incarnation departed;
    Incarnation listed;
    bool listedSince;
    bool hasDeparted;
};
std::ostream& operator<<(std::ostream& out, const DepartureCase& each) { return out << each.name; }

const DepartureCase departureCases[] = {
    { "same_incarnation", first, first, false, true },
    { "earlier_incarnation", second, first, false, true },
    { "later_incarnation", first, second, false, false },
    { "same_incarnation_listed_since", first, first, true, false },
};

// Guards against requests to an endpoint that left after the copy from which the store was restored, and against
// ignoring one that came back.
BOOST_DATA_TEST_CASE(departures_are_remembered, data::make(departureCases), each)
{
    Membership membership;
    membership.storeContacted(start);
    membership.registrationListed(id, each.departed);
    membership.departed(id, each.departed, start);
    if (each.listedSince)
        membership.registrationListed(id, each.listed);
    BOOST_TEST(membership.hasDeparted(id, each.listed) == each.hasDeparted);
}

// Guards against holding back records of the restored list forever: some are not written again.
BOOST_AUTO_TEST_CASE(restored_list_settles)
{
    Membership membership;
    BOOST_TEST(membership.isRestoredListSettled(start));
    membership.storeRestored(start);
    BOOST_TEST(!membership.isRestoredListSettled(start + milliseconds(4900)));
    BOOST_TEST(membership.isRestoredListSettled(start + milliseconds(5000)));
}
