#define BOOST_TEST_MODULE scenario
#include "load_run.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
using namespace wisteriayard::load;

namespace {

const std::string validScenario = R"({"duration_s":100,"seed":3,"targets":["127.0.0.1:80"],"classes":[
 {"name":"chat","key":"k","rate_per_s":10,"model":"m","bursts":[{"from_s":50,"until_s":60,"factor":10}]}]})";

struct BadCase {
    const char* from;
    const char* to;
    const char* message;
};

std::ostream& operator<<(std::ostream& out, const BadCase& c) { return out << c.to; }

// Guards against an invalid scenario that is accepted, so that the run measures something else than intended.
const BadCase badCases[] = {
    { "\"rate_per_s\":10", "\"rate_per_s\":-1", "scenario.classes[0].rate_per_s" },
    { "\"rate_per_s\":10", "\"rate\":10", "scenario.classes[0].rate" },
    { "\"model\":\"m\"", "\"path\":5", "scenario.classes[0].path: expected a string" },
    { "\"model\":\"m\"", "\"stream\":true", "either a model or a path" },
    { "127.0.0.1:80", "localhost", "scenario.targets: expected addresses" },
    { "\"duration_s\":100", "\"duration_s\":0", "scenario.duration_s" },
};

} // namespace

BOOST_DATA_TEST_CASE(rejects_bad_scenario, boost::unit_test::data::make(badCases))
{
    std::string text = validScenario;
    text.replace(text.find(sample.from), std::string(sample.from).size(), sample.to);
    auto scenario = parseScenario(text);
    BOOST_REQUIRE(!scenario);
    BOOST_TEST(scenario.error().message.find(sample.message) != std::string::npos, scenario.error().message);
}

// Guards against arrivals that differ between runs with the same seed, and against bursts that have no effect.
BOOST_AUTO_TEST_CASE(arrivals_repeat_and_burst)
{
    auto scenario = parseScenario(validScenario).value();
    auto first = drawArrivals(scenario);
    auto second = drawArrivals(scenario);
    BOOST_REQUIRE(first.size() == second.size());
    BOOST_TEST((first.back().at == second.back().at));
    auto inBurst = std::count_if(first.begin(), first.end(), [](const LoadArrival& arrival) {
        return arrival.at >= std::chrono::seconds(50) && arrival.at < std::chrono::seconds(60);
    });
    // 10 s at 100 requests/s and 90 s at 10 requests/s; the tolerance is four standard deviations.
    BOOST_TEST(std::abs(inBurst - 1000) < 4 * 32);
    BOOST_TEST(std::abs(static_cast<int>(first.size()) - inBurst - 900) < 4 * 30);
}

BOOST_AUTO_TEST_CASE(quantiles)
{
    std::vector<Duration> values;
    for (int i = 1; i <= 1000; ++i)
        values.emplace_back(i);
    BOOST_TEST(quantile(values, 0.5).count() == 500);
    BOOST_TEST(quantile(values, 0.999).count() == 999);
    BOOST_TEST(quantile(values, 1).count() == 1000);
    BOOST_TEST(quantile({}, 0.5).count() == 0);
}
