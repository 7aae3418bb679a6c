#define BOOST_TEST_MODULE region_rules
#include "wisteriayard/region_rules.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

constexpr const char* host = "h.example";
constexpr const char* target = "/p/x";

AllowedRegions only(std::set<RegionId> regions) { return AllowedRegions(std::move(regions)); }

const RegionId north("north");
const RegionId south("south");
const RegionId unknown("nowhere");
const AccountId acme("acme");

Route makeRoute(const std::string& name, const std::string& prefix, AllowedRegions regions)
{
    Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.targets.push_back({ TargetId("s"), 1 });
    route.allowedRegions = std::move(regions);
    return route;
}

/// A configuration with one route for the request; its account has a key.
RouteTable makeTable(
    std::int64_t version, AllowedRegions route, AllowedRegions account, const std::string& prefix = "/p/")
{
    RoutingConfig config;
    config.version = ConfigVersion(version);
    config.routes.push_back(makeRoute("r", prefix, std::move(route)));
    config.keysRequired = true;
    config.keys[KeyHash("k" + std::to_string(version))] = { acme, std::nullopt, std::move(account) };
    return RouteTable(std::move(config));
}

struct Case {
    const char* name;
    RouteTable atClassification;
    RouteTable newest;
    bool inNorth;
    bool inSouth;
};
std::ostream& operator<<(std::ostream& out, const Case& each) { return out << each.name; }

const std::vector<Case> cases {
    { "no restriction", makeTable(1, {}, {}), makeTable(1, {}, {}), true, true },
    { "route and account", makeTable(1, only({ north, south }), only({ north })),
        makeTable(1, only({ north, south }), only({ north })), true, false },
    { "a restriction of the route is added", makeTable(1, {}, {}), makeTable(2, only({ south }), {}), false, true },
    { "a restriction of the account is added, with another key", makeTable(1, {}, {}),
        makeTable(2, {}, only({ north })), true, false },
    { "a restriction is lifted", makeTable(1, only({ north }), {}), makeTable(2, {}, {}), true, false },
    { "a restriction moves", makeTable(1, only({ north }), {}), makeTable(2, only({ south }), {}), false, false },
    { "the path of the route changes", makeTable(1, {}, {}), makeTable(2, only({ north }), {}, "/q/"), true, false },
    { "the route of the path changes", makeTable(1, only({ north }), {}, "/"), makeTable(2, only({ south }), {}), false,
        false },
};

} // namespace

// Guards against a request that is sent under only one of the two configurations, for instance by a retry after the
// operator has restricted its account.
BOOST_DATA_TEST_CASE(both_configurations_apply, data::make(cases))
{
    RequestRegions regions;
    regions.classified(sample.atClassification, sample.atClassification.config().routes[0], acme, host, target);
    // Asked for before, as for the first attempt.
    regions.allowed(sample.atClassification);
    AllowedRegions allowed = regions.allowed(sample.newest);
    BOOST_TEST(allowed.contains(north) == sample.inNorth);
    BOOST_TEST(allowed.contains(south) == sample.inSouth);
}

// Guards against a restriction that stays after two later configurations, the last of which has lifted it.
BOOST_AUTO_TEST_CASE(configurations_in_between_do_not_count)
{
    RouteTable first = makeTable(1, {}, {});
    RequestRegions regions;
    regions.classified(first, first.config().routes[0], acme, host, target);
    BOOST_TEST(!regions.allowed(makeTable(2, only({ north }), {})).contains(south));
    BOOST_TEST(regions.allowed(makeTable(3, {}, {})).isAny());
}

// Guards against the restriction of an account for requests that belong to none.
BOOST_AUTO_TEST_CASE(request_without_account_has_only_the_regions_of_its_route)
{
    RouteTable table = makeTable(1, only({ north, south }), only({ north }));
    RequestRegions regions;
    regions.classified(table, table.config().routes[0], std::nullopt, host, target);
    BOOST_TEST(regions.allowed(table).contains(south));
}

// Guards against an operator who does not learn that a configuration refuses requests.
BOOST_AUTO_TEST_CASE(restrictions_without_a_known_region_are_found)
{
    RoutingConfig config;
    config.routes = { makeRoute("open", "/a/", {}), makeRoute("lost", "/b/", only({ unknown })),
        makeRoute("south", "/c/", only({ south, unknown })), makeRoute("public", "/d/", only({ south })) };
    config.routes.back().anonymous = true;
    config.keysRequired = true;
    config.keys[KeyHash("1")] = { acme, std::nullopt, only({ north }) };
    config.keys[KeyHash("2")] = { AccountId("lost"), std::nullopt, only({ unknown }) };
    config.keys[KeyHash("3")] = { AccountId("open"), std::nullopt, {} };
    RegionFindings findings = checkRegions(RouteTable(config), { north, south });
    BOOST_TEST((findings.unknownRegions == std::set<RegionId> { unknown }));
    BOOST_TEST((findings.routes == std::vector<std::string> { "lost" }));
    BOOST_TEST((findings.accounts == std::vector<AccountId> { AccountId("lost") }));
    // Anonymous routes have requests without account.
    BOOST_TEST(findings.combinations == 1u);
    BOOST_REQUIRE(findings.listedCombinations.size() == 1u);
    BOOST_TEST(findings.listedCombinations[0].first == "south");
    BOOST_TEST((findings.listedCombinations[0].second == acme));
}

// Guards against a log line whose length is the product of routes and accounts.
BOOST_AUTO_TEST_CASE(number_of_listed_combinations_is_limited)
{
    constexpr std::size_t routes = 20;
    constexpr std::size_t accounts = 10;
    RoutingConfig config;
    for (std::size_t i = 0; i < routes; ++i)
        config.routes.push_back(makeRoute("r" + std::to_string(i), "/" + std::to_string(i) + "/", only({ south })));
    for (std::size_t i = 0; i < accounts; ++i)
        config.keys[KeyHash(std::to_string(i))]
            = { AccountId("account" + std::to_string(i)), std::nullopt, only({ north }) };
    RegionFindings findings = checkRegions(RouteTable(config), { north, south });
    BOOST_TEST(findings.combinations == routes * accounts);
    BOOST_TEST(findings.listedCombinations.size() == RegionFindings::maxListedCombinations);
}

// Guards against a log line for each configuration of a deployment without restrictions.
BOOST_AUTO_TEST_CASE(nothing_is_found_without_restrictions)
{
    BOOST_TEST(checkRegions(makeTable(1, {}, {}), { north }).isEmpty());
    BOOST_TEST(checkRegions(makeTable(1, only({ north, south }), only({ south })), { north, south }).isEmpty());
}
