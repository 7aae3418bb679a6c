#define BOOST_TEST_MODULE endpoint_placement_health
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

EndpointId idOf(int number) { return EndpointId("e" + std::to_string(number)); }

EndpointPlacement makeFleet(int count)
{
    EndpointPlacement fleet(PlacementPolicy(), ZoneId("z"), RegionId("r"));
    for (int i = 0; i < count; ++i) {
        PlacementEndpoint endpoint;
        endpoint.id = idOf(i);
        endpoint.zone = ZoneId("z");
        endpoint.region = RegionId("r");
        endpoint.slots = 4;
        fleet.put(endpoint);
    }
    return fleet;
}

/// Sends a request to one endpoint by excluding the others.
/// @return absent if the endpoint got none
std::optional<HealthChange> send(EndpointPlacement& fleet, int endpoint, EndpointOutcome outcome, TimePoint now)
{
    PlacementRequest request;
    request.timeLeft = seconds(1);
    request.objective = milliseconds(500);
    std::vector<EndpointId> others;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (idOf(static_cast<int>(i)) != idOf(endpoint))
            others.push_back(idOf(static_cast<int>(i)));
    }
    auto decision = fleet.choose(request, others, now);
    auto* placement = std::get_if<Placement>(&decision);
    if (!placement)
        return std::nullopt;
    fleet.started(*placement, request, now);
    return fleet.ended(*placement, outcome, now);
}

struct EjectionCase {
    const char* name;
    std::vector<EndpointOutcome> outcomes;
    bool isEjected;
};
std::ostream& operator<<(std::ostream& out, const EjectionCase& each) { return out << each.name; }

constexpr auto failed = EndpointOutcome::Failed;
constexpr auto succeeded = EndpointOutcome::Succeeded;
const EjectionCase ejectionCases[] = {
    { "two failures", { failed, failed }, false },
    { "three failures", { failed, failed, failed }, true },
    { "a success in between", { failed, failed, succeeded, failed, failed }, false },
    { "busy answers", { failed, failed, EndpointOutcome::Neutral, EndpointOutcome::Neutral }, false },
    { "failures with busy answers in between", { failed, EndpointOutcome::Neutral, failed, failed }, true },
};

} // namespace

// Guards against endpoints that are ejected for single failures or for being busy, and against ones that fail every
// request and get more.
BOOST_DATA_TEST_CASE(endpoints_are_ejected, data::make(ejectionCases), each)
{
    EndpointPlacement fleet = makeFleet(4);
    bool isEjected = false;
    for (EndpointOutcome outcome : each.outcomes)
        isEjected = send(fleet, 0, outcome, at(milliseconds(0))) == HealthChange::Ejected || isEjected;
    BOOST_TEST(isEjected == each.isEjected);
    BOOST_TEST(send(fleet, 0, succeeded, at(milliseconds(1))).has_value() == !each.isEjected);
}

// Guards against an ejected endpoint that stays unused after its recovery, and against trials that come too early or
// beside each other.
BOOST_AUTO_TEST_CASE(one_trial_restores_an_endpoint)
{
    EndpointPlacement fleet = makeFleet(4);
    for (int i = 0; i < 3; ++i)
        send(fleet, 0, failed, at(milliseconds(0)));
    BOOST_TEST(!send(fleet, 0, succeeded, at(milliseconds(999))).has_value());
    BOOST_TEST((send(fleet, 0, failed, at(seconds(1))) == HealthChange::None));
    // A failed trial doubles the time until the next one.
    BOOST_TEST(!send(fleet, 0, succeeded, at(milliseconds(2999))).has_value());
    BOOST_TEST((send(fleet, 0, succeeded, at(seconds(3))) == HealthChange::Restored));
    BOOST_TEST(send(fleet, 0, succeeded, at(seconds(3))).has_value());
}

// Guards against ejecting most endpoints, which would overload the others while the cause lies elsewhere.
BOOST_AUTO_TEST_CASE(at_most_half_of_the_endpoints_are_ejected)
{
    EndpointPlacement fleet = makeFleet(4);
    int ejected = 0;
    for (int endpoint = 0; endpoint < 4; ++endpoint) {
        for (int i = 0; i < 5; ++i)
            ejected += send(fleet, endpoint, failed, at(milliseconds(0))) == HealthChange::Ejected ? 1 : 0;
    }
    BOOST_TEST(ejected == 2);
}
