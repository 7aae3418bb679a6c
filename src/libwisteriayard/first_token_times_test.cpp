#define BOOST_TEST_MODULE first_token_times
#include "wisteriayard/first_token_times.h"

#include "wisteriayard/engine_speed.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(Duration time) { return TimePoint(seconds(100) + time); }

struct MedianCase {
    const char* name;
    std::vector<double> own;
    /// Times that each other entry reports.
    std::vector<std::vector<double>> reported;
    Duration after;
    /// 0 if there is none.
    double median;
};
std::ostream& operator<<(std::ostream& out, const MedianCase& each) { return out << each.name; }

const MedianCase medianCases[] = {
    { "nothing known", {}, {}, seconds(0), 0 },
    { "one sample is no estimate", { 90 }, {}, seconds(0), 0 },
    { "three own samples", { 10, 90, 12 }, {}, seconds(0), 12 },
    { "reports alone", {}, { { 10 }, { 12 }, { 14 } }, seconds(0), 12 },
    { "own samples and reports", { 9 }, { { 10 }, { 12 } }, seconds(0), 10 },
    { "wrong reports of one entry count once", { 10, 11 }, { { 300, 300, 300, 300 }, { 12 } }, seconds(0), 12 },
    { "reports about several engines are averaged", {}, { { 8, 16 }, { 12 }, { 12 } }, seconds(0), 12 },
    { "old reports don't count", { 9 }, { { 10 }, { 12 } }, seconds(16), 0 },
};

} // namespace

// Guards against an estimate from a single slow response or a single wrong report.
BOOST_DATA_TEST_CASE(median_of_samples_and_reports, data::make(medianCases), each)
{
    FirstTokenTimes times;
    for (double time : each.own)
        times.addOwn(time);
    for (std::size_t peer = 0; peer < each.reported.size(); ++peer) {
        for (double time : each.reported[peer])
            times.addReport(InstanceId("p" + std::to_string(peer)), time, at(seconds(0)));
    }
    auto median = times.median(at(each.after));
    BOOST_TEST(median.value_or(0) == each.median, boost::test_tools::tolerance(1e-9));
}

// Guards against refusals by a new entry that still uses the assumed time although others have measured it, and against
// reports that replace the estimate of an entry with samples of its own.
BOOST_AUTO_TEST_CASE(reports_replace_the_assumed_time_of_a_new_entry_only)
{
    for (bool shares : { false, true }) {
        EngineSpeed speed(seconds(2), shares);
        EngineSpeed::Engine engine;
        BOOST_TEST(speed.isAssumed() == shares);
        double assumed = speed.meanTokenTime();
        for (int peer = 0; peer < 3; ++peer)
            speed.applyReport(engine, InstanceId("p" + std::to_string(peer)), { 11, 0, {} }, at(seconds(0)));
        BOOST_TEST(!speed.isAssumed());
        BOOST_TEST(speed.meanTokenTime() == (shares ? 11 : assumed));
        if (!shares)
            continue;
        for (std::size_t i = 0; i < FirstTokenTimes::enoughSamples; ++i)
            speed.recordFirstEvent(engine, 5000, milliseconds(60 + 5 * 12), at(milliseconds(100)));
        BOOST_TEST(speed.meanTokenTime() == 12, boost::test_tools::tolerance(1e-6));
        for (int peer = 0; peer < 30; ++peer)
            speed.applyReport(engine, InstanceId("q" + std::to_string(peer)), { 40, 0, {} }, at(milliseconds(200)));
        BOOST_TEST(speed.meanTokenTime() == 12, boost::test_tools::tolerance(1e-6));
    }
}
