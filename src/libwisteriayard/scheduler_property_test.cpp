#define BOOST_TEST_MODULE scheduler_property
#include "wisteriayard/scheduler.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <limits>
#include <map>

using namespace wisteriayard;

namespace {

using std::chrono::seconds;
constexpr auto largest = std::numeric_limits<std::int64_t>::max();

RequestInfo request(const std::string& id, Tier tier, const std::string& account = "a")
{
    RequestInfo info;
    info.id = RequestId(id);
    info.account = AccountId(account);
    info.requestClass = ClassId("c");
    info.target = TargetId("m");
    info.tier = tier;
    info.promptTokens = Tokens(100);
    info.expectedOutput = Tokens(50);
    info.longestWait = seconds(30);
    return info;
}

EndpointInfo endpoint(const std::string& id, int slots)
{
    return { EndpointId(id), TargetId("m"), ZoneId("z"), RegionId("r"), slots };
}

/// Tracks the state of each request from the decisions.
struct RequestTracker {
    enum class State { Queued, Running, Refused, Finished, Cancelled };
    std::map<RequestId, State> states;
    std::vector<RequestId> running;

    void apply(const Scheduler::Decisions& decisions)
    {
        for (const Decision& decision : decisions) {
            if (const auto* dispatch = std::get_if<Dispatch>(&decision)) {
                RC_ASSERT(states.at(dispatch->request) == State::Queued);
                states[dispatch->request] = State::Running;
                running.push_back(dispatch->request);
            } else if (const auto* refusal = std::get_if<Refusal>(&decision)) {
                RC_ASSERT(states.at(refusal->request) == State::Queued);
                states[refusal->request] = State::Refused;
            }
        }
    }

    std::size_t count(State state) const
    {
        return static_cast<std::size_t>(
            std::count_if(states.begin(), states.end(), [&](const auto& each) { return each.second == state; }));
    }
};

} // namespace

// Guards against requests that are lost or decided twice.
BOOST_AUTO_TEST_CASE(each_request_ends_exactly_once)
{
    bool held = rc::check([] {
        SchedulerSettings settings;
        settings.maxQueued = 20;
        Scheduler scheduler(ZoneId("z"), RegionId("r"), settings);
        RequestTracker tracker;
        TimePoint now {};
        int number = 0;
        auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        tracker.apply(scheduler.endpointAdded(endpoint("e0", 3), now));
        for (int step : steps) {
            now += std::chrono::milliseconds(step * 7);
            if (step < 55) {
                RequestInfo info = request("r" + std::to_string(number++), static_cast<Tier>(step % 3));
                info.firstTokenTarget = seconds(1 + step % 5);
                tracker.states[info.id] = RequestTracker::State::Queued;
                tracker.apply(scheduler.submit(info, now));
            } else if (step < 80 && !tracker.running.empty()) {
                RequestId id = tracker.running[static_cast<std::size_t>(step) % tracker.running.size()];
                std::erase(tracker.running, id);
                tracker.states[id] = RequestTracker::State::Finished;
                tracker.apply(scheduler.finished(id, { true, Tokens(step) }, now));
            } else if (step < 85 && number > 0) {
                RequestId id("r" + std::to_string(step % number));
                if (tracker.states[id] == RequestTracker::State::Queued)
                    tracker.states[id] = RequestTracker::State::Cancelled;
                tracker.apply(scheduler.cancelled(id, now));
            } else if (step < 90) {
                EndpointId id("e" + std::to_string(step % 3));
                tracker.apply(step % 2 ? scheduler.endpointRemoved(id, now)
                                       : scheduler.endpointAdded(endpoint(id.value(), 1 + step % 4), now));
            } else {
                tracker.apply(scheduler.tick(now));
            }
            RC_ASSERT(scheduler.queued() == tracker.count(RequestTracker::State::Queued));
            RC_ASSERT(scheduler.running() == tracker.running.size());
        }
        tracker.apply(scheduler.tick(now + seconds(31)));
        RC_ASSERT(tracker.count(RequestTracker::State::Queued) == 0U);
        RC_ASSERT(scheduler.queued() == 0U);
    });
    BOOST_TEST(held);
}

// Guards against refusing a top request instead of one of a lower tier when the queue is full.
BOOST_AUTO_TEST_CASE(top_is_never_refused_for_a_lower_tier)
{
    bool held = rc::check([] {
        SchedulerSettings settings;
        settings.maxQueued = 10;
        Scheduler scheduler(ZoneId("z"), RegionId("r"), settings);
        auto tiers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
        int lower = 0;
        for (std::size_t i = 0; i < tiers.size(); ++i) {
            auto tier = static_cast<Tier>(tiers[i]);
            lower += tier != Tier::Top;
            for (const Decision& decision : scheduler.submit(request("r" + std::to_string(i), tier), TimePoint())) {
                auto id = std::get<Refusal>(decision).request;
                bool top = tiers[std::stoul(id.value().substr(1))] == 0;
                RC_ASSERT(!top || lower == 0);
                lower -= !top;
            }
        }
    });
    BOOST_TEST(held);
}

// Guards against shares of work that are not proportional to the weights of the accounts.
BOOST_AUTO_TEST_CASE(shares_follow_weights)
{
    bool held = rc::check([] {
        int weight = *rc::gen::inRange(1, 10);
        int size = *rc::gen::inRange(1, 20);
        FairQueue queue;
        std::map<FairQueue::Item, FairQueue::Handle> handles;
        for (FairQueue::Item i = 0; i < 1000; ++i) {
            bool heavy = i % 2;
            handles[i]
                = queue.push(AccountId(heavy ? "heavy" : "light"), heavy ? weight : 1, i, heavy ? size : 1, false);
        }
        double heavyWork = 0;
        double lightWork = 0;
        while (heavyWork + lightWork < 400) {
            FairQueue::Item item = queue.front();
            (item % 2 ? heavyWork : lightWork) += item % 2 ? size : 1;
            queue.dispatch(handles[item]);
        }
        RC_ASSERT(std::abs(heavyWork / weight - lightWork) <= 1 + static_cast<double>(size) / weight);
    });
    BOOST_TEST(held);
}

// Guards against a tier that starves while higher ones keep the endpoint busy.
BOOST_AUTO_TEST_CASE(lower_tiers_get_their_minimum_share)
{
    Scheduler scheduler(ZoneId("z"), RegionId("r"));
    scheduler.endpointAdded(endpoint("e", 1), TimePoint());
    std::array<int, tierCount> dispatched {};
    std::vector<RequestId> running;
    std::map<RequestId, Tier> tiers;
    auto note = [&](const Scheduler::Decisions& decisions) {
        for (const Decision& decision : decisions) {
            running.push_back(std::get<Dispatch>(decision).request);
            ++dispatched[static_cast<std::size_t>(tiers[running.back()])];
        }
    };
    for (int i = 0; i < 3000; ++i) {
        RequestInfo info = request("r" + std::to_string(i), static_cast<Tier>(i % 3));
        tiers[info.id] = info.tier;
        note(scheduler.submit(info, TimePoint()));
    }
    for (std::size_t i = 0; i < 900; ++i)
        note(scheduler.finished(running[i], { true, Tokens(50) }, TimePoint()));
    // A twentieth of 901 is 45; one of these may not be dispatched yet.
    BOOST_TEST(dispatched[1] >= 44);
    BOOST_TEST(dispatched[2] >= 44);
    BOOST_TEST(dispatched[0] >= 750);
}

// Guards against accepting input that would corrupt sums or ordering.
BOOST_AUTO_TEST_CASE(refuses_invalid_requests)
{
    using Change = void (*)(RequestInfo&);
    const Change changes[] = { [](RequestInfo& info) { info.weight = 0; }, [](RequestInfo& info) { info.weight = -1; },
        [](RequestInfo& info) { info.weight = std::numeric_limits<double>::quiet_NaN(); },
        [](RequestInfo& info) { info.weight = std::numeric_limits<double>::infinity(); },
        [](RequestInfo& info) { info.longestWait = seconds(-1); },
        [](RequestInfo& info) { info.longestWait = Duration(largest); },
        [](RequestInfo& info) { info.firstTokenTarget = seconds(-1); },
        [](RequestInfo& info) { info.promptTokens = Tokens(largest); },
        [](RequestInfo& info) { info.promptTokens = Tokens(-1); },
        [](RequestInfo& info) { info.expectedOutput = Tokens(largest); },
        [](RequestInfo& info) { info.delivered = Tokens(-5); },
        [](RequestInfo& info) { info.prefixTokens = Tokens(101); },
        [](RequestInfo& info) { info.priority = Priority(-1); }, [](RequestInfo& info) { info.account = AccountId(); },
        [](RequestInfo& info) { info.tier = static_cast<Tier>(7); } };
    for (Change change : changes) {
        Scheduler scheduler(ZoneId("z"), RegionId("r"));
        scheduler.endpointAdded(endpoint("e", 1), TimePoint());
        RequestInfo info = request("r", Tier::Bulk);
        change(info);
        auto decisions = scheduler.submit(info, TimePoint());
        BOOST_REQUIRE(decisions.size() == 1u);
        BOOST_TEST((std::get<Refusal>(decisions[0]).reason == RefusalReason::Invalid));
        BOOST_TEST(scheduler.queued() == 0u);
    }
}

// Guards against effects of unknown ids, of impossible values and of time that goes backwards.
BOOST_AUTO_TEST_CASE(ignores_unknown_and_impossible_events)
{
    Scheduler scheduler(ZoneId("z"), RegionId("r"));
    BOOST_TEST(scheduler.endpointAdded(endpoint("bad", 0), TimePoint()).empty());
    BOOST_TEST(scheduler.submit(request("r1", Tier::Bulk), TimePoint(seconds(5))).empty());
    BOOST_TEST(scheduler.finished(RequestId("none"), {}, TimePoint(seconds(-9))).empty());
    scheduler.progress(RequestId("none"), Tokens(-3), TimePoint());
    BOOST_TEST(scheduler.endpointRemoved(EndpointId("none"), TimePoint()).empty());
    BOOST_TEST(scheduler.endpointReported(EndpointId("none"), {}, TimePoint()).empty());
    BOOST_TEST(scheduler.endpointAdded(endpoint("e", 1), TimePoint(seconds(-9))).size() == 1u);
    EndpointLoad load;
    load.running = -1;
    BOOST_TEST(!validate(load));
    load.running = 0;
    load.tokensPerSecond = std::numeric_limits<double>::infinity();
    BOOST_TEST(!validate(load));
    BOOST_TEST(scheduler.running() == 1u);
    scheduler.progress(RequestId("r1"), Tokens(std::numeric_limits<std::int64_t>::max()), TimePoint(seconds(6)));
    scheduler.finished(RequestId("r1"), { true, Tokens(std::numeric_limits<std::int64_t>::max()) }, TimePoint());
    BOOST_TEST(scheduler.running() == 0u);
}

// Guards against a running bulk stream that blocks a top request, and against a preemption that loses more work than it
// saves.
BOOST_AUTO_TEST_CASE(preempts_bulk_only_if_it_pays)
{
    for (int prompt : { 10, 100'000 }) {
        Scheduler scheduler(ZoneId("z"), RegionId("r"));
        scheduler.endpointAdded(endpoint("e", 1), TimePoint());
        RequestInfo bulk = request("bulk", Tier::Bulk);
        bulk.promptTokens = Tokens(prompt);
        bulk.resumable = true;
        BOOST_REQUIRE(scheduler.submit(bulk, TimePoint()).size() == 1u);
        auto decisions = scheduler.submit(request("top", Tier::Top), TimePoint());
        BOOST_TEST(decisions.size() == (prompt == 10 ? 1u : 0u));
        BOOST_TEST((decisions.empty() || std::holds_alternative<Preempt>(decisions[0])));
    }
}

// Guards against retries that amplify an overload.
BOOST_AUTO_TEST_CASE(retries_stay_within_a_tenth)
{
    RetryBudget budget;
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
        TimePoint now(std::chrono::milliseconds(i * 5));
        budget.recordRequest(now);
        granted += budget.tryAcquireRetry(now);
    }
    BOOST_TEST(granted <= 100);
    BOOST_TEST(granted >= 95);
}

// Guards against an estimate that ignores recorded lengths, and against one below the output produced until now.
BOOST_AUTO_TEST_CASE(estimates_follow_lengths)
{
    OutputEstimator estimator;
    ClassId chat("chat");
    BOOST_TEST(estimator.estimate(chat, AccountId("a"), Tokens(80), Tokens(0)).value() == 80);
    for (int i = 0; i < 100; ++i)
        estimator.observe(chat, AccountId("a"), Tokens(300));
    for (const char* account : { "a", "other" }) {
        auto length = estimator.estimate(chat, AccountId(account), Tokens(80), Tokens(0)).value();
        BOOST_TEST(length >= 300);
        BOOST_TEST(length <= 430);
    }
    BOOST_TEST(estimator.estimate(chat, AccountId("a"), Tokens(80), Tokens(5000)).value() > 5000);
}

// Guards against dispatching to an endpoint that is far slower than the others, and against never probing it again.
BOOST_AUTO_TEST_CASE(straggler_gets_probes_only)
{
    EndpointSelector selector(ZoneId("z"), RegionId("r"));
    LinkBudget link(1e6);
    for (const char* id : { "fast1", "fast2", "fast3", "slow" })
        selector.add(endpoint(id, 4), TimePoint());
    auto slow = *selector.find(EndpointId("slow"));
    TimePoint now {};
    for (int i = 0; i < 700; ++i) {
        now += std::chrono::milliseconds(10);
        for (const char* id : { "fast1", "fast2", "fast3", "slow" }) {
            auto each = *selector.find(EndpointId(id));
            selector.observeGap(each, Duration(each == slow ? 100'000 : 20'000), now);
        }
    }
    BOOST_REQUIRE(selector.isEjected(slow));
    int probes = 0;
    for (int i = 0; i < 2000; ++i) {
        now += std::chrono::milliseconds(10);
        selector.refresh(now);
        EndpointQuery query { 100, 50, 0, 0, true, true };
        auto chosen = selector.choose(query, link, now);
        BOOST_REQUIRE(chosen.has_value());
        selector.started(*chosen, query, now);
        selector.ended(*chosen, 50, now);
        probes += *chosen == slow;
    }
    BOOST_TEST(probes >= 3);
    BOOST_TEST(probes <= 4);
}
