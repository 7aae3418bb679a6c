#define BOOST_TEST_MODULE endpoint_placement_limits
#include "wisteriayard/endpoint_placement.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(Duration time) { return TimePoint(seconds(100) + time); }

EndpointId endpointId(int number) { return EndpointId("e" + std::to_string(number)); }

/// Endpoints of a plain service, seen from the only entry.
EndpointPlacement makeFleet(int count)
{
    EndpointPlacement fleet(PlacementPolicy(), ZoneId("z"), RegionId("r"));
    for (int i = 0; i < count; ++i) {
        PlacementEndpoint endpoint;
        endpoint.id = endpointId(i);
        endpoint.zone = ZoneId("z");
        endpoint.region = RegionId("r");
        endpoint.slots = 8;
        fleet.put(endpoint);
    }
    LimitEntries entries;
    entries.self = InstanceId("entry-0");
    entries.active = true;
    entries.regions[entries.self] = RegionId("r");
    fleet.setLimitEntries(entries, at(seconds(0)));
    return fleet;
}

PlacementRequest makeRequest(int rank = 1)
{
    PlacementRequest request;
    request.timeLeft = seconds(4);
    request.objective = milliseconds(400);
    request.rank = Priority(rank);
    return request;
}

void limitAll(EndpointPlacement& fleet, int count, double rate)
{
    for (int i = 0; i < count; ++i)
        BOOST_TEST(fleet.applyLimitReport(endpointId(i), { RequestRate(rate), at(seconds(1)) }, at(seconds(1))));
}

/// Number of requests that are sent from one time to another if one is placed each 20 ms.
int countSent(EndpointPlacement& fleet, const std::vector<EndpointId>& tried, EndpointOutcome outcome, Duration from,
    Duration until)
{
    int sent = 0;
    for (Duration time = from; time < until; time += milliseconds(20)) {
        auto decision = fleet.choose(makeRequest(), tried, at(time));
        auto* placement = std::get_if<Placement>(&decision);
        if (!placement)
            continue;
        fleet.started(*placement, makeRequest(), at(time));
        if (!fleet.accepts(*placement, makeRequest(), at(time)))
            continue;
        ++sent;
        fleet.ended(*placement, outcome, at(time));
    }
    return sent;
}

struct AttemptCase {
    const char* name;
    /// Endpoints of the service, of which the last one is limited.
    int endpoints;
    /// All endpoints but the last one were tried before.
    bool further;
    EndpointOutcome outcome;
};
std::ostream& operator<<(std::ostream& out, const AttemptCase& each) { return out << each.name; }

const AttemptCase attemptCases[] = {
    { "first attempt", 1, false, EndpointOutcome::Succeeded },
    { "further attempt", 3, true, EndpointOutcome::Succeeded },
    { "refused by the endpoint", 1, false, EndpointOutcome::Neutral },
    { "ejected endpoint", 3, true, EndpointOutcome::Failed },
    { "only ejected endpoints left", 1, false, EndpointOutcome::Failed },
};

} // namespace

// Guards against a kind of attempt that does not count against the rate limit of an endpoint.
BOOST_DATA_TEST_CASE(each_attempt_takes_credit, data::make(attemptCases), each)
{
    EndpointPlacement fleet = makeFleet(each.endpoints);
    EndpointId last = endpointId(each.endpoints - 1);
    fleet.applyLimitReport(last, { RequestRate(2), at(seconds(1)) }, at(seconds(1)));
    std::vector<EndpointId> tried;
    for (int i = 0; each.further && i + 1 < each.endpoints; ++i)
        tried.push_back(endpointId(i));
    int sent = countSent(fleet, tried, each.outcome, seconds(1), seconds(9));
    BOOST_TEST(sent <= 17);
    BOOST_TEST(sent >= 2);
}

// Guards against requests to a limited endpoint without credit while another endpoint can serve them, and against
// refusals in that case.
BOOST_AUTO_TEST_CASE(requests_beyond_the_limit_go_to_other_endpoints)
{
    EndpointPlacement fleet = makeFleet(2);
    limitAll(fleet, 1, 1);
    int toLimited = 0;
    for (Duration time = seconds(1); time < seconds(9); time += milliseconds(20)) {
        auto decision = fleet.choose(makeRequest(), {}, at(time));
        BOOST_REQUIRE(std::holds_alternative<Placement>(decision));
        Placement placement = std::get<Placement>(decision);
        fleet.started(placement, makeRequest(), at(time));
        toLimited += fleet.endpoint(placement.endpoint).id == endpointId(0) ? 1 : 0;
        fleet.ended(placement, EndpointOutcome::Succeeded, at(time));
    }
    BOOST_TEST(toLimited >= 1);
    BOOST_TEST(toLimited <= 9);
}

namespace {

struct RefusalCase {
    double rate;
    /// Range of the delays of ten refused callers.
    Duration least;
    Duration most;
};
std::ostream& operator<<(std::ostream& out, const RefusalCase& each) { return out << each.rate; }

const RefusalCase refusalCases[] = {
    { 10, milliseconds(100), milliseconds(1100) },
    { 0.5, seconds(1), seconds(2) },
    { 0, seconds(5), seconds(5) },
};

} // namespace

// Guards against another reason for the refusal than the limit, and against callers that all return at once or long
// before the endpoints can take them.
BOOST_DATA_TEST_CASE(refused_callers_return_at_the_rate_of_the_limits, data::make(refusalCases), each)
{
    EndpointPlacement fleet = makeFleet(2);
    limitAll(fleet, 2, each.rate / 2);
    for (int i = 0; i < 10; ++i) {
        auto decision = fleet.choose(makeRequest(), {}, at(seconds(1)));
        BOOST_REQUIRE(std::holds_alternative<Refused>(decision));
        const auto& refused = std::get<Refused>(decision);
        BOOST_TEST((refused.reason == PlacementRefusal::Limited));
        BOOST_TEST(refused.retryAfter.count() >= each.least.count());
        BOOST_TEST(refused.retryAfter.count() <= each.most.count());
    }
}

// Guards against a request that is sent without credit because its endpoint named a limit while the connection was
// being opened, and against credit lost with requests that were never sent.
BOOST_AUTO_TEST_CASE(limit_applies_to_placed_requests)
{
    EndpointPlacement fleet = makeFleet(1);
    auto placed = [&](Duration time) {
        Placement placement = std::get<Placement>(fleet.choose(makeRequest(), {}, at(time)));
        fleet.started(placement, makeRequest(), at(time));
        return placement;
    };
    Placement first = placed(milliseconds(900));
    Placement second = placed(milliseconds(900));
    limitAll(fleet, 1, 1);
    BOOST_TEST(!fleet.accepts(first, makeRequest(), at(milliseconds(1500))));
    BOOST_TEST(fleet.accepts(first, makeRequest(), at(milliseconds(2100))));
    BOOST_TEST(!fleet.accepts(second, makeRequest(), at(milliseconds(2100))));
    fleet.notSent(first, at(milliseconds(2200)));
    BOOST_TEST(fleet.accepts(second, makeRequest(), at(milliseconds(2200))));
}

// Pattern: all endpoints are limited and requests of two ranks exceed the limits. Guards against urgent requests that
// get less than less urgent ones, and against a rank that gets nothing.
BOOST_AUTO_TEST_CASE(ranks_share_limited_endpoints)
{
    EndpointPlacement fleet = makeFleet(2);
    limitAll(fleet, 2, 3);
    std::map<int, int> sent;
    for (Duration time = seconds(1); time < seconds(21); time += milliseconds(20)) {
        // Less urgent requests come first in each round.
        for (int rank : { 5, 0 }) {
            auto decision = fleet.choose(makeRequest(rank), {}, at(time));
            auto* placement = std::get_if<Placement>(&decision);
            if (!placement)
                continue;
            fleet.started(*placement, makeRequest(rank), at(time));
            ++sent[rank];
            fleet.ended(*placement, EndpointOutcome::Succeeded, at(time));
        }
    }
    BOOST_TEST(sent[0] >= 2 * sent[5]);
    BOOST_TEST(sent[5] >= 20);
    BOOST_TEST(sent[0] + sent[5] >= 100);
}

namespace {

struct ReturnCase {
    const char* name;
    /// Time from the last response of the endpoint until its registration was removed, and until it was back.
    Duration removedAfter;
    Duration backAfter;
    /// The entry that holds the limit's only share has left meanwhile.
    bool displaced;
    std::optional<RequestRate> limit;
    /// Bounds of the requests that are sent in the 4 s after the return.
    int least;
    int most;
};
std::ostream& operator<<(std::ostream& out, const ReturnCase& each) { return out << each.name; }

const ReturnCase returnCases[] = {
    { "soon", seconds(1), seconds(3), false, RequestRate(1), 4, 5 },
    { "soon, without a share now", seconds(1), seconds(3), true, RequestRate(1), 0, 0 },
    { "after a long time", seconds(1), seconds(60), false, std::nullopt, 100, 200 },
};

} // namespace

// Pattern: a limited endpoint disappears from the list, for example while it can't renew its registration, and returns.
// Guards against entries that have forgotten its limit and send all requests to what seems to be an idle endpoint, and
// against limits of removed endpoints that are kept forever.
BOOST_DATA_TEST_CASE(limit_outlasts_a_missing_registration, data::make(returnCases), each)
{
    EndpointPlacement fleet = makeFleet(2);
    PlacementEndpoint limited = fleet.endpoint(0);
    limitAll(fleet, 1, 1);
    fleet.remove(limited.id, at(seconds(1) + each.removedAfter));
    BOOST_TEST(!fleet.limit(limited.id).has_value());
    if (each.displaced) {
        LimitEntries entries;
        entries.self = InstanceId("entry-0");
        entries.regions[entries.self] = RegionId("other");
        entries.regions[InstanceId("entry-1")] = RegionId("r");
        entries.active = true;
        fleet.setLimitEntries(entries, at(seconds(1) + each.removedAfter));
    }
    Duration back = seconds(1) + each.backAfter;
    // Removals of other endpoints end the memory of limits that are too old.
    fleet.remove(endpointId(1), at(back));
    fleet.put(limited);
    BOOST_TEST((fleet.limit(limited.id) == each.limit));
    int sent = countSent(fleet, {}, EndpointOutcome::Succeeded, back, back + seconds(4));
    BOOST_TEST(sent >= each.least);
    BOOST_TEST(sent <= each.most);
}

// Guards against a segment that is computed again for each request because its preferred endpoint has a limit.
BOOST_AUTO_TEST_CASE(limited_endpoint_is_not_preferred)
{
    EndpointPlacement fleet(PlacementPolicy(), ZoneId("z"), RegionId("r"));
    for (int i = 0; i < 4; ++i) {
        PlacementEndpoint engine;
        engine.id = endpointId(i);
        engine.slots = 32;
        engine.memory = Tokens(400'000);
        fleet.put(engine);
    }
    PlacementRequest request = makeRequest();
    request.prompt = { { 42, Tokens(6000) }, { 7, Tokens(300) } };
    Placement before = std::get<Placement>(fleet.choose(request, {}, at(seconds(0))));
    EndpointId preferred = fleet.endpoint(before.endpoint).id;
    fleet.applyLimitReport(preferred, { RequestRate(2), at(seconds(1)) }, at(seconds(1)));
    Placement after = std::get<Placement>(fleet.choose(request, {}, at(seconds(2))));
    BOOST_TEST(after.atPreferredEndpoint);
    BOOST_TEST(fleet.endpoint(after.endpoint).id != preferred);
}
