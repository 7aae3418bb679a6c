#define BOOST_TEST_MODULE zone_planner
#include "wisteriayard/zone_planner.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
using std::chrono::seconds;

namespace {

const TargetId target("m");

TimePoint at(int second) { return TimePoint(seconds(second)); }

int ordered(ZonePlanner& planner, int endpoints, int busy, int second)
{
    auto orders = planner.plan({ { target, endpoints, endpoints * 10, busy, 0 } }, at(second));
    return orders.empty() ? 0 : orders.front().endpoints;
}

struct PlanCase {
    int endpoints;
    int busy;
    /// Ordered endpoints immediately, after 5 s and after 120 s of this load; 0 is none.
    int first, later, last;
};

std::ostream& operator<<(std::ostream& out, const PlanCase& c) { return out << c.endpoints << " at " << c.busy; }

// Guards against too few endpoints in a lasting burst, and against endpoints that stay idle.
const PlanCase cases[] = {
    { 2, 18, 0, 3, 3 },
    { 2, 90, 0, 4, 4 },
    { 2, 12, 0, 0, 0 },
    { 2, 4, 0, 0, 1 },
    { 1, 0, 0, 0, 0 },
    { 0, 0, 0, 0, 0 },
};

} // namespace

BOOST_DATA_TEST_CASE(orders_follow_lasting_load, boost::unit_test::data::make(cases))
{
    ZonePlanner planner { PlannerPolicy {} };
    BOOST_TEST(ordered(planner, sample.endpoints, sample.busy, 0) == sample.first);
    BOOST_TEST(ordered(planner, sample.endpoints, sample.busy, 5) == sample.later);
    BOOST_TEST(ordered(planner, sample.endpoints, sample.busy, 120) == sample.last);
}

// Guards against starting and stopping endpoints with each short burst.
BOOST_AUTO_TEST_CASE(short_burst_orders_nothing)
{
    ZonePlanner planner { PlannerPolicy {} };
    BOOST_TEST(ordered(planner, 2, 18, 0) == 0);
    BOOST_TEST(ordered(planner, 2, 10, 4) == 0);
    BOOST_TEST(ordered(planner, 2, 18, 6) == 0);
    BOOST_TEST(ordered(planner, 2, 18, 10) == 0);
}

// Guards against an order that is repeated after the zone has carried it out, or after the load has dropped.
BOOST_AUTO_TEST_CASE(order_ends_when_followed_or_not_needed)
{
    ZonePlanner planner { PlannerPolicy {} };
    ordered(planner, 2, 18, 0);
    BOOST_TEST(ordered(planner, 2, 18, 5) == 3);
    BOOST_TEST(ordered(planner, 2, 18, 6) == 3);
    BOOST_TEST(ordered(planner, 3, 18, 7) == 0);
    ZonePlanner other { PlannerPolicy {} };
    ordered(other, 2, 18, 0);
    BOOST_TEST(ordered(other, 2, 18, 5) == 3);
    BOOST_TEST(ordered(other, 2, 10, 6) == 0);
}
