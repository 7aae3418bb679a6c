#define BOOST_TEST_MODULE limits
#include "wisteriayard/limits.h"

#include "wisteriayard/rendezvous.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;

namespace {

const AccountId account("a");
const InstanceId self("home");
constexpr TimePoint start { std::chrono::seconds(100) };
const BudgetUse use { Tokens(100), 0.0 };

AccountLimits limitsOf(double rate, std::int64_t slots)
{
    AccountLimits limits;
    limits.requestsPerSecond = rate;
    limits.concurrent = slots;
    return limits;
}

/// A budget owner and the lease of the same entry.
struct Pair {
    explicit Pair(const AccountLimits& limits)
        : limits(limits)
        , budget(self, start)
        , lease(self)
    {
    }

    int admitMany(int count, TimePoint now)
    {
        int admitted = 0;
        for (int i = 0; i < count; ++i) {
            auto decision = lease.admit(account, limits, use, BudgetAttempt::First, now);
            if (std::holds_alternative<BudgetPending>(decision)) {
                exchange(now);
                decision = lease.admit(account, limits, use, BudgetAttempt::Last, now);
            }
            admitted += std::holds_alternative<BudgetAdmitted>(decision);
        }
        return admitted;
    }

    void exchange(TimePoint now)
    {
        for (const auto& due : lease.dueRequests(now))
            if (ownerAnswers)
                lease.applyGrant(budget.grant(self, due.request, limits, now), now);
    }

    AccountLimits limits;
    BudgetOwner budget;
    BudgetLease lease;
    bool ownerAnswers = true;
};

} // namespace

// Guards against a rate above the limit when demand exceeds it, and against a limit that is not used up.
BOOST_AUTO_TEST_CASE(rate_is_used_and_kept)
{
    Pair pair(limitsOf(50, 1000));
    int admitted = 0;
    TimePoint now = start + std::chrono::seconds(10);
    BOOST_TEST(
        std::holds_alternative<BudgetPending>(pair.lease.admit(account, pair.limits, use, BudgetAttempt::First, now)));
    for (int step = 0; step < 1000; ++step, now += std::chrono::milliseconds(10)) {
        pair.exchange(now);
        int now10ms = pair.admitMany(2, now);
        admitted += now10ms;
        for (int i = 0; i < now10ms; ++i)
            pair.lease.release(account, use, use);
    }
    // 10 s at 50/s, and the burst of 50 and the 150 outstanding at once that the decision page derives.
    BOOST_TEST(admitted <= 500 + 50 + 150);
    BOOST_TEST(admitted >= 450);
}

// Guards against more concurrent requests than the contract allows, and against slots that are never returned.
BOOST_AUTO_TEST_CASE(slots_are_kept_and_returned)
{
    Pair pair(limitsOf(1000, 7));
    TimePoint now = start + std::chrono::seconds(10);
    pair.lease.admit(account, pair.limits, use, BudgetAttempt::First, now);
    int running = 0;
    for (int step = 0; step < 300; ++step, now += std::chrono::milliseconds(10)) {
        pair.exchange(now);
        running += pair.admitMany(3, now);
        BOOST_TEST(running <= 7);
    }
    BOOST_TEST(running == 7);
    pair.lease.release(account, use, use);
    BOOST_TEST(pair.admitMany(3, now) == 1);
}

// Guards against a slot that is granted twice: an entry that was granted none stopped renewing its lease while a
// request still ran there, so that at 300 entries 42 requests ran under a limit of 40.
BOOST_AUTO_TEST_CASE(running_request_keeps_its_slot)
{
    Pair pair(limitsOf(1000, 1));
    TimePoint now = start + std::chrono::seconds(10);
    BOOST_TEST(pair.admitMany(1, now) == 1);
    BudgetRequest other;
    other.account = account;
    other.wantedSlots = 1;
    for (int step = 0; step < 500; ++step, now += std::chrono::milliseconds(20)) {
        pair.exchange(now);
        if (step % 50 == 0)
            BOOST_TEST(pair.budget.grant(InstanceId("b"), other, pair.limits, now).slots == 0);
    }
}

// Guards against refusing calls of services without tokens because no token credit was requested for them.
BOOST_AUTO_TEST_CASE(call_without_tokens_needs_none)
{
    AccountLimits limits = limitsOf(50, 10);
    limits.tokensPerSecond = 1000;
    limits.spendEndpointSecondsPerDay = 86'400;
    Pair pair(limits);
    TimePoint now = start + std::chrono::seconds(10);
    const BudgetUse call {};
    for (int i = 0; i < 5; ++i, now += std::chrono::milliseconds(300)) {
        pair.lease.admit(account, limits, call, BudgetAttempt::First, now);
        pair.exchange(now);
        auto decision = pair.lease.admit(account, limits, call, BudgetAttempt::Last, now);
        BOOST_REQUIRE(std::holds_alternative<BudgetAdmitted>(decision));
        pair.lease.release(account, call, { Tokens(0), 0.01 });
    }
}

// Guards against refusing a first burst within the limit because the first budget request was for less.
BOOST_AUTO_TEST_CASE(burst_behind_one_budget_request_is_admitted)
{
    Pair pair(limitsOf(20, 40));
    pair.lease.membersChanged({ self, InstanceId("b"), InstanceId("c") });
    TimePoint now = start + std::chrono::seconds(10);
    for (int i = 0; i < 10; ++i)
        pair.lease.admit(account, pair.limits, use, BudgetAttempt::First, now);
    int admitted = 0;
    for (int step = 0; step < 3; ++step, now += minRenewalIntervalAfterFullGrant) {
        pair.exchange(now);
        while (admitted < 10
            && std::holds_alternative<BudgetAdmitted>(
                pair.lease.admit(account, pair.limits, use, BudgetAttempt::AfterGrant, now)))
            ++admitted;
    }
    BOOST_TEST(admitted == 10);
}

// Guards against a refusal without a time after which a retry is useful.
BOOST_AUTO_TEST_CASE(refusal_states_when_credit_returns)
{
    Pair pair(limitsOf(0.1, 10));
    TimePoint now = start + std::chrono::seconds(20);
    pair.lease.admit(account, pair.limits, use, BudgetAttempt::First, now);
    pair.exchange(now);
    BOOST_TEST(pair.admitMany(1, now) == 1);
    now += minRenewalIntervalAfterFullGrant;
    pair.lease.admit(account, pair.limits, use, BudgetAttempt::First, now);
    pair.exchange(now);
    auto decision = pair.lease.admit(account, pair.limits, use, BudgetAttempt::AfterGrant, now);
    BOOST_REQUIRE(std::holds_alternative<BudgetRefused>(decision));
    BOOST_TEST(std::get<BudgetRefused>(decision).retryAfter.count() >= 9'000'000);
    BOOST_TEST(std::get<BudgetRefused>(decision).retryAfter.count() <= 20'000'000);
}

// Guards against a lease that outlives its period, and against an entry that stops admitting without a budget owner.
BOOST_AUTO_TEST_CASE(unavailable_owner_leaves_an_equal_share)
{
    Pair pair(limitsOf(40, 1000));
    TimePoint now = start + std::chrono::seconds(10);
    pair.lease.admit(account, pair.limits, use, BudgetAttempt::First, now);
    pair.exchange(now);
    BOOST_TEST(pair.admitMany(1, now) == 1);
    pair.lease.membersChanged({ self, InstanceId("b"), InstanceId("c"), InstanceId("d") });
    pair.ownerAnswers = false;
    int admitted = 0;
    TimePoint end = now + leasePeriod;
    for (; now < end + std::chrono::seconds(10); now += std::chrono::milliseconds(10)) {
        pair.exchange(now);
        int count = pair.admitMany(1, now);
        admitted += now < end ? 0 : count;
    }
    // A fourth of 40/s over 10 s, and the share of one lease period that the fallback starts with.
    BOOST_TEST(admitted <= 100 + 20);
    BOOST_TEST(admitted >= 100);
}

// Guards against a false refusal: the lease of an idle account was renewed without slots, and when the budget owner
// then stopped responding, the first request was refused although none of the limits was in use (case_usage_windows,
// pause_holder).
BOOST_DATA_TEST_CASE(unresponsive_owner_does_not_refuse_an_idle_account,
    boost::unit_test::data::make({ 0, 500, 1500, 2500, 7000 }), idle)
{
    AccountLimits limits = limitsOf(200, 400);
    limits.tokensPerSecond = 60'000;
    limits.spendEndpointSecondsPerDay = 1'500'000;
    Pair pair(limits);
    pair.lease.membersChanged({ self, InstanceId("b"), InstanceId("c") });
    TimePoint now = start + std::chrono::seconds(10);
    BOOST_TEST(pair.admitMany(1, now) == 1);
    pair.lease.release(account, use, { Tokens(30), 0.03 });
    for (TimePoint end = now + std::chrono::milliseconds(idle); now < end; now += std::chrono::milliseconds(10))
        pair.exchange(now);
    pair.ownerAnswers = false;
    auto decision = pair.lease.admit(account, limits, use, BudgetAttempt::First, now);
    pair.exchange(now);
    now += maxGrantWait;
    if (std::holds_alternative<BudgetPending>(decision))
        decision = pair.lease.admit(account, limits, use, BudgetAttempt::Last, now);
    BOOST_TEST(std::holds_alternative<BudgetAdmitted>(decision));
}

// Guards against a false refusal: while a request waited for its grant, the members changed, so that the budget request
// to the former owner was abandoned and the next one was not due before the request was decided (case_usage_windows,
// graceful_shutdown).
BOOST_DATA_TEST_CASE(
    owner_change_does_not_refuse_a_waiting_request, boost::unit_test::data::make({ 1, 40, 99 }), change)
{
    AccountLimits limits = limitsOf(200, 400);
    Pair pair(limits);
    TimePoint now = start + std::chrono::seconds(10);
    BOOST_TEST(pair.admitMany(1, now) == 1);
    pair.lease.release(account, use, use);
    // Afterwards the account holds a lease without slots.
    for (TimePoint end = now + std::chrono::seconds(2); now < end; now += std::chrono::milliseconds(10))
        pair.exchange(now);
    pair.ownerAnswers = false;
    auto decision = pair.lease.admit(account, limits, use, BudgetAttempt::First, now);
    pair.exchange(now);
    BOOST_REQUIRE(std::holds_alternative<BudgetPending>(decision));
    TimePoint deadline = now + maxGrantWait;
    pair.lease.membersChanged({ InstanceId("b") });
    for (now += std::chrono::milliseconds(change); now < deadline; now += std::chrono::milliseconds(10))
        pair.exchange(now);
    decision = pair.lease.admit(account, limits, use, BudgetAttempt::Last, deadline);
    BOOST_TEST(std::holds_alternative<BudgetAdmitted>(decision));
}

// Guards against a wait of the next budget request after a change of the owner: the new owner has to be asked before
// the requests that wait for a grant are decided.
BOOST_AUTO_TEST_CASE(new_owner_is_asked_at_once)
{
    Pair pair(limitsOf(200, 400));
    TimePoint now = start + std::chrono::seconds(10);
    pair.lease.admit(account, pair.limits, use, BudgetAttempt::First, now);
    BOOST_REQUIRE(pair.lease.dueRequests(now).size() == 1);
    pair.lease.membersChanged({ InstanceId("b") });
    now += minRenewalIntervalAfterFullGrant;
    auto requests = pair.lease.dueRequests(now);
    BOOST_REQUIRE(requests.size() == 1);
    BOOST_TEST(requests[0].owner == InstanceId("b"));
}

// Guards against a false refusal after the owner of a budget has restarted: the first entry that asked was granted all
// of the initial spend credit, because an entry wanted its share of an hour's spend (case_usage_windows,
// graceful_shutdown).
BOOST_DATA_TEST_CASE(first_entry_leaves_spend_of_a_new_owner, boost::unit_test::data::make({ 0, 1, 100 }), delay)
{
    AccountLimits limits = limitsOf(200, 400);
    limits.tokensPerSecond = 60'000;
    limits.spendEndpointSecondsPerDay = 1'500'000;
    std::vector<InstanceId> members { self, InstanceId("b"), InstanceId("c") };
    TimePoint now = start + std::chrono::seconds(10);
    BudgetOwner budget(self, now);
    std::vector<BudgetLease> leases;
    const BudgetUse estimate { Tokens(200), 0.0 };
    for (const InstanceId& member : members)
        leases.emplace_back(member).membersChanged(members);
    int admitted = 0;
    for (std::size_t i = 0; i < members.size(); ++i, now += std::chrono::milliseconds(delay)) {
        // Three chats in sequence of 30 ms each.
        for (int chat = 0; chat < 3; ++chat) {
            TimePoint at = now + std::chrono::milliseconds(30 * chat);
            auto decision = leases[i].admit(account, limits, estimate, BudgetAttempt::First, at);
            for (const auto& due : leases[i].dueRequests(at))
                leases[i].applyGrant(budget.grant(members[i], due.request, limits, at), at);
            if (std::holds_alternative<BudgetPending>(decision))
                decision = leases[i].admit(account, limits, estimate, BudgetAttempt::AfterGrant, at);
            if (!std::holds_alternative<BudgetAdmitted>(decision))
                continue;
            ++admitted;
            leases[i].release(account, estimate, { Tokens(30), 0.2 });
        }
    }
    BOOST_TEST(admitted == 9);
}

// Guards against a late grant of an abandoned budget request that is applied in addition to the current one.
BOOST_AUTO_TEST_CASE(late_grant_is_dropped)
{
    Pair pair(limitsOf(10, 1000));
    TimePoint now = start + std::chrono::seconds(10);
    pair.lease.admit(account, pair.limits, use, BudgetAttempt::First, now);
    auto first = pair.lease.dueRequests(now);
    BOOST_REQUIRE(first.size() == 1);
    BudgetGrant late = pair.budget.grant(self, first[0].request, pair.limits, now);
    now += budgetRequestTimeout;
    pair.lease.admit(account, pair.limits, use, BudgetAttempt::Last, now);
    BOOST_REQUIRE(pair.lease.dueRequests(now).size() == 1);
    late.credits[0] = 1000;
    pair.lease.applyGrant(late, now);
    BOOST_TEST(pair.admitMany(100, now) <= 20);
}

// Guards against a new budget owner that grants at once what its predecessor may have granted already.
BOOST_AUTO_TEST_CASE(new_owner_starts_with_one_second)
{
    BudgetOwner budget(self, start);
    TimePoint now = start + std::chrono::hours(1);
    budget.membersChanged({ self, InstanceId("b") }, now);
    BudgetRequest request;
    request.account = account;
    request.wanted[0] = 100;
    BOOST_TEST(budget.grant(self, request, limitsOf(50, 10), now).credits[0] == 50.0);
    request.balance[0] = 0;
    now += std::chrono::milliseconds(100);
    request.sequence = 1;
    BOOST_TEST(budget.grant(self, request, limitsOf(50, 10), now).credits[0] <= 5.0);
}

// Guards against tokens used beyond the estimate that are never charged.
BOOST_AUTO_TEST_CASE(tokens_are_reconciled)
{
    AccountLimits limits;
    limits.tokensPerSecond = 1000;
    Pair pair(limits);
    TimePoint now = start + std::chrono::seconds(10);
    pair.lease.admit(account, limits, use, BudgetAttempt::First, now);
    double real = 0;
    for (int step = 0; step < 2000; ++step, now += std::chrono::milliseconds(10)) {
        pair.exchange(now);
        if (pair.admitMany(1, now) == 1) {
            pair.lease.release(account, use, { Tokens(700), 0.0 });
            real += 700;
        }
    }
    // 20 s at 1000/s, the burst of 1000, the 3000 outstanding at once, and one request above the balance.
    BOOST_TEST(real <= 20'000 + 1'000 + 3'000 + 700);
    BOOST_TEST(real >= 18'000);
}

// Guards against processes that choose different owners from the same members, and against needless changes of owner.
BOOST_AUTO_TEST_CASE(rendezvous_moves_only_what_must_move)
{
    std::vector<InstanceId> members;
    for (int i = 0; i < 10; ++i)
        members.emplace_back("entry-" + std::to_string(i));
    std::vector<InstanceId> fewer(members.begin(), members.end() - 1);
    std::vector<InstanceId> reversed(members.rbegin(), members.rend());
    int moved = 0;
    for (int i = 0; i < 1000; ++i) {
        AccountId id("account-" + std::to_string(i));
        InstanceId now = budgetOwner(id, members);
        BOOST_TEST(budgetOwner(id, reversed) == now);
        InstanceId later = budgetOwner(id, fewer);
        if (later != now) {
            BOOST_TEST(now == members.back());
            ++moved;
        }
    }
    BOOST_TEST(moved > 50);
    BOOST_TEST(moved < 200);
}
