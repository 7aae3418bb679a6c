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
    if (state == LeaseState::Indeterminate)
        BOOST_REQUIRE(holder.requestUnanswered());
    if (state == LeaseState::Waiting || state == LeaseState::Holding)
        BOOST_REQUIRE(holder.acquired(Epoch(7), at(0)));
    if (state == LeaseState::Holding) {
        BOOST_REQUIRE(holder.renewed(at(4)));
        holder.tick(at(7));
    }
    BOOST_REQUIRE(holder.state() == state);
    return holder;
}

struct EventCase {
    const char* name;
    std::function<Status(LeaseHolder&)> send;
    /// Next state for each state, by the first letter of its name; '-' if the event is not allowed.
    const char* next;
};

std::ostream& operator<<(std::ostream& out, const EventCase& c) { return out << c.name; }

// Columns: Free, Acquiring, Indeterminate, Waiting, Holding.
const EventCase events[] = {
    { "requestSent", [](LeaseHolder& h) { return h.requestSent(at(7)); }, "a----" },
    { "acquired", [](LeaseHolder& h) { return h.acquired(Epoch(9), at(7)); }, "-ww--" },
    { "refused", [](LeaseHolder& h) { return h.refused(); }, "-ff--" },
    { "requestUnanswered", [](LeaseHolder& h) { return h.requestUnanswered(); }, "-u---" },
    { "renewed", [](LeaseHolder& h) { return h.renewed(at(7)); }, "---wh" },
    { "lost", [](LeaseHolder& h) { return h.lost(); }, "---ff" },
};

const LeaseState states[]
    = { LeaseState::Free, LeaseState::Acquiring, LeaseState::Indeterminate, LeaseState::Waiting, LeaseState::Holding };

} // namespace

// Guards against a response that arrives in the wrong state and grants authority.
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
    holder.tick(at(6));
    BOOST_TEST(!holder.authorityEnds(at(6)));
    holder.tick(at(7));
    BOOST_TEST((holder.authorityEnds(at(7)) == at(9)));
}

// Guards against a time to live that counts from the response instead of the request.
BOOST_AUTO_TEST_CASE(authority_counts_from_the_request)
{
    LeaseHolder holder = holderIn(LeaseState::Holding);
    BOOST_TEST((holder.authorityEnds(at(8)) == at(9)));
    BOOST_TEST(!holder.authorityEnds(at(9)));
    holder.tick(at(9));
    BOOST_TEST((holder.state() == LeaseState::Free));
}

// Guards against a late response to an older renewal that shortens or revives a lease.
BOOST_AUTO_TEST_CASE(older_renewal_changes_nothing)
{
    LeaseHolder holder = holderIn(LeaseState::Holding);
    BOOST_REQUIRE(holder.renewed(at(2)));
    BOOST_TEST((holder.authorityEnds(at(8)) == at(9)));
}

struct ReturnCase {
    const char* name;
    /// Start of the process.
    int startedAt;
    /// When it held the lease before, if it did.
    std::optional<int> heldAt;
    int acquiredAt;
    int actsAt;
};
std::ostream& operator<<(std::ostream& out, const ReturnCase& each) { return out << each.name; }

// Time to live 6 s, safety margin 1 s, activation delay 1 s, reacquisition gap 7 s.
const ReturnCase returnCases[] = {
    { "another_instance", 0, std::nullopt, 20, 21 },
    { "restarted_instance", 19, std::nullopt, 20, 26 },
    { "instance_that_held_it", 0, 20, 26, 32 },
    { "instance_that_held_it_long_ago", 0, 20, 50, 51 },
};

// Guards against an instance that acts both before and after another one within a time to live, where the receiver does
// not check fencing tokens, and against a needless delay of all other instances.
BOOST_DATA_TEST_CASE(instance_returns_after_a_gap, boost::unit_test::data::make(returnCases), each)
{
    LeaseTimes times { seconds(6), seconds(1), seconds(1), seconds(7) };
    LeaseHolder holder(times, at(each.startedAt));
    if (each.heldAt) {
        BOOST_REQUIRE(holder.requestSent(at(*each.heldAt)));
        BOOST_REQUIRE(holder.acquired(Epoch(3), at(*each.heldAt)));
        holder.tick(at(*each.heldAt + 1));
        BOOST_REQUIRE(holder.lost());
    }
    BOOST_REQUIRE(holder.requestSent(at(each.acquiredAt)));
    BOOST_REQUIRE(holder.acquired(Epoch(9), at(each.acquiredAt)));
    for (int second = each.acquiredAt; second <= each.actsAt; ++second) {
        BOOST_REQUIRE(holder.renewed(at(second)));
        holder.tick(at(second));
        BOOST_TEST(holder.authorityEnds(at(second)).has_value() == (second >= each.actsAt));
    }
}

struct RestorationCase {
    const char* name;
    LeaseState state;
    /// First second at which the process may act.
    int actsAt;
};
std::ostream& operator<<(std::ostream& out, const RestorationCase& each) { return out << each.name; }

// Time to live 6 s, safety margin 1 s, no activation delay; the store is restored at 7 s.
const RestorationCase restorationCases[] = {
    { "successor", LeaseState::Free, 12 },
    { "request_under_way", LeaseState::Acquiring, 12 },
    { "unanswered_request", LeaseState::Indeterminate, 12 },
    { "holder", LeaseState::Holding, 12 },
};

// Guards against a successor that acts while the holder from before a restoration of the store still does.
BOOST_DATA_TEST_CASE(
    successor_waits_after_a_restoration_of_the_store, boost::unit_test::data::make(restorationCases), each)
{
    LeaseHolder holder(LeaseTimes { seconds(6), seconds(1), seconds(0) });
    if (each.state != LeaseState::Free)
        BOOST_REQUIRE(holder.requestSent(at(6)));
    if (each.state == LeaseState::Indeterminate)
        BOOST_REQUIRE(holder.requestUnanswered());
    if (each.state == LeaseState::Holding) {
        BOOST_REQUIRE(holder.acquired(Epoch(3), at(6)));
        holder.tick(at(6));
        BOOST_REQUIRE(holder.authorityEnds(at(6)));
    }
    holder.storeRestored(at(7));
    BOOST_TEST(!holder.authorityEnds(at(7)));
    if (holder.state() == LeaseState::Free)
        BOOST_REQUIRE(holder.requestSent(at(8)));
    BOOST_REQUIRE(holder.acquired(Epoch(9), at(8)));
    for (int second = 8; second <= each.actsAt; ++second) {
        BOOST_REQUIRE(holder.renewed(at(second)));
        holder.tick(at(second));
        BOOST_TEST(holder.authorityEnds(at(second)).has_value() == (second >= each.actsAt));
    }
}
