#define BOOST_TEST_MODULE endpoint_placement_cold
#include "wisteriayard/endpoint_placement.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(Duration time) { return TimePoint(seconds(1000) + time); }

EndpointId endpointId(int number) { return EndpointId("e" + std::to_string(number)); }

LimitEntries makeEntries(int self, int count)
{
    LimitEntries entries;
    entries.self = InstanceId("entry-" + std::to_string(self));
    entries.active = entries.exclusive = true;
    for (int i = 0; i < count; ++i)
        entries.regions[InstanceId("entry-" + std::to_string(i))] = RegionId("r");
    return entries;
}

const ColdPolicy policy { seconds(20), RequestRate(4), 1.5, 5 };

enum class Service { Plain, Engine };

/// Endpoints of a service, a third of them in each zone, seen from one of some entries.
EndpointPlacement makeFleet(int count, Service service = Service::Plain, int self = 0, int entries = 1)
{
    EndpointPlacement fleet(PlacementPolicy(), ZoneId("z0"), RegionId("r"));
    for (int i = 0; i < count; ++i) {
        PlacementEndpoint endpoint;
        endpoint.id = endpointId(i);
        endpoint.zone = ZoneId("z" + std::to_string(i % 3));
        endpoint.region = RegionId("r");
        endpoint.slots = 8;
        if (service == Service::Engine)
            endpoint.memory = Tokens(100000);
        fleet.put(endpoint);
    }
    fleet.setColdPolicy(policy, at(seconds(0)));
    fleet.setLimitEntries(makeEntries(self, entries), at(seconds(0)));
    fleet.confirmShares(at(seconds(100)), at(seconds(0)));
    return fleet;
}

PlacementRequest makeRequest()
{
    PlacementRequest request;
    request.timeLeft = seconds(4);
    request.objective = milliseconds(400);
    request.rank = Priority(1);
    return request;
}

PlacementRequest makePrompt(std::uint64_t segment)
{
    PlacementRequest request = makeRequest();
    request.prompt = { { segment, Tokens(4000) }, { segment + 1000000, Tokens(200) } };
    request.output = Tokens(50);
    return request;
}

std::optional<Placement> place(
    EndpointPlacement& fleet, const PlacementRequest& request, TimePoint now, const std::vector<EndpointId>& tried = {})
{
    auto decision = fleet.choose(request, tried, now);
    if (auto* placement = std::get_if<Placement>(&decision))
        return *placement;
    return std::nullopt;
}

/// Places a request and sends it at once.
std::optional<Placement> send(
    EndpointPlacement& fleet, const PlacementRequest& request, TimePoint now, const std::vector<EndpointId>& tried = {})
{
    auto placement = place(fleet, request, now, tried);
    if (!placement)
        return std::nullopt;
    fleet.started(*placement, request, now);
    if (fleet.accepts(*placement, request, now))
        return placement;
    fleet.notSent(*placement, now);
    fleet.ended(*placement, EndpointOutcome::Neutral, now);
    return std::nullopt;
}

struct AttemptCase {
    const char* name;
    /// Number of endpoints, of which the last one is cold.
    int endpoints;
    /// The others were tried before.
    bool further;
    EndpointOutcome outcome;
};
std::ostream& operator<<(std::ostream& out, const AttemptCase& each) { return out << each.name; }

const AttemptCase attemptCases[] = {
    { "first attempts", 1, false, EndpointOutcome::Succeeded },
    { "further attempts", 2, true, EndpointOutcome::Succeeded },
    { "trial requests and the last resort", 1, false, EndpointOutcome::Failed },
};

} // namespace

// Guards against attempts that are sent to a cold endpoint without credit.
BOOST_DATA_TEST_CASE(each_attempt_needs_credit, data::make(attemptCases), each)
{
    EndpointPlacement fleet = makeFleet(each.endpoints);
    EndpointId cold = endpointId(each.endpoints - 1);
    fleet.recordColdTime(cold, seconds(30), at(seconds(0)));
    std::vector<EndpointId> tried;
    if (each.further)
        tried.push_back(endpointId(0));
    int sent = 0;
    for (Duration time = milliseconds(0); time < seconds(20); time += milliseconds(10)) {
        auto placement = send(fleet, makeRequest(), at(time), tried);
        if (!placement)
            continue;
        BOOST_TEST(placement->isCold);
        ++sent;
        fleet.ended(*placement, each.outcome, at(time));
    }
    BOOST_TEST(sent <= 81);
    BOOST_TEST(sent >= (each.outcome == EndpointOutcome::Failed ? 5 : 70));
}

// Guards against a share that is used after a suspension of the process, when other entries may have taken it over.
BOOST_AUTO_TEST_CASE(unconfirmed_shares_are_not_used)
{
    EndpointPlacement fleet = makeFleet(1);
    fleet.recordColdTime(endpointId(0), seconds(60), at(seconds(0)));
    fleet.confirmShares(at(seconds(3)), at(seconds(1)));
    auto placement = place(fleet, makeRequest(), at(seconds(1)));
    BOOST_REQUIRE(placement.has_value());
    fleet.started(*placement, makeRequest(), at(seconds(1)));
    BOOST_TEST(!fleet.accepts(*placement, makeRequest(), at(seconds(20))));
    fleet.notSent(*placement, at(seconds(20)));
    fleet.ended(*placement, EndpointOutcome::Neutral, at(seconds(20)));
    BOOST_TEST(!place(fleet, makeRequest(), at(seconds(20))).has_value());
    // The credit of before is lost.
    fleet.confirmShares(at(seconds(30)), at(seconds(20)));
    BOOST_TEST(!place(fleet, makeRequest(), at(milliseconds(20200))).has_value());
    BOOST_TEST(place(fleet, makeRequest(), at(milliseconds(20300))).has_value());
}

// Pattern: requests wait for their connections when the endpoint states that it is cold. Guards against sending all of
// them.
BOOST_AUTO_TEST_CASE(waiting_requests_need_credit_once_the_endpoint_is_cold)
{
    EndpointPlacement fleet = makeFleet(1);
    std::vector<Placement> waiting;
    for (int i = 0; i < 6; ++i) {
        auto placement = place(fleet, makeRequest(), at(seconds(1)));
        BOOST_REQUIRE(placement.has_value());
        fleet.started(*placement, makeRequest(), at(seconds(1)));
        waiting.push_back(*placement);
    }
    fleet.recordColdTime(waiting[0], seconds(30), at(seconds(1)));
    auto sent = std::count_if(waiting.begin(), waiting.end(),
        [&](Placement& each) { return fleet.accepts(each, makeRequest(), at(milliseconds(1300))); });
    BOOST_TEST(sent == 1);
}

// Guards against a cold endpoint whose rate limit is ignored, or the other way round.
BOOST_AUTO_TEST_CASE(rate_limit_binds_as_well)
{
    for (double rate : { 1.0, 50.0 }) {
        EndpointPlacement fleet = makeFleet(1);
        fleet.recordColdTime(endpointId(0), seconds(60), at(seconds(0)));
        fleet.applyLimitReport(endpointId(0), { RequestRate(rate), at(seconds(0)) }, at(seconds(0)));
        int sent = 0;
        for (Duration time = milliseconds(0); time < seconds(10); time += milliseconds(10)) {
            if (auto placement = send(fleet, makeRequest(), at(time))) {
                ++sent;
                fleet.ended(*placement, EndpointOutcome::Succeeded, at(time));
            }
        }
        BOOST_TEST(sent <= 10 * std::min(rate, 4.0) + 1);
        BOOST_TEST(sent >= 7 * std::min(rate, 4.0));
    }
}

// Pattern: all endpoints are cold under a burst. Guards against another reason for the refusal, and against callers
// that return all at once.
BOOST_AUTO_TEST_CASE(refused_callers_return_spread)
{
    EndpointPlacement fleet = makeFleet(3);
    for (int i = 0; i < 3; ++i)
        fleet.recordColdTime(endpointId(i), seconds(60), at(seconds(0)));
    std::vector<Duration> delays;
    for (int i = 0; i < 40; ++i) {
        auto decision = fleet.choose(makeRequest(), {}, at(milliseconds(10)));
        auto* refused = std::get_if<Refused>(&decision);
        BOOST_REQUIRE(refused);
        BOOST_TEST((refused->reason == PlacementRefusal::ColdStart));
        delays.push_back(refused->retryAfter);
    }
    // Twelve requests per second are accepted.
    BOOST_TEST((delays[24] - delays[0] > milliseconds(1900)));
    BOOST_TEST((delays[24] - delays[0] < milliseconds(2100)));
    BOOST_TEST(placementRefusalName(PlacementRefusal::ColdStart) == "cold_start");
}

// Guards against an average that contains the response of an endpoint that turned cold while the request waited there.
BOOST_AUTO_TEST_CASE(endpoint_that_turns_cold_before_the_response)
{
    EndpointPlacement fleet = makeFleet(2);
    auto expected
        = [&](TimePoint now) { return place(fleet, makeRequest(), now, { endpointId(1) })->expectedFirstEvent; };
    Duration before = expected(at(seconds(0)));
    auto placement = send(fleet, makeRequest(), at(seconds(1)), { endpointId(0) });
    BOOST_REQUIRE(placement.has_value());
    fleet.recordColdTime(endpointId(1), seconds(30), at(seconds(2)));
    fleet.firstEvent(*placement, at(seconds(3)));
    BOOST_TEST(placement->isCold);
    fleet.ended(*placement, EndpointOutcome::Succeeded, at(seconds(3)));
    BOOST_TEST((expected(at(seconds(4))) == before));
}

namespace {

struct ServiceCase {
    const char* name;
    Service service;
};
std::ostream& operator<<(std::ostream& out, const ServiceCase& each) { return out << each.name; }

const ServiceCase serviceCases[] = { { "plain", Service::Plain }, { "engine", Service::Engine } };

} // namespace

// Guards against slow responses of cold endpoints that make all endpoints look slow, and against an expectation of the
// cold endpoint that ignores them.
BOOST_DATA_TEST_CASE(slow_responses_count_for_the_cold_endpoint_only, data::make(serviceCases), each)
{
    EndpointPlacement fleet = makeFleet(2, each.service);
    std::uint64_t segment = 1;
    auto request = [&] { return each.service == Service::Engine ? makePrompt(segment += 2) : makeRequest(); };
    auto expected = [&](int index, TimePoint now) {
        auto placement = place(fleet, request(), now, { endpointId(1 - index) });
        return placement ? placement->expectedFirstEvent : Duration(0);
    };
    Duration warm = expected(1, at(seconds(0)));
    fleet.recordColdTime(endpointId(1), seconds(60), at(seconds(0)));
    // The distance between zones is not doubled.
    Duration distance = PlacementPolicy().zoneCost;
    BOOST_TEST((expected(1, at(seconds(1))) == 2 * (warm - distance) + distance));
    Duration before = expected(0, at(seconds(1)));
    for (Duration time = seconds(1); time < seconds(50); time += milliseconds(1000)) {
        auto placement = send(fleet, request(), at(time), { endpointId(0) });
        BOOST_REQUIRE(placement.has_value());
        TimePoint end = at(time + 6 * warm);
        fleet.firstEvent(*placement, end);
        fleet.eventsArrived(*placement, 1, seconds(2), end);
        BOOST_TEST((fleet.ended(*placement, EndpointOutcome::Succeeded, end) == HealthChange::None));
    }
    BOOST_TEST((expected(0, at(seconds(50))) == before));
    BOOST_TEST((expected(1, at(seconds(50))) > 4 * warm));
    BOOST_TEST((expected(1, at(seconds(62))) == warm));
}

// Guards against any effect without configuration, whatever the endpoints state.
BOOST_AUTO_TEST_CASE(nothing_changes_without_configuration)
{
    EndpointPlacement fleet = makeFleet(1);
    fleet.setColdPolicy(ColdPolicy(), at(seconds(0)));
    fleet.recordColdTime(endpointId(0), seconds(60), at(seconds(0)));
    fleet.recordStart(endpointId(0), at(seconds(0)), at(seconds(0)));
    fleet.setCold(endpointId(0), at(seconds(0)));
    for (int i = 0; i < 8; ++i) {
        auto placement = send(fleet, makeRequest(), at(seconds(5)));
        BOOST_REQUIRE(placement.has_value());
        BOOST_TEST(!placement->isCold);
    }
    BOOST_TEST(fleet.coldEndpoints(at(seconds(5))).empty());
}

// Guards against an endpoint that is forgotten to be cold when its record is missing for a moment.
BOOST_AUTO_TEST_CASE(endpoint_that_is_back_is_still_cold)
{
    EndpointPlacement fleet = makeFleet(1);
    PlacementEndpoint info = fleet.endpoint(0);
    fleet.recordColdTime(endpointId(0), seconds(30), at(seconds(0)));
    fleet.remove(endpointId(0), at(seconds(5)));
    fleet.put(info);
    fleet.recordStart(endpointId(0), std::nullopt, at(seconds(6)));
    BOOST_TEST(fleet.coldEndpoints(at(seconds(29))).size() == 1u);
    BOOST_TEST(fleet.coldEndpoints(at(seconds(31))).empty());
}

// Pattern: the evacuation of a zone is withdrawn. Guards against cached segments that the engine has evicted meanwhile.
BOOST_AUTO_TEST_CASE(marked_engine_is_cold_without_cached_segments)
{
    EndpointPlacement fleet = makeFleet(1, Service::Engine);
    auto first = send(fleet, makePrompt(7), at(seconds(1)));
    BOOST_REQUIRE(first.has_value());
    fleet.firstEvent(*first, at(milliseconds(1200)));
    fleet.ended(*first, EndpointOutcome::Succeeded, at(milliseconds(1300)));
    BOOST_TEST(place(fleet, makePrompt(7), at(seconds(2)))->uncachedTokens == 200);
    fleet.setCold(endpointId(0), at(seconds(2)));
    auto next = place(fleet, makePrompt(7), at(seconds(3)));
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->uncachedTokens == 4200);
    BOOST_TEST(fleet.coldEndpoints(at(milliseconds(21900))).size() == 1u);
    BOOST_TEST(fleet.coldEndpoints(at(milliseconds(22600))).empty());
}

// Guards against segments that stay assigned to an engine that takes few requests, and against ones that never return.
BOOST_AUTO_TEST_CASE(segments_leave_a_cold_engine_and_return)
{
    EndpointPlacement fleet = makeFleet(2, Service::Engine);
    auto atCold = [&](Duration time) {
        int count = 0;
        for (std::uint64_t segment = 1; segment <= 40; ++segment) {
            auto placement = place(fleet, makePrompt(segment), at(time));
            bool isPreferred = placement && placement->atPreferredEndpoint;
            count += isPreferred && fleet.endpoint(placement->endpoint).id == endpointId(1) ? 1 : 0;
        }
        return count;
    };
    int before = atCold(seconds(0));
    BOOST_TEST(before > 5);
    fleet.recordColdTime(endpointId(1), seconds(20), at(seconds(0)));
    BOOST_TEST(atCold(seconds(10)) == 0);
    int during = atCold(milliseconds(22000));
    BOOST_TEST(during > 0);
    BOOST_TEST(during < before);
    BOOST_TEST(atCold(milliseconds(23600)) == before);
}
