#define BOOST_TEST_MODULE settings
#include "settings.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace wisteriayard;

namespace {

std::vector<const char*> entryArguments()
{
    return { "wisteriayardd", "--role=entry", "--instance=i", "--zone=z", "--region=r", "--listen=127.0.0.1:1",
        "--admin=127.0.0.1:2", "--peer=127.0.0.1:5", "--store=127.0.0.1:3", "--platform=127.0.0.1:4" };
}

struct BadCase {
    const char* argument;
    const char* message;
};

std::ostream& operator<<(std::ostream& out, const BadCase& c) { return out << c.argument; }

// Guards against a daemon that starts although a setting is invalid.
const BadCase badCases[] = {
    { "--max-connections=0", "--max-connections: 0 is not allowed; expected 1 to 1000000" },
    { "--drain-delay-ms=-1", "--drain-delay-ms: -1 is not allowed" },
    { "--drain-delay-ms=soon", "the argument ('soon')" },
    { "--lease-margin-ms=1501", "--lease-margin-ms: 1501 is not allowed; expected 1 to 1500" },
    { "--head-memory-mb=0", "--head-memory-mb: 0 is not allowed; expected 1 to 4096" },
    { "--body-memory-mb=65537", "--body-memory-mb: 65537 is not allowed; expected 1 to 65536" },
    { "--colour=red", "unrecognised option" },
};

} // namespace

BOOST_DATA_TEST_CASE(rejects_bad_value, boost::unit_test::data::make(badCases))
{
    auto arguments = entryArguments();
    arguments.push_back(sample.argument);
    auto settings = parseSettings(static_cast<int>(arguments.size()), arguments.data());
    BOOST_REQUIRE(!settings);
    BOOST_TEST(settings.error().message.find(sample.message) != std::string::npos, settings.error().message);
}

BOOST_AUTO_TEST_CASE(names_a_missing_option)
{
    auto arguments = entryArguments();
    arguments.pop_back();
    auto settings = parseSettings(static_cast<int>(arguments.size()), arguments.data());
    BOOST_REQUIRE(!settings);
    BOOST_TEST(settings.error().message == "--platform is missing");
}

BOOST_AUTO_TEST_CASE(flag_goes_before_environment)
{
    setenv("WISTERIAYARD_TRAFFIC_THREADS", "5", 1);
    setenv("WISTERIAYARD_MAX_CONNECTIONS", "77", 1);
    auto arguments = entryArguments();
    arguments.push_back("--traffic-threads=3");
    auto settings = parseSettings(static_cast<int>(arguments.size()), arguments.data());
    BOOST_REQUIRE(settings);
    const auto& entry = std::get<EntrySettings>(settings.value());
    BOOST_TEST(entry.trafficThreads == 3);
    BOOST_TEST(entry.maxConnections == 77);
}
