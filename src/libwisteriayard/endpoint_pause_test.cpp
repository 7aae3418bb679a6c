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

struct Told {
    Duration at;
    Duration time;
};

struct PauseCase {
    const char* name;
    std::vector<Told> told;
    /// End of the pause; 0 if there is none.
    Duration end;
};
std::ostream& operator<<(std::ostream& out, const PauseCase& each) { return out << each.name; }

const PauseCase pauseCases[] = {
    { "one", { { milliseconds(0), seconds(2) } }, seconds(2) },
    { "fraction", { { milliseconds(0), milliseconds(250) } }, milliseconds(250) },
    { "later and longer", { { milliseconds(0), seconds(2) }, { seconds(1), seconds(3) } }, seconds(4) },
    { "later and shorter", { { milliseconds(0), seconds(5) }, { seconds(1), seconds(1) } }, seconds(5) },
    { "none", { { milliseconds(0), seconds(0) } }, seconds(0) },
    { "negative", { { milliseconds(0), seconds(-3) } }, seconds(0) },
    { "negative in a pause", { { milliseconds(0), seconds(2) }, { seconds(1), seconds(-9) } }, seconds(2) },
    { "absurd", { { milliseconds(0), Duration::max() } }, hours(1) },
};

} // namespace

// Guards against requests that reach an endpoint before the end of the time for which it wants none, and against an
// endpoint that is shut out by a figure that means nothing.
BOOST_DATA_TEST_CASE(pause_holds_until_the_latest_end, data::make(pauseCases), each)
{
    EndpointPause pause;
    for (const Told& told : each.told) {
        TimePoint before = pause.end();
        bool longer = pause.extend(told.time, start + told.at);
        BOOST_TEST(longer == (pause.end() > before));
    }
    if (each.end == Duration(0)) {
        BOOST_TEST(!pause.holds(start));
        return;
    }
    BOOST_TEST(pause.holds(start + each.end - Duration(1)));
    BOOST_TEST(!pause.holds(start + each.end));
}

// Pattern: a crowd is refused while all endpoints pause. Guards against its return at one instant, and against a return
// before the pause ends.
BOOST_AUTO_TEST_CASE(refused_callers_return_one_after_the_other)
{
    ReturnSpread spread;
    TimePoint end = start + seconds(2);
    std::set<TimePoint> returns;
    for (int caller = 0; caller < 50; ++caller) {
        TimePoint now = start + milliseconds(5 * caller);
        returns.insert(now + spread.next(end, now));
    }
    BOOST_TEST(returns.size() == 50u);
    BOOST_TEST((*returns.begin() >= end));
    BOOST_TEST((*returns.rbegin() <= end + seconds(1)));
}
