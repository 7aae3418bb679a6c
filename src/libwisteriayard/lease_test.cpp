#define BOOST_TEST_MODULE lease
#include "wisteriayard/lease.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

using namespace wisteriayard;
using std::chrono::seconds;

namespace {

TimePoint at(int second) { return TimePoint(seconds(second)); }

LeaseHolder holderIn(LeaseState state)
{
    LeaseHolder holder(LeaseTimes { seconds(6), seconds(1) });
    if (state == LeaseState::Free)
        return holder;
    BOOST_REQUIRE(holder.requestSent(at(0)));
    if (state == LeaseState::Unsure)
        BOOST_REQUIRE(holder.answerLost());
    if (state == LeaseState::Waiting || state == LeaseState::Holding)
        BOOST_REQUIRE(holder.acquired(Epoch(7), at(0)));
    if (state == LeaseState::Holding) {
        BOOST_REQUIRE(holder.renewed(at(4)));
        holder.timePassed(at(7));
    }
    BOOST_REQUIRE(holder.state() == state);
    return holder;
}

struct EventCase {
    const char* name;
    std::function<Status(LeaseHolder&)> send;
    /// Next state for each state; equal letters are the states' first letters, '-' is not allowed.
    const char* next;
};

std::ostream& operator<<(std::ostream& out, const EventCase& c) { return out << c.name; }

// Columns: Free, Acquiring, Unsure, Waiting, Holding.
const EventCase events[] = {
    { "requestSent", [](LeaseHolder& h) { return h.requestSent(at(7)); }, "a----" },
    { "acquired", [](LeaseHolder& h) { return h.acquired(Epoch(9), at(7)); }, "-ww--" },
    { "refused", [](LeaseHolder& h) { return h.refused(); }, "-ff--" },
    { "answerLost", [](LeaseHolder& h) { return h.answerLost(); }, "-u---" },
    { "renewed", [](LeaseHolder& h) { return h.renewed(at(7)); }, "---wh" },
    { "lost", [](LeaseHolder& h) { return h.lost(); }, "---ff" },
};

const LeaseState states[]
    = { LeaseState::Free, LeaseState::Acquiring, LeaseState::Unsure, LeaseState::Waiting, LeaseState::Holding };

} // namespace

// Guards against an answer that arrives in the wrong state and gives authority.
BOOST_DATA_TEST_CASE(allows_each_event_only_where_listed, boost::unit_test::data::make(events))
{
    for (std::size_t i = 0; i < std::size(states); ++i) {
        LeaseHolder holder = holderIn(states[i]);
        bool allowed = sample.next[i] != '-';
        BOOST_TEST(bool(sample.send(holder)) == allowed, leaseStateName(states[i]));
        char state = leaseStateName(holder.state())[0];
        BOOST_TEST(state == (allowed ? sample.next[i] : leaseStateName(states[i])[0]), leaseStateName(states[i]));
    }
}

// Guards against orders while those of the former holder may still arrive.
BOOST_AUTO_TEST_CASE(successor_waits_for_lease_and_margin)
{
    LeaseHolder holder = holderIn(LeaseState::Waiting);
    BOOST_REQUIRE(holder.renewed(at(4)));
    holder.timePassed(at(6));
    BOOST_TEST(!holder.authorityEnds(at(6)));
    holder.timePassed(at(7));
    BOOST_TEST((holder.authorityEnds(at(7)) == at(9)));
}

// Guards against lease time that counts from the answer instead of the request.
BOOST_AUTO_TEST_CASE(authority_counts_from_the_request)
{
    LeaseHolder holder = holderIn(LeaseState::Holding);
    BOOST_TEST((holder.authorityEnds(at(8)) == at(9)));
    BOOST_TEST(!holder.authorityEnds(at(9)));
    holder.timePassed(at(9));
    BOOST_TEST((holder.state() == LeaseState::Free));
}

// Guards against a late answer to an older renewal that shortens or revives a lease.
BOOST_AUTO_TEST_CASE(older_renewal_changes_nothing)
{
    LeaseHolder holder = holderIn(LeaseState::Holding);
    BOOST_REQUIRE(holder.renewed(at(2)));
    BOOST_TEST((holder.authorityEnds(at(8)) == at(9)));
}
