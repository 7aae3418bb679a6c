#define BOOST_TEST_MODULE route_table
#include "wisteriayard/route_table.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

Route makeRoute(const std::string& name, const std::string& host, const std::string& prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.targets = { { TargetId("t"), 1 } };
    return route;
}

RouteTable makeTable()
{
    RoutingConfig config;
    config.routes = { makeRoute("root", "a.example", "/"), makeRoute("short", "a.example", "/x/"),
        makeRoute("long", "a.example", "/x/y/"), makeRoute("other", "b.example", "/x/") };
    config.keys[KeyHash("k")] = { AccountId("acme"), Priority(1) };
    return RouteTable(config);
}

struct FindCase {
    const char* host;
    const char* target;
    /// Empty if no route matches.
    const char* route;
};
std::ostream& operator<<(std::ostream& out, const FindCase& each) { return out << each.host << each.target; }

const FindCase findCases[] = {
    { "a.example", "/x/y/z", "long" },
    { "a.example", "/x/yy", "short" },
    { "a.example", "/x", "root" },
    { "A.Example:8080", "/x/y/", "long" },
    { "b.example", "/x/1?to=/x/y/", "other" },
    { "b.example", "/y/", "" },
    { "c.example", "/x/", "" },
    { "a.example", "", "" },
};

struct PriorityCase {
    std::optional<Priority> account;
    int route;
    int expected;
};
std::ostream& operator<<(std::ostream& out, const PriorityCase& each) { return out << each.expected; }

const PriorityCase priorityCases[] = {
    { std::nullopt, 1, 1 },
    { Priority(0), 2, 2 },
    { Priority(1), 0, 3 },
    { Priority(7), 9, 8 },
};

} // namespace

// Guards against routing a request to the service of a shorter prefix or of another host.
BOOST_DATA_TEST_CASE(longest_prefix_of_the_host_wins, data::make(findCases), each)
{
    RouteTable table = makeTable();
    const Route* route = table.find(each.host, each.target);
    BOOST_TEST((route ? route->name : std::string()) == each.route);
}

// Guards against preempting chats while less urgent routes of the same account keep running (TIER on scale-2).
BOOST_DATA_TEST_CASE(account_comes_before_route, data::make(priorityCases), each)
{
    BOOST_TEST(enginePriority(each.account, Priority(each.route)).value() == each.expected);
}

// Guards against a split that deviates from the weights or changes the target between attempts of a request.
BOOST_AUTO_TEST_CASE(split_follows_weights)
{
    Route route = makeRoute("r", "a.example", "/");
    route.targets = { { TargetId("a"), 90 }, { TargetId("b"), 10 }, { TargetId("c"), 0 } };
    int first = 0;
    constexpr int requests = 2000;
    for (int i = 0; i < requests; ++i) {
        RequestId id("r" + std::to_string(i));
        const TargetId& target = RouteTable::pickTarget(route, id);
        BOOST_TEST(target.value() != "c");
        BOOST_TEST(target.value() == RouteTable::pickTarget(route, id).value());
        first += target.value() == "a" ? 1 : 0;
    }
    BOOST_TEST(first > 0.87 * requests);
    BOOST_TEST(first < 0.93 * requests);
}

// Guards against accepting a withdrawn or unknown key.
BOOST_AUTO_TEST_CASE(only_known_keys_have_owners)
{
    RouteTable table = makeTable();
    BOOST_REQUIRE(table.keyOwner(KeyHash("k")));
    BOOST_TEST(table.keyOwner(KeyHash("k"))->account.value() == "acme");
    BOOST_TEST(!table.keyOwner(KeyHash("")));
}
