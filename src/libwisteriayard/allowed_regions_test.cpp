#define BOOST_TEST_MODULE allowed_regions
#include "wisteriayard/allowed_regions.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

struct Case {
    const char* name;
    AllowedRegions route;
    AllowedRegions account;
    bool inA;
    bool inB;
};
std::ostream& operator<<(std::ostream& out, const Case& each) { return out << each.name; }

AllowedRegions only(std::set<RegionId> regions) { return AllowedRegions(std::move(regions)); }

const std::vector<Case> cases {
    { "neither names regions", {}, {}, true, true },
    { "only the route does", only({ RegionId("a") }), {}, true, false },
    { "only the account does", {}, only({ RegionId("b") }), false, true },
    { "both, one in common", only({ RegionId("a"), RegionId("b") }), only({ RegionId("b") }), false, true },
    { "both, none in common", only({ RegionId("a") }), only({ RegionId("b") }), false, false },
    { "unknown regions", only({ RegionId("x") }), {}, false, false },
    { "the empty name", only({ RegionId("") }), {}, false, false },
};

} // namespace

// Guards against requests that are served in a region that only one of route and account allows.
BOOST_DATA_TEST_CASE(both_lists_bind, data::make(cases))
{
    AllowedRegions both = sample.route.intersection(sample.account);
    BOOST_TEST(both.contains(RegionId("a")) == sample.inA);
    BOOST_TEST(both.contains(RegionId("b")) == sample.inB);
    BOOST_TEST((both == sample.account.intersection(sample.route)));
    BOOST_TEST(!(both.isAny() && both.isEmpty()));
    BOOST_TEST(both.containsAnyOf({ RegionId("a"), RegionId("b") }) == (sample.inA || sample.inB));
    BOOST_TEST(!both.containsAnyOf({}));
    // An endpoint in an unknown zone has no region.
    BOOST_TEST(both.contains(RegionId()) == both.isAny());
}
