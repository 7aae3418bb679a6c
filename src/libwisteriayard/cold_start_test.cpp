#define BOOST_TEST_MODULE cold_start
#include "wisteriayard/cold_start.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EndpointId endpoint("e");
const RegionId region("r");

TimePoint at(Duration time) { return TimePoint(seconds(1000) + time); }

LimitEntries makeEntries(int self, int count)
{
    LimitEntries entries;
    entries.self = InstanceId("entry-" + std::to_string(self));
    entries.active = entries.exclusive = true;
    for (int i = 0; i < count; ++i)
        entries.regions[InstanceId("entry-" + std::to_string(i))] = region;
    return entries;
}

/// An endpoint that states 60 s of coldness at 0 s, seen from one of the entries.
ColdStart makeCold(const ColdPolicy& policy, const LimitEntries& entries)
{
    ColdStart cold;
    cold.recordTimeLeft(seconds(60), at(seconds(0)));
    cold.update(endpoint, region, policy, entries, at(seconds(0)));
    return cold;
}

struct TermsCase {
    double perSecond;
    double excess;
    double slack;
    double rate;
    std::size_t holders;
};
std::ostream& operator<<(std::ostream& out, const TermsCase& each)
{
    return out << each.perSecond << " x " << each.excess << " + " << each.slack;
}

const TermsCase termsCases[] = {
    { 16, 1.5, 5, 16, 12 },
    { 16, 1, 1, 16, 1 },
    { 16, 1, 2, 16, 1 },
    { 16, 1, 3, 16, 2 },
    { 0.5, 1, 1, 0.5, 1 },
    { 0.5, 1.5, 5, 0.5, 4 },
    { 4, 10, 0, 4, 35 },
    { 2, 1, 0, 1.95, 1 },
    { 1, 1, 0, 0.95, 1 },
    // No request at all keeps the bound of half a request.
    { 0.5, 1, 0, 0, 1 },
    { 300, 1.02, 0.5, 300, 5 },
};

} // namespace

// Guards against holders whose requests exceed the bound, and against fewer holders than it allows.
BOOST_DATA_TEST_CASE(bound_determines_the_number_of_holders, data::make(termsCases), each)
{
    ColdPolicy policy { seconds(20), RequestRate(each.perSecond), each.excess, each.slack };
    EntryShare::Terms terms = policy.terms();
    BOOST_TEST((terms.rate == RequestRate(each.rate)));
    BOOST_TEST(terms.maxHolders == each.holders);
}

namespace {

struct EndCase {
    const char* name;
    Duration warmup;
    double perSecond;
    /// What is known at 0 s: stated times left, start, and mark.
    std::vector<Duration> stated;
    std::optional<Duration> startedAt;
    std::optional<Duration> markedAt;
    /// End of the cold time without the spread between entries; absent if the endpoint is not cold.
    std::optional<Duration> end;
};
std::ostream& operator<<(std::ostream& out, const EndCase& each) { return out << each.name; }

const EndCase endCases[] = {
    { "nothing known", seconds(20), 16, {}, {}, {}, {} },
    { "stated", seconds(20), 16, { seconds(7) }, {}, {}, seconds(7) },
    { "latest statement applies", seconds(20), 16, { seconds(7), seconds(3) }, {}, {}, seconds(7) },
    { "none left", seconds(20), 16, { seconds(0) }, {}, {}, {} },
    { "negative", seconds(20), 16, { seconds(-5) }, {}, {}, {} },
    { "absurd", seconds(20), 16, { std::chrono::hours(100000) }, {}, {}, seconds(600) },
    { "started lately", seconds(20), 16, {}, seconds(-5), {}, seconds(15) },
    { "started long ago", seconds(20), 16, {}, seconds(-25), {}, {} },
    { "statement after the start", seconds(20), 16, { seconds(17) }, seconds(-5), {}, seconds(17) },
    { "start after the statement", seconds(20), 16, { seconds(3) }, seconds(-5), {}, seconds(15) },
    { "marked", seconds(20), 16, { seconds(0) }, seconds(-500), seconds(0), seconds(20) },
    { "without warm-up time", seconds(0), 16, { seconds(7) }, seconds(0), seconds(0), seconds(7) },
    { "without rate", seconds(20), 0, { seconds(7) }, {}, {}, seconds(7) },
    { "not configured", seconds(0), 0, { seconds(7) }, seconds(0), seconds(0), {} },
};

} // namespace

// Guards against endpoints that count as warm too early or for ever as cold, and against any effect without
// configuration.
BOOST_DATA_TEST_CASE(latest_end_applies, data::make(endCases), each)
{
    ColdStart cold;
    for (Duration left : each.stated)
        cold.recordTimeLeft(left, at(seconds(0)));
    if (each.startedAt)
        cold.recordStart(at(*each.startedAt));
    if (each.markedAt)
        cold.mark(at(*each.markedAt));
    ColdPolicy policy { each.warmup, RequestRate(each.perSecond), 1, 1 };
    cold.update(endpoint, region, policy, makeEntries(0, 1), at(seconds(0)));
    BOOST_TEST(cold.isCold(at(seconds(0))) == each.end.has_value());
    if (!each.end)
        return;
    BOOST_TEST(cold.isCold(at(*each.end - milliseconds(1))));
    BOOST_TEST(!cold.isCold(at(*each.end + milliseconds(501))));
}

// Pattern: all entries know the end of the cold time. Guards against requests of all of them at that moment, and of all
// prompt segments at once.
BOOST_AUTO_TEST_CASE(entries_and_segments_return_one_after_the_other)
{
    ColdPolicy policy { seconds(20), RequestRate(16), 1.5, 5 };
    std::set<TimePoint> ends;
    for (int i = 0; i < 40; ++i)
        ends.insert(makeCold(policy, makeEntries(i, 40)).end());
    BOOST_TEST(ends.size() >= 30u);
    BOOST_TEST((*ends.begin() >= at(seconds(60))));
    BOOST_TEST((*ends.rbegin() < at(milliseconds(60500))));
    BOOST_TEST((*ends.rbegin() - *ends.begin() > milliseconds(350)));

    ColdStart cold = makeCold(policy, makeEntries(0, 1));
    int returned = 0;
    for (std::uint64_t weight = 0; weight < 1024; ++weight) {
        BOOST_TEST(!cold.takesSegment(weight, cold.end() - milliseconds(1)));
        BOOST_TEST(cold.takesSegment(weight, cold.end() + seconds(3)));
        returned += cold.takesSegment(weight, cold.end() + milliseconds(300)) ? 1 : 0;
    }
    BOOST_TEST(returned > 50);
    BOOST_TEST(returned < 150);
    BOOST_TEST(ColdStart().takesSegment(1023, at(seconds(0))));
}

// Pattern: requests wait for connections and become ready to be sent at the same moment. Guards against credit of
// several seconds that is used at once, and against credit that is lost with a request that was not sent.
BOOST_AUTO_TEST_CASE(credit_is_taken_when_a_request_is_sent)
{
    ColdStart cold = makeCold({ seconds(20), RequestRate(10), 1, 1 }, makeEntries(0, 1));
    BOOST_TEST(cold.share().value() == 10);
    BOOST_TEST(!cold.tryReserve(at(milliseconds(90))));
    BOOST_TEST(cold.tryReserve(at(milliseconds(110))));
    BOOST_TEST(!cold.tryReserve(at(milliseconds(250))));
    BOOST_TEST(cold.trySend(true, at(milliseconds(400))));
    BOOST_TEST(!cold.tryReserve(at(milliseconds(490))));
    BOOST_TEST(cold.tryReserve(at(milliseconds(510))));
    cold.release();
    BOOST_TEST(cold.admits(at(milliseconds(510))));
    // A request that was placed when the endpoint was warm takes what is there, but not what is reserved.
    BOOST_TEST(cold.trySend(false, at(milliseconds(520))));
    BOOST_TEST(cold.tryReserve(at(milliseconds(700))));
    BOOST_TEST(!cold.trySend(false, at(milliseconds(710))));
    BOOST_TEST(cold.trySend(true, at(milliseconds(720))));
}

// Guards against shares that another entry may use as well, and against coldness that survives the end of a share.
BOOST_AUTO_TEST_CASE(only_exclusive_shares_are_used)
{
    ColdPolicy policy { seconds(20), RequestRate(10), 1, 1 };
    LimitEntries entries = makeEntries(0, 1);
    ColdStart cold = makeCold(policy, entries);
    BOOST_TEST(cold.admits(at(seconds(1))));
    entries.exclusive = false;
    cold.update(endpoint, region, policy, entries, at(seconds(1)));
    BOOST_TEST(!cold.admits(at(seconds(5))));
    entries.exclusive = true;
    cold.update(endpoint, region, policy, entries, at(seconds(5)));
    BOOST_TEST(!cold.admits(at(milliseconds(5050))));
    BOOST_TEST(cold.admits(at(milliseconds(5150))));
    entries.active = false;
    cold.update(endpoint, region, policy, entries, at(seconds(6)));
    BOOST_TEST(!cold.admits(at(seconds(8))));
    BOOST_TEST(cold.admits(at(seconds(61))));
}

// Guards against an endpoint that is back after its record was missing and is sent the credit of before again.
BOOST_AUTO_TEST_CASE(endpoint_that_is_back_is_cold_without_credit)
{
    ColdStart cold = makeCold({ seconds(20), RequestRate(10), 1, 1 }, makeEntries(0, 1));
    BOOST_TEST(cold.tryReserve(at(seconds(1))));
    ColdStart back = cold.withoutCredit();
    BOOST_TEST(back.isCold(at(seconds(2))));
    BOOST_TEST(!back.admits(at(seconds(2))));
    back.update(endpoint, region, { seconds(20), RequestRate(10), 1, 1 }, makeEntries(0, 1), at(seconds(2)));
    BOOST_TEST(!back.admits(at(milliseconds(2050))));
    BOOST_TEST(back.tryReserve(at(milliseconds(2150))));
}

// Guards against an expectation that one extreme response ruins, or that never follows the endpoint.
BOOST_AUTO_TEST_CASE(slowdown_follows_the_responses)
{
    ColdStart cold;
    BOOST_TEST(cold.slowdown() == 2);
    for (int i = 0; i < 40; ++i)
        cold.recordResponseTime(milliseconds(500), milliseconds(100));
    BOOST_TEST(cold.slowdown() == 5, boost::test_tools::tolerance(0.01));
    cold.recordResponseTime(seconds(100), milliseconds(100));
    BOOST_TEST(cold.slowdown() <= 8.1);
    cold.recordResponseTime(milliseconds(1), Duration(0));
    for (int i = 0; i < 60; ++i)
        cold.recordResponseTime(milliseconds(10), milliseconds(100));
    BOOST_TEST(cold.slowdown() == 1, boost::test_tools::tolerance(0.01));
}

// Pattern: callers of one entry are refused one after the other. Guards against callers that all return at the same
// time, and against a wait beyond what callers have.
BOOST_DATA_TEST_CASE(refused_callers_return_at_the_rate, data::make({ 62.5, 500.0, 18750.0 }), spacingMs)
{
    ReturnSchedule schedule;
    Duration spacing = scaled(milliseconds(1), spacingMs);
    std::map<Duration, int> perSlot;
    constexpr int callers = 200;
    for (int i = 0; i < callers; ++i) {
        Duration delay = schedule.next(spacing, at(seconds(1)));
        BOOST_TEST((delay >= milliseconds(100)));
        BOOST_TEST((delay <= seconds(5)));
        ++perSlot[delay / milliseconds(500) * milliseconds(500)];
    }
    BOOST_TEST(perSlot.size() >= 10u);
    for (const auto& [slot, count] : perSlot)
        BOOST_TEST(count <= callers / 4);
}
