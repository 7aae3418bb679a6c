#include "fleet.h"

#include "budget_messages.h"

#include <algorithm>

namespace wisteriayard::bench {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(20);
    /// Above the longest run of a request.
    constexpr Duration drainTime = std::chrono::seconds(5);
    constexpr Duration churnInterval = std::chrono::seconds(5);
    /// One way between entries: within a zone to between regions.
    constexpr Duration leastDelay = std::chrono::milliseconds(1);
    constexpr Duration mostDelay = std::chrono::milliseconds(9);
    /// The instance list shows a crash after this, and entries read it at different times within listSpread.
    constexpr Duration listLag = std::chrono::seconds(2);
    constexpr Duration listSpread = std::chrono::seconds(1);

    Credits credits(const BudgetUse& use)
    {
        return { 1.0, static_cast<double>(use.tokens.value()), use.endpointSeconds };
    }

} // namespace

Fleet::Fleet(std::size_t entries, Scenario scenario, std::uint64_t seed, std::vector<AccountModel> accounts)
    : m_scenario(scenario)
    , m_random(seed)
    , m_accounts(std::move(accounts))
    , m_trackers(m_accounts.size())
{
    for (std::size_t i = 0; i < entries; ++i)
        addNode();
    std::vector<InstanceId> members;
    for (const auto& node : m_nodes)
        members.push_back(node->id);
    for (const auto& node : m_nodes) {
        node->lease->membersChanged(members);
        node->home->membersChanged(members, m_now);
    }
    for (std::size_t i = 0; i < m_accounts.size(); ++i) {
        m_trackers[i].result.id = m_accounts[i].id;
        m_trackers[i].levelAt = m_now;
        m_trackers[i].home = budgetOwner(m_accounts[i].id, members);
    }
}

void Fleet::at(TimePoint time, std::function<void()> action) { m_events.push({ time, ++m_order, std::move(action) }); }

Duration Fleet::between(Duration least, Duration most)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
}

void Fleet::addNode()
{
    auto node = std::make_shared<Node>();
    node->id = InstanceId("entry-" + std::to_string(m_nextName++));
    node->lease = std::make_unique<BudgetLease>(node->id);
    node->home = std::make_unique<BudgetOwner>(node->id, m_now);
    m_nodes.push_back(node);
    // Without the list it knows no endpoint, so it takes no request before it has read the list once.
    std::vector<InstanceId> members;
    for (const auto& each : m_nodes)
        members.push_back(each->id);
    node->lease->membersChanged(members);
    node->home->membersChanged(members, m_now);
    m_everyNode[node->id] = node;
    at(m_now + between(Duration(0), tickInterval), [this, node] { tick(*node); });
}

void Fleet::removeNode(Node& node, bool crash)
{
    node.up = !crash;
    auto it = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& each) { return each.get() == &node; });
    // A leaving entry takes no new request; it goes on until its requests have ended.
    if (!crash)
        at(m_now + drainTime, [leaving = *it] { leaving->up = false; });
    m_nodes.erase(it);
    publish(crash ? listLag : Duration(0));
}

void Fleet::publish(Duration lag)
{
    std::vector<InstanceId> members;
    for (const auto& node : m_nodes)
        members.push_back(node->id);
    for (const auto& node : m_nodes) {
        at(m_now + lag + between(Duration(0), listSpread), [this, node, members] {
            node->lease->membersChanged(members);
            node->home->membersChanged(members, m_now);
        });
    }
    for (std::size_t i = 0; i < m_accounts.size(); ++i) {
        InstanceId home = budgetOwner(m_accounts[i].id, members);
        if (home == m_trackers[i].home)
            continue;
        m_trackers[i].home = home;
        ++m_trackers[i].result.homeChanges;
        auto& changes = m_trackers[i].changes;
        changes.push_back(m_now);
        Duration span = leasePeriod + m_accounts[i].longestRun + listLag + listSpread;
        auto recent
            = std::count_if(changes.begin(), changes.end(), [&](TimePoint each) { return m_now - each <= span; });
        auto& most = m_trackers[i].result.homeChangesAtOnce;
        most = std::max(most, static_cast<int>(recent));
    }
}

void Fleet::scheduleScenario(Duration time)
{
    if (m_scenario == Scenario::Churn) {
        for (Duration each = churnInterval; each < time; each += churnInterval) {
            at(m_now + each, [this] {
                removeNode(*m_nodes[m_random() % m_nodes.size()], false);
                addNode();
                publish(Duration(0));
            });
        }
    }
    if (m_scenario != Scenario::HomeLost)
        return;
    for (int third = 1; third <= 2; ++third) {
        at(m_now + time * third / 3, [this] {
            std::set<InstanceId> homes;
            for (const Tracker& tracker : m_trackers)
                homes.insert(tracker.home);
            // At least one entry stays.
            for (const InstanceId& home : homes) {
                auto it
                    = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& each) { return each->id == home; });
                if (m_nodes.size() > 1)
                    removeNode(**it, true);
            }
        });
    }
}

void Fleet::tick(Node& node)
{
    if (!node.up)
        return;
    flush(node);
    node.home->tick(m_now);
    at(m_now + tickInterval, [this, self = m_everyNode.at(node.id)] { tick(*self); });
}

void Fleet::flush(Node& node)
{
    std::map<InstanceId, std::vector<BudgetRequest>> byHome;
    for (auto& due : node.lease->dueRequests(m_now))
        byHome[due.owner].push_back(std::move(due.request));
    for (auto& [homeId, asks] : byHome) {
        wire::Envelope envelope;
        envelope.mutable_budget_request()->set_sender(node.id.value());
        for (const BudgetRequest& ask : asks)
            packBudgetRequest(ask, *envelope.mutable_budget_request()->add_asks());
        auto sender = m_everyNode.at(node.id);
        auto home = m_everyNode.at(homeId);
        bool remote = home != sender;
        if (remote) {
            node.bytes += envelope.ByteSizeLong();
            ++node.messages;
        }
        Duration delay = remote ? between(leastDelay, mostDelay) : Duration(0);
        at(m_now + delay, [this, sender, home, envelope, remote] {
            if (!home->up)
                return;
            wire::Envelope answer;
            for (const auto& message : envelope.budget_request().asks()) {
                BudgetRequest ask = unpackBudgetRequest(message);
                for (const AccountModel& model : m_accounts) {
                    if (model.id == ask.account)
                        packBudgetGrant(home->home->grant(sender->id, ask, model.limits, m_now),
                            *answer.mutable_budget_grant()->add_grants());
                }
            }
            home->bytes += remote ? answer.ByteSizeLong() : 0;
            home->messages += remote ? 1 : 0;
            at(m_now + (remote ? between(leastDelay, mostDelay) : Duration(0)), [this, sender, answer] {
                for (const auto& grant : answer.budget_grant().grants()) {
                    sender->lease->applyGrant(unpackBudgetGrant(grant), m_now);
                    auto waiting = std::move(sender->pending[AccountId(grant.account())]);
                    sender->pending.erase(AccountId(grant.account()));
                    for (auto& each : waiting)
                        each(BudgetAttempt::AfterGrant);
                }
            });
        });
    }
}

void Fleet::arrive(std::size_t index)
{
    const AccountModel& model = m_accounts[index];
    Duration gap(static_cast<std::int64_t>(std::exponential_distribution<double>(model.arrivals)(m_random) * 1e6));
    at(m_now + gap, [this, index] { arrive(index); });
    auto node = m_nodes[m_random() % m_nodes.size()];
    if (!node->up)
        return;
    BudgetUse estimate { Tokens(model.estimatedTokens), 0.0 };
    BudgetUse real;
    real.tokens = Tokens(std::uniform_int_distribution<std::int64_t>(model.fewestTokens, model.mostTokens)(m_random));
    real.endpointSeconds = std::uniform_real_distribution<double>(0, model.mostEndpointSeconds)(m_random);
    decide(*node, index, estimate, real, BudgetAttempt::First, m_now);
}

void Fleet::decide(Node& node, std::size_t index, const BudgetUse& estimate, const BudgetUse& real,
    BudgetAttempt attempt, TimePoint arrived)
{
    if (!node.up)
        return;
    const AccountModel& model = m_accounts[index];
    BudgetDecision decision = node.lease->admit(model.id, model.limits, estimate, attempt, m_now);
    if (std::holds_alternative<BudgetPending>(decision)) {
        auto done = std::make_shared<bool>(false);
        auto again = [this, &node, index, estimate, real, arrived, done](BudgetAttempt next) {
            if (!std::exchange(*done, true))
                decide(node, index, estimate, real, next, arrived);
        };
        node.pending[model.id].push_back(again);
        at(std::max(m_now, arrived + maxGrantWait), [again] { again(BudgetAttempt::Last); });
        flush(node);
        return;
    }
    m_longestDecision = std::max(m_longestDecision, m_now - arrived);
    if (std::holds_alternative<BudgetAdmitted>(decision))
        start(node, index, estimate, real);
    else
        ++m_trackers[index].result.refused;
}

void Fleet::start(Node& node, std::size_t index, const BudgetUse& estimate, const BudgetUse& real)
{
    Tracker& tracker = m_trackers[index];
    ++tracker.result.admitted;
    tracker.result.mostRunning = std::max(tracker.result.mostRunning, ++tracker.running);
    Credits amounts = credits(real);
    track(index, static_cast<std::size_t>(CreditKind::Requests), 1.0);
    at(m_now + between(Duration(1000), m_accounts[index].longestRun), [this, &node, index, estimate, real, amounts] {
        --m_trackers[index].running;
        track(index, static_cast<std::size_t>(CreditKind::Tokens), amounts[1]);
        track(index, static_cast<std::size_t>(CreditKind::Spend), amounts[2]);
        node.lease->release(m_accounts[index].id, estimate, real);
    });
}

void Fleet::track(std::size_t index, std::size_t kind, double amount)
{
    Tracker& tracker = m_trackers[index];
    auto rates = creditRates(m_accounts[index].limits);
    double passed = std::chrono::duration<double>(m_now - tracker.levelAt).count();
    tracker.levelAt = m_now;
    // The level of a leaky bucket is the largest excess over all intervals that end now.
    for (std::size_t each = 0; each < creditKinds; ++each)
        tracker.level[each] = std::max(0.0, tracker.level[each] - rates[each].value_or(0) * passed);
    tracker.level[kind] += amount;
    tracker.result.used[kind] += amount;
    tracker.result.excess[kind] = std::max(tracker.result.excess[kind], tracker.level[kind]);
}

RunResult Fleet::run(Duration time)
{
    TimePoint end = m_now + time;
    scheduleScenario(time);
    for (std::size_t i = 0; i < m_accounts.size(); ++i)
        arrive(i);
    while (!m_events.empty() && m_events.top().at < end) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    RunResult result;
    for (const Tracker& tracker : m_trackers)
        result.accounts.push_back(tracker.result);
    double seconds = std::chrono::duration<double>(time).count();
    auto count = static_cast<double>(m_nodes.size());
    for (const auto& node : m_nodes) {
        result.messagesPerNode += static_cast<double>(node->messages) / seconds / count;
        result.bytesPerNode += static_cast<double>(node->bytes) / seconds / count;
        result.mostBytesPerNode = std::max(result.mostBytesPerNode, static_cast<double>(node->bytes) / seconds);
    }
    result.longestDecision = m_longestDecision;
    return result;
}

} // namespace wisteriayard::bench
