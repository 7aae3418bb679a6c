#define BOOST_TEST_MODULE competing_callers
#include "wisteriayard/endpoint_placement.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <queue>
#include <random>

using namespace wisteriayard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double tokenTimeUs = 10;
constexpr double baseTimeUs = 60'000;
constexpr std::int64_t ownTokens = 5000;
constexpr std::size_t entryCount = 4;
constexpr std::size_t engineCount = 6;
/// One account sends ten times as much as each of the others.
constexpr std::size_t accountCount = 10;
constexpr std::size_t largeFactor = 10;
constexpr Duration step = milliseconds(5);
constexpr Duration callerTime = seconds(4);
constexpr Duration objective = milliseconds(400);

struct Tally {
    int requests = 0;
    int inTime = 0;
    int late = 0;
    int refusedTwice = 0;

    double servedShare() const { return static_cast<double>(inTime + late) / std::max(1, requests); }
};

struct Result {
    Tally all;
    Tally large;
    /// Smallest fraction of its requests that an account other than the large one got served.
    double smallestShare = 1;
};

/// Entries whose callers together need 1.5 times the capacity of the engines for five seconds, and retry once. One in
/// five retries immediately, the others when they are told to.
class Burst {
public:
    /// @param connected entries receive each other's reports
    Burst(bool shares, unsigned seed, bool connected = true)
        : m_shares(shares)
        , m_connected(connected)
        , m_random(seed)
        , m_engines(engineCount)
        , m_callers(entryCount)
    {
        for (std::size_t i = 0; i < entryCount; ++i) {
            m_entries.emplace_back(PlacementPolicy(), ZoneId("z"), RegionId("r"));
            m_entries.back().setSharesCapacity(shares, 0.2);
            for (std::size_t e = 0; e < engineCount; ++e)
                m_entries.back().put(engine(e));
        }
    }

    Result run()
    {
        double capacity = engineCount / (static_cast<double>(ownTokens) * tokenTimeUs * 1e-6);
        std::poisson_distribution<int> arrivals(1.5 * capacity * toSeconds(step));
        std::vector<double> accountWeights = weights();
        std::discrete_distribution<int> accounts(accountWeights.begin(), accountWeights.end());
        TimePoint start = m_now;
        for (int steps = 0; m_now < start + seconds(12); ++steps) {
            m_now += step;
            compute();
            while (!m_retries.empty() && m_retries.top().at <= m_now) {
                Caller caller = m_retries.top();
                m_retries.pop();
                send(caller);
            }
            for (int i = m_now < start + seconds(5) ? arrivals(m_random) : 0; i > 0; --i)
                send(Caller { m_now, m_now, ++m_number, static_cast<std::size_t>(accounts(m_random)), false });
            if (m_connected && steps % 20 == 0)
                exchange();
        }
        return result();
    }

private:
    struct Caller {
        TimePoint at {};
        TimePoint startedAt {};
        std::uint64_t number = 0;
        std::size_t account = 0;
        bool isRetry = false;

        bool operator<(const Caller& other) const { return at > other.at; }
    };
    struct Running {
        std::size_t entry = 0;
        Placement placement;
        double leftUs = 0;
        std::size_t account = 0;
    };

    static std::vector<double> weights()
    {
        std::vector<double> weights(accountCount, 1);
        weights[0] = largeFactor;
        return weights;
    }

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

    void send(Caller caller)
    {
        Tally& tally = m_tallies[caller.account];
        tally.requests += caller.isRetry ? 0 : 1;
        std::size_t entry = m_random() % entryCount;
        PlacementRequest request;
        request.prompt = { { 1, Tokens(100) }, { caller.number, Tokens(ownTokens) } };
        request.output = Tokens(20);
        request.timeLeft = caller.startedAt + callerTime - m_now;
        request.objective = objective;
        request.account = AccountId("a" + std::to_string(caller.account));
        SegmentTag tag = segmentTag(caller.number);
        request.isReturning = m_shares && m_callers[entry].isDue(tag, m_now);
        auto decision = m_entries[entry].choose(request, {}, m_now);
        if (auto* placement = std::get_if<Placement>(&decision)) {
            m_entries[entry].started(*placement, request, m_now);
            m_callers[entry].placed(tag);
            double work = tokenTimeUs * static_cast<double>(ownTokens);
            m_engines[placement->endpoint].push_back({ entry, *placement, work, caller.account });
            return;
        }
        Duration retryAfter = std::min(std::get<Refused>(decision).retryAfter, request.timeLeft / 3);
        TimePoint retryAt = m_callers[entry].refused(tag, m_now + retryAfter, m_now);
        if (std::exchange(caller.isRetry, true)) {
            ++tally.refusedTwice;
            return;
        }
        bool isImmediate = m_random() % 5 == 0;
        caller.at = isImmediate ? m_now + step : retryAt;
        m_retries.push(caller);
    }

    void compute()
    {
        for (auto& queue : m_engines) {
            double available = static_cast<double>(step.count());
            while (!queue.empty() && available > 0) {
                Running& first = queue.front();
                double used = std::min(available, first.leftUs);
                first.leftUs -= used;
                available -= used;
                if (first.leftUs <= 0) {
                    m_begun.push_back({ m_now + Duration(static_cast<std::int64_t>(baseTimeUs)), first });
                    queue.pop_front();
                }
            }
        }
        while (!m_begun.empty() && m_begun.front().first <= m_now) {
            Running& each = m_begun.front().second;
            m_entries[each.entry].firstEvent(each.placement, m_now);
            m_entries[each.entry].ended(each.placement, EndpointOutcome::Succeeded, m_now);
            bool inTime = m_now - each.placement.placedAt <= objective;
            ++(inTime ? m_tallies[each.account].inTime : m_tallies[each.account].late);
            m_begun.pop_front();
        }
    }

    void exchange()
    {
        for (std::size_t from = 0; from < entryCount; ++from) {
            InstanceId name("entry" + std::to_string(from));
            auto use = m_entries[from].ownUse();
            auto work = m_entries[from].ownWork(m_now);
            auto speeds = m_entries[from].speedReports(m_now);
            auto returning = m_callers[from].takeReport(m_now);
            for (std::size_t to = 0; to < entryCount; ++to) {
                if (to == from)
                    continue;
                m_entries[to].updatePeerUse(name, use, m_now);
                m_entries[to].updatePeerWork(name, work, 1, m_now);
                for (const auto& [id, report] : speeds)
                    m_entries[to].applySpeedReport(name, id, report, m_now);
                m_callers[to].applyReport(returning, m_now);
            }
        }
    }

    Result result() const
    {
        Result result;
        for (const auto& [account, tally] : m_tallies) {
            result.all.requests += tally.requests;
            result.all.inTime += tally.inTime;
            result.all.late += tally.late;
            result.all.refusedTwice += tally.refusedTwice;
            if (account == 0)
                result.large = tally;
            else
                result.smallestShare = std::min(result.smallestShare, tally.servedShare());
        }
        return result;
    }

    bool m_shares;
    bool m_connected;
    std::mt19937 m_random;
    TimePoint m_now { seconds(100) };
    std::vector<EndpointPlacement> m_entries;
    std::vector<std::deque<Running>> m_engines;
    std::vector<RefusedCallers> m_callers;
    std::deque<std::pair<TimePoint, Running>> m_begun;
    std::priority_queue<Caller> m_retries;
    std::map<std::size_t, Tally> m_tallies;
    std::uint64_t m_number = 1000;
};

void report(const Result& each)
{
    BOOST_TEST_MESSAGE("requests " << each.all.requests << ", in time " << each.all.inTime << ", late " << each.all.late
                                   << ", refused twice " << each.all.refusedTwice << ", smallest share of an account "
                                   << each.smallestShare << ", share of the large account "
                                   << each.large.servedShare());
}

} // namespace

// Guards against callers that are refused although they return at their time, and against small accounts that are
// refused because a large one takes their share.
BOOST_AUTO_TEST_CASE(fewer_callers_are_refused_twice_and_small_accounts_are_served)
{
    for (unsigned seed : { 3u, 4u, 5u }) {
        Result before = Burst(false, seed).run();
        Result after = Burst(true, seed).run();
        report(before);
        report(after);
        BOOST_TEST(after.all.requests == after.all.inTime + after.all.late + after.all.refusedTwice);
        BOOST_TEST(after.all.refusedTwice < before.all.refusedTwice);
        BOOST_TEST(after.smallestShare > before.smallestShare);
        BOOST_TEST(after.large.servedShare() > 0.2);
    }
}

// Guards against rules that need reports of other entries to do no harm.
BOOST_AUTO_TEST_CASE(disconnected_entries_refuse_no_more_callers)
{
    for (unsigned seed : { 3u, 4u, 5u }) {
        Result before = Burst(false, seed, false).run();
        Result after = Burst(true, seed, false).run();
        report(before);
        report(after);
        BOOST_TEST(after.all.requests == after.all.inTime + after.all.late + after.all.refusedTwice);
        BOOST_TEST(after.all.refusedTwice <= before.all.refusedTwice);
        BOOST_TEST(after.smallestShare >= before.smallestShare);
    }
}
