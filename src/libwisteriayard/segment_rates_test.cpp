#define BOOST_TEST_MODULE segment_rates
#include "wisteriayard/segment_rates.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(Duration time) { return TimePoint(seconds(100) + time); }

struct RateCase {
    /// Time between two requests and engine time of each.
    Duration interval;
    Duration work;
    /// Bounds of the rate after ten time constants.
    double least;
    double most;
};
std::ostream& operator<<(std::ostream& out, const RateCase& each)
{
    return out << each.work.count() << " us every " << each.interval.count() << " us";
}

const RateCase rateCases[] = {
    { milliseconds(50), milliseconds(60), 1.1, 1.3 },
    { milliseconds(10), milliseconds(1), 0.09, 0.11 },
    { seconds(5), milliseconds(50), 0.005, 0.02 },
};

} // namespace

// Guards against a rate that depends on how long ago the first request with the segment arrived.
BOOST_DATA_TEST_CASE(steady_requests_give_their_share_of_an_engine, data::make(rateCases), each)
{
    SegmentRates rates;
    Duration time {};
    for (; time < 10 * SegmentRates::timeConstant; time += each.interval)
        rates.recordRequest(7, each.work, at(time));
    BOOST_TEST(rates.rate(7, at(time)) >= each.least);
    BOOST_TEST(rates.rate(7, at(time)) <= each.most);
    BOOST_TEST(rates.rate(8, at(time)) == 0);
    BOOST_TEST(rates.rate(7, at(time + 10 * SegmentRates::timeConstant)) < 0.001);
}

// Guards against memory use that grows with every segment ever recorded.
BOOST_AUTO_TEST_CASE(idle_segments_are_removed)
{
    SegmentRates rates;
    for (std::uint64_t segment = 0; segment < 50'000; ++segment)
        rates.recordRequest(segment, milliseconds(30), at(milliseconds(5) * static_cast<int>(segment)));
    BOOST_TEST(rates.size() <= 4096u);
}

// Guards against memory use that grows with segments that are named at the same time.
BOOST_AUTO_TEST_CASE(number_of_segments_is_limited)
{
    SegmentRates rates;
    for (std::uint64_t segment = 0; segment < 10'000; ++segment)
        rates.recordRequest(segment, milliseconds(30), at(Duration(0)));
    BOOST_TEST(rates.size() == 4096u);
    BOOST_TEST(rates.rate(9'999, at(Duration(0))) == 0);
    rates.recordRequest(7, milliseconds(30), at(Duration(0)));
    BOOST_TEST(rates.rate(7, at(Duration(0))) > rates.rate(8, at(Duration(0))));
}
