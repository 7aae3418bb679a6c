#define BOOST_TEST_MODULE refused_callers
#include "wisteriayard/refused_callers.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(Duration time) { return TimePoint(seconds(100) + time); }

struct ReturnCase {
    const char* name;
    /// Times of further refusals, before which the request is to be retried after 300 ms.
    std::vector<Duration> refusedAgain;
    Duration returnsAt;
    bool isDue;
    int refusals;
};
std::ostream& operator<<(std::ostream& out, const ReturnCase& each) { return out << each.name; }

const ReturnCase returnCases[] = {
    { "at its time", {}, milliseconds(300), true, 1 },
    { "rounded down", {}, milliseconds(295), true, 1 },
    { "too early", {}, milliseconds(100), false, 1 },
    { "later", {}, milliseconds(2299), true, 1 },
    { "too late", {}, milliseconds(2300), false, 0 },
    { "early retries keep the time", { milliseconds(100), milliseconds(200) }, milliseconds(300), true, 3 },
    { "refused at its time", { milliseconds(300) }, milliseconds(500), false, 2 },
    { "refused at its time, and due again", { milliseconds(300) }, milliseconds(600), true, 2 },
};

} // namespace

// Guards against callers that are refused again although they return at their time, and against a reward for those
// that retry immediately.
BOOST_DATA_TEST_CASE(requests_are_due_at_their_time, data::make(returnCases), each)
{
    RefusedCallers callers;
    SegmentTag segment = segmentTag(7);
    callers.refused(segment, at(milliseconds(300)), at(milliseconds(0)));
    for (Duration time : each.refusedAgain)
        callers.refused(segment, at(time + milliseconds(300)), at(time));
    BOOST_TEST(callers.isDue(segment, at(each.returnsAt)) == each.isDue);
    BOOST_TEST(callers.refusals(segment, at(each.returnsAt)) == each.refusals);
    BOOST_TEST(!callers.isDue(segmentTag(8), at(each.returnsAt)));
}

// Guards against a request that stays privileged after it was served.
BOOST_AUTO_TEST_CASE(placed_requests_are_forgotten)
{
    RefusedCallers callers;
    callers.refused(segmentTag(7), at(milliseconds(100)), at(milliseconds(0)));
    callers.placed(segmentTag(7));
    BOOST_TEST(!callers.isDue(segmentTag(7), at(milliseconds(200))));
    BOOST_TEST(callers.takeReport(at(milliseconds(200))).empty());
}

// Guards against retries at another entry that count as first-time requests there, and against reports without end.
BOOST_AUTO_TEST_CASE(reports_make_requests_due_at_other_entries)
{
    RefusedCallers first;
    RefusedCallers second;
    constexpr std::uint64_t count = 100;
    for (std::uint64_t i = 0; i < count; ++i)
        first.refused(segmentTag(i), at(milliseconds(300)), at(milliseconds(0)));
    auto report = first.takeReport(at(milliseconds(50)));
    BOOST_TEST(report.size() == RefusedCallers::maxReported);
    second.applyReport(report, at(milliseconds(51)));
    BOOST_TEST(!second.isDue(segmentTag(0), at(milliseconds(200))));
    BOOST_TEST(second.isDue(segmentTag(0), at(milliseconds(301))));
    BOOST_TEST(!second.isDue(segmentTag(count - 1), at(milliseconds(301))));
    BOOST_TEST(!second.hasNews());
    second.applyReport(first.takeReport(at(milliseconds(150))), at(milliseconds(151)));
    BOOST_TEST(second.isDue(segmentTag(count - 1), at(milliseconds(301))));
    BOOST_TEST(!first.hasNews());
}

// Guards against memory that grows with the number of refusals.
BOOST_AUTO_TEST_CASE(records_are_bounded)
{
    RefusedCallers callers(10);
    for (std::uint64_t i = 0; i < 50; ++i)
        callers.refused(segmentTag(i), at(milliseconds(100)), at(milliseconds(0)));
    BOOST_TEST(callers.size() == 10u);
    BOOST_TEST(!callers.isDue(segmentTag(39), at(milliseconds(100))));
    BOOST_TEST(callers.isDue(segmentTag(40), at(milliseconds(100))));
    // Expired records make room before others are evicted.
    callers.refused(segmentTag(60), at(seconds(4)), at(seconds(3)));
    BOOST_TEST(callers.size() == 1u);
}

// Guards against late retries that take more than their share of the engine time.
BOOST_AUTO_TEST_CASE(late_retries_take_a_share_of_the_work)
{
    ReturnBudget budget(0.2);
    Duration taken {};
    Duration work {};
    for (int i = 0; i < 1000; ++i) {
        budget.recordWork(milliseconds(80));
        work += milliseconds(80);
        while (budget.tryTake(milliseconds(80)))
            taken += milliseconds(80);
    }
    BOOST_TEST(toSeconds(taken) > 0.2 * toSeconds(work));
    BOOST_TEST(toSeconds(taken) < 0.2 * toSeconds(work) + 0.6);
}

// Guards against a large account whose late retries leave nothing to those of others.
BOOST_AUTO_TEST_CASE(accounts_above_their_share_leave_half_of_the_budget)
{
    ReturnBudget budget(0.2);
    int large = 0;
    int others = 0;
    while (budget.tryTake(milliseconds(50), true))
        ++large;
    while (budget.tryTake(milliseconds(50)))
        ++others;
    BOOST_TEST(large == 5);
    BOOST_TEST(others == 5);
}

namespace {

struct SpreadCase {
    const char* name;
    Duration earliest;
    Duration spacing;
    Duration longest;
    int callers;
    /// Limits of the times, and the number of different ones.
    Duration first;
    Duration last;
    std::size_t different;
};
std::ostream& operator<<(std::ostream& out, const SpreadCase& each) { return out << each.name; }

const SpreadCase spreadCases[] = {
    { "one caller", milliseconds(100), milliseconds(90), seconds(1), 1, milliseconds(100), milliseconds(100), 1 },
    { "within the limit", milliseconds(100), milliseconds(90), seconds(1), 10, milliseconds(100), milliseconds(910),
        10 },
    { "beyond the limit", milliseconds(100), milliseconds(90), seconds(1), 100, milliseconds(100), seconds(1), 100 },
    { "no time left", milliseconds(500), milliseconds(90), milliseconds(300), 5, milliseconds(300), milliseconds(300),
        1 },
};

} // namespace

// Guards against retries that arrive all at the same instant, or before there is capacity for them.
BOOST_DATA_TEST_CASE(retries_are_spread, data::make(spreadCases), each)
{
    ReturnTimes times;
    std::set<Duration> chosen;
    for (int i = 0; i < each.callers; ++i)
        chosen.insert(times.next(each.earliest, each.spacing, each.longest, at(milliseconds(0))));
    BOOST_TEST((*chosen.begin() >= each.first));
    BOOST_TEST((*chosen.rbegin() <= each.last));
    BOOST_TEST(chosen.size() == each.different);
}
