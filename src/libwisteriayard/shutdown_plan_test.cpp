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

struct AdmissionCase {
    const char* name;
    Duration after;
    /// Time from now until the request's deadline.
    Duration timeLeft;
    bool admitted;
};
std::ostream& operator<<(std::ostream& out, const AdmissionCase& each) { return out << each.name; }

const AdmissionCase admissionCases[] = {
    { "long at once", milliseconds(0), seconds(15), true },
    { "long while the balancer may send connections", milliseconds(2800), seconds(15), true },
    { "long later", milliseconds(3000), seconds(6), false },
    { "ends in time", milliseconds(3000), milliseconds(3700), true },
    { "ends just too late", milliseconds(3000), milliseconds(3850), false },
    { "short and late", milliseconds(5200), milliseconds(1500), true },
    { "short and too late", milliseconds(5400), milliseconds(1500), false },
    { "without time", milliseconds(6750), milliseconds(0), true },
    { "after the end", milliseconds(6950), milliseconds(0), false },
};

const Duration graces[] = { milliseconds(100), seconds(1), seconds(3), seconds(8), seconds(60) };

} // namespace

// Guards against a stop that ends while a request is being read, or waits for requests until the process is killed.
BOOST_DATA_TEST_CASE(stop_waits_for_busy_connections, data::make(phaseCases), each)
{
    ShutdownPlan plan(signalledAt, seconds(8));
    BOOST_TEST((plan.phase(each.busyConnections, signalledAt + each.after) == each.phase));
}

// Guards against requests that are admitted late and cut off before their timeout, and against refusals of requests
// that end in time.
BOOST_DATA_TEST_CASE(late_requests_must_end_in_time, data::make(admissionCases), each)
{
    TimePoint now = signalledAt + each.after;
    ShutdownPlan plan(signalledAt, seconds(8));
    BOOST_TEST(plan.admits(now + each.timeLeft, now) == each.admitted);
    plan.finish(now);
    BOOST_TEST(!plan.admits(now + each.timeLeft, now));
}

// Guards against store calls that outlast the time until the process is killed, and against a short time that is used
// up by what is kept back.
BOOST_DATA_TEST_CASE(store_calls_end_before_the_process_is_killed, data::make(graces), grace)
{
    ShutdownPlan plan(signalledAt, grace);
    BOOST_TEST((plan.requestsEnd() >= signalledAt + scaled(grace, 5.0 / 6)));
    TimePoint storeCallsEnd = plan.storeCallsEnd(plan.requestsEnd());
    BOOST_TEST((plan.requestsEnd() < storeCallsEnd));
    BOOST_TEST((storeCallsEnd < signalledAt + grace));
}
