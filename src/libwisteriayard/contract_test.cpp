#define BOOST_TEST_MODULE contract
#include "wisteriayard/contract.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;

namespace {

const std::string validContract = R"({"account":"jordan","weight":2,"limits":{"requests_per_s":5},"classes":[
 {"name":"lookup","tier":"interactive","match":{"target":"m","max_tokens_at_most":256},
  "targets":{"first_token_ms":540,"attainment":0.95},"longest_wait_ms":2000},
 {"name":"chat","tier":"bulk","match":{"target":"m"},"targets":{"attainment":0.9},"longest_wait_ms":60000},
 {"name":"charge","tier":"top","match":{"target":"counter","method":"POST","path_prefix":"/charges"},
  "targets":{"total_ms":300,"attainment":0.999},"longest_wait_ms":1000,"at_most_once":true}]})";

struct BadCase {
    const char* from;
    const char* to;
    const char* message;
};

std::ostream& operator<<(std::ostream& out, const BadCase& c) { return out << c.to; }

// Guards against accepting part of an invalid contract: the error must name the path and the value.
const BadCase badCases[] = {
    { "\"weight\":2", "\"weight\":0", "contract.weight: 0 is not allowed" },
    { "\"weight\":2", "\"weight\":\"2\"", "contract.weight: \"2\" is not allowed" },
    { "\"weight\":2", "\"wieght\":2", "contract.wieght: unknown field" },
    { "\"account\":\"jordan\"", "\"account\":\"a/b\"", "contract.account: \"a/b\" is not allowed" },
    { "\"account\":\"jordan\",", "", "contract.account: missing" },
    { "\"tier\":\"bulk\"", "\"tier\":\"gold\"", "contract.classes[1].tier: \"gold\" is not allowed" },
    { "\"name\":\"chat\"", "\"name\":\"lookup\"", "contract.classes[1].name: \"lookup\" is used twice" },
    { "\"longest_wait_ms\":60000", "\"longest_wait_ms\":-1", "contract.classes[1].longest_wait_ms: -1" },
    { "\"longest_wait_ms\":60000", "\"longest_wait_ms\":18446744073709551615", "classes[1].longest_wait_ms" },
    { "\"total_ms\":300", "\"total_ms\":0.5", "contract.classes[2].targets.total_ms: 0.5" },
    { "\"attainment\":0.95", "\"attainment\":95", "contract.classes[0].targets.attainment: 95" },
    { "\"requests_per_s\":5", "\"requests_per_s\":1e400", "not valid JSON" },
    { "\"at_most_once\":true", "\"at_most_once\":1", "contract.classes[2].at_most_once: 1" },
    { "\"match\":{\"target\":\"m\"}", "\"match\":[]", "contract.classes[1].match: [] is not allowed" },
};

struct MatchCase {
    RequestAttributes request;
    const char* name;
};

std::ostream& operator<<(std::ostream& out, const MatchCase& c) { return out << c.request.target << ' ' << c.name; }

const MatchCase matchCases[] = {
    { { TargetId("m"), "POST", "", Tokens(256) }, "lookup" },
    { { TargetId("m"), "POST", "", Tokens(257) }, "chat" },
    { { TargetId("m"), "POST", "", std::nullopt }, "chat" },
    { { TargetId("counter"), "POST", "/charges/7", std::nullopt }, "charge" },
    { { TargetId("counter"), "GET", "/charges/7", std::nullopt }, "" },
    { { TargetId("other"), "POST", "", std::nullopt }, "" },
};

} // namespace

BOOST_AUTO_TEST_CASE(accepts_valid_contract)
{
    auto contract = parseContract(validContract);
    BOOST_REQUIRE(contract);
    BOOST_TEST(contract.value().classes.size() == 3u);
    BOOST_TEST(contract.value().limits.requestsPerSecond.value() == 5.0);
    BOOST_TEST(contract.value().classes[2].atMostOnce);
}

BOOST_DATA_TEST_CASE(rejects_bad_contract, boost::unit_test::data::make(badCases))
{
    std::string text = validContract;
    std::size_t at = text.find(sample.from);
    BOOST_REQUIRE(at != std::string::npos);
    text.replace(at, std::string(sample.from).size(), sample.to);
    auto contract = parseContract(text);
    BOOST_REQUIRE(!contract);
    BOOST_TEST(contract.error().message.find(sample.message) != std::string::npos, contract.error().message);
}

BOOST_DATA_TEST_CASE(classifies_requests, boost::unit_test::data::make(matchCases))
{
    auto contract = parseContract(validContract);
    BOOST_REQUIRE(contract);
    const RequestClass* found = classify(contract.value(), sample.request);
    BOOST_TEST((found ? found->name.value() : "") == sample.name);
}
