#define BOOST_TEST_MODULE endpoint_placement_admission
#include "wisteriayard/endpoint_placement.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(Duration time) { return TimePoint(seconds(100) + time); }

PlacementEndpoint engine(int number, Tokens memory)
{
    PlacementEndpoint endpoint;
    endpoint.id = EndpointId("e" + std::to_string(number));
    endpoint.zone = ZoneId("z");
    endpoint.region = RegionId("r");
    endpoint.slots = 32;
    endpoint.memory = memory;
    return endpoint;
}

EndpointPlacement makeFleet(int count, bool shares, Tokens memory = Tokens(1'000'000))
{
    EndpointPlacement fleet(PlacementPolicy(), ZoneId("z"), RegionId("r"));
    fleet.setSharesCapacity(shares);
    for (int i = 0; i < count; ++i)
        fleet.put(engine(i, memory));
    return fleet;
}

PlacementRequest makeRequest(std::uint64_t number, std::int64_t ownTokens = 5000)
{
    PlacementRequest request;
    request.prompt = { { 42, Tokens(100) }, { 1000 + number, Tokens(ownTokens) } };
    request.output = Tokens(50);
    request.timeLeft = seconds(4);
    request.objective = milliseconds(400);
    return request;
}

/// Offers requests until one is refused, at most 100.
/// @return the number of requests that were placed
int placeMany(EndpointPlacement& fleet, TimePoint now)
{
    for (int i = 0; i < 100; ++i) {
        PlacementRequest request = makeRequest(static_cast<std::uint64_t>(i));
        auto decision = fleet.choose(request, {}, now);
        auto* placement = std::get_if<Placement>(&decision);
        if (!placement)
            return i;
        fleet.started(*placement, request, now);
    }
    return 100;
}

struct FirstSecondsCase {
    const char* name;
    bool shares;
    /// Times per token that other entries have reported.
    std::vector<double> reported;
    /// Requests of 100 ms each at the assumed time that one engine takes at once.
    int placed;
};
std::ostream& operator<<(std::ostream& out, const FirstSecondsCase& each) { return out << each.name; }

const FirstSecondsCase firstSecondsCases[] = {
    { "without the setting", false, {}, 2 },
    { "without the setting, reports", false, { 10, 10, 10 }, 2 },
    { "nothing measured", true, {}, 31 },
    { "one report is no measurement", true, { 10 }, 31 },
    { "reports of fast engines", true, { 10, 10, 10 }, 5 },
    { "reports of slow engines", true, { 40, 40, 40 }, 1 },
};

} // namespace

// Guards against requests that are refused because of an assumed time, and against a queue that is too long although
// other entries have measured the time.
BOOST_DATA_TEST_CASE(first_seconds, data::make(firstSecondsCases), each)
{
    EndpointPlacement fleet = makeFleet(1, each.shares);
    for (std::size_t i = 0; i < each.reported.size(); ++i)
        fleet.applySpeedReport(
            InstanceId("p" + std::to_string(i)), EndpointId("e0"), { each.reported[i], 0, {} }, at(milliseconds(0)));
    BOOST_TEST(placeMany(fleet, at(milliseconds(1))) == each.placed);
}

// Guards against queues without limit at endpoints that are no engines, for which no time per token is ever measured.
BOOST_AUTO_TEST_CASE(other_endpoints_keep_their_limit)
{
    EndpointPlacement before = makeFleet(1, false, Tokens(0));
    EndpointPlacement after = makeFleet(1, true, Tokens(0));
    BOOST_TEST(placeMany(before, at(milliseconds(0))) == placeMany(after, at(milliseconds(0))));
}
