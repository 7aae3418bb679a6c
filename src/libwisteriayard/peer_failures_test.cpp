#define BOOST_TEST_MODULE peer_failures
#include "wisteriayard/endpoint_placement.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int endpoints = 8;
const EndpointId failingEndpoint("e0");

TimePoint at(Duration time) { return TimePoint(seconds(100) + time); }

EndpointPlacement makeFleet()
{
    EndpointPlacement fleet(PlacementPolicy(), ZoneId("z"), RegionId("r"));
    for (int i = 0; i < endpoints; ++i) {
        PlacementEndpoint endpoint;
        endpoint.id = EndpointId("e" + std::to_string(i));
        endpoint.zone = ZoneId("z");
        endpoint.region = RegionId("r");
        endpoint.slots = 4;
        fleet.put(endpoint);
    }
    return fleet;
}

PlacementRequest makeRequest()
{
    PlacementRequest request;
    request.timeLeft = seconds(4);
    request.objective = milliseconds(400);
    return request;
}

/// Sends one request to a given endpoint, by excluding all others.
void sendTo(EndpointPlacement& fleet, const EndpointId& id, EndpointOutcome outcome, TimePoint now)
{
    std::vector<EndpointId> others;
    for (int i = 0; i < endpoints; ++i) {
        EndpointId other("e" + std::to_string(i));
        if (other != id)
            others.push_back(other);
    }
    auto decision = fleet.choose(makeRequest(), others, now);
    BOOST_REQUIRE(std::holds_alternative<Placement>(decision));
    Placement placement = std::get<Placement>(decision);
    fleet.started(placement, makeRequest(), now);
    fleet.ended(placement, outcome, now);
}

bool isEjected(EndpointPlacement& fleet, const EndpointId& id, TimePoint now)
{
    std::vector<EndpointId> others;
    for (int i = 0; i < endpoints; ++i) {
        EndpointId other("e" + std::to_string(i));
        if (other != id)
            others.push_back(other);
    }
    return std::holds_alternative<Refused>(fleet.choose(makeRequest(), others, now));
}

struct Case {
    const char* name;
    /// Number of entries that report failures, each in a report of its own.
    int peers;
    int ownFailures;
    bool ownSuccess;
    /// Age of the reports when the endpoint is tried.
    Duration age;
    bool ejected;
};
std::ostream& operator<<(std::ostream& out, const Case& each) { return out << each.name; }

const Case cases[] = {
    { "nothing is known", 0, 0, false, milliseconds(0), false },
    { "one entry may have lost its own connection", 1, 0, false, milliseconds(0), false },
    { "two entries without an own failure", 2, 0, false, milliseconds(0), false },
    { "two entries and an own failure", 2, 1, false, milliseconds(0), true },
    { "one entry and an own failure", 1, 1, false, milliseconds(0), false },
    { "two own failures alone", 0, 2, false, milliseconds(0), false },
    { "three entries", 3, 0, false, milliseconds(0), true },
    { "three entries, but it answers this one", 3, 0, true, milliseconds(0), false },
    { "many entries, but it answers this one", 20, 0, true, milliseconds(0), false },
    { "two old reports and an own failure", 2, 1, false, milliseconds(1600), false },
};

} // namespace

// Guards against entries that each lose several requests at an endpoint that others know to fail, and against ejecting
// an endpoint that only one other entry can't reach, or that answers this entry.
BOOST_DATA_TEST_CASE(reports_of_several_entries_count, data::make(cases))
{
    EndpointPlacement fleet = makeFleet();
    if (sample.ownSuccess)
        sendTo(fleet, failingEndpoint, EndpointOutcome::Succeeded, at(milliseconds(0)));
    for (int i = 0; i < sample.peers; ++i)
        fleet.updatePeerFailures(InstanceId("p" + std::to_string(i)), { { failingEndpoint, 1 } }, at(milliseconds(10)));
    TimePoint now = at(milliseconds(10) + sample.age);
    for (int i = 0; i < sample.ownFailures; ++i)
        sendTo(fleet, failingEndpoint, EndpointOutcome::Failed, now);
    BOOST_TEST(isEjected(fleet, failingEndpoint, now + milliseconds(1)) == sample.ejected);
}

// Guards against a wrong consensus that takes most endpoints out of service.
BOOST_AUTO_TEST_CASE(at_most_half_of_the_endpoints_are_ejected)
{
    EndpointPlacement fleet = makeFleet();
    std::map<EndpointId, std::uint32_t> all;
    for (int i = 0; i < endpoints; ++i)
        all[EndpointId("e" + std::to_string(i))] = 1;
    for (int i = 0; i < 5; ++i)
        fleet.updatePeerFailures(InstanceId("p" + std::to_string(i)), all, at(milliseconds(10 * i)));
    int ejected = 0;
    for (int i = 0; i < endpoints; ++i)
        ejected += isEjected(fleet, EndpointId("e" + std::to_string(i)), at(milliseconds(60))) ? 1 : 0;
    BOOST_TEST(ejected == endpoints / 2);
}

// Guards against entries that confirm each other: only own failures are reported, and only while they are recent.
BOOST_AUTO_TEST_CASE(only_own_failures_are_reported)
{
    EndpointPlacement fleet = makeFleet();
    for (int i = 0; i < 3; ++i)
        fleet.updatePeerFailures(InstanceId("p" + std::to_string(i)), { { failingEndpoint, 1 } }, at(milliseconds(10)));
    BOOST_TEST(fleet.failingEndpoints(at(milliseconds(20))).empty());
    sendTo(fleet, EndpointId("e1"), EndpointOutcome::Failed, at(milliseconds(20)));
    BOOST_TEST(fleet.failingEndpoints(at(milliseconds(20))).empty());
    sendTo(fleet, EndpointId("e1"), EndpointOutcome::Failed, at(milliseconds(30)));
    BOOST_TEST(fleet.failingEndpoints(at(milliseconds(30))).size() == 1u);
    BOOST_TEST(fleet.failingEndpoints(at(milliseconds(1100))).empty());
}

/// Requests lost in a fleet of entries at an endpoint that fails every request. The requests of an entry go to all
/// endpoints in turn; reports are exchanged each 100 ms.
int lostRequests(bool exchange)
{
    constexpr int entries = 30;
    constexpr Duration interval = milliseconds(50);
    std::vector<EndpointPlacement> fleet(entries, makeFleet());
    int lost = 0;
    int round = 0;
    for (Duration time {}; time < seconds(3); time += interval, ++round) {
        for (int i = 0; i < entries; ++i) {
            EndpointId id("e" + std::to_string((3 * i + round) % endpoints));
            auto& entry = fleet[static_cast<std::size_t>(i)];
            if (isEjected(entry, id, at(time)))
                continue;
            lost += id == failingEndpoint ? 1 : 0;
            sendTo(entry, id, id == failingEndpoint ? EndpointOutcome::Failed : EndpointOutcome::Succeeded, at(time));
        }
        for (int from = 0; exchange && round % 2 == 1 && from < entries; ++from) {
            std::map<EndpointId, std::uint32_t> failing;
            for (const EndpointId& id : fleet[static_cast<std::size_t>(from)].failingEndpoints(at(time)))
                failing[id] = 1;
            for (int to = 0; to < entries; ++to) {
                if (to != from)
                    fleet[static_cast<std::size_t>(to)].updatePeerFailures(
                        InstanceId("p" + std::to_string(from)), failing, at(time));
            }
        }
    }
    return lost;
}

// The load: an endpoint fails every request while its health check succeeds. Guards against each of many entries losing
// several requests there.
BOOST_AUTO_TEST_CASE(few_requests_are_lost_by_many_entries)
{
    int alone = lostRequests(false);
    int together = lostRequests(true);
    BOOST_TEST_MESSAGE("lost alone: " << alone << ", together: " << together);
    BOOST_TEST(2 * together <= alone);
}
