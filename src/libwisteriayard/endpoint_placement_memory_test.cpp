#define BOOST_TEST_MODULE endpoint_placement_memory
#include "wisteriayard/endpoint_placement.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace wisteriayard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const RegionId region("r");
constexpr std::int64_t memory = 20'000;

TimePoint at(Duration time) { return TimePoint(seconds(100) + time); }
EndpointId idOf(int number) { return EndpointId("e" + std::to_string(number)); }
InstanceId entryId(int number) { return InstanceId("entry-" + std::to_string(number)); }

EndpointPlacement makeFleet(int engines, int entries, bool enforces = true)
{
    EndpointPlacement fleet(PlacementPolicy(), ZoneId("z"), region);
    fleet.setEnforcesMemory(enforces);
    LimitEntries list;
    list.self = entryId(0);
    list.active = true;
    for (int i = 0; i < entries; ++i)
        list.regions[entryId(i)] = region;
    fleet.setLimitEntries(list, at(seconds(0)));
    for (int i = 0; i < engines; ++i) {
        PlacementEndpoint endpoint;
        endpoint.id = idOf(i);
        endpoint.zone = ZoneId("z");
        endpoint.region = region;
        endpoint.slots = 32;
        endpoint.memory = Tokens(memory);
        fleet.put(endpoint);
    }
    return fleet;
}

PlacementRequest makeRequest(std::uint64_t shared, std::int64_t tokens, std::int64_t outputLimit = 100)
{
    PlacementRequest request;
    request.prompt = { { shared, Tokens(tokens) }, { shared * 1000 + 7, Tokens(10) } };
    request.output = Tokens(50);
    request.outputLimit = Tokens(outputLimit);
    request.timeLeft = seconds(4);
    request.objective = seconds(4);
    return request;
}

/// Places requests with different prompts until one is refused.
std::vector<Placement> fill(EndpointPlacement& fleet, std::int64_t tokens, TimePoint now)
{
    std::vector<Placement> placed;
    for (std::uint64_t i = 1; i < 200; ++i) {
        PlacementRequest request = makeRequest(i, tokens);
        auto decision = fleet.choose(request, {}, now);
        if (!std::holds_alternative<Placement>(decision))
            return placed;
        placed.push_back(std::get<Placement>(decision));
        fleet.started(placed.back(), request, now);
    }
    return placed;
}

std::optional<Refused> refusalOf(EndpointPlacement& fleet, const PlacementRequest& request, TimePoint now)
{
    auto decision = fleet.choose(request, {}, now);
    auto* refused = std::get_if<Refused>(&decision);
    return refused ? std::optional(*refused) : std::nullopt;
}

std::map<EndpointId, EndpointUse> useOf(int engine, std::int64_t tokens)
{
    EndpointUse use;
    use.running = 1;
    use.memoryTokens = tokens;
    return { { idOf(engine), use } };
}

} // namespace

// Guards against engines that crash because more was placed than they hold, and against refusals without a reason.
BOOST_AUTO_TEST_CASE(full_engines_are_excluded)
{
    EndpointPlacement fleet = makeFleet(2, 1);
    std::vector<Placement> placed = fill(fleet, 890, at(seconds(0)));
    BOOST_TEST(placed.size() == 40U);
    auto refused = refusalOf(fleet, makeRequest(999, 890), at(seconds(0)));
    BOOST_REQUIRE(refused);
    BOOST_TEST((refused->reason == PlacementRefusal::EngineMemory));
    BOOST_TEST(placementRefusalName(refused->reason) == "engine_memory");
    BOOST_TEST((refused->retryAfter >= milliseconds(100)));
    BOOST_TEST((refused->retryAfter <= seconds(5)));
    BOOST_TEST(fleet.fullEngines(at(seconds(0))) == 2U);
    for (const CandidateReport& row : fleet.explain(makeRequest(999, 890), at(seconds(0))).candidates)
        BOOST_TEST((row.exclusion == EndpointExclusion::Memory));
    fleet.ended(placed.front(), EndpointOutcome::Succeeded, at(seconds(1)));
    BOOST_TEST(!refusalOf(fleet, makeRequest(999, 890), at(seconds(1))));
}

// Guards against a bound where the settings don't ask for it.
BOOST_AUTO_TEST_CASE(memory_is_a_cost_without_the_setting)
{
    EndpointPlacement fleet = makeFleet(2, 1, false);
    BOOST_TEST(fill(fleet, 890, at(seconds(0))).size() > 40U);
    BOOST_TEST(fleet.fullEngines(at(seconds(0))) == 0U);
}

// Guards against placements that change while engines are far from full.
BOOST_AUTO_TEST_CASE(nothing_changes_far_from_full)
{
    EndpointPlacement with = makeFleet(5, 3);
    EndpointPlacement without = makeFleet(5, 3, false);
    for (std::uint64_t i = 0; i < 40; ++i) {
        TimePoint now = at(milliseconds(static_cast<int>(50 * i)));
        for (EndpointPlacement* fleet : { &with, &without }) {
            for (int peer = 1; peer < 3; ++peer)
                fleet->updatePeerUse(entryId(peer), {}, now);
        }
        PlacementRequest request = makeRequest(i % 6, 300);
        auto first = with.choose(request, {}, now);
        auto second = without.choose(request, {}, now);
        BOOST_REQUIRE(std::holds_alternative<Placement>(first));
        BOOST_REQUIRE(std::holds_alternative<Placement>(second));
        BOOST_TEST(std::get<Placement>(first).endpoint == std::get<Placement>(second).endpoint);
        with.started(std::get<Placement>(first), request, now);
        without.started(std::get<Placement>(second), request, now);
    }
}

// Guards against a request that is sent although others have filled the engine while the connection was made.
BOOST_AUTO_TEST_CASE(memory_is_checked_again_before_the_send)
{
    EndpointPlacement fleet = makeFleet(1, 2);
    fleet.updatePeerUse(entryId(1), {}, at(seconds(0)));
    PlacementRequest request = makeRequest(1, 1000);
    auto decision = fleet.choose(request, {}, at(seconds(0)));
    BOOST_REQUIRE(std::holds_alternative<Placement>(decision));
    Placement placement = std::get<Placement>(decision);
    fleet.started(placement, request, at(seconds(0)));
    BOOST_TEST(fleet.accepts(placement, request, at(milliseconds(10))));
    fleet.updatePeerUse(entryId(1), useOf(0, 19'000), at(milliseconds(20)));
    BOOST_TEST(!fleet.accepts(placement, request, at(milliseconds(20))));
    BOOST_TEST((fleet.sendExclusion(placement, request, at(milliseconds(20))) == EndpointExclusion::Memory));
    fleet.ended(placement, EndpointOutcome::Neutral, at(milliseconds(20)));
    BOOST_TEST(fleet.ownUse().empty());
}

// Guards against a report that states the expected output where others need the reservation.
BOOST_AUTO_TEST_CASE(reservations_are_reported)
{
    EndpointPlacement fleet = makeFleet(1, 1);
    PlacementRequest request = makeRequest(1, 1000, 400);
    for (int i = 0; i < 2; ++i) {
        Placement placement = std::get<Placement>(fleet.choose(request, {}, at(seconds(0))));
        fleet.started(placement, request, at(seconds(0)));
    }
    // The shared segment once, then 10 tokens of the prompt and 400 of the output for each.
    BOOST_TEST(fleet.ownUse().at(idOf(0)).memoryTokens == 1820);
}

// Guards against reservations of a former incarnation that stay with an engine that has restarted.
BOOST_AUTO_TEST_CASE(restarted_engines_are_empty)
{
    EndpointPlacement fleet = makeFleet(1, 1);
    std::vector<Placement> placed = fill(fleet, 890, at(seconds(0)));
    BOOST_TEST(fleet.fullEngines(at(seconds(0))) == 1U);
    PlacementEndpoint endpoint = fleet.endpoint(placed.front().endpoint);
    fleet.remove(endpoint.id, at(seconds(1)));
    fleet.put(endpoint);
    BOOST_TEST(fleet.fullEngines(at(seconds(1))) == 0U);
    for (const Placement& placement : placed)
        fleet.ended(placement, EndpointOutcome::Failed, at(seconds(1)));
    BOOST_TEST(fill(fleet, 890, at(seconds(1))).size() == 20U);
}

// Guards against a request that is sent although it alone crashes the engine, and against one that is refused only
// because its longest answer would not fit.
BOOST_AUTO_TEST_CASE(requests_larger_than_the_memory)
{
    EndpointPlacement fleet = makeFleet(1, 1);
    auto refused = refusalOf(fleet, makeRequest(1, memory), at(seconds(0)));
    BOOST_REQUIRE(refused);
    BOOST_TEST((refused->reason == PlacementRefusal::EngineMemory));
    BOOST_TEST(!refusalOf(fleet, makeRequest(1, 1000, 2 * memory), at(seconds(0))));
}

// Guards against a request that idle engines refuse forever, because its longest answer leaves no room for what other
// entries may place at the same moment.
BOOST_DATA_TEST_CASE(long_answers_find_an_idle_engine, boost::unit_test::data::make({ 2, 103 }), entries)
{
    EndpointPlacement fleet = makeFleet(2, entries);
    PlacementRequest ordinary = makeRequest(1, 890);
    auto placement = std::get<Placement>(fleet.choose(ordinary, {}, at(seconds(0))));
    fleet.started(placement, ordinary, at(seconds(0)));
    fleet.ended(placement, EndpointOutcome::Succeeded, at(seconds(1)));
    for (int i = 1; i < entries; ++i)
        fleet.updatePeerUse(entryId(i), {}, at(seconds(2)));
    BOOST_TEST(!refusalOf(fleet, makeRequest(2, 1000, memory), at(seconds(2))));
}

// Guards against refusals because the report that states the end of another entry's requests is on its way, and against
// waits where a report would change nothing.
BOOST_AUTO_TEST_CASE(requests_may_await_the_reports_of_others)
{
    EndpointPlacement fleet = makeFleet(2, 2);
    PlacementRequest request = makeRequest(1, 890);
    fleet.updatePeerUse(entryId(1), {}, at(seconds(0)));
    BOOST_TEST(!fleet.mayAwaitMemory(request, at(seconds(0))));
    std::map<EndpointId, EndpointUse> use = useOf(0, 19'500);
    use.merge(useOf(1, 19'500));
    fleet.updatePeerUse(entryId(1), use, at(seconds(1)));
    BOOST_TEST(refusalOf(fleet, request, at(seconds(1))).has_value());
    BOOST_TEST(fleet.mayAwaitMemory(request, at(seconds(1))));
    BOOST_TEST(!fleet.mayAwaitMemory(makeRequest(1, memory), at(seconds(1))));
    // Other entries whose reports have stopped are not waited for.
    BOOST_TEST(!fleet.mayAwaitMemory(request, at(seconds(3))));
    fleet.updatePeerUse(entryId(1), {}, at(milliseconds(1900)));
    BOOST_TEST(!fleet.mayAwaitMemory(request, at(milliseconds(1900))));
    BOOST_TEST(!refusalOf(fleet, request, at(milliseconds(1900))));
    // This entry fills the engines itself.
    EndpointPlacement full = makeFleet(2, 1);
    fill(full, 890, at(seconds(0)));
    BOOST_TEST(!full.mayAwaitMemory(request, at(seconds(0))));
    BOOST_TEST(!makeFleet(2, 2, false).mayAwaitMemory(request, at(seconds(0))));
}

// Guards against retries that return before memory is free, or all at once.
BOOST_AUTO_TEST_CASE(retry_times_follow_the_release_of_memory)
{
    EndpointPlacement fleet = makeFleet(1, 1);
    std::vector<Placement> placed = fill(fleet, 890, at(seconds(0)));
    BOOST_REQUIRE_EQUAL(placed.size(), 20U);
    // Requests hold memory for 2 s, so one of 20 ends every 100 ms.
    fleet.ended(placed.back(), EndpointOutcome::Succeeded, at(seconds(2)));
    fleet.ended(placed[18], EndpointOutcome::Succeeded, at(seconds(2)));
    Duration former {};
    for (std::uint64_t i = 0; i < 5; ++i) {
        auto refused = refusalOf(fleet, makeRequest(900 + i, 3890), at(seconds(2)));
        BOOST_REQUIRE(refused);
        // 4,000 tokens are needed, 2,000 are free, and 9,000 are released each second.
        BOOST_TEST((refused->retryAfter >= milliseconds(200)));
        BOOST_TEST((refused->retryAfter >= former));
        former = refused->retryAfter;
    }
    BOOST_TEST((former > milliseconds(1000)));
}
