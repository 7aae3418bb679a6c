#define BOOST_TEST_MODULE hedge_policy
#include "wisteriayard/hedge_policy.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const HedgeClass lookups { "lookup", TargetId("plain") };
constexpr TimePoint start(seconds(1000));
constexpr double ratio = 0.1;

/// Records 100 requests, spread over a second, with times of 1 to 95 ms and of 400 ms: the delay is 95 ms.
HedgePolicy knownService(TimePoint now = start)
{
    HedgePolicy policy(ratio);
    for (int i = 1; i <= 100; ++i) {
        TimePoint at = now - seconds(1) + i * milliseconds(10);
        policy.recordPlaced(lookups.target, at);
        policy.recordWaiting(lookups, at);
        policy.recordTime(lookups, milliseconds(i <= 95 ? i : 400), at);
    }
    return policy;
}

/// A request that may be hedged.
HedgeState slowRequest()
{
    HedgeState state;
    state.repeatable = true;
    state.maxAttempts = 2;
    state.elapsed = milliseconds(100);
    state.timeLeft = seconds(5);
    state.retries = { 0, 100 };
    state.second = SecondEndpoint { true, false, false };
    return state;
}

struct DecisionCase {
    const char* name;
    HedgeDecision expected;
    std::function<void(HedgePolicy&, HedgeState&)> change;
};
std::ostream& operator<<(std::ostream& out, const DecisionCase& each) { return out << each.name; }

void refuse(HedgePolicy& policy, int count, TimePoint at = start)
{
    for (int i = 0; i < count; ++i)
        policy.recordRefused(lookups.target, at);
}

void send(HedgePolicy& policy, int count)
{
    for (int i = 0; i < count; ++i)
        policy.recordSent(lookups.target, RetryUse(), start);
}

void exceedDelay(HedgePolicy& policy, int count)
{
    for (int i = 0; i < count; ++i)
        policy.recordDue(lookups, start);
}

const DecisionCase decisionCases[] = {
    { "slow request", HedgeDecision::Send, [](HedgePolicy&, HedgeState&) {} },
    { "second endpoint not looked for yet", HedgeDecision::Send,
        [](HedgePolicy&, HedgeState& state) { state.second.reset(); } },
    { "at-most-once call", HedgeDecision::NotRepeatable,
        [](HedgePolicy&, HedgeState& state) { state.repeatable = false; } },
    { "answer has begun", HedgeDecision::AnswerBegun,
        [](HedgePolicy&, HedgeState& state) { state.answerBegun = true; } },
    { "hedged before", HedgeDecision::AlreadyHedged, [](HedgePolicy&, HedgeState& state) { state.hedged = true; } },
    { "suspected of crashes", HedgeDecision::Suspected,
        [](HedgePolicy&, HedgeState& state) { state.suspected = true; } },
    { "one attempt allowed", HedgeDecision::AttemptsUsed,
        [](HedgePolicy&, HedgeState& state) { state.maxAttempts = 1; } },
    { "running attempt is the last one allowed", HedgeDecision::AttemptsUsed,
        [](HedgePolicy&, HedgeState& state) { state.attempts = 2; } },
    { "third attempt allowed", HedgeDecision::Send,
        [](HedgePolicy&, HedgeState& state) { state.attempts = 2, state.maxAttempts = 3; } },
    { "quantile not reached", HedgeDecision::NotDue,
        [](HedgePolicy&, HedgeState& state) { state.elapsed = milliseconds(94); } },
    { "quantile reached", HedgeDecision::Send,
        [](HedgePolicy&, HedgeState& state) { state.elapsed = milliseconds(95); } },
    { "less time than the median", HedgeDecision::TooLittleTime,
        [](HedgePolicy&, HedgeState& state) { state.timeLeft = milliseconds(50); } },
    { "as much time as the median", HedgeDecision::Send,
        [](HedgePolicy&, HedgeState& state) { state.timeLeft = milliseconds(51); } },
    { "18 of 100 exceed the delay", HedgeDecision::Send,
        [](HedgePolicy& policy, HedgeState&) { exceedDelay(policy, 18); } },
    { "19 of 100 exceed the delay", HedgeDecision::AllSlower,
        [](HedgePolicy& policy, HedgeState&) { exceedDelay(policy, 19); } },
    { "one in 26 refused", HedgeDecision::Send, [](HedgePolicy& policy, HedgeState&) { refuse(policy, 4); } },
    { "one in 17 refused", HedgeDecision::Shortage, [](HedgePolicy& policy, HedgeState&) { refuse(policy, 6); } },
    { "refusals four seconds ago", HedgeDecision::Send,
        [](HedgePolicy& policy, HedgeState&) { refuse(policy, 50, start - seconds(4)); } },
    { "retries use half of the budget", HedgeDecision::Shortage,
        [](HedgePolicy&, HedgeState& state) {
            state.retries = { 50, 100 };
        } },
    { "retries use a third of the budget", HedgeDecision::Send,
        [](HedgePolicy&, HedgeState& state) {
            state.retries = { 33, 100 };
        } },
    { "hedged requests use a quarter of the budget", HedgeDecision::Send,
        [](HedgePolicy& policy, HedgeState& state) {
            send(policy, 5), state.retries = { 5, 20 };
        } },
    { "hedged requests use half of the budget", HedgeDecision::RetryBudgetUsed,
        [](HedgePolicy& policy, HedgeState& state) {
            send(policy, 5), state.retries = { 5, 10 };
        } },
    { "no retry allowed", HedgeDecision::RetryBudgetUsed,
        [](HedgePolicy&, HedgeState& state) {
            state.retries = { 0, 0 };
        } },
    { "nine of ten hedged requests sent", HedgeDecision::Send,
        [](HedgePolicy& policy, HedgeState&) { send(policy, 9); } },
    { "all ten hedged requests sent", HedgeDecision::RatioUsed,
        [](HedgePolicy& policy, HedgeState&) { send(policy, 10); } },
    { "credit is scarce and retries make it dear", HedgeDecision::RatioUsed,
        [](HedgePolicy& policy, HedgeState& state) {
            send(policy, 9);
            state.retries = { 9 + 5, 100 };
        } },
    { "no other endpoint", HedgeDecision::NoEndpoint,
        [](HedgePolicy&, HedgeState& state) { state.second = SecondEndpoint {}; } },
    { "only an ejected endpoint", HedgeDecision::EndpointEjected,
        [](HedgePolicy&, HedgeState& state) { state.second->ejected = true; } },
    { "queue at the second endpoint", HedgeDecision::EndpointQueue,
        [](HedgePolicy&, HedgeState& state) { state.second->queued = true; } },
};

} // namespace

// Guards against second attempts that a rule of docs/design/hedging.md forbids.
BOOST_DATA_TEST_CASE(decisions, data::make(decisionCases), each)
{
    HedgePolicy policy = knownService();
    HedgeState state = slowRequest();
    each.change(policy, state);
    HedgeDecision decision = policy.decide(lookups, state, start);
    BOOST_TEST(hedgeDecisionName(decision) == hedgeDecisionName(each.expected));
}

// Guards against a delay that is guessed: too few samples, samples of other routes and services, and old ones.
BOOST_AUTO_TEST_CASE(nothing_is_hedged_without_recent_samples_of_the_class)
{
    HedgePolicy policy(ratio);
    for (std::size_t i = 0; i + 1 < HedgePolicy::minSamples; ++i) {
        policy.recordPlaced(lookups.target, start);
        policy.recordTime(lookups, milliseconds(10), start);
    }
    BOOST_TEST(!policy.times(lookups, start).has_value());
    policy.recordTime({ "search", lookups.target }, milliseconds(10), start);
    policy.recordTime({ lookups.route, TargetId("other") }, milliseconds(10), start);
    BOOST_TEST(!policy.times(lookups, start).has_value());
    BOOST_TEST((policy.decide(lookups, slowRequest(), start) == HedgeDecision::TooFewSamples));
    policy.recordTime(lookups, milliseconds(10), start);
    BOOST_TEST(policy.times(lookups, start).has_value());
    BOOST_TEST(policy.times(lookups, start + HedgePolicy::maxAge).has_value());
    BOOST_TEST(!policy.times(lookups, start + HedgePolicy::maxAge + milliseconds(100)).has_value());
}

namespace {

struct DelayCase {
    const char* name;
    /// Times of 100 attempts, by their number from 1.
    Duration (*time)(int number);
    Duration delay;
};
std::ostream& operator<<(std::ostream& out, const DelayCase& each) { return out << each.name; }

Duration withSlow(int number, int slow) { return milliseconds(number > 100 - slow ? 400 : 40); }

const DelayCase delayCases[] = {
    { "no spread: one and a half medians", [](int) -> Duration { return milliseconds(40); }, milliseconds(60) },
    { "little spread", [](int number) -> Duration { return milliseconds(40 + number / 50); },
        std::chrono::microseconds(61500) },
    { "short tail: the slowest", [](int number) -> Duration { return milliseconds(number); }, milliseconds(100) },
    { "long tail: the quantile",
        [](int number) -> Duration { return milliseconds(number > 95 ? 400 + number : number); }, milliseconds(95) },
    { "short tail, then a long one: the end of the short one",
        [](int number) -> Duration {
            return milliseconds(number > 99 ? 400 : number > 90 ? 60 + number / 10 : 40);
        },
        milliseconds(69) },
    { "one in 20 slow", [](int number) { return withSlow(number, 5); }, milliseconds(60) },
    { "more than one in 20 slow", [](int number) { return withSlow(number, 6); }, milliseconds(400) },
};

} // namespace

// Guards against second attempts for requests that are only as slow as most, where times hardly differ in particular.
BOOST_DATA_TEST_CASE(delay_follows_quantile_and_spread, data::make(delayCases), each)
{
    HedgePolicy policy(ratio);
    for (int i = 1; i <= 100; ++i)
        policy.recordTime(lookups, each.time(i), start);
    BOOST_TEST(policy.times(lookups, start)->delay.count() == each.delay.count());
}

// Guards against a delay that falls because the slowest attempts are cancelled before they complete, and against
// cancelled second attempts that count as quick ones.
BOOST_AUTO_TEST_CASE(cancelled_attempts_count_if_they_exceed_the_delay)
{
    HedgePolicy policy = knownService();
    policy.recordLowerBound(lookups, milliseconds(94), start);
    BOOST_TEST(policy.times(lookups, start)->samples == 100u);
    for (int i = 0; i < 5; ++i)
        policy.recordLowerBound(lookups, milliseconds(110), start);
    BOOST_TEST(policy.times(lookups, start)->samples == 105u);
    BOOST_TEST(policy.times(lookups, start)->quantile.count() == Duration(milliseconds(110)).count());
}

// Guards against a threshold that stays when the service has become slower: a tenth of the window suffices.
BOOST_AUTO_TEST_CASE(delay_follows_a_slower_service)
{
    HedgePolicy policy = knownService();
    for (int i = 1; i <= 10; ++i)
        policy.recordTime(lookups, milliseconds(450), start);
    BOOST_TEST(policy.times(lookups, start)->delay.count() == Duration(milliseconds(450)).count());
    for (std::size_t i = 0; i < HedgePolicy::maxSamples; ++i)
        policy.recordTime(lookups, milliseconds(30), start);
    BOOST_TEST(policy.times(lookups, start)->samples == HedgePolicy::maxSamples);
    BOOST_TEST(policy.times(lookups, start)->delay.count() == Duration(milliseconds(45)).count());
}

namespace {

struct CreditCase {
    const char* name;
    double ratio;
    int requestsPerSecond;
    int seconds;
    /// Hedged requests that may be sent at once afterwards.
    int expected;
};
std::ostream& operator<<(std::ostream& out, const CreditCase& each) { return out << each.name; }

const CreditCase creditCases[] = {
    { "off", 0, 100, 20, 0 },
    { "start", 0.05, 0, 20, 0 },
    { "few requests earn one", 0.05, 1, 21, 1 },
    { "an entry with few requests keeps one only", 0.05, 1, 200, 1 },
    { "credit of ten seconds", 0.05, 100, 20, 50 },
    { "half", 0.5, 10, 10, 50 },
    { "each request", 1, 1, 1, 1 },
};

} // namespace

// Guards against credit that entries save up while nothing is slow and spend all together when everything is.
BOOST_DATA_TEST_CASE(credit_lapses, data::make(creditCases), each)
{
    HedgePolicy policy(each.ratio);
    BOOST_TEST(policy.isEnabled() == (each.ratio > 0));
    TimePoint now = start;
    for (int i = 0; i < 100; ++i)
        policy.recordTime(lookups, milliseconds(10), start + each.seconds * seconds(1));
    for (int second = 0; second < each.seconds; ++second) {
        now = start + second * seconds(1);
        for (int i = 0; i < each.requestsPerSecond; ++i)
            policy.recordPlaced(lookups.target, now);
    }
    HedgeState state = slowRequest();
    state.retries.allowed = 1000;
    int sent = 0;
    while (policy.decide(lookups, state, now) == HedgeDecision::Send) {
        policy.recordSent(lookups.target, RetryUse(), now);
        ++sent;
    }
    BOOST_TEST(sent == each.expected);
}

// Guards against memory for routes that no longer exist.
BOOST_AUTO_TEST_CASE(classes_without_recent_requests_are_forgotten)
{
    HedgePolicy policy = knownService();
    TimePoint later = start + HedgePolicy::maxAge + seconds(1);
    policy.recordWaiting({ "search", lookups.target }, later);
    BOOST_TEST(!policy.times(lookups, start).has_value());
}

// Guards against a second decision where the first was final, and against none where the load was the reason.
BOOST_AUTO_TEST_CASE(decisions_by_load_are_made_again)
{
    BOOST_TEST(mayHedgeLater(HedgeDecision::RatioUsed));
    BOOST_TEST(mayHedgeLater(HedgeDecision::AllSlower));
    BOOST_TEST(mayHedgeLater(HedgeDecision::EndpointQueue));
    BOOST_TEST(!mayHedgeLater(HedgeDecision::Send));
    BOOST_TEST(!mayHedgeLater(HedgeDecision::Suspected));
    BOOST_TEST(!mayHedgeLater(HedgeDecision::AttemptsUsed));
}
