#define BOOST_TEST_MODULE shutdown_plan
#include "wisteriayard/shutdown_plan.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint signalledAt(seconds(50));

struct PhaseCase {
    const char* name;
    std::size_t busyConnections;
    Duration after;
    ShutdownPhase phase;
};
std::ostream& operator<<(std::ostream& out, const PhaseCase& each) { return out << each.name; }

const PhaseCase phaseCases[] = {
    { "quiet at once", 0, milliseconds(0), ShutdownPhase::Serving },
    { "quiet while the balancer may send connections", 0, milliseconds(3000), ShutdownPhase::ClosingIdle },
    { "quiet later", 0, milliseconds(3300), ShutdownPhase::Finishing },
    { "busy", 1, milliseconds(3300), ShutdownPhase::ClosingIdle },
    { "busy for long", 1, milliseconds(6800), ShutdownPhase::ClosingIdle },
    { "busy until the end", 1, milliseconds(7000), ShutdownPhase::Finishing },
};

} // namespace

// Guards against a stop that ends while a request is being read, or waits for requests until the process is killed.
BOOST_DATA_TEST_CASE(stop_waits_for_busy_connections, data::make(phaseCases), each)
{
    ShutdownPlan plan(signalledAt, seconds(8));
    BOOST_TEST((plan.phase(each.busyConnections, signalledAt + each.after) == each.phase));
}

const Duration graces[] = { milliseconds(100), seconds(1), seconds(3), seconds(8), seconds(60) };

// Guards against store calls that outlast the time until the process is killed, and against a short time that is used
// up by what is kept back.
BOOST_DATA_TEST_CASE(store_calls_end_before_the_process_is_killed, data::make(graces), grace)
{
    ShutdownPlan plan(signalledAt, grace);
    BOOST_TEST((plan.requestsEnd() >= signalledAt + scaled(grace, 0.69)));
    TimePoint storeCallsEnd = plan.storeCallsEnd(plan.requestsEnd());
    BOOST_TEST((plan.requestsEnd() < storeCallsEnd));
    BOOST_TEST((storeCallsEnd < signalledAt + grace));
}
