#define BOOST_TEST_MODULE endpoint_pause
#include "wisteriayard/endpoint_pause.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start(seconds(50));

struct PauseRequest {
    Duration at;
    Duration time;
};

struct PauseCase {
    const char* name;
    std::vector<PauseRequest> requests;
    /// End of the pause; 0 if there is none.
    Duration end;
};
std::ostream& operator<<(std::ostream& out, const PauseCase& each) { return out << each.name; }

const PauseCase pauseCases[] = {
    { "single", { { milliseconds(0), seconds(2) } }, seconds(2) },
    { "fraction", { { milliseconds(0), milliseconds(250) } }, milliseconds(250) },
    { "later and longer", { { milliseconds(0), seconds(2) }, { seconds(1), seconds(3) } }, seconds(4) },
    { "later and shorter", { { milliseconds(0), seconds(5) }, { seconds(1), seconds(1) } }, seconds(5) },
    { "none", { { milliseconds(0), seconds(0) } }, seconds(0) },
    { "negative", { { milliseconds(0), seconds(-3) } }, seconds(0) },
    { "negative in a pause", { { milliseconds(0), seconds(2) }, { seconds(1), seconds(-9) } }, seconds(2) },
    { "absurd", { { milliseconds(0), Duration::max() } }, hours(1) },
};

} // namespace

// Guards against requests to an endpoint before its pause ends, and against an endpoint that is excluded because of a
// meaningless value: zero, negative or absurdly long.
BOOST_DATA_TEST_CASE(pause_holds_until_the_latest_end, data::make(pauseCases), each)
{
    EndpointPause pause;
    for (const PauseRequest& request : each.requests) {
        TimePoint before = pause.end();
        bool longer = pause.extend(request.time, start + request.at);
        BOOST_TEST(longer == (pause.end() > before));
    }
    if (each.end == Duration(0)) {
        BOOST_TEST(!pause.isActive(start));
        return;
    }
    BOOST_TEST(pause.isActive(start + each.end - Duration(1)));
    BOOST_TEST(!pause.isActive(start + each.end));
}

// Pattern: many callers are refused while all endpoints are paused. Guards against all of them retrying at the same
// instant, and against retries before the pause ends.
BOOST_AUTO_TEST_CASE(retries_of_refused_callers_are_spread)
{
    RetrySpread spread;
    TimePoint end = start + seconds(2);
    std::set<TimePoint> retries;
    for (int caller = 0; caller < 50; ++caller) {
        TimePoint now = start + milliseconds(5 * caller);
        retries.insert(now + spread.nextRetryAfter(end, now));
    }
    BOOST_TEST(retries.size() == 50u);
    BOOST_TEST((*retries.begin() >= end));
    BOOST_TEST((*retries.rbegin() <= end + seconds(1)));
}
