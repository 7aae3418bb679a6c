#define BOOST_TEST_MODULE scheduler
#include "wisteriayard/scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace wisteriayard;

namespace {

RequestInfo request(const std::string& id, Tier tier)
{
    RequestInfo info;
    info.id = RequestId(id);
    info.account = AccountId("a");
    info.target = TargetId("m");
    info.tier = tier;
    info.longestWait = std::chrono::seconds(10);
    return info;
}

EndpointInfo endpoint(const std::string& id, const std::string& zone)
{
    return { EndpointId(id), TargetId("m"), ZoneId(zone), RegionId("r"), 1 };
}

TimePoint at(int seconds) { return TimePoint(std::chrono::seconds(seconds)); }

std::string dispatchedTo(const Scheduler::Decisions& decisions)
{
    if (decisions.size() != 1 || !std::holds_alternative<Dispatch>(decisions[0]))
        return "";
    const auto& dispatch = std::get<Dispatch>(decisions[0]);
    return dispatch.request.value() + "@" + dispatch.endpoint.value();
}

} // namespace

// Guards against dispatching a lower tier first when a slot becomes free.
BOOST_AUTO_TEST_CASE(higher_tier_goes_first)
{
    Scheduler scheduler(ZoneId("z1"), RegionId("r"));
    scheduler.endpointAdded(endpoint("e1", "z1"), at(0));
    BOOST_TEST(dispatchedTo(scheduler.submit(request("r1", Tier::Bulk), at(0))) == "r1@e1");
    BOOST_TEST(scheduler.submit(request("r2", Tier::Bulk), at(0)).empty());
    BOOST_TEST(scheduler.submit(request("r3", Tier::Top), at(0)).empty());
    BOOST_TEST(dispatchedTo(scheduler.finished(RequestId("r1"), {}, at(1))) == "r3@e1");
    BOOST_TEST(dispatchedTo(scheduler.finished(RequestId("r3"), {}, at(1))) == "r2@e1");
}

// Guards against dispatching to an endpoint that has announced its shutdown.
BOOST_AUTO_TEST_CASE(leaving_endpoint_gets_no_requests)
{
    Scheduler scheduler(ZoneId("z1"), RegionId("r"));
    scheduler.endpointAdded(endpoint("e1", "z1"), at(0));
    EndpointLoad load;
    load.leaving = true;
    scheduler.endpointReported(EndpointId("e1"), load, at(0));
    BOOST_TEST(scheduler.submit(request("r1", Tier::Top), at(0)).empty());
    BOOST_TEST(dispatchedTo(scheduler.endpointAdded(endpoint("e2", "z2"), at(1))) == "r1@e2");
}

// Guards against requests that wait forever when no endpoint is added.
BOOST_AUTO_TEST_CASE(refuses_after_longest_wait)
{
    Scheduler scheduler(ZoneId("z1"), RegionId("r"));
    scheduler.submit(request("r1", Tier::Interactive), at(0));
    BOOST_TEST(scheduler.tick(at(9)).empty());
    auto decisions = scheduler.tick(at(10));
    BOOST_REQUIRE(decisions.size() == 1u);
    BOOST_TEST((std::get<Refusal>(decisions[0]).reason == RefusalReason::WaitExceeded));
    BOOST_TEST(scheduler.queued() == 0u);
}

// Guards against two requests with the same id, whose answers could be mixed up.
BOOST_AUTO_TEST_CASE(refuses_duplicate_id)
{
    Scheduler scheduler(ZoneId("z1"), RegionId("r"));
    scheduler.endpointAdded(endpoint("e1", "z1"), at(0));
    scheduler.submit(request("r1", Tier::Top), at(0));
    auto decisions = scheduler.submit(request("r1", Tier::Top), at(0));
    BOOST_REQUIRE(decisions.size() == 1u);
    BOOST_TEST((std::get<Refusal>(decisions[0]).reason == RefusalReason::Duplicate));
}
