#define BOOST_TEST_MODULE peer_messages
#include "peer_messages.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;

namespace {

PeerLoads sampleLoads(int endpoints)
{
    PeerLoads loads;
    loads.time = 1'781'798'936'010;
    loads.contact = milliseconds(5200);
    for (int i = 0; i < endpoints; ++i)
        loads.endpoints[endpointTag(EndpointId("i-" + std::to_string(i)))]
            = EndpointUse { i, PrefillBacklog(Priority(i % 10), Tokens(1000 * i)), 2000 * i };
    loads.work[TargetId("t1")] = WorkRates { 0.5, 0.25, 2.5, 0.75 };
    return loads;
}

/// A datagram that names more endpoints than it has figures for: field 4 of the loads, one row.
const std::string unevenColumns("\x0a\x06\x22\x04\x01\x02\x03\x04", 8);
/// Contact time -1.
const std::string negativeContact("\x0a\x0b\x10\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01", 13);
/// Work with the rate NaN.
const std::string rateNotFinite("\x0a\x07\x3a\x05\x15\x00\x00\xc0\x7f", 9);
/// Usage whose part is no record.
const std::string brokenPart("\x12\x03\x1a\x01{", 5);

/// A backlog of row 0 of an empty table, and one of rank 10.
const std::string backlogWithoutRow("\x0a\x09\x42\x01\x00\x4a\x01\x00\x52\x01\x05", 11);
const std::string backlogOfNoRank(
    "\x0a\x15\x1a\x04\x01\x02\x03\x04\x22\x01\x01\x32\x01\x01\x42\x01\x00\x4a\x01\x0a\x52\x01\x05", 23);

const std::string badDatagrams[] = { backlogWithoutRow, backlogOfNoRank, std::string(), std::string("\x00", 1), "text",
    std::string("\x0a\xff", 2), unevenColumns, negativeContact, rateNotFinite, brokenPart };

} // namespace

// Guards against loads that arrive at another endpoint or target than they were told for.
BOOST_DATA_TEST_CASE(loads_arrive_as_they_were_sent, data::make({ 0, 1, 60 }), endpoints)
{
    PeerLoads sent = sampleLoads(endpoints);
    auto decoded = decodePeerMessage(encodePeerMessage(sent));
    BOOST_REQUIRE(decoded.has_value());
    const auto& loads = std::get<PeerLoads>(decoded.value());
    BOOST_TEST(loads.time == sent.time);
    BOOST_TEST((loads.contact == sent.contact));
    BOOST_TEST(loads.endpoints.size() == static_cast<std::size_t>(endpoints));
    for (const auto& [tag, use] : sent.endpoints) {
        const EndpointUse& received = loads.endpoints.at(tag);
        BOOST_TEST(received.running == use.running);
        BOOST_TEST((received.backlog == use.backlog));
        BOOST_TEST(received.memoryTokens == use.memoryTokens);
    }
    BOOST_TEST(loads.work.at(TargetId("t1")).longPrompts == 0.5);
    BOOST_TEST(loads.work.at(TargetId("t1")).shortPrompts == 0.25);
    BOOST_TEST(loads.work.at(TargetId("t1")).longRanks == 2.5);
    BOOST_TEST(loads.work.at(TargetId("t1")).shortRanks == 0.75);
}

// Guards against usage that another entry writes for a wrong window or entry.
BOOST_AUTO_TEST_CASE(usage_arrives_as_it_was_sent)
{
    PeerUsage sent;
    sent.window = WindowId(353'458'311);
    sent.entry = IncarnationId("front-1.8f");
    sent.part.sequence = 7;
    UsageFigures figures;
    figures.requests = 12;
    sent.part.content.lines[UsageKey { AccountId("a"), ClassId("c") }] = figures;
    auto decoded = decodePeerMessage(encodePeerMessage(sent));
    BOOST_REQUIRE(decoded.has_value());
    const auto& usage = std::get<PeerUsage>(decoded.value());
    BOOST_TEST(usage.window.value() == sent.window.value());
    BOOST_TEST(usage.entry.value() == sent.entry.value());
    BOOST_TEST(usage.part.sequence == 7u);
    BOOST_TEST(usage.part.content.lines.size() == 1u);
}

// Guards against bytes of another sender on the port that end the process or count as load.
BOOST_DATA_TEST_CASE(other_bytes_are_refused, data::make(badDatagrams), bytes)
{
    BOOST_TEST(!decodePeerMessage(bytes).has_value());
}

// Guards against a cut datagram that is taken for a whole one with fewer endpoints.
BOOST_AUTO_TEST_CASE(cut_datagram_is_refused)
{
    std::string whole = encodePeerMessage(sampleLoads(20));
    for (std::size_t length = 0; length < whole.size(); ++length)
        BOOST_TEST(!decodePeerMessage(std::string_view(whole).substr(0, length)).has_value());
}

// Guards against two endpoints of a large fleet whose loads are added up under one tag.
BOOST_AUTO_TEST_CASE(tags_of_a_large_fleet_differ)
{
    std::set<EndpointTag> tags;
    for (int i = 0; i < 1000; ++i)
        tags.insert(endpointTag(EndpointId("i-" + std::to_string(i))));
    BOOST_TEST(tags.size() == 1000u);
}
