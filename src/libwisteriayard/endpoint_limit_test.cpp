#define BOOST_TEST_MODULE endpoint_limit
#include "wisteriayard/endpoint_limit.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EndpointId endpoint("e");
const RegionId region("r");

TimePoint at(Duration time) { return TimePoint(seconds(100) + time); }

LimitEntries makeEntries(int self, int count, bool active = true)
{
    LimitEntries entries;
    entries.self = InstanceId("entry-" + std::to_string(self));
    entries.active = active;
    for (int i = 0; i < count; ++i)
        entries.regions[InstanceId("entry-" + std::to_string(i))] = region;
    return entries;
}

EndpointLimit makeLimit(double rate, const LimitEntries& entries)
{
    EndpointLimit limit;
    limit.recordResponse(RequestRate(rate), at(seconds(0)), at(milliseconds(1)));
    limit.updateShare(endpoint, region, entries, at(milliseconds(1)));
    return limit;
}

/// Entries without requests.
enum class Idle { None, Holders, All };

/// Entries that send as many requests as their credit admits, and the most requests in any 4 s.
class Fleet {
public:
    Fleet(double rate, int count)
    {
        for (int i = 0; i < count; ++i)
            limits.push_back(makeLimit(rate, makeEntries(i, count)));
    }

    /// Lets the entries send at a time; idle ones send nothing.
    void send(TimePoint now, Idle idle)
    {
        for (std::size_t i = 0; i < limits.size(); ++i) {
            while (!isIdle(i, idle) && limits[i].tryAcquire(now))
                m_sent.push_back(now);
        }
        while (!m_sent.empty() && now - m_sent.front() >= seconds(4))
            m_sent.pop_front();
        most = std::max(most, m_sent.size());
    }

    bool isIdle(std::size_t entry, Idle idle) const
    {
        return idle == Idle::All || (idle == Idle::Holders && limits[entry].share().value() > 0);
    }

    std::vector<EndpointLimit> limits;
    std::size_t most = 0;

private:
    std::deque<TimePoint> m_sent;
};

/// Requests that an endpoint accepts in 4 s.
double allowedInWindow(double rate) { return 1.5 * 4 * rate + 5; }

constexpr Duration step = milliseconds(10);
constexpr Duration roundTime = milliseconds(100);

} // namespace

// Pattern: one to three hundred entries send all they may to an endpoint with a limit of a few requests per second, or
// less than one request per entry in 4 s. Guards against a sum that grows with the number of entries, and against
// a limit that is not used.
BOOST_DATA_TEST_CASE(sum_over_all_entries_is_bounded,
    data::make({ 1, 2, 6, 60, 300 }) * data::make({ 0.0, 0.2, 1.0, 2.2, 7.5, 120.0 }), count, rate)
{
    Fleet fleet(rate, count);
    for (Duration time = milliseconds(10); time < seconds(20); time += step) {
        // Half of the time no entry has requests, so that unused credit accumulates.
        bool idle = time % seconds(4) < seconds(2);
        fleet.send(at(time), idle ? Idle::All : Idle::None);
    }
    BOOST_TEST(static_cast<double>(fleet.most) <= allowedInWindow(rate));
    Fleet busy(rate, count);
    for (Duration time = milliseconds(10); time < seconds(20); time += step)
        busy.send(at(time), Idle::None);
    BOOST_TEST(static_cast<double>(busy.most) <= allowedInWindow(rate));
    BOOST_TEST(static_cast<double>(busy.most) >= 4 * rate - 1);
}

// Pattern: a freeze or an idle time of single entries, after which all of them send at once; their credit was passed on
// meanwhile. Guards against credit that is used both here and elsewhere, and against unused shares.
BOOST_DATA_TEST_CASE(unused_credit_is_used_by_others_once, data::make({ 2.2, 7.5, 40.0 }), rate)
{
    constexpr std::size_t count = 6;
    Fleet fleet(rate, count);
    std::size_t passedOn = 0;
    for (Duration time = milliseconds(10); time < seconds(12); time += step) {
        if (time % roundTime == Duration(0)) {
            for (std::size_t i = 0; i < count; ++i) {
                if (fleet.isIdle(i, Idle::Holders) && fleet.limits[i].takeUnused(at(time)))
                    fleet.limits[(i + ++passedOn) % count].addPassedOn(at(time));
            }
        }
        fleet.send(at(time), time < seconds(8) ? Idle::Holders : Idle::None);
    }
    BOOST_TEST(passedOn > 0u);
    BOOST_TEST(static_cast<double>(fleet.most) <= allowedInWindow(rate));
}

namespace {

/// Lists of entries that differ: an entry that has just joined or left is known to some only.
struct ListCase {
    const char* name;
    int countBefore;
    int countAfter;
    double rate;
};
std::ostream& operator<<(std::ostream& out, const ListCase& each) { return out << each.name; }

const ListCase listCases[] = {
    { "one joins", 6, 7, 3 },
    { "one leaves", 7, 6, 3 },
    { "one of many joins", 300, 301, 1 },
    { "one of many leaves", 300, 299, 12 },
    { "the second entry joins", 1, 2, 2.2 },
};

} // namespace

// Guards against a sum above the bound while an entry joins or leaves and half of the others don't know it yet.
BOOST_DATA_TEST_CASE(sum_is_bounded_while_lists_differ, data::make(listCases), each)
{
    Fleet fleet(each.rate, std::max(each.countBefore, each.countAfter));
    for (std::size_t i = 0; i < fleet.limits.size(); ++i) {
        int known = i % 2 == 0 ? each.countBefore : each.countAfter;
        LimitEntries entries = makeEntries(static_cast<int>(i), known, static_cast<int>(i) < known);
        fleet.limits[i].updateShare(endpoint, region, entries, at(milliseconds(5)));
    }
    for (Duration time = milliseconds(10); time < seconds(12); time += step)
        fleet.send(at(time), Idle::None);
    BOOST_TEST(static_cast<double>(fleet.most) <= allowedInWindow(each.rate));
}

// Guards against shares of an entry that has just started with empty memory, while the others have not displaced the
// holder yet, and against entries far from the endpoint that hold shares although near ones can.
BOOST_AUTO_TEST_CASE(only_active_entries_of_the_region_hold_shares)
{
    BOOST_TEST(makeLimit(4, makeEntries(0, 1)).share().value() == 4);
    BOOST_TEST(makeLimit(4, makeEntries(0, 1, false)).share().value() == 0);
    LimitEntries entries = makeEntries(0, 2);
    entries.regions[InstanceId("entry-1")] = RegionId("other");
    BOOST_TEST(makeLimit(4, entries).share().value() == 4);
    entries.self = InstanceId("entry-1");
    BOOST_TEST(makeLimit(4, entries).share().value() == 0);
    entries.regions.erase(InstanceId("entry-0"));
    BOOST_TEST(makeLimit(4, entries).share().value() == 4);
}

namespace {

struct ObservationCase {
    const char* name;
    /// Limit named by a second response, and the time at which its request was sent; the first one, received at 1 s,
    /// named 2 per second.
    std::optional<RequestRate> rate;
    Duration sentAt;
    std::optional<RequestRate> inForce;
};
std::ostream& operator<<(std::ostream& out, const ObservationCase& each) { return out << each.name; }

const ObservationCase observationCases[] = {
    { "other limit", RequestRate(5), seconds(0), RequestRate(5) },
    { "withdrawn", std::nullopt, milliseconds(1100), std::nullopt },
    { "slow response without the limit", std::nullopt, milliseconds(900), RequestRate(2) },
};

} // namespace

// Guards against a limit that ends with a response from before it was named, and against one that never ends.
BOOST_DATA_TEST_CASE(latest_response_decides, data::make(observationCases), each)
{
    EndpointLimit limit;
    BOOST_TEST(limit.recordResponse(RequestRate(2), at(seconds(0)), at(seconds(1))));
    limit.recordResponse(each.rate, at(each.sentAt), at(seconds(2)));
    BOOST_TEST((limit.rate() == each.inForce));
    // An older observation of another entry changes nothing, a newer one does.
    BOOST_TEST(!limit.recordPeerObservation({ RequestRate(9), at(milliseconds(500)) }));
    BOOST_TEST(limit.recordPeerObservation({ RequestRate(9), at(seconds(3)) }));
    BOOST_TEST((limit.rate() == RequestRate(9)));
}

// Guards against reports of observations that entries got long ago, or only from others.
BOOST_AUTO_TEST_CASE(own_recent_observations_are_reported)
{
    EndpointLimit limit;
    limit.recordPeerObservation({ RequestRate(9), at(seconds(1)) });
    BOOST_TEST(!limit.reportable(at(seconds(1))).has_value());
    limit.recordResponse(RequestRate(2), at(seconds(1)), at(seconds(2)));
    BOOST_TEST(limit.reportable(at(seconds(4))).has_value());
    BOOST_TEST(!limit.reportable(at(seconds(6))).has_value());
}

// Guards against reports of all endpoints instead of the limited ones, and against a withdrawal that is not reported.
BOOST_AUTO_TEST_CASE(only_limits_and_their_end_are_reported)
{
    EndpointLimit limit;
    limit.recordResponse(std::nullopt, at(seconds(0)), at(seconds(1)));
    BOOST_TEST(!limit.reportable(at(seconds(1))).has_value());
    limit.recordResponse(RequestRate(2), at(seconds(1)), at(seconds(2)));
    limit.recordResponse(std::nullopt, at(seconds(3)), at(seconds(4)));
    BOOST_REQUIRE(limit.reportable(at(seconds(5))).has_value());
    BOOST_TEST((limit.reportable(at(seconds(5)))->rate == std::nullopt));
    limit.recordResponse(std::nullopt, at(seconds(6)), at(seconds(7)));
    BOOST_TEST(!limit.reportable(at(seconds(8))).has_value());
}

// Pattern: a limit ends while some entries without a share miss the reports. Guards against entries that never send to
// the endpoint again, and against probes of many entries at the same moment.
BOOST_AUTO_TEST_CASE(entries_without_news_probe_one_after_the_other)
{
    constexpr int count = 300;
    std::vector<EndpointLimit> limits;
    for (int i = 0; i < count; ++i)
        limits.push_back(makeLimit(1, makeEntries(i, count, false)));
    std::vector<int> probes(count);
    std::deque<TimePoint> recent;
    std::size_t most = 0;
    for (Duration time = seconds(1); time < seconds(340); time += milliseconds(100)) {
        for (std::size_t i = 0; i < limits.size(); ++i) {
            while (limits[i].admits(at(time)) && limits[i].tryAcquire(at(time))) {
                recent.push_back(at(time));
                ++probes[i];
            }
        }
        while (!recent.empty() && at(time) - recent.front() >= seconds(4))
            recent.pop_front();
        most = std::max(most, recent.size());
    }
    BOOST_TEST(std::count(probes.begin(), probes.end(), 0) == 0);
    BOOST_TEST(static_cast<double>(most) <= allowedInWindow(1));
}

// Guards against credit beyond the new share after a limit has fallen, and against credit that survives its end.
BOOST_AUTO_TEST_CASE(credit_follows_the_limit)
{
    LimitEntries entries = makeEntries(0, 1);
    EndpointLimit limit = makeLimit(20, entries);
    limit.recordResponse(RequestRate(1), at(seconds(1)), at(seconds(2)));
    limit.updateShare(endpoint, region, entries, at(seconds(2)));
    BOOST_TEST(limit.tryAcquire(at(seconds(2))));
    BOOST_TEST(!limit.tryAcquire(at(seconds(2))));
    BOOST_TEST(!limit.admits(at(milliseconds(2900))));
    limit.giveBack(at(milliseconds(2900)));
    BOOST_TEST(limit.admits(at(milliseconds(2900))));
    BOOST_TEST(limit.tryAcquire(at(seconds(3))));
    limit.addPassedOn(at(seconds(3)));
    limit.recordResponse(RequestRate(0.5), at(seconds(3)), at(milliseconds(3100)));
    limit.updateShare(endpoint, region, entries, at(milliseconds(3100)));
    BOOST_TEST(!limit.admits(at(milliseconds(3100))));
    limit.addPassedOn(at(milliseconds(3100)));
    limit.recordResponse(std::nullopt, at(milliseconds(3500)), at(seconds(4)));
    limit.updateShare(endpoint, region, entries, at(seconds(4)));
    BOOST_TEST(limit.admits(at(seconds(4))));
    limit.recordResponse(RequestRate(1), at(seconds(4)), at(seconds(5)));
    limit.updateShare(endpoint, region, entries, at(seconds(5)));
    BOOST_TEST(!limit.admits(at(seconds(5))));
}

namespace {

struct TurnCase {
    const char* name;
    unsigned taken;
    Priority refused;
    /// Time since that refusal.
    Duration since;
    Priority rank;
    bool yields;
};
std::ostream& operator<<(std::ostream& out, const TurnCase& each) { return out << each.name; }

const TurnCase turnCases[] = {
    { "more urgent one waits", 0, Priority(1), milliseconds(200), Priority(3), true },
    { "less urgent one waits", 0, Priority(3), milliseconds(200), Priority(1), false },
    { "same rank waits", 0, Priority(3), milliseconds(200), Priority(3), false },
    { "long ago", 0, Priority(1), milliseconds(1200), Priority(3), false },
    { "fourth, for the less urgent one", 3, Priority(3), milliseconds(200), Priority(1), true },
    { "fourth, taken by the less urgent one", 3, Priority(1), milliseconds(200), Priority(3), false },
    { "fifth", 4, Priority(1), milliseconds(200), Priority(3), true },
};

} // namespace

// Pattern: all endpoints of a service name limits, and the requests of several ranks exceed them. Guards against less
// urgent requests that take the credit of urgent ones, and against a rank that gets none at all.
BOOST_DATA_TEST_CASE(urgent_requests_take_three_of_four, data::make(turnCases), each)
{
    LimitTurns turns;
    for (unsigned i = 0; i < each.taken; ++i)
        turns.taken();
    turns.refused(each.refused, at(seconds(1)));
    BOOST_TEST(turns.mustYield(each.rank, at(seconds(1) + each.since)) == each.yields);
}
