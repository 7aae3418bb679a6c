#define BOOST_TEST_MODULE endpoint_exclusion
#include "wisteriayard/endpoint_exclusion.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string_view>

using namespace wisteriayard;

namespace {

struct NameCase {
    EndpointExclusion exclusion;
    const char* name;
};
std::ostream& operator<<(std::ostream& out, const NameCase& each) { return out << each.name; }

const NameCase nameCases[] = {
    { EndpointExclusion::AlreadyTried, "already_tried" },
    { EndpointExclusion::OtherRegion, "other_region" },
    { EndpointExclusion::Evacuated, "evacuated" },
    { EndpointExclusion::Paused, "paused" },
    { EndpointExclusion::ColdStart, "cold_start" },
    { EndpointExclusion::RateLimit, "rate_limit" },
    { EndpointExclusion::Memory, "memory" },
    { EndpointExclusion::Ejected, "ejected" },
};

} // namespace

// Guards against a changed name of a reason, by which logs, metrics and `wisteriayardctl where` are searched.
BOOST_DATA_TEST_CASE(reasons_keep_their_names, boost::unit_test::data::make(nameCases), each)
{
    BOOST_TEST(endpointExclusionName(each.exclusion) == std::string_view(each.name));
}
