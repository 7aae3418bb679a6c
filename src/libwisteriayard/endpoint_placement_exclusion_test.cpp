#define BOOST_TEST_MODULE endpoint_placement_exclusion
#include "wisteriayard/endpoint_placement.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <vector>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const RegionId north("north");
const RegionId south("south");
const std::set<ZoneId> near { ZoneId("near") };
const std::set<ZoneId> far { ZoneId("far") };

TimePoint at(Duration time) { return TimePoint(seconds(100) + time); }

EndpointId idOf(int number) { return EndpointId("e" + std::to_string(number)); }

/// Engines take turns in the zones: `near` in the north (also the zone of the entry), `far` in the south.
EndpointPlacement makeFleet(int count)
{
    EndpointPlacement fleet(PlacementPolicy(), ZoneId("near"), north);
    for (int i = 0; i < count; ++i) {
        PlacementEndpoint endpoint;
        endpoint.id = idOf(i);
        endpoint.zone = i % 2 == 0 ? ZoneId("near") : ZoneId("far");
        endpoint.region = i % 2 == 0 ? north : south;
        endpoint.slots = 32;
        endpoint.memory = Tokens(400'000);
        fleet.put(endpoint);
    }
    return fleet;
}

PlacementRequest makeRequest(std::uint64_t shared, AllowedRegions regions = {})
{
    PlacementRequest request;
    request.prompt = { { shared, Tokens(3000) }, { shared * 1000 + 7, Tokens(10) } };
    request.output = Tokens(50);
    request.timeLeft = seconds(4);
    request.objective = milliseconds(400);
    request.allowedRegions = std::move(regions);
    return request;
}

Placement place(EndpointPlacement& fleet, const PlacementRequest& request, TimePoint now)
{
    auto decision = fleet.choose(request, {}, now);
    BOOST_REQUIRE(std::holds_alternative<Placement>(decision));
    Placement placement = std::get<Placement>(decision);
    fleet.started(placement, request, now);
    return placement;
}

ZoneId zoneOf(const EndpointPlacement& fleet, const Placement& placement)
{
    return fleet.endpoint(placement.endpoint).zone;
}

/// Places a request that ends at once, so that it is no load for the next one.
std::size_t placeAndEnd(EndpointPlacement& fleet, const PlacementRequest& request, TimePoint now)
{
    Placement placement = place(fleet, request, now);
    fleet.ended(placement, EndpointOutcome::Neutral, now);
    return placement.endpoint;
}

ZoneId usedZone(EndpointPlacement& fleet, const PlacementRequest& request, TimePoint now)
{
    return fleet.endpoint(placeAndEnd(fleet, request, now)).zone;
}

PlacementRefusal refusalOf(EndpointPlacement& fleet, const PlacementRequest& request, TimePoint now)
{
    auto decision = fleet.choose(request, {}, now);
    BOOST_REQUIRE(std::holds_alternative<Refused>(decision));
    BOOST_TEST(std::get<Refused>(decision).retryAfter.count() > 0);
    return std::get<Refused>(decision).reason;
}

/// Makes requests fail at each endpoint of a zone that accepts them, until the endpoint is ejected.
void ejectZone(EndpointPlacement& fleet, const std::string& zone, TimePoint now)
{
    RegionId region = zone == "near" ? north : south;
    for (std::uint64_t i = 0; i < 100; ++i) {
        PlacementRequest request = makeRequest(i, AllowedRegions({ region }));
        auto decision = fleet.choose(request, {}, now);
        if (!std::holds_alternative<Placement>(decision))
            return;
        Placement placement = std::get<Placement>(decision);
        fleet.started(placement, request, now);
        fleet.ended(placement, EndpointOutcome::Failed, now);
    }
}

struct Case {
    const char* name;
    AllowedRegions regions;
    std::set<ZoneId> evacuated;
    /// Zones in which requests are placed; empty if they are refused.
    std::set<ZoneId> used;
    PlacementRefusal refusal = PlacementRefusal::NoEndpoint;
};
std::ostream& operator<<(std::ostream& out, const Case& each) { return out << each.name; }

const AllowedRegions onlySouth({ south });
const AllowedRegions both({ north, south });
const std::set<ZoneId> allZones { ZoneId("near"), ZoneId("far") };

const std::vector<Case> cases {
    { "no rule", {}, {}, allZones },
    { "another zone is evacuated", {}, { ZoneId("elsewhere") }, allZones },
    { "the near zone is evacuated", {}, near, far },
    { "the far zone is evacuated", {}, far, near },
    { "both zones are evacuated", {}, allZones, {}, PlacementRefusal::Evacuated },
    { "one region", onlySouth, {}, far },
    { "both regions", both, {}, allZones },
    { "no region has endpoints", AllowedRegions({ RegionId("nowhere") }), {}, {}, PlacementRefusal::NoEndpoint },
    { "the other region is evacuated", onlySouth, near, far },
    { "the allowed region is evacuated", onlySouth, far, {}, PlacementRefusal::Evacuated },
    { "one of the allowed regions is evacuated", both, far, near },
};

} // namespace

// Guards against requests outside of their regions or in an evacuated zone, for first and further attempts, with and
// without a preferred endpoint, and against a refusal that hides the operator's request.
BOOST_DATA_TEST_CASE(requests_are_placed_at_allowed_endpoints_only, data::make(cases))
{
    EndpointPlacement fleet = makeFleet(6);
    fleet.setEvacuatedZones(sample.evacuated);
    std::set<ZoneId> used;
    for (std::uint64_t segment = 0; segment < 40; ++segment) {
        PlacementRequest request = makeRequest(segment, sample.regions);
        std::vector<EndpointId> tried;
        while (true) {
            auto decision = fleet.choose(request, tried, at(milliseconds(segment)));
            auto* placement = std::get_if<Placement>(&decision);
            if (!placement)
                break;
            used.insert(zoneOf(fleet, *placement));
            tried.push_back(fleet.endpoint(placement->endpoint).id);
        }
        if (tried.empty())
            BOOST_TEST((refusalOf(fleet, request, at(milliseconds(segment))) == sample.refusal), "segment " << segment);
    }
    BOOST_TEST((used == sample.used));
}

// Guards against a request that is sent to an evacuated zone or another region after a wait for a connection, because
// it was placed before.
BOOST_AUTO_TEST_CASE(exclusion_after_the_choice_holds_at_the_send)
{
    EndpointPlacement fleet = makeFleet(2);
    PlacementRequest request = makeRequest(1, AllowedRegions({ north }));
    Placement placement = place(fleet, request, at(milliseconds(0)));
    BOOST_TEST(fleet.accepts(placement, request, at(milliseconds(1))));
    BOOST_TEST(!fleet.sendExclusion(placement, request, at(milliseconds(1))).has_value());
    PlacementRequest restricted = makeRequest(1, onlySouth);
    BOOST_TEST(!fleet.accepts(placement, restricted, at(milliseconds(2))));
    BOOST_TEST((fleet.sendExclusion(placement, restricted, at(milliseconds(2))) == EndpointExclusion::OtherRegion));
    fleet.setEvacuatedZones(far);
    BOOST_TEST(fleet.accepts(placement, request, at(milliseconds(3))));
    fleet.setEvacuatedZones(near);
    BOOST_TEST(!fleet.accepts(placement, request, at(milliseconds(4))));
    BOOST_TEST((fleet.sendExclusion(placement, request, at(milliseconds(4))) == EndpointExclusion::Evacuated));
    fleet.setEvacuatedZones({});
    BOOST_TEST(fleet.accepts(placement, request, at(milliseconds(5))));
}

// Guards against last-resort requests to ejected endpoints in an evacuated zone, and against refusals while ejected
// ones in another zone remain.
BOOST_AUTO_TEST_CASE(last_resort_is_not_in_an_evacuated_zone)
{
    EndpointPlacement fleet = makeFleet(4);
    ejectZone(fleet, "near", at(milliseconds(0)));
    BOOST_TEST(usedZone(fleet, makeRequest(1), at(milliseconds(1))).value() == "far");
    fleet.setEvacuatedZones(far);
    BOOST_TEST(usedZone(fleet, makeRequest(1), at(milliseconds(2))).value() == "near");
    fleet.setEvacuatedZones(near);
    BOOST_TEST(usedZone(fleet, makeRequest(1), at(milliseconds(3))).value() == "far");
    BOOST_TEST((refusalOf(fleet, makeRequest(1, AllowedRegions({ north })), at(milliseconds(4)))
        == PlacementRefusal::Evacuated));
}

// Guards against last-resort requests outside of the allowed regions.
BOOST_AUTO_TEST_CASE(last_resort_is_in_the_allowed_regions)
{
    EndpointPlacement fleet = makeFleet(4);
    ejectZone(fleet, "near", at(milliseconds(0)));
    PlacementRequest request = makeRequest(1, AllowedRegions({ north }));
    BOOST_TEST(usedZone(fleet, request, at(milliseconds(1))).value() == "near");
}

// Guards against trial requests to ejected endpoints in an evacuated zone, and against ones that never get a trial
// afterwards.
BOOST_AUTO_TEST_CASE(trials_wait_for_the_end_of_an_evacuation)
{
    EndpointPlacement fleet = makeFleet(4);
    ejectZone(fleet, "near", at(milliseconds(0)));
    fleet.setEvacuatedZones(near);
    // The ejections have ended by then.
    for (std::uint64_t segment = 0; segment < 40; ++segment)
        BOOST_TEST(usedZone(fleet, makeRequest(segment), at(seconds(10))).value() == "far");
    fleet.setEvacuatedZones({});
    std::set<ZoneId> used;
    // Other segments, which no endpoint has cached.
    for (std::uint64_t segment = 100; segment < 140; ++segment)
        used.insert(usedZone(fleet, makeRequest(segment), at(seconds(11))));
    BOOST_TEST((used == allZones));
}

// Guards against ejecting all endpoints that are left beside an evacuated zone.
BOOST_AUTO_TEST_CASE(at_most_half_of_the_remaining_endpoints_are_ejected)
{
    EndpointPlacement fleet = makeFleet(8);
    fleet.setEvacuatedZones(far);
    ejectZone(fleet, "near", at(milliseconds(0)));
    std::set<std::size_t> used;
    for (std::uint64_t segment = 0; segment < 100; ++segment)
        used.insert(placeAndEnd(fleet, makeRequest(segment), at(milliseconds(1))));
    BOOST_TEST(used.size() == 2u);
}

// Guards against a pool for long prompts that consists of evacuated engines, so that long and short prompts share the
// others.
BOOST_AUTO_TEST_CASE(pool_for_long_prompts_is_outside_of_an_evacuated_zone)
{
    EndpointPlacement fleet = makeFleet(12);
    fleet.setEvacuatedZones(near);
    std::set<std::size_t> longUsed;
    std::set<std::size_t> shortUsed;
    for (int i = 0; i < 200; ++i) {
        TimePoint now = at(milliseconds(50 * i));
        PlacementRequest longOne = makeRequest(static_cast<std::uint64_t>(i));
        longOne.prompt = { { longOne.prompt[0].id, Tokens(6000) }, { longOne.prompt[1].id, Tokens(3000) } };
        PlacementRequest shortOne = makeRequest(static_cast<std::uint64_t>(i) + 5000);
        shortOne.prompt = { { shortOne.prompt[0].id, Tokens(200) }, { shortOne.prompt[1].id, Tokens(300) } };
        Placement longPlacement = place(fleet, longOne, now);
        Placement shortPlacement = place(fleet, shortOne, now);
        if (i >= 100) {
            longUsed.insert(longPlacement.endpoint);
            shortUsed.insert(shortPlacement.endpoint);
        }
        for (Placement* each : { &longPlacement, &shortPlacement }) {
            fleet.firstEvent(*each, now + milliseconds(20));
            fleet.ended(*each, EndpointOutcome::Succeeded, now + milliseconds(30));
        }
    }
    std::vector<std::size_t> common;
    std::set_intersection(
        longUsed.begin(), longUsed.end(), shortUsed.begin(), shortUsed.end(), std::back_inserter(common));
    BOOST_TEST(common.empty());
    BOOST_TEST(longUsed.size() >= 2u);
}

// Guards against a burst of requests to endpoints whose caches are empty after an evacuation.
BOOST_AUTO_TEST_CASE(cached_segments_of_the_given_zones_are_forgotten)
{
    EndpointPlacement fleet = makeFleet(2);
    for (const RegionId& region : { north, south }) {
        PlacementRequest request = makeRequest(1, AllowedRegions({ region }));
        place(fleet, request, at(milliseconds(0)));
        BOOST_TEST(place(fleet, request, at(milliseconds(1))).uncachedTokens == 10);
    }
    fleet.forgetCachedSegments(near);
    PlacementRequest atNear = makeRequest(1, AllowedRegions({ north }));
    BOOST_TEST(place(fleet, atNear, at(milliseconds(2))).uncachedTokens == 3010);
    BOOST_TEST(place(fleet, makeRequest(1, onlySouth), at(milliseconds(3))).uncachedTokens == 10);
}

// Guards against an endpoint that joins an evacuated zone and gets requests.
BOOST_AUTO_TEST_CASE(endpoint_that_joins_an_evacuated_zone_gets_nothing)
{
    EndpointPlacement fleet = makeFleet(1);
    fleet.setEvacuatedZones(far);
    PlacementEndpoint joined = fleet.endpoint(0);
    joined.id = idOf(1);
    joined.zone = ZoneId("far");
    fleet.put(joined);
    for (std::uint64_t segment = 0; segment < 20; ++segment)
        BOOST_TEST(usedZone(fleet, makeRequest(segment), at(milliseconds(0))).value() == "near");
}
