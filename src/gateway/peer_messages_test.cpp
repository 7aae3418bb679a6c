#define BOOST_TEST_MODULE peer_messages
#include "peer_messages.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <set>
#include <vector>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;

namespace {

PeerLoads sampleLoads(int endpoints)
{
    PeerLoads loads;
    loads.wallClockMs = 1'781'798'936'010;
    loads.storeContactTime = milliseconds(5200);
    for (int i = 0; i < endpoints; ++i)
        loads.endpoints[endpointTag(EndpointId("i-" + std::to_string(i)))]
            = EndpointUse { i, PrefillBacklog(Priority(i % 10), Tokens(1000 * i)), 2000 * i };
    loads.work[TargetId("t1")] = WorkRates { 0.5, 0.25, 2.5, 0.75 };
    if (endpoints > 0)
        loads.cacheHints[endpointTag(EndpointId("i-0"))] = { segmentTag(7), segmentTag(8) };
    if (endpoints > 0)
        loads.failing[endpointTag(EndpointId("i-0"))] = 3;
    return loads;
}

/// Loads whose columns differ in length: four values in field 4 (running), but no endpoint tag.
const std::string unevenColumns("\x0a\x06\x22\x04\x01\x02\x03\x04", 8);
/// Contact time -1.
const std::string negativeContact("\x0a\x0b\x10\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01", 13);
/// Work with a rate of NaN.
const std::string rateNotFinite("\x0a\x07\x3a\x05\x15\x00\x00\xc0\x7f", 9);
/// Usage whose partial record is not valid JSON.
const std::string invalidRecord("\x12\x03\x1a\x01{", 5);

/// A backlog for row 0 of an empty table, and one with rank 10, which is out of range.
const std::string backlogWithoutRow("\x0a\x09\x42\x01\x00\x4a\x01\x00\x52\x01\x05", 11);
const std::string backlogWithUnknownRank(
    "\x0a\x15\x1a\x04\x01\x02\x03\x04\x22\x01\x01\x32\x01\x01\x42\x01\x00\x4a\x01\x0a\x52\x01\x05", 23);

/// Changes from revision 5 to 4, a change of revision 9 in changes up to 8, and changes of an unknown part of the
/// store.
const std::string backwardsChanges("\x1a\x06\x08\x01\x10\x05\x18\x04", 8);
const std::string changeOutside("\x1a\x0d\x08\x01\x10\x05\x18\x08\x22\x05\x0a\x01k\x18\x09", 15);
const std::string unknownView("\x1a\x06\x08\x07\x10\x04\x18\x05", 8);
/// Loads with a progress report whose last change is after its revision.
const std::string impossibleProgress("\x0a\x08\x5a\x06\x08\x01\x10\x09\x18\x08", 10);

/// Loads with a crash without its endpoint: one row in field 19.
const std::string crashWithoutTag("\x0a\x07\x9a\x01\x04\x01\x02\x03\x04", 9);

/// A difference with revision 5 in changes from 5 on, and one with revision 9 in changes up to 8.
const std::string deltaBeforeItsChanges("\x3a\x08\x08\x01\x10\x05\x18\x08\x28\x05", 10);
const std::string deltaAfterItsChanges("\x3a\x08\x08\x01\x10\x05\x18\x08\x28\x09", 10);

/// Loads with a limit without an endpoint, and with one of NaN.
const std::string limitWithoutEndpoint("\x0a\x07\x8a\x01\x04\x00\x00\x80\x3f", 9);
const std::string limitNotFinite(
    "\x0a\x12\x82\x01\x04\x01\x02\x03\x04\x8a\x01\x04\x00\x00\xc0\x7f\x92\x01\x01\x05", 20);

/// Loads with a cache hint without an endpoint: one row in field 15.
const std::string hintWithoutEndpoint("\x0a\x06\x7a\x04\x01\x02\x03\x04", 8);

/// Loads with a speed without an endpoint (field 29), and with a time of NaN.
const std::string speedWithoutEndpoint("\x0a\x07\xea\x01\x04\x00\x00\x80\x3f", 9);
const std::string speedNotFinite("\x0a\x19\xe2\x01\x04\x01\x02\x03\x04\xea\x01\x04\x00\x00\xc0\x7f"
                                 "\xf2\x01\x04\x00\x00\x80\x3f\xfa\x01\x01\x05",
    27);

/// Loads with a failing endpoint without its number of entries: one row in field 32.
const std::string failureWithoutEntries("\x0a\x07\x82\x02\x04\x01\x02\x03\x04", 9);

/// Loads with a refused request without its time: one row in field 34.
const std::string returningWithoutTime("\x0a\x07\x92\x02\x04\x01\x02\x03\x04", 9);

const std::string badDatagrams[] = { returningWithoutTime, failureWithoutEntries, speedWithoutEndpoint, speedNotFinite,
    crashWithoutTag, deltaBeforeItsChanges, deltaAfterItsChanges, limitWithoutEndpoint, limitNotFinite,
    hintWithoutEndpoint, backwardsChanges, changeOutside, unknownView, impossibleProgress, backlogWithoutRow,
    backlogWithUnknownRank, std::string(), std::string("\x00", 1), "text", std::string("\x0a\xff", 2), unevenColumns,
    negativeContact, rateNotFinite, invalidRecord };

/// Version field with the current version, appended to a datagram.
const std::string versionField("\x78\x02", 2);

} // namespace

// Guards against loads that are decoded for a different endpoint or target than they were encoded for.
BOOST_DATA_TEST_CASE(loads_arrive_as_they_were_sent, data::make({ 0, 1, 60 }), endpoints)
{
    PeerLoads sent = sampleLoads(endpoints);
    auto decoded = decodePeerMessage(encodePeerMessage(sent));
    BOOST_REQUIRE(decoded.has_value());
    const auto& loads = std::get<PeerLoads>(decoded.value());
    BOOST_TEST(loads.wallClockMs == sent.wallClockMs);
    BOOST_TEST((loads.storeContactTime == sent.storeContactTime));
    BOOST_TEST(loads.endpoints.size() == static_cast<std::size_t>(endpoints));
    for (const auto& [tag, use] : sent.endpoints) {
        const EndpointUse& received = loads.endpoints.at(tag);
        BOOST_TEST(received.running == use.running);
        BOOST_TEST((received.backlog == use.backlog));
        BOOST_TEST(received.memoryTokens == use.memoryTokens);
    }
    BOOST_TEST((loads.failing == sent.failing));
    BOOST_TEST(loads.work.at(TargetId("t1")).longPrompts == 0.5);
    BOOST_TEST(loads.work.at(TargetId("t1")).shortPrompts == 0.25);
    BOOST_TEST(loads.work.at(TargetId("t1")).longRanks == 2.5);
    BOOST_TEST(loads.work.at(TargetId("t1")).shortRanks == 0.75);
}

// Failure: a speed is taken for that of another engine, or as newer than it is.
BOOST_AUTO_TEST_CASE(speeds_arrive_as_they_were_sent)
{
    EndpointTag engine = endpointTag(EndpointId("e1"));
    PeerLoads sent;
    sent.speeds[engine] = SpeedReport { 16.5, 40'000, milliseconds(250) };
    auto decoded = decodePeerMessage(encodePeerMessage(sent));
    BOOST_REQUIRE(decoded.has_value());
    const SpeedReport& received = std::get<PeerLoads>(decoded.value()).speeds.at(engine);
    BOOST_TEST(received.tokenTime == 16.5);
    BOOST_TEST(received.eventTime == 40'000);
    BOOST_TEST((received.age == milliseconds(250)));
    PeerLoads sum;
    sum.speeds[engine] = SpeedReport { 20, 50'000, milliseconds(300) };
    sum.add(sent, milliseconds(40));
    BOOST_TEST(sum.speeds[engine].tokenTime == 16.5);
    BOOST_TEST((sum.speeds[engine].age == milliseconds(290)));
    sum.add(sent, milliseconds(900));
    BOOST_TEST((sum.speeds[engine].age == milliseconds(290)));
}

// Guards against retries at other entries that count as first-time requests, or as due too early or too late.
BOOST_AUTO_TEST_CASE(refused_requests_arrive_as_they_were_sent)
{
    PeerLoads sent;
    sent.returning = { { segmentTag(7), milliseconds(300) }, { segmentTag(8), milliseconds(0) } };
    auto decoded = decodePeerMessage(encodePeerMessage(sent));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((std::get<PeerLoads>(decoded.value()).returning == sent.returning));
}

// Guards against usage that the receiver would write for a wrong window or entry.
BOOST_AUTO_TEST_CASE(usage_arrives_as_it_was_sent)
{
    PeerUsageToWrite sent;
    sent.window = WindowId(353'458'311);
    sent.entry = IncarnationId("front-1.8f");
    sent.record.sequence = 7;
    UsageFigures figures;
    figures.requests = 12;
    sent.record.content.lines[UsageKey { AccountId("a"), ClassId("c") }] = figures;
    auto decoded = decodePeerMessage(encodePeerMessage(sent));
    BOOST_REQUIRE(decoded.has_value());
    const auto& usage = std::get<PeerUsageToWrite>(decoded.value());
    BOOST_TEST(usage.window.value() == sent.window.value());
    BOOST_TEST(usage.entry.value() == sent.entry.value());
    BOOST_TEST(usage.record.sequence == 7u);
    BOOST_TEST(usage.record.content.lines.size() == 1u);
}

// Guards against malformed datagrams that crash the process or are accepted as load. The current version is appended,
// so that each row is rejected because of its content.
BOOST_DATA_TEST_CASE(other_bytes_are_refused, data::make(badDatagrams), bytes)
{
    BOOST_TEST(!decodePeerMessage(bytes + versionField).has_value());
    BOOST_TEST(!decodePeerMessage(bytes).has_value());
}

// Guards against accepting datagrams of another version, whose fields may have another meaning.
BOOST_DATA_TEST_CASE(other_versions_are_refused, data::make({ 0, 1, 3, 100 }), version)
{
    std::string bytes = encodePeerMessage(sampleLoads(2));
    bytes += std::string("\x78", 1) + static_cast<char>(version);
    BOOST_TEST(!decodePeerMessage(bytes).has_value());
}

// Guards against changes and progress reports that are altered by encoding and decoding.
BOOST_AUTO_TEST_CASE(changes_and_marks_arrive_as_they_were_sent)
{
    WatchBatch batch { Revision(20),
        { { "servers/a", "text", Revision(12), {} }, { "servers/b", "", Revision(15), {} } } };
    auto messages = splitChanges(StoreView::Endpoints, Revision(10), batch, {});
    BOOST_REQUIRE(messages.size() == 1u);
    auto decoded = decodePeerMessage(encodePeerMessage(std::get<ViewChanges>(messages[0])));
    BOOST_REQUIRE(decoded.has_value());
    const auto& changes = std::get<ViewChanges>(decoded.value());
    BOOST_TEST((changes.view == StoreView::Endpoints));
    BOOST_TEST(changes.from.value() == 10);
    BOOST_TEST(changes.to.value() == 20);
    BOOST_REQUIRE(changes.items.size() == 2u);
    BOOST_TEST(changes.items[0].value == "text");
    BOOST_TEST(changes.items[1].modRevision.value() == 15);
    PeerLoads loads = sampleLoads(1);
    loads.leaving = true;
    loads.closedWindow = WindowId(357731282);
    loads.viewProgress[StoreView::Configuration] = { Revision(7), Revision(30), milliseconds(450) };
    auto decodedLoads = std::get<PeerLoads>(decodePeerMessage(encodePeerMessage(loads)).value());
    BOOST_TEST(decodedLoads.leaving);
    BOOST_TEST((decodedLoads.closedWindow == loads.closedWindow));
    BOOST_TEST(decodedLoads.viewProgress.at(StoreView::Configuration).lastChange.value() == 7);
    BOOST_TEST(decodedLoads.viewProgress.at(StoreView::Configuration).revision.value() == 30);
    BOOST_TEST((decodedLoads.viewProgress.at(StoreView::Configuration).age == milliseconds(450)));
}

struct SplitCase {
    const char* name;
    /// Sizes of the values; each has its own revision, starting at 11.
    std::vector<std::size_t> sizes;
    /// Expected number of items in each message.
    std::vector<std::size_t> itemsPerMessage;
    /// Expected start of the first message.
    std::int64_t from;
};
std::ostream& operator<<(std::ostream& out, const SplitCase& each) { return out << each.name; }

const SplitCase splitCases[] = {
    { "nothing", {}, { 0 }, 10 },
    { "one_datagram", { 300, 300, 300 }, { 3 }, 10 },
    { "several_datagrams", { 5000, 3000, 5000, 300 }, { 2, 2 }, 10 },
    { "too_large", { 100'000 }, { 0 }, 11 },
    { "too_large_amid_others", { 300, 100'000, 300, 300 }, { 2 }, 12 },
};

// Guards against datagrams above the size limit, and against a gap between two of them that receivers cannot detect.
BOOST_DATA_TEST_CASE(changes_are_split_into_datagrams, data::make(splitCases), each)
{
    WatchBatch batch { Revision(50), {} };
    for (std::size_t size : each.sizes) {
        auto revision = static_cast<std::int64_t>(11 + batch.items.size());
        batch.items.push_back(
            { "servers/" + std::to_string(revision), std::string(size, 'x'), Revision(revision), {} });
    }
    auto messages = splitChanges(StoreView::Endpoints, Revision(10), batch, {});
    BOOST_REQUIRE(messages.size() == each.itemsPerMessage.size());
    Revision reached(each.from);
    for (std::size_t i = 0; i < messages.size(); ++i) {
        const auto& changes = std::get<ViewChanges>(messages[i]);
        BOOST_TEST(changes.items.size() == each.itemsPerMessage[i]);
        BOOST_TEST(changes.from.value() == reached.value());
        BOOST_TEST(encodePeerMessage(changes).size() <= 16u * 1024);
        reached = changes.to;
    }
    BOOST_TEST(reached.value() == 50);
}

struct SharedRevisionCase {
    const char* name;
    /// Keys that change at revision 12, in this order; the value of `large` can't be relayed.
    std::vector<const char*> keys;
};
std::ostream& operator<<(std::ostream& out, const SharedRevisionCase& each) { return out << each.name; }

const SharedRevisionCase sharedRevisionCases[] = {
    { "large_last", { "small", "large" } },
    { "large_first", { "large", "small" } },
    { "large_between", { "a", "large", "small" } },
};

// Guards against a message with a part of the changes of a revision, which receivers refuse (seen when the largest key
// was the last one that changed and a comparison found another one removed).
BOOST_DATA_TEST_CASE(changes_of_a_revision_are_omitted_together, data::make(sharedRevisionCases), each)
{
    WatchBatch batch { Revision(20), { { "before", "x", Revision(11), {} } } };
    for (std::string_view key : each.keys)
        batch.items.push_back({ std::string(key), std::string(key == "large" ? 100'000 : 0, 'x'), Revision(12), {} });
    batch.items.push_back({ "after", "x", Revision(13), {} });
    auto messages = splitChanges(StoreView::Configuration, Revision(10), batch, {});
    BOOST_REQUIRE(messages.size() == 1u);
    auto decoded = decodePeerMessage(encodePeerMessage(std::get<ViewChanges>(messages[0])));
    BOOST_REQUIRE(decoded.has_value());
    const auto& changes = std::get<ViewChanges>(decoded.value());
    BOOST_TEST(changes.from.value() == 12);
    BOOST_REQUIRE(changes.items.size() == 1u);
    BOOST_TEST(changes.items[0].key == "after");
}

struct LargeValueCase {
    const char* name;
    /// Items at revisions 11, 12 and so on: their keys and whether their values are large.
    std::vector<std::pair<const char*, bool>> items;
    /// Expected messages: `d` for a difference, else the number of items.
    std::string messages;
};
std::ostream& operator<<(std::ostream& out, const LargeValueCase& each) { return out << each.name; }

const LargeValueCase largeValueCases[] = {
    { "alone", { { "config/routes", true } }, "d" },
    { "between_others", { { "a", false }, { "config/routes", true }, { "b", false }, { "c", false } }, "1d2" },
    { "two_of_them", { { "config/routes", true }, { "config/other", true } }, "dd" },
    { "unknown_former_value", { { "a", false }, { "config/new", true }, { "b", false } }, "1" },
};

// Guards against a change of a large value that is not relayed, so that each entry reads the value from the store, and
// against differences that reach the receiver altered or in another order.
BOOST_DATA_TEST_CASE(large_values_are_relayed_as_differences, data::make(largeValueCases), each)
{
    std::string former;
    for (int i = 0; i < 20000; ++i)
        former += std::to_string(i) + ',';
    StoreValues formerValues { { "config/routes", { "config/routes", former, Revision(5), {} } },
        { "config/other", { "config/other", former, Revision(7), {} } } };
    WatchBatch batch { Revision(50), {} };
    for (const auto& [key, isLarge] : each.items) {
        Revision revision(static_cast<std::int64_t>(11 + batch.items.size()));
        batch.items.push_back({ key, isLarge ? former + key : "small", revision, {} });
    }
    std::string messages;
    Revision reached(10);
    for (const RelayedChange& change : splitChanges(StoreView::Configuration, Revision(10), batch, formerValues)) {
        std::string text = std::visit([](const auto& message) { return encodePeerMessage(message); }, change);
        BOOST_TEST(text.size() <= 16u * 1024);
        PeerMessage decoded = decodePeerMessage(text).value();
        if (auto* changes = std::get_if<ViewChanges>(&decoded)) {
            messages += std::to_string(changes->items.size());
            reached = changes->to;
            continue;
        }
        messages += 'd';
        const auto& delta = std::get<ViewDelta>(decoded);
        BOOST_TEST(delta.from.value() == reached.value());
        BOOST_TEST(delta.base.value() == formerValues.at(delta.key).modRevision.value());
        auto value = applyValueDelta(former, delta.delta, 1024 * 1024);
        BOOST_TEST((value.has_value() && value.value() == former + delta.key));
        reached = delta.to;
    }
    BOOST_TEST(messages == each.messages);
    BOOST_TEST(reached.value() == 50);
}

struct ClosedCase {
    const char* name;
    std::optional<std::uint64_t> counted;
};
std::ostream& operator<<(std::ostream& out, const ClosedCase& each) { return out << each.name; }

const ClosedCase closedCases[] = { { "counted", 4 }, { "first_part", 0 }, { "not_counted", std::nullopt } };

// Guards against an entry that considers its usage counted although the final record doesn't include it.
BOOST_DATA_TEST_CASE(closed_window_says_what_it_counts, data::make(closedCases), each)
{
    PeerWindowClosed sent { WindowId(9), IncarnationId("front-1.8f"), each.counted };
    auto closed = std::get<PeerWindowClosed>(decodePeerMessage(encodePeerMessage(sent)).value());
    BOOST_TEST(closed.window.value() == 9);
    BOOST_TEST(closed.entry.value() == "front-1.8f");
    BOOST_TEST((closed.countedSequence == each.counted));
}

// Guards against a truncated datagram that is accepted as a complete one with fewer endpoints.
BOOST_AUTO_TEST_CASE(cut_datagram_is_refused)
{
    std::string whole = encodePeerMessage(sampleLoads(20));
    for (std::size_t length = 0; length < whole.size(); ++length)
        BOOST_TEST(!decodePeerMessage(std::string_view(whole).substr(0, length)).has_value());
}

// Guards against tag collisions in a large fleet, which would add up the loads of two endpoints.
BOOST_AUTO_TEST_CASE(tags_of_a_large_fleet_differ)
{
    std::set<EndpointTag> tags;
    for (int i = 0; i < 1000; ++i)
        tags.insert(endpointTag(EndpointId("i-" + std::to_string(i))));
    BOOST_TEST(tags.size() == 1000u);
}

// Guards against a region whose load counts as that of a single entry, or only as that of the entry added last.
BOOST_AUTO_TEST_CASE(loads_of_a_region_add_up)
{
    PeerLoads sum = sampleLoads(3);
    sum.add(sampleLoads(2), milliseconds(0));
    sum.add(sampleLoads(0), milliseconds(0));
    EndpointTag second = endpointTag(EndpointId("i-1"));
    BOOST_TEST(sum.entryCount == 3u);
    BOOST_TEST(sum.endpoints.size() == 3u);
    BOOST_TEST(sum.endpoints.at(second).running == 2);
    BOOST_TEST(sum.endpoints.at(second).backlog.total().value() == 2000);
    BOOST_TEST(sum.work.at(TargetId("t1")).longPrompts == 1.5);
    auto decodedLoads = std::get<PeerLoads>(decodePeerMessage(encodePeerMessage(sum)).value());
    BOOST_TEST(decodedLoads.entryCount == 3u);
    BOOST_TEST((decodedLoads.cacheHints == sum.cacheHints));
    BOOST_TEST(decodedLoads.cacheHints.at(endpointTag(EndpointId("i-0"))).size() == 4u);
    BOOST_TEST(std::get<PeerLoads>(decodePeerMessage(encodePeerMessage(sampleLoads(1))).value()).entryCount == 1u);
}

// Guards against rate limits that change on their way through the reports of a region: a limit taken as withdrawn, or
// an older observation that replaces a newer one.
BOOST_AUTO_TEST_CASE(newest_limits_of_a_region_are_reported)
{
    PeerLoads sum = sampleLoads(1);
    EndpointTag limited = endpointTag(EndpointId("i-1"));
    EndpointTag withdrawn = endpointTag(EndpointId("i-2"));
    sum.limits[limited] = { RequestRate(2.5), milliseconds(300) };
    PeerLoads other;
    other.limits[limited] = { RequestRate(1), milliseconds(250) };
    other.limits[withdrawn] = { std::nullopt, milliseconds(20) };
    sum.add(other, milliseconds(100));
    auto decoded = std::get<PeerLoads>(decodePeerMessage(encodePeerMessage(sum)).value());
    BOOST_TEST(decoded.limits.size() == 2u);
    BOOST_TEST((decoded.limits.at(limited).rate == RequestRate(2.5)));
    BOOST_TEST((decoded.limits.at(limited).age == milliseconds(300)));
    BOOST_TEST((decoded.limits.at(withdrawn).rate == std::nullopt));
    BOOST_TEST((decoded.limits.at(withdrawn).age == milliseconds(120)));
    auto credit = decodePeerMessage(encodePeerMessage(PeerLimitCredit { limited }));
    BOOST_TEST((std::get<PeerLimitCredit>(credit.value()).endpoint == limited));
}

// Guards against crash observations that are altered on their way, or that an observer leaves out of the sum for other
// regions.
BOOST_AUTO_TEST_CASE(crash_observations_reach_other_regions)
{
    PeerLoads sum = sampleLoads(1);
    sum.quarantine.crashes = { { SuspectTag(5), CrashTag(77), milliseconds(100) } };
    sum.quarantine.quarantined = { { SuspectTag(6), milliseconds(9000), milliseconds(700) } };
    PeerLoads other;
    other.quarantine.crashes = { { SuspectTag(5), CrashTag(78), milliseconds(20) } };
    other.quarantine.begins = { { SuspectTag(8), milliseconds(300) } };
    other.quarantine.quarantined = { { SuspectTag(6), milliseconds(9100), milliseconds(300) } };
    sum.add(other, milliseconds(50));
    QuarantineReport report = std::get<PeerLoads>(decodePeerMessage(encodePeerMessage(sum)).value()).quarantine;
    BOOST_REQUIRE(report.crashes.size() == 2u);
    BOOST_TEST((report.crashes[1].tag == SuspectTag(5) && report.crashes[1].crash == CrashTag(78)));
    BOOST_TEST((report.crashes[1].age == milliseconds(70)));
    BOOST_REQUIRE(report.begins.size() == 1u);
    BOOST_TEST((report.begins[0].tag == SuspectTag(8) && report.begins[0].age == milliseconds(350)));
    BOOST_REQUIRE(report.quarantined.size() == 1u);
    BOOST_TEST((report.quarantined[0].age == milliseconds(9000)));
    BOOST_TEST((report.quarantined[0].quiet == milliseconds(350)));
}

// Guards against a limit that seems to change with each report, because reports carry it with less precision than
// responses: each change ends credit that was passed on, and is logged.
BOOST_DATA_TEST_CASE(limit_arrives_as_it_was_named, data::make({ 0.0, 0.1, 1.8, 2.2, 7.0 / 3, 12345.678 }), rate)
{
    PeerLoads loads;
    EndpointTag limited = endpointTag(EndpointId("i-1"));
    loads.limits[limited] = { RequestRate(rate), milliseconds(0) };
    auto decoded = std::get<PeerLoads>(decodePeerMessage(encodePeerMessage(loads)).value());
    BOOST_TEST((decoded.limits.at(limited).rate == loads.limits.at(limited).rate));
}

// Guards against reports whose size grows by more than 10 bytes for each limited endpoint.
BOOST_AUTO_TEST_CASE(limits_take_few_bytes)
{
    constexpr std::size_t limited = 50;
    PeerLoads loads = sampleLoads(60);
    std::size_t without = encodePeerMessage(loads).size();
    for (std::size_t i = 0; i < limited; ++i)
        loads.limits[endpointTag(EndpointId("i-" + std::to_string(i)))] = { RequestRate(2.2), milliseconds(2900) };
    // Each of the three columns has a header of up to four bytes.
    BOOST_TEST(encodePeerMessage(loads).size() <= without + limited * 10 + 3 * 4);
}

// Guards against loads of a region that exceed the receiver's buffer and are truncated.
BOOST_AUTO_TEST_CASE(loads_of_a_large_fleet_fit_into_a_datagram)
{
    BOOST_TEST(encodePeerMessage(sampleLoads(500)).size() <= 16u * 1024);
}
