#define BOOST_TEST_MODULE cold_load
#include "wisteriayard/endpoint_placement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace wisteriayard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int entryCount = 8;
constexpr int endpointCount = 9;
constexpr int zoneCount = 3;
constexpr int slots = 8;
constexpr Duration serviceTime = milliseconds(40);
constexpr int coldSlowness = 4;
constexpr Duration warmup = seconds(10);
constexpr Duration returnsAt = seconds(3);
constexpr Duration burstAt = seconds(4);
constexpr Duration burstEnd = seconds(8);
constexpr Duration endOfRun = seconds(20);
constexpr double normalRate = 700;
/// 83% of the capacity of the two warm zones.
constexpr double burstRate = 1000;
const ColdPolicy policy { warmup, RequestRate(16), 1.5, 5 };
constexpr std::size_t allowedInSecond = 29;

TimePoint at(Duration time) { return TimePoint(seconds(1000) + time); }

EndpointId endpointId(int number) { return EndpointId("e" + std::to_string(number)); }
bool isInReturningZone(int endpoint) { return endpoint % zoneCount == zoneCount - 1; }

struct Running {
    int entry = 0;
    int endpoint = 0;
    Placement placement;
    TimePoint end {};
};

/// Endpoints of a plain service in three zones, one of which returns cold, and the entries that send requests to them.
class Deployment {
public:
    /// @param returns whether the third zone returns
    explicit Deployment(bool returns)
        : m_returns(returns)
    {
        LimitEntries entries;
        entries.active = entries.exclusive = true;
        for (int i = 0; i < entryCount; ++i)
            entries.regions[entryId(i)] = RegionId("r");
        for (int i = 0; i < entryCount; ++i) {
            m_entries.emplace_back(PlacementPolicy(), ZoneId("z" + std::to_string(i % zoneCount)), RegionId("r"));
            entries.self = entryId(i);
            m_entries.back().setLimitEntries(entries, at(Duration(0)));
            m_entries.back().setColdPolicy(policy, at(Duration(0)));
            m_entries.back().confirmShares(at(endOfRun), at(Duration(0)));
            for (int endpoint = 0; endpoint < endpointCount; ++endpoint) {
                if (!isInReturningZone(endpoint))
                    m_entries.back().put(properties(endpoint));
            }
        }
    }

    void run()
    {
        for (Duration time {}; time < endOfRun; time += milliseconds(1)) {
            m_now = at(time);
            if (m_returns && time == returnsAt)
                returnZone();
            if (time % milliseconds(100) == Duration(0))
                exchangeLoads();
            finishRequests();
            bool isBurst = time >= burstAt && time < burstEnd;
            std::poisson_distribution<int> arrivals((isBurst ? burstRate : normalRate) / 1000);
            for (int i = arrivals(m_random); i > 0; --i)
                sendRequest(std::uniform_int_distribution<int>(0, entryCount - 1)(m_random));
        }
    }

    /// Arrivals at each endpoint.
    std::vector<std::vector<TimePoint>> arrivals = std::vector<std::vector<TimePoint>>(endpointCount);
    /// Most concurrent requests at each endpoint from a time on.
    std::vector<int> mostRunning = std::vector<int>(endpointCount);
    /// Response times of requests to warm endpoints.
    std::vector<Duration> warmTimes;
    int refused = 0;

private:
    static InstanceId entryId(int number) { return InstanceId("entry-" + std::to_string(number)); }

    static PlacementEndpoint properties(int number)
    {
        PlacementEndpoint endpoint;
        endpoint.id = endpointId(number);
        endpoint.zone = ZoneId("z" + std::to_string(number % zoneCount));
        endpoint.region = RegionId("r");
        endpoint.slots = slots;
        return endpoint;
    }

    void returnZone()
    {
        for (EndpointPlacement& entry : m_entries) {
            for (int endpoint = 0; endpoint < endpointCount; ++endpoint) {
                if (!isInReturningZone(endpoint))
                    continue;
                entry.put(properties(endpoint));
                entry.recordStart(endpointId(endpoint), m_now, m_now);
            }
        }
    }

    void exchangeLoads()
    {
        for (int i = 0; i < entryCount; ++i) {
            for (int peer = 0; peer < entryCount; ++peer) {
                if (peer != i)
                    m_entries[i].updatePeerUse(entryId(peer), m_entries[peer].ownUse(), m_now);
            }
        }
    }

    int running(int endpoint) const
    {
        return static_cast<int>(std::count_if(
            m_running.begin(), m_running.end(), [endpoint](const Running& each) { return each.endpoint == endpoint; }));
    }

    void sendRequest(int entry)
    {
        PlacementRequest request;
        request.timeLeft = seconds(4);
        request.objective = milliseconds(400);
        auto decision = m_entries[entry].choose(request, {}, m_now);
        auto* placement = std::get_if<Placement>(&decision);
        if (!placement) {
            ++refused;
            return;
        }
        EndpointId id = m_entries[entry].endpoint(placement->endpoint).id;
        m_entries[entry].started(*placement, request, m_now);
        BOOST_TEST_REQUIRE(m_entries[entry].accepts(*placement, request, m_now));
        int endpoint = 0;
        while (endpointId(endpoint) != id)
            ++endpoint;
        arrivals[endpoint].push_back(m_now);
        int concurrent = running(endpoint) + 1;
        mostRunning[endpoint] = std::max(mostRunning[endpoint], concurrent);
        bool isCold = isInReturningZone(endpoint) && m_now < at(returnsAt + warmup);
        Duration time = serviceTime * (isCold ? coldSlowness : 1) * std::max(slots, concurrent) / slots;
        m_running.push_back({ entry, endpoint, *placement, m_now + time });
    }

    void finishRequests()
    {
        std::erase_if(m_running, [this](Running& each) {
            if (each.end > m_now)
                return false;
            m_entries[each.entry].firstEvent(each.placement, m_now);
            m_entries[each.entry].ended(each.placement, EndpointOutcome::Succeeded, m_now);
            if (!each.placement.isCold)
                warmTimes.push_back(m_now - each.placement.placedAt);
            return true;
        });
    }

    bool m_returns;
    std::mt19937 m_random { 1 };
    TimePoint m_now {};
    std::vector<EndpointPlacement> m_entries;
    std::vector<Running> m_running;
};

std::size_t count(const std::vector<TimePoint>& times, Duration from, Duration until)
{
    return static_cast<std::size_t>(std::count_if(
        times.begin(), times.end(), [&](TimePoint time) { return time >= at(from) && time < at(until); }));
}

Duration percentile(std::vector<Duration> times)
{
    std::sort(times.begin(), times.end());
    return times[times.size() * 99 / 100];
}

} // namespace

// Pattern: one of three zones returns cold, and a burst follows that the two others can serve. Guards against requests
// beyond the bound at the cold endpoints, requests that wait for them instead of being served elsewhere in time, and
// a herd at the moment at which they are warm.
BOOST_AUTO_TEST_CASE(load_goes_elsewhere_while_a_zone_is_cold)
{
    Deployment without(false);
    without.run();
    Deployment deployment(true);
    deployment.run();
    Duration before = percentile(without.warmTimes);
    Duration late = percentile(deployment.warmTimes);
    BOOST_TEST_MESSAGE("99% in " << late.count() / 1000 << " ms, without the zone in " << before.count() / 1000
                                 << " ms, " << deployment.refused << " refused");
    BOOST_TEST(deployment.refused == 0);
    BOOST_TEST((late <= before));
    for (int endpoint = 0; endpoint < endpointCount; ++endpoint) {
        if (!isInReturningZone(endpoint))
            continue;
        const auto& times = deployment.arrivals[endpoint];
        for (Duration from = returnsAt; from < returnsAt + warmup - seconds(1); from += milliseconds(1))
            BOOST_TEST_REQUIRE(count(times, from, from + seconds(1)) <= allowedInSecond);
        // Their slow responses make them the last choice, except in the burst.
        BOOST_TEST(count(times, returnsAt + seconds(1), returnsAt + warmup) >= 9u);
        std::size_t share = count(times, returnsAt + warmup + seconds(2), endOfRun);
        BOOST_TEST_MESSAGE("endpoint " << endpoint << ": " << count(times, returnsAt + seconds(1), returnsAt + warmup)
                                       << " while cold, " << share << " in the last 5 s, at most "
                                       << deployment.mostRunning[endpoint] << " at once");
        // A ninth of the load each.
        BOOST_TEST(static_cast<double>(share) >= 0.5 * 5 * normalRate / endpointCount);
        BOOST_TEST(deployment.mostRunning[endpoint] <= 2 * slots);
    }
}
