#define BOOST_TEST_MODULE endpoint_placement_admission
#include "wisteriayard/endpoint_placement.h"

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
    fleet.setSharesCapacity(shares, 0.2);
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
    // First samples include waits, so that higher times don't replace the assumption.
    { "reports of slow engines", true, { 40, 40, 40 }, 2 },
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

namespace {

struct LateRetryCase {
    const char* name;
    bool shares;
    bool isReturning;
    Duration timeLeft;
    /// Prompt tokens that other entries have placed at the only engine.
    std::int64_t tokensAhead;
    bool placed;
    bool late;
};
std::ostream& operator<<(std::ostream& out, const LateRetryCase& each) { return out << each.name; }

/// At 10 us per token, the limit of the objective is 23,000 tokens and that of 4 s is 310,000 tokens.
const LateRetryCase lateRetryCases[] = {
    { "first time, in time", true, false, seconds(4), 10'000, true, false },
    { "first time, late", true, false, seconds(4), 100'000, false, false },
    { "retry, in time", true, true, seconds(4), 10'000, true, false },
    { "retry, late", true, true, seconds(4), 100'000, true, true },
    { "retry with too little time", true, true, seconds(1), 100'000, false, false },
    { "retry, too late for any caller", true, true, seconds(4), 1'000'000, false, false },
    { "retry without the setting", false, true, seconds(4), 100'000, false, false },
};

void setBacklog(EndpointPlacement& fleet, std::int64_t tokens, TimePoint now)
{
    EndpointUse use;
    use.running = 1;
    use.backlog = PrefillBacklog(Priority(0), Tokens(tokens));
    fleet.updatePeerUse(InstanceId("p"), { { EndpointId("e0"), use } }, now);
}

EndpointPlacement makeMeasuredFleet(bool shares)
{
    EndpointPlacement fleet = makeFleet(1, shares);
    for (int i = 0; i < 3; ++i)
        fleet.applySpeedReport(
            InstanceId("p" + std::to_string(i)), EndpointId("e0"), { 10, 0, {} }, at(milliseconds(0)));
    return fleet;
}

} // namespace

// Guards against callers that are refused a second time although they can be answered within their time.
BOOST_DATA_TEST_CASE(retries_are_placed_within_their_time, data::make(lateRetryCases), each)
{
    EndpointPlacement fleet = makeMeasuredFleet(each.shares);
    setBacklog(fleet, each.tokensAhead, at(milliseconds(0)));
    PlacementRequest request = makeRequest(1);
    request.timeLeft = each.timeLeft;
    request.isReturning = each.isReturning;
    auto decision = fleet.choose(request, {}, at(milliseconds(1)));
    auto* placement = std::get_if<Placement>(&decision);
    BOOST_REQUIRE((placement != nullptr) == each.placed);
    if (placement)
        BOOST_TEST(placement->returnedLate == each.late);
}

// Guards against late retries without limit, which would make all first-time requests late.
BOOST_AUTO_TEST_CASE(late_retries_are_limited)
{
    EndpointPlacement fleet = makeMeasuredFleet(true);
    setBacklog(fleet, 100'000, at(milliseconds(0)));
    int placed = 0;
    for (std::uint64_t i = 0; i < 50; ++i) {
        PlacementRequest request = makeRequest(i);
        request.isReturning = true;
        auto decision = fleet.choose(request, {}, at(milliseconds(1)));
        if (auto* placement = std::get_if<Placement>(&decision)) {
            fleet.started(*placement, request, at(milliseconds(1)));
            ++placed;
        }
    }
    BOOST_TEST(placed > 0);
    BOOST_TEST(placed <= 10);
}

// Guards against retries that arrive at the same instant, and against a changed time without the setting.
BOOST_AUTO_TEST_CASE(retry_times_of_refused_requests)
{
    for (bool shares : { false, true }) {
        EndpointPlacement fleet = makeMeasuredFleet(shares);
        setBacklog(fleet, 100'000, at(milliseconds(0)));
        std::set<Duration> times;
        for (std::uint64_t i = 0; i < 10; ++i) {
            auto decision = fleet.choose(makeRequest(i), {}, at(milliseconds(1)));
            auto* refused = std::get_if<Refused>(&decision);
            BOOST_REQUIRE(refused);
            times.insert(refused->retryAfter);
            if (shares)
                BOOST_TEST((refused->retryAfter <= Duration(seconds(4)) / 3));
        }
        BOOST_TEST(times.size() == (shares ? 10u : 1u));
    }
}

// Guards against refusals that are no new demand, such as those of further attempts and of retries before their time:
// each took one of the times at which other callers may return.
BOOST_AUTO_TEST_CASE(only_new_demand_moves_the_retry_times)
{
    EndpointPlacement fleet = makeMeasuredFleet(true);
    setBacklog(fleet, 100'000, at(milliseconds(0)));
    PlacementRequest request = makeRequest(1);
    request.isNewDemand = false;
    std::set<Duration> times;
    for (int i = 0; i < 10; ++i)
        times.insert(std::get<Refused>(fleet.choose(request, {}, at(milliseconds(1)))).retryAfter);
    BOOST_TEST(times.size() == 1u);
}
