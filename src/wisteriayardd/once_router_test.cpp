#define BOOST_TEST_MODULE once_router
#include "once_router.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace wisteriayard;

namespace {

const TargetId service("counter");
const OnceKey key("0123456789abcdef");
const EndpointId a("a"), b("b"), c("c");
const TimePoint start {};

} // namespace

// Guards against entries that send the same key to different agents although they have the same list of endpoints, and
// against a choice that sends all keys to the same agent.
BOOST_AUTO_TEST_CASE(first_choice_is_shared_and_spread)
{
    OnceRouter one(16), two(16);
    std::set<EndpointId> chosen;
    for (char each = 'a'; each < 'z'; ++each) {
        OnceKey other(std::string(16, each) + "x");
        OnceRoute route = one.choose(service, other, { a, b, c }, start);
        BOOST_TEST(route.endpoint == two.choose(service, other, { c, b, a }, start).endpoint);
        BOOST_TEST(route.mode == wire::ONCE_REDIRECT);
        chosen.insert(route.endpoint);
    }
    BOOST_TEST(chosen.size() == 3);
}

// Guards against a takeover from an owner that is serving or leaving, and against a missing takeover from one that is
// dead: not listed, or leaving for longer than the release timeout.
BOOST_AUTO_TEST_CASE(mode_follows_owner)
{
    OnceRouter router(16);
    router.recordOwner(service, key, b);
    OnceRoute route = router.choose(service, key, { a, b, c }, start);
    BOOST_TEST(route.endpoint == b);
    BOOST_TEST(route.mode == wire::ONCE_REDIRECT);

    router.markLeaving(b, start);
    route = router.choose(service, key, { a, b, c }, start + std::chrono::seconds(1));
    BOOST_TEST(route.endpoint != b);
    BOOST_TEST(route.mode == wire::ONCE_AWAIT_RELEASE);
    BOOST_TEST(router.choose(service, key, { a, c }, start + std::chrono::seconds(16)).mode == wire::ONCE_TAKE_OVER);

    router.markServing(b);
    BOOST_TEST(router.choose(service, key, { a, b, c }, start).endpoint == b);

    router.markLeaving(b, start);
    router.markUnavailable(b);
    route = router.choose(service, key, { a, c }, start);
    BOOST_TEST(route.endpoint != b);
    BOOST_TEST(route.mode == wire::ONCE_TAKE_OVER);
}
