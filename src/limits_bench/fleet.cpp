#include "fleet.h"

#include "budget_messages.h"

#include <algorithm>

namespace wisteriayard::bench {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(20);
    /// Longer than the longest running time of a request.
    constexpr Duration drainTime = std::chrono::seconds(5);
    constexpr Duration churnInterval = std::chrono::seconds(5);
    /// Range of the one-way delay between entries, from within a zone to between regions.
    constexpr Duration minDelay = std::chrono::milliseconds(1);
    constexpr Duration maxDelay = std::chrono::milliseconds(9);
    /// A crash appears in the instance list after listLag; entries read the list at different times within listSpread.
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
        node->budgetOwner->membersChanged(members, m_now);
    }
    for (std::size_t i = 0; i < m_accounts.size(); ++i) {
        m_trackers[i].result.id = m_accounts[i].id;
        m_trackers[i].levelTime = m_now;
        m_trackers[i].owner = budgetOwner(m_accounts[i].id, members);
    }
}

void Fleet::schedule(TimePoint time, std::function<void()> action)
{
    m_events.push({ time, ++m_order, std::move(action) });
}

Duration Fleet::randomDuration(Duration minimum, Duration maximum)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(minimum.count(), maximum.count())(m_random));
}

void Fleet::addNode()
{
    auto node = std::make_shared<Node>();
    node->id = InstanceId("entry-" + std::to_string(m_nextName++));
    node->lease = std::make_unique<BudgetLease>(node->id);
    node->budgetOwner = std::make_unique<BudgetOwner>(node->id, m_now);
    m_nodes.push_back(node);
    // A new entry has the member list from the start: without it an entry knows no endpoint and accepts no request.
    std::vector<InstanceId> members;
    for (const auto& each : m_nodes)
        members.push_back(each->id);
    node->lease->membersChanged(members);
    node->budgetOwner->membersChanged(members, m_now);
    m_allNodes[node->id] = node;
    schedule(m_now + randomDuration(Duration(0), tickInterval), [this, node] { tick(*node); });
}

void Fleet::removeNode(Node& node, bool crash)
{
    node.up = !crash;
    auto it = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& each) { return each.get() == &node; });
    // A leaving entry accepts no new requests and stays up until its running requests have completed.
    if (!crash)
        schedule(m_now + drainTime, [leaving = *it] { leaving->up = false; });
    m_nodes.erase(it);
    publishMembers(crash ? listLag : Duration(0));
}

void Fleet::publishMembers(Duration lag)
{
    std::vector<InstanceId> members;
    for (const auto& node : m_nodes)
        members.push_back(node->id);
    for (const auto& node : m_nodes) {
        schedule(m_now + lag + randomDuration(Duration(0), listSpread), [this, node, members] {
            node->lease->membersChanged(members);
            node->budgetOwner->membersChanged(members, m_now);
        });
    }
    for (std::size_t i = 0; i < m_accounts.size(); ++i) {
        InstanceId owner = budgetOwner(m_accounts[i].id, members);
        if (owner == m_trackers[i].owner)
            continue;
        m_trackers[i].owner = owner;
        ++m_trackers[i].result.ownerChanges;
        auto& ownerChangeTimes = m_trackers[i].ownerChangeTimes;
        ownerChangeTimes.push_back(m_now);
        Duration span = leasePeriod + m_accounts[i].maxRunTime + listLag + listSpread;
        auto recent = std::count_if(
            ownerChangeTimes.begin(), ownerChangeTimes.end(), [&](TimePoint each) { return m_now - each <= span; });
        auto& maximum = m_trackers[i].result.maxRecentOwnerChanges;
        maximum = std::max(maximum, static_cast<int>(recent));
    }
}

void Fleet::scheduleScenario(Duration time)
{
    if (m_scenario == Scenario::Churn) {
        for (Duration each = churnInterval; each < time; each += churnInterval) {
            schedule(m_now + each, [this] {
                removeNode(*m_nodes[m_random() % m_nodes.size()], false);
                addNode();
                publishMembers(Duration(0));
            });
        }
    }
    if (m_scenario != Scenario::OwnerLost)
        return;
    for (int third = 1; third <= 2; ++third) {
        schedule(m_now + time * third / 3, [this] {
            std::set<InstanceId> owners;
            for (const Tracker& tracker : m_trackers)
                owners.insert(tracker.owner);
            // The last entry is not removed.
            for (const InstanceId& owner : owners) {
                auto it
                    = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& each) { return each->id == owner; });
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
    node.budgetOwner->tick(m_now);
    schedule(m_now + tickInterval, [this, self = m_allNodes.at(node.id)] { tick(*self); });
}

void Fleet::flush(Node& node)
{
    std::map<InstanceId, std::vector<BudgetRequest>> requestsByOwner;
    for (auto& due : node.lease->dueRequests(m_now))
        requestsByOwner[due.owner].push_back(std::move(due.request));
    for (auto& [ownerId, requests] : requestsByOwner) {
        wire::Envelope envelope;
        envelope.mutable_budget_request()->set_sender(node.id.value());
        for (const BudgetRequest& request : requests)
            packBudgetRequest(request, *envelope.mutable_budget_request()->add_asks());
        auto sender = m_allNodes.at(node.id);
        auto ownerNode = m_allNodes.at(ownerId);
        bool remote = ownerNode != sender;
        if (remote) {
            node.bytes += envelope.ByteSizeLong();
            ++node.messages;
        }
        Duration delay = remote ? randomDuration(minDelay, maxDelay) : Duration(0);
        schedule(m_now + delay, [this, sender, ownerNode, envelope, remote] {
            if (!ownerNode->up)
                return;
            wire::Envelope reply;
            for (const auto& message : envelope.budget_request().asks()) {
                BudgetRequest request = unpackBudgetRequest(message);
                for (const AccountModel& model : m_accounts) {
                    if (model.id == request.account)
                        packBudgetGrant(ownerNode->budgetOwner->grant(sender->id, request, model.limits, m_now),
                            *reply.mutable_budget_grant()->add_grants());
                }
            }
            ownerNode->bytes += remote ? reply.ByteSizeLong() : 0;
            ownerNode->messages += remote ? 1 : 0;
            schedule(m_now + (remote ? randomDuration(minDelay, maxDelay) : Duration(0)), [this, sender, reply] {
                for (const auto& grant : reply.budget_grant().grants()) {
                    sender->lease->applyGrant(unpackBudgetGrant(grant), m_now);
                    auto pending = std::move(sender->pending[AccountId(grant.account())]);
                    sender->pending.erase(AccountId(grant.account()));
                    for (auto& each : pending)
                        each(BudgetAttempt::AfterGrant);
                }
            });
        });
    }
}

void Fleet::handleArrival(std::size_t index)
{
    const AccountModel& model = m_accounts[index];
    Duration gap(static_cast<std::int64_t>(std::exponential_distribution<double>(model.arrivalRate)(m_random) * 1e6));
    schedule(m_now + gap, [this, index] { handleArrival(index); });
    auto node = m_nodes[m_random() % m_nodes.size()];
    if (!node->up)
        return;
    BudgetUse estimate { Tokens(model.estimatedTokens), 0.0 };
    BudgetUse actual;
    actual.tokens = Tokens(std::uniform_int_distribution<std::int64_t>(model.minTokens, model.maxTokens)(m_random));
    actual.endpointSeconds = std::uniform_real_distribution<double>(0, model.maxEndpointSeconds)(m_random);
    tryAdmit(*node, index, estimate, actual, BudgetAttempt::First, m_now);
}

void Fleet::tryAdmit(Node& node, std::size_t index, const BudgetUse& estimate, const BudgetUse& actual,
    BudgetAttempt attempt, TimePoint arrived)
{
    if (!node.up)
        return;
    const AccountModel& model = m_accounts[index];
    BudgetDecision decision = node.lease->admit(model.id, model.limits, estimate, attempt, m_now);
    if (std::holds_alternative<BudgetPending>(decision)) {
        auto done = std::make_shared<bool>(false);
        auto again = [this, &node, index, estimate, actual, arrived, done](BudgetAttempt next) {
            if (!std::exchange(*done, true))
                tryAdmit(node, index, estimate, actual, next, arrived);
        };
        node.pending[model.id].push_back(again);
        schedule(std::max(m_now, arrived + maxGrantWait), [again] { again(BudgetAttempt::Last); });
        flush(node);
        return;
    }
    m_maxDecisionTime = std::max(m_maxDecisionTime, m_now - arrived);
    if (std::holds_alternative<BudgetAdmitted>(decision))
        startRequest(node, index, estimate, actual);
    else
        ++m_trackers[index].result.refused;
}

void Fleet::startRequest(Node& node, std::size_t index, const BudgetUse& estimate, const BudgetUse& actual)
{
    Tracker& tracker = m_trackers[index];
    ++tracker.result.admitted;
    tracker.result.maxRunning = std::max(tracker.result.maxRunning, ++tracker.running);
    Credits amounts = credits(actual);
    recordUse(index, static_cast<std::size_t>(CreditKind::Requests), 1.0);
    schedule(m_now + randomDuration(Duration(1000), m_accounts[index].maxRunTime),
        [this, &node, index, estimate, actual, amounts] {
            --m_trackers[index].running;
            recordUse(index, static_cast<std::size_t>(CreditKind::Tokens), amounts[1]);
            recordUse(index, static_cast<std::size_t>(CreditKind::Spend), amounts[2]);
            node.lease->release(m_accounts[index].id, estimate, actual);
        });
}

void Fleet::recordUse(std::size_t index, std::size_t kind, double amount)
{
    Tracker& tracker = m_trackers[index];
    auto rates = creditRates(m_accounts[index].limits);
    double elapsed = std::chrono::duration<double>(m_now - tracker.levelTime).count();
    tracker.levelTime = m_now;
    // The level of a leaky bucket equals the maximum excess over all intervals that end now.
    for (std::size_t each = 0; each < creditKinds; ++each)
        tracker.level[each] = std::max(0.0, tracker.level[each] - rates[each].value_or(0) * elapsed);
    tracker.level[kind] += amount;
    tracker.result.used[kind] += amount;
    tracker.result.excess[kind] = std::max(tracker.result.excess[kind], tracker.level[kind]);
}

RunResult Fleet::run(Duration time)
{
    TimePoint end = m_now + time;
    scheduleScenario(time);
    for (std::size_t i = 0; i < m_accounts.size(); ++i)
        handleArrival(i);
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
        result.maxBytesPerNode = std::max(result.maxBytesPerNode, static_cast<double>(node->bytes) / seconds);
    }
    result.maxDecisionTime = m_maxDecisionTime;
    return result;
}

} // namespace wisteriayard::bench
