#define BOOST_TEST_MODULE value_delta
#include "wisteriayard/value_delta.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t maxBytes = 1024 * 1024;
constexpr std::size_t datagramBytes = 8 * 1024;

/// A document of routes, in which each route has other bytes.
std::string document(int version, int routes, int changedRoute = -1)
{
    std::mt19937 random(1);
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (int i = 0; i < routes; ++i) {
        text += "{\"name\":\"r-" + std::to_string(random()) + "\",\"prefix\":\"/" + std::to_string(random())
            + "/\",\"kind\":\"streaming\",\"timeout_ms\":" + (i == changedRoute ? "900" : "12000") + "},";
    }
    return text + "]}";
}

std::string randomBytes(unsigned seed, std::size_t size)
{
    std::mt19937 random(seed);
    std::string text;
    for (std::size_t i = 0; i < size; ++i)
        text.push_back(static_cast<char>(random()));
    return text;
}

struct DeltaCase {
    const char* name;
    std::string former;
    std::string value;
    /// Limit on the size of the difference.
    std::size_t limit;
};
std::ostream& operator<<(std::ostream& out, const DeltaCase& each) { return out << each.name; }

const DeltaCase deltaCases[] = {
    { "unchanged", document(9, 1400), document(9, 1400), 100 },
    { "version_and_a_route", document(9, 1400), document(10, 1400, 700), 1000 },
    { "first_route", document(9, 1400), document(10, 1400, 0), 1000 },
    { "last_route_added", document(9, 1399), document(10, 1400), 1000 },
    { "last_routes_removed", document(9, 1400), document(10, 1300), 1000 },
    { "binary_inserted", randomBytes(1, 200000), randomBytes(1, 100000) + "new" + randomBytes(1, 200000).substr(100000),
        2000 },
    { "from_empty", "", document(1, 10), maxBytes },
    { "to_empty", document(1, 10), "", 0 },
    { "unrelated", randomBytes(1, 5000), randomBytes(2, 6000), maxBytes },
    { "repeated_bytes", std::string(3000, 'a'), std::string(5000, 'a'), datagramBytes },
};

struct InvalidCase {
    const char* name;
    std::string former;
    std::vector<DeltaPart> parts;
};
std::ostream& operator<<(std::ostream& out, const InvalidCase& each) { return out << each.name; }

const InvalidCase invalidCases[] = {
    { "checksum", "abc", { CopiedBytes { 0, 3 } } },
    { "offset_beyond_the_end", "abc", { CopiedBytes { 4, 0 } } },
    { "size_beyond_the_end", "abc", { CopiedBytes { 1, 3 } } },
    { "size_overflow", "abc", { CopiedBytes { 2, static_cast<std::size_t>(-1) } } },
    { "too_much_copied", std::string(maxBytes, 'a'), { CopiedBytes { 0, maxBytes }, CopiedBytes { 0, 1 } } },
    { "too_much_inserted", std::string(maxBytes, 'a'), { CopiedBytes { 0, maxBytes }, InsertedBytes { "b" } } },
};

} // namespace

// Guards against a configuration that an entry puts together wrongly from a difference, and against differences as
// large as the value, which do not fit into a datagram.
BOOST_DATA_TEST_CASE(value_is_restored_from_a_small_difference, data::make(deltaCases), each)
{
    ValueDelta delta = makeValueDelta(each.former, each.value);
    auto restored = applyValueDelta(each.former, delta, maxBytes);
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST((restored.value() == each.value));
    BOOST_TEST(delta.encodedSize() <= each.limit);
}

// Guards against a difference that is applied to another value, reads beyond the former value or grows without limit.
BOOST_DATA_TEST_CASE(invalid_difference_is_refused, data::make(invalidCases), each)
{
    BOOST_TEST(!applyValueDelta(each.former, ValueDelta { each.parts, 1 }, maxBytes).has_value());
}
