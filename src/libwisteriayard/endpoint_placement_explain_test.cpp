#define BOOST_TEST_MODULE endpoint_placement_explain
#include "wisteriayard/endpoint_placement.h"

#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start(seconds(100));

EndpointPlacement makeFleet(int count)
{
    EndpointPlacement fleet(PlacementPolicy(), ZoneId("near"), RegionId("r"));
    for (int i = 0; i < count; ++i) {
        PlacementEndpoint endpoint;
        endpoint.id = EndpointId("e" + std::to_string(i));
        endpoint.zone = ZoneId(i == 0 ? "near" : "far");
        endpoint.region = RegionId("r");
        endpoint.slots = 4;
        endpoint.memory = Tokens(400'000);
        fleet.put(endpoint);
    }
    return fleet;
}

PlacementRequest makeRequest()
{
    PlacementRequest request;
    request.prompt = { { 7, Tokens(500) } };
    request.output = Tokens(50);
    request.timeLeft = seconds(4);
    request.objective = milliseconds(400);
    return request;
}

} // namespace

// Guards against a report that differs from the decision for the next request.
BOOST_AUTO_TEST_CASE(report_names_the_endpoint_of_the_next_request)
{
    EndpointPlacement fleet = makeFleet(4);
    for (int i = 0; i < 12; ++i) {
        PlacementReport report = fleet.explain(makeRequest(), start);
        auto decision = fleet.choose(makeRequest(), {}, start);
        BOOST_REQUIRE(
            std::holds_alternative<Placement>(report.decision) == std::holds_alternative<Placement>(decision));
        BOOST_TEST(report.candidates.size() == 4u);
        if (!std::holds_alternative<Placement>(decision))
            break;
        Placement placement = std::get<Placement>(decision);
        BOOST_TEST(std::get<Placement>(report.decision).endpoint == placement.endpoint);
        BOOST_TEST(report.candidates.front().id == fleet.endpoint(placement.endpoint).id);
        BOOST_TEST(report.candidates.front().cost.count() <= report.candidates.back().cost.count());
        fleet.started(placement, makeRequest(), start);
    }
}

// Guards against a question that takes credit, work or a turn: the same decisions follow with and without questions.
BOOST_AUTO_TEST_CASE(questions_change_nothing)
{
    EndpointPlacement asked = makeFleet(3);
    EndpointPlacement other = makeFleet(3);
    for (int i = 0; i < 40; ++i) {
        TimePoint now = start + i * milliseconds(5);
        for (int question = 0; question < 3; ++question)
            asked.explain(makeRequest(), now);
        auto first = asked.choose(makeRequest(), {}, now);
        auto second = other.choose(makeRequest(), {}, now);
        BOOST_REQUIRE(first.index() == second.index());
        if (auto* refused = std::get_if<Refused>(&first)) {
            BOOST_TEST(refused->retryAfter.count() == std::get<Refused>(second).retryAfter.count());
            continue;
        }
        BOOST_TEST(std::get<Placement>(first).endpoint == std::get<Placement>(second).endpoint);
        asked.started(std::get<Placement>(first), makeRequest(), now);
        other.started(std::get<Placement>(second), makeRequest(), now);
    }
    BOOST_TEST(asked.ownWork(start + seconds(1)).shortPrompts == other.ownWork(start + seconds(1)).shortPrompts);
}

// Guards against excluded endpoints that are missing in the report, or listed without the reason.
BOOST_AUTO_TEST_CASE(excluded_endpoints_are_listed_last_with_the_reason)
{
    EndpointPlacement fleet = makeFleet(2);
    Placement placement = std::get<Placement>(fleet.choose(makeRequest(), {}, start));
    EndpointId paused = fleet.endpoint(placement.endpoint).id;
    fleet.started(placement, makeRequest(), start);
    fleet.pause(placement, seconds(1), start);
    fleet.ended(placement, EndpointOutcome::Neutral, start);
    PlacementReport report = fleet.explain(makeRequest(), start);
    BOOST_TEST(!report.candidates.front().exclusion.has_value());
    BOOST_TEST(report.candidates.back().id == paused);
    BOOST_REQUIRE(report.candidates.back().exclusion.has_value());
    BOOST_TEST(endpointExclusionName(*report.candidates.back().exclusion) == "paused");
}
