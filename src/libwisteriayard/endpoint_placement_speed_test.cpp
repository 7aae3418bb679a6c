#define BOOST_TEST_MODULE endpoint_placement_speed
#include "wisteriayard/endpoint_placement.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <deque>
#include <random>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration step = milliseconds(5);
constexpr double tokenTimeUs = 20;
constexpr double baseTimeUs = 50'000;
constexpr int outputEvents = 40;

/// Load and engines of a run.
struct Scenario {
    std::vector<double> speeds;
    unsigned seed = 7;
    int entries = 4;
    /// Part of the engines' prefill capacity that the requests need.
    double utilization = 0.65;
    /// Part of the responses that take three times as long.
    double slowed = 0.1;
    double eventTimeUs = 40'000;
    Duration gapObjective {};
    /// Entries tell each other their estimates.
    bool shares = true;
};

struct Result {
    int placed = 0;
    int refused = 0;
    int late = 0;
    /// Events that came later than the pause objective, and all events.
    int latePauses = 0;
    int events = 0;
    /// Standard deviation of the engines' work in units of their speed, relative to its mean.
    double unevenness = 0;
    std::vector<int> perEngine;
};

/// Engines that compute one prompt after another, and then send events at a fixed interval.
class Fleet {
public:
    explicit Fleet(const Scenario& scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_queues(scenario.speeds.size())
        , m_work(scenario.speeds.size())
    {
        for (int i = 0; i < scenario.entries; ++i) {
            m_entries.emplace_back(PlacementPolicy(), ZoneId("z"), RegionId("r"));
            for (std::size_t e = 0; e < scenario.speeds.size(); ++e)
                m_entries.back().put(engine(e));
        }
        m_result.perEngine.resize(scenario.speeds.size());
    }

    /// Runs for a while, and counts only what is placed after the warm-up.
    Result run(Duration warmUp, Duration time)
    {
        double capacity = 0;
        for (double speed : m_scenario.speeds)
            capacity += speed / (tokenTimeUs * 1e-6);
        double perStep = m_scenario.utilization * capacity / ownTokens * toSeconds(step);
        TimePoint end = m_now + warmUp + time;
        m_countFrom = m_now + warmUp;
        std::poisson_distribution<int> arrivals(perStep);
        while (m_now < end) {
            m_now += step;
            compute();
            decode();
            for (int i = arrivals(m_random); i > 0; --i)
                place(static_cast<std::size_t>(m_random()) % m_entries.size());
            if (m_now.time_since_epoch() / step % 20 == 0)
                exchange();
        }
        finish();
        return m_result;
    }

private:
    static constexpr int ownTokens = 3000;

    struct Request {
        std::size_t entry = 0;
        Placement placement;
        TimePoint firstEventAt {};
        double leftUs = 0;
        int events = 0;
        double sinceEventUs = 0;
        double slowness = 1;
        bool counted = false;
    };

    static PlacementEndpoint engine(std::size_t number)
    {
        PlacementEndpoint endpoint;
        endpoint.id = EndpointId("e" + std::to_string(number));
        endpoint.zone = ZoneId("z");
        endpoint.region = RegionId("r");
        endpoint.slots = 64;
        endpoint.memory = Tokens(1'000'000);
        return endpoint;
    }

    void place(std::size_t entry)
    {
        PlacementRequest request;
        request.prompt = { { 1 + m_random() % 40, Tokens(2000) }, { m_random(), Tokens(ownTokens) } };
        request.output = Tokens(outputEvents);
        request.timeLeft = seconds(10);
        request.objective = milliseconds(400);
        request.gapObjective = m_scenario.gapObjective;
        bool counted = m_now >= m_countFrom;
        auto decision = m_entries[entry].choose(request, {}, m_now);
        if (std::holds_alternative<Refused>(decision)) {
            m_result.refused += counted ? 1 : 0;
            return;
        }
        Request placed;
        placed.entry = entry;
        placed.placement = std::get<Placement>(decision);
        placed.counted = counted;
        placed.slowness = std::bernoulli_distribution(m_scenario.slowed)(m_random) ? 3 : 1;
        m_entries[entry].started(placed.placement, request, m_now);
        std::size_t index = placed.placement.endpoint;
        placed.leftUs = tokenTimeUs * static_cast<double>(placed.placement.uncachedTokens);
        if (counted) {
            ++m_result.placed;
            ++m_result.perEngine[index];
            m_work[index] += placed.leftUs / m_scenario.speeds[index];
        }
        m_queues[index].push_back(std::move(placed));
    }

    void compute()
    {
        for (std::size_t e = 0; e < m_queues.size(); ++e) {
            double budget = m_scenario.speeds[e] * static_cast<double>(step.count());
            while (!m_queues[e].empty() && budget > 0) {
                Request& first = m_queues[e].front();
                double used = std::min(budget, first.leftUs);
                first.leftUs -= used;
                budget -= used;
                if (first.leftUs > 0)
                    break;
                // A slowed response waits without using the engine.
                auto base = Duration(static_cast<std::int64_t>(first.slowness * baseTimeUs / m_scenario.speeds[e]));
                first.firstEventAt = m_now + base;
                m_running.push_back(std::move(first));
                m_queues[e].pop_front();
            }
        }
    }

    void decode()
    {
        for (Request& request : m_running) {
            if (request.firstEventAt > m_now)
                continue;
            EndpointPlacement& entry = m_entries[request.entry];
            if (request.events == 0) {
                entry.firstEvent(request.placement, m_now);
                request.events = 1;
                bool late = m_now - request.placement.placedAt > milliseconds(400);
                m_result.late += request.counted && late ? 1 : 0;
                continue;
            }
            request.sinceEventUs += static_cast<double>(step.count());
            double interval = m_scenario.eventTimeUs / m_scenario.speeds[request.placement.endpoint];
            if (request.sinceEventUs < interval)
                continue;
            auto pause = Duration(static_cast<std::int64_t>(request.sinceEventUs));
            request.sinceEventUs = 0;
            ++request.events;
            recordEvent(entry, request.placement, pause);
            m_result.events += request.counted ? 1 : 0;
            bool late = m_scenario.gapObjective > Duration(0) && pause > m_scenario.gapObjective;
            m_result.latePauses += request.counted && late ? 1 : 0;
            if (request.events >= outputEvents)
                entry.ended(request.placement, EndpointOutcome::Succeeded, m_now);
        }
        std::erase_if(m_running, [](const Request& each) { return each.events >= outputEvents; });
    }

    void recordEvent(EndpointPlacement& entry, const Placement& placement, Duration pause) const
    {
        entry.eventsArrived(placement, 1, pause, m_now);
    }

    void exchange()
    {
        for (std::size_t from = 0; from < m_entries.size(); ++from) {
            InstanceId name("entry-" + std::to_string(from));
            for (std::size_t to = 0; to < m_entries.size(); ++to) {
                if (to == from)
                    continue;
                m_entries[to].updatePeerUse(name, m_entries[from].ownUse(), m_now);
            }
            shareSpeeds(m_entries[from], name);
        }
    }

    void shareSpeeds(EndpointPlacement& from, const InstanceId& name)
    {
        for (const auto& [id, report] : from.speedReports(m_now)) {
            for (EndpointPlacement& to : m_entries) {
                if (&to != &from && m_scenario.shares)
                    to.applySpeedReport(name, id, report, m_now);
            }
        }
    }

    void finish()
    {
        double mean = 0;
        for (double work : m_work)
            mean += work / static_cast<double>(m_work.size());
        double squares = 0;
        for (double work : m_work)
            squares += (work - mean) * (work - mean) / static_cast<double>(m_work.size());
        m_result.unevenness = std::sqrt(squares) / mean;
    }

    Scenario m_scenario;
    std::mt19937 m_random;
    TimePoint m_now = TimePoint(seconds(100));
    TimePoint m_countFrom {};
    std::vector<EndpointPlacement> m_entries;
    std::vector<std::deque<Request>> m_queues;
    std::vector<Request> m_running;
    std::vector<double> m_work;
    Result m_result;
};

std::vector<double> speeds(int slow, int fast)
{
    std::vector<double> all(static_cast<std::size_t>(slow), 0.55);
    all.insert(all.end(), static_cast<std::size_t>(fast), 1.2);
    return all;
}

void show(const char* name, const Result& result, int slow)
{
    int atSlow = 0;
    for (int i = 0; i < slow; ++i)
        atSlow += result.perEngine[static_cast<std::size_t>(i)];
    BOOST_TEST_MESSAGE(name << ": placed " << result.placed << ", refused " << result.refused << ", late "
                            << result.late << ", late pauses " << result.latePauses << " of " << result.events
                            << ", at slow engines " << atSlow << ", unevenness " << result.unevenness);
}

} // namespace

// Pattern: one engine in four runs at less than half the speed of the others, and one answer in ten is slowed at
// random. Failure: requests go to slow engines as if they were fast, and begin late or are refused. With one estimate
// for all engines, 0.11 of the requests placed were late or refused with the first seed, and the unevenness was 0.33.
BOOST_DATA_TEST_CASE(requests_go_to_engines_by_their_speed, data::make({ 7U, 8U, 9U }), seed)
{
    Scenario scenario;
    scenario.seed = seed;
    scenario.speeds = speeds(3, 9);
    Result result = Fleet(scenario).run(seconds(20), seconds(60));
    show("uneven engines", result, 3);
    BOOST_TEST(result.late + result.refused < 0.06 * result.placed);
    BOOST_TEST(result.unevenness < 0.28);
}

// Pattern: streams with a pause objective that the fast engines keep and the slow ones don't.
// Failure: each fifth event is late, as with one estimate for all engines.
BOOST_DATA_TEST_CASE(streams_avoid_engines_that_pause_too_long, data::make({ 7U, 8U, 9U }), seed)
{
    Scenario scenario;
    scenario.seed = seed;
    scenario.speeds = speeds(3, 9);
    scenario.utilization = 0.4;
    scenario.eventTimeUs = 75'000;
    scenario.gapObjective = milliseconds(120);
    Result result = Fleet(scenario).run(seconds(20), seconds(60));
    show("pauses", result, 3);
    BOOST_TEST(result.latePauses < 0.05 * result.events);
}

// Pattern: no engine keeps the pause objective.
// Failure: streams are refused or crowd on a few engines, although no engine is better.
BOOST_AUTO_TEST_CASE(streams_are_served_where_no_engine_keeps_the_objective)
{
    Scenario scenario;
    scenario.speeds.assign(12, 1.0);
    scenario.utilization = 0.4;
    scenario.eventTimeUs = 200'000;
    scenario.gapObjective = milliseconds(120);
    Result slow = Fleet(scenario).run(seconds(20), seconds(30));
    show("all too slow", slow, 0);
    scenario.gapObjective = Duration(0);
    Result without = Fleet(scenario).run(seconds(20), seconds(30));
    show("no objective", without, 0);
    BOOST_TEST(slow.refused + slow.late <= without.refused + without.late + 0.02 * slow.placed);
}

// Failure: engines of equal speed are told apart by chance. With one estimate for all, 0.156 of the requests placed
// were late or refused with the first seed, at a load at which shared segments are computed at several engines.
BOOST_DATA_TEST_CASE(equal_engines_stay_equal, data::make({ 7U, 8U, 9U }), seed)
{
    Scenario scenario;
    scenario.seed = seed;
    scenario.speeds.assign(12, 1.0);
    Result result = Fleet(scenario).run(seconds(20), seconds(60));
    show("equal engines", result, 0);
    BOOST_TEST(result.late + result.refused < 0.17 * result.placed);
}

// Failure: an engine that starts again under its id is taken for as slow as it was before.
BOOST_AUTO_TEST_CASE(new_incarnation_forgets_the_speed)
{
    EndpointPlacement fleet(PlacementPolicy(), ZoneId("z"), RegionId("r"));
    PlacementEndpoint endpoint;
    endpoint.id = EndpointId("e0");
    endpoint.zone = ZoneId("z");
    endpoint.region = RegionId("r");
    endpoint.memory = Tokens(400'000);
    fleet.put(endpoint);
    PlacementRequest request;
    request.prompt = { { 1, Tokens(4000) } };
    request.timeLeft = seconds(10);
    request.objective = seconds(5);
    TimePoint now(seconds(100));
    auto placement = std::get<Placement>(fleet.choose(request, {}, now));
    fleet.started(placement, request, now);
    fleet.firstEvent(placement, now + seconds(1));
    BOOST_TEST(fleet.speedReports(now + seconds(1)).size() == 1u);
    fleet.remove(endpoint.id, now + seconds(2));
    fleet.put(endpoint);
    // The end of a request of the former incarnation is no sample of the new one.
    fleet.eventsArrived(placement, 1, seconds(1), now + seconds(3));
    BOOST_TEST(fleet.speedReports(now + seconds(4)).empty());
}

// Failure: entries of a fleet with equal engines spend a fifth of their processor time on reports of speeds that differ
// by nothing, or reports of an engine that became slow come too rarely.
struct ReportRate {
    /// Time to the first event of the second engine, relative to the first one.
    int slowdown;
    int fewest;
    int most;
    friend std::ostream& operator<<(std::ostream& out, const ReportRate& each) { return out << each.slowdown; }
};
const ReportRate reportRates[] = { { 1, 2, 8 }, { 4, 30, 80 } };

BOOST_DATA_TEST_CASE(equal_engines_are_reported_rarely, data::make(reportRates), rate)
{
    EndpointPlacement fleet(PlacementPolicy(), ZoneId("z"), RegionId("r"));
    PlacementEndpoint endpoint;
    endpoint.zone = ZoneId("z");
    endpoint.region = RegionId("r");
    endpoint.memory = Tokens(400'000);
    for (const char* id : { "e0", "e1" }) {
        endpoint.id = EndpointId(id);
        fleet.put(endpoint);
    }
    std::size_t reports = 0;
    for (int i = 0; i < 250; ++i) {
        TimePoint now = TimePoint(seconds(100)) + i * milliseconds(200);
        PlacementRequest request;
        request.prompt = { { static_cast<std::uint64_t>(i + 1), Tokens(4000) } };
        request.timeLeft = seconds(10);
        request.objective = seconds(5);
        EndpointId other(i % 2 == 0 ? "e0" : "e1");
        auto placement = std::get<Placement>(fleet.choose(request, { other }, now));
        fleet.started(placement, request, now);
        Duration time = milliseconds(130) * (i % 2 == 0 ? rate.slowdown : 1);
        fleet.firstEvent(placement, now + time);
        fleet.ended(placement, EndpointOutcome::Succeeded, now + time);
        auto sent = fleet.speedReports(now + time).size();
        reports += i >= 50 ? sent : 0;
    }
    BOOST_TEST(reports >= static_cast<std::size_t>(2 * rate.fewest));
    BOOST_TEST(reports <= static_cast<std::size_t>(2 * rate.most));
}

// Failure: an engine is excluded because another entry reports that it is slow.
BOOST_AUTO_TEST_CASE(reports_of_others_exclude_no_engine)
{
    EndpointPlacement fleet(PlacementPolicy(), ZoneId("z"), RegionId("r"));
    PlacementEndpoint endpoint;
    endpoint.id = EndpointId("e0");
    endpoint.zone = ZoneId("z");
    endpoint.region = RegionId("r");
    endpoint.memory = Tokens(400'000);
    fleet.put(endpoint);
    TimePoint now(seconds(100));
    PlacementRequest request;
    request.prompt = { { 1, Tokens(4000) } };
    request.timeLeft = seconds(1);
    request.objective = milliseconds(100);
    request.gapObjective = milliseconds(20);
    for (int i = 0; i < 20; ++i)
        fleet.applySpeedReport(InstanceId("peer-" + std::to_string(i)), endpoint.id, { 300, 2e6, Duration(0) }, now);
    BOOST_TEST(std::holds_alternative<Placement>(fleet.choose(request, {}, now)));
}
