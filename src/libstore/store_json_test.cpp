#define BOOST_TEST_MODULE store_json
#include "store_json.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;

namespace {

// Guards against taking a malformed response for an empty range.
const std::string malformedRanges[] = {
    "",
    "[]",
    "{}",
    R"({"header":{"revision":"x"}})",
    R"({"header":{"revision":"5"},"kvs":{}})",
    R"({"header":{"revision":"5"},"kvs":[{"key":"@"}]})",
    R"({"header":{"revision":"5"},"kvs":[1]})",
};

} // namespace

BOOST_DATA_TEST_CASE(malformed_range_is_rejected, boost::unit_test::data::make(malformedRanges))
{
    BOOST_TEST(!parseRange(sample));
}

BOOST_AUTO_TEST_CASE(range_reads_items)
{
    auto range = parseRange(
        R"({"header":{"revision":"9"},"kvs":[{"key":"a2V5","value":"dg==","mod_revision":"8","create_revision":"3"}]})");
    BOOST_REQUIRE(range);
    BOOST_TEST(range.value().items[0].key == "key");
    BOOST_TEST(range.value().items[0].value == "v");
    BOOST_TEST(range.value().items[0].modRevision.value() == 8);
    BOOST_TEST(range.value().revision.value() == 9);
}

BOOST_AUTO_TEST_CASE(watch_reads_deletion)
{
    auto batch = parseWatch(
        R"({"result":{"header":{"revision":"4"},"events":[{"type":"DELETE","kv":{"key":"a2V5","mod_revision":"4"}}]}})");
    BOOST_REQUIRE(batch);
    BOOST_TEST(batch.value().items[0].value.empty());
    BOOST_TEST(!parseWatch(R"({"result":{"canceled":true,"header":{"revision":"4"}}})"));
}

BOOST_AUTO_TEST_CASE(prefix_end)
{
    BOOST_TEST(prefixEnd("key/") == "key0");
    BOOST_TEST(prefixEnd("a\xff") == "b");
}
