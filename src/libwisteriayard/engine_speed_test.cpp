#define BOOST_TEST_MODULE engine_speed
#include "wisteriayard/engine_speed.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::int64_t tokens = 5000;
constexpr double baseUs = 60'000;

TimePoint at(Duration time) { return TimePoint(seconds(100) + time); }

Duration firstEventTime(double tokenTimeUs)
{
    return Duration(static_cast<std::int64_t>(baseUs + tokenTimeUs * static_cast<double>(tokens)));
}

/// Engines with the given times per token and event interval, each with a sample every 200 ms.
struct Samples {
    EngineSpeed speed { seconds(2) };
    std::vector<EngineSpeed::Engine> engines;
    std::mt19937 random { 3 };

    explicit Samples(std::size_t count)
        : engines(count)
    {
    }

    /// @param slowed part of the responses that take three times as long
    void add(const std::vector<double>& tokenTimes, Duration from, Duration to, double slowed = 0)
    {
        std::bernoulli_distribution isSlowed(slowed);
        for (Duration time = from; time < to; time += milliseconds(200)) {
            for (std::size_t i = 0; i < engines.size(); ++i) {
                double factor = isSlowed(random) ? 3 : 1;
                if (tokenTimes[i] <= 0)
                    continue;
                speed.recordFirstEvent(engines[i], tokens, firstEventTime(factor * tokenTimes[i]), at(time));
                speed.recordEvents(
                    engines[i], 1, Duration(static_cast<std::int64_t>(factor * 2000 * tokenTimes[i])), at(time));
            }
        }
    }
    double ratio(std::size_t first, std::size_t second, Duration time) const
    {
        return speed.tokenTime(engines[first], at(time)) / speed.tokenTime(engines[second], at(time));
    }
};

struct FleetCase {
    const char* name;
    std::vector<double> tokenTimes;
    double slowed;
    /// Range of the ratio of the first engine's time per token to that of the last one.
    double low;
    double high;
};
std::ostream& operator<<(std::ostream& out, const FleetCase& each) { return out << each.name; }

const FleetCase fleetCases[] = {
    { "equal", { 20, 20, 20, 20 }, 0, 0.99, 1.01 },
    { "all_slow", { 60, 60, 60, 60 }, 0, 0.99, 1.01 },
    { "slow_at_random", { 20, 20, 20, 20 }, 0.1, 0.8, 1.25 },
    { "one_slow", { 36, 17, 17, 17 }, 0, 1.7, 2.3 },
    { "one_slow_and_slow_at_random", { 36, 17, 17, 17 }, 0.1, 1.4, 2.6 },
};

} // namespace

// Guards against slow engines that count as fast, and equal ones that differ because of single slow responses.
BOOST_DATA_TEST_CASE(engines_are_told_apart_by_their_speed, data::make(fleetCases), each)
{
    Samples samples(each.tokenTimes.size());
    samples.add(each.tokenTimes, seconds(0), seconds(30), each.slowed);
    // Later than the samples that make up the recent average.
    double ratio = samples.ratio(0, each.tokenTimes.size() - 1, seconds(34));
    BOOST_TEST(ratio >= each.low);
    BOOST_TEST(ratio <= each.high);
}

// Guards against an engine that was slow and gets no requests, so that its recovery is not measured.
BOOST_AUTO_TEST_CASE(estimate_without_samples_returns_to_the_mean)
{
    Samples samples(4);
    samples.add({ 60, 20, 20, 20 }, seconds(0), seconds(20));
    BOOST_TEST(samples.ratio(0, 1, seconds(21)) > 2);
    samples.add({ 0, 20, 20, 20 }, seconds(20), seconds(140));
    BOOST_TEST(samples.ratio(0, 1, seconds(140)) < 1.05);
}

// Guards against an engine that counts as fast enough for a stream because its time was not computed.
BOOST_AUTO_TEST_CASE(engine_that_pauses_longer_than_a_limit_is_never_left_out)
{
    Samples samples(5);
    samples.add({ 8, 20, 24, 40, 60 }, seconds(0), seconds(10), 0.1);
    int leftOut = 0;
    for (std::size_t i = 0; i < samples.engines.size(); ++i) {
        EngineSpeed::Engine& engine = samples.engines[i];
        for (int peer = 0; peer < 3; ++peer)
            samples.speed.applyReport(engine, InstanceId("peer" + std::to_string(peer)),
                { 20, 30'000.0 * (1 + peer), milliseconds(10) }, at(seconds(10)));
        for (Duration time = seconds(10); time < seconds(40); time += seconds(3)) {
            for (Duration limit = milliseconds(5); limit < milliseconds(400); limit += milliseconds(1)) {
                bool isLonger = samples.speed.pauseTime(engine, at(time)) >= static_cast<double>(limit.count());
                bool mayBe = samples.speed.mayPauseLonger(engine, limit, at(time));
                BOOST_REQUIRE((mayBe || !isLonger));
                leftOut += mayBe ? 0 : 1;
            }
        }
    }
    BOOST_TEST(leftOut > 0);
}

// Failure: an estimate follows an engine that changes its speed only after minutes.
BOOST_AUTO_TEST_CASE(estimate_follows_an_engine_that_becomes_slow)
{
    Samples samples(4);
    samples.add({ 20, 20, 20, 20 }, seconds(0), seconds(60));
    samples.add({ 40, 20, 20, 20 }, seconds(60), seconds(75));
    BOOST_TEST(samples.ratio(0, 1, seconds(75)) > 1.4);
}

struct ReportCase {
    const char* name;
    int honest;
    SpeedReport wrong;
    /// The engine's time per token in units of the mean.
    double low;
    double high;
};
std::ostream& operator<<(std::ostream& out, const ReportCase& each) { return out << each.name; }

const ReportCase reportCases[] = {
    { "far_too_slow", 0, { 1e9, 0, Duration(0) }, 1.0, 1.6 },
    { "far_too_fast", 0, { 1e-9, 0, Duration(0) }, 0.6, 1.0 },
    { "one_of_five", 4, { 1e9, 0, Duration(0) }, 0.9, 1.1 },
    { "not_known", 0, { 0, 0, Duration(0) }, 1.0, 1.0 },
    { "from_the_past", 0, { 300, 0, seconds(60) }, 1.0, 1.0 },
    { "from_the_future", 0, { 300, 0, seconds(-60) }, 1.0, 1.6 },
};

// Failure: one wrong report makes an engine look useless, or faster than all others, to an entry without own samples.
BOOST_DATA_TEST_CASE(one_wrong_report_has_a_limited_effect, data::make(reportCases), each)
{
    Samples samples(3);
    samples.add({ 20, 20, 20 }, seconds(0), seconds(10));
    EngineSpeed::Engine engine;
    for (int i = 0; i < each.honest; ++i)
        samples.speed.applyReport(
            engine, InstanceId("honest-" + std::to_string(i)), { 20, 40'000, milliseconds(100) }, at(seconds(10)));
    for (int i = 0; i < 20; ++i)
        samples.speed.applyReport(engine, InstanceId("wrong"), each.wrong, at(seconds(10)));
    double mean = samples.speed.meanTokenTime();
    double factor = samples.speed.tokenTime(engine, at(seconds(10))) / mean;
    BOOST_TEST(factor >= each.low);
    BOOST_TEST(factor <= each.high);
}

// Failure: an entry that sends little to an engine doesn't learn from the others that it is slow.
BOOST_AUTO_TEST_CASE(reports_of_several_entries_are_used)
{
    Samples samples(3);
    samples.add({ 20, 20, 20 }, seconds(0), seconds(10));
    EngineSpeed::Engine engine;
    for (int i = 0; i < 6; ++i)
        samples.speed.applyReport(
            engine, InstanceId("entry-" + std::to_string(i)), { 44, 90'000, milliseconds(100) }, at(seconds(10)));
    BOOST_TEST(samples.speed.tokenTime(engine, at(seconds(10))) > 1.5 * samples.speed.meanTokenTime());
    BOOST_TEST(samples.speed.pauseTime(engine, at(seconds(10)))
        > 1.5 * samples.speed.pauseTime(samples.engines[0], at(seconds(10))));
}
