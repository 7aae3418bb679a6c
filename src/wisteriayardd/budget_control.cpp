#include "budget_control.h"

#include "budget_messages.h"

#include <map>

namespace wisteriayard {

BudgetControl::BudgetControl(InstanceId self, PeerLinks& peers, Handlers handlers, TimePoint now)
    : m_self(self)
    , m_peers(peers)
    , m_handlers(std::move(handlers))
    , m_lease(self)
    , m_owner(std::move(self), now)
    , m_members { m_self }
{
}

void BudgetControl::membersChanged(const std::vector<InstanceId>& members, TimePoint now)
{
    if (members == m_members)
        return;
    m_members = members;
    m_lease.membersChanged(members);
    m_owner.membersChanged(members, now);
}

void BudgetControl::admit(const RequestId& id, const AccountId& account, const AccountLimits& limits,
    const BudgetUse& estimate, TimePoint now)
{
    decide(account, { id, limits, estimate, now + maxGrantWait }, BudgetAttempt::First, now);
    // If this entry owns the account's budget, its own request is granted here and the decision made at once.
    if (m_waiting.count(account))
        sendRequests(now);
}

void BudgetControl::decide(const AccountId& account, Waiter waiter, BudgetAttempt attempt, TimePoint now)
{
    BudgetDecision decision = m_lease.admit(account, waiter.limits, waiter.estimate, attempt, now);
    if (std::holds_alternative<BudgetPending>(decision)) {
        m_waiting[account].push_back(std::move(waiter));
        return;
    }
    if (auto* refused = std::get_if<BudgetRefused>(&decision)) {
        m_handlers.refused(waiter.id, refused->retryAfter);
        return;
    }
    m_reservations[waiter.id] = { account, waiter.estimate };
    m_handlers.admitted(waiter.id);
}

void BudgetControl::decideWaiting(const AccountId& account, BudgetAttempt attempt, TimePoint now)
{
    auto it = m_waiting.find(account);
    if (it == m_waiting.end())
        return;
    std::vector<Waiter> due;
    std::vector<Waiter> rest;
    for (Waiter& waiter : it->second)
        (attempt == BudgetAttempt::AfterGrant || waiter.deadline <= now ? due : rest).push_back(std::move(waiter));
    it->second = std::move(rest);
    if (it->second.empty())
        m_waiting.erase(it);
    for (Waiter& waiter : due)
        decide(account, std::move(waiter), attempt, now);
}

void BudgetControl::requestEnded(const RequestId& id, const BudgetUse& used)
{
    auto reservation = m_reservations.find(id);
    if (reservation != m_reservations.end()) {
        m_lease.release(reservation->second.account, reservation->second.estimate, used);
        m_reservations.erase(reservation);
        return;
    }
    for (auto& [account, waiters] : m_waiting)
        std::erase_if(waiters, [&](const Waiter& waiter) { return waiter.id == id; });
    std::erase_if(m_waiting, [](const auto& each) { return each.second.empty(); });
}

void BudgetControl::tick(TimePoint now)
{
    m_owner.tick(now);
    sendRequests(now);
    std::vector<AccountId> accounts;
    for (const auto& [account, waiters] : m_waiting)
        accounts.push_back(account);
    for (const AccountId& account : accounts)
        decideWaiting(account, BudgetAttempt::Last, now);
}

void BudgetControl::sendRequests(TimePoint now)
{
    std::map<InstanceId, wire::Envelope> requests;
    for (const auto& due : m_lease.dueRequests(now)) {
        wire::BudgetRequest& request = *requests[due.owner].mutable_budget_request();
        request.set_sender(m_self.value());
        packBudgetRequest(due.request, *request.add_asks());
    }
    for (const auto& [owner, envelope] : requests) {
        if (owner == m_self)
            applyGrants(replyTo(m_self, envelope.budget_request(), now).budget_grant(), now);
        else
            m_peers.sendRequest(owner, envelope, now);
    }
}

wire::Envelope BudgetControl::replyTo(const InstanceId& from, const wire::BudgetRequest& request, TimePoint now)
{
    wire::Envelope envelope;
    wire::BudgetGrant& reply = *envelope.mutable_budget_grant();
    for (const wire::AccountAsk& message : request.asks()) {
        BudgetRequest accountRequest = unpackBudgetRequest(message);
        auto limits = m_handlers.limitsOf(accountRequest.account);
        if (limits)
            packBudgetGrant(m_owner.grant(from, accountRequest, *limits, now), *reply.add_grants());
    }
    return envelope;
}

void BudgetControl::applyGrants(const wire::BudgetGrant& message, TimePoint now)
{
    for (const wire::AccountGrant& each : message.grants()) {
        BudgetGrant grant = unpackBudgetGrant(each);
        m_lease.applyGrant(grant, now);
        decideWaiting(grant.account, BudgetAttempt::AfterGrant, now);
    }
}

void BudgetControl::handleMessage(const InstanceId& from, const wire::Envelope& envelope, TimePoint now)
{
    if (envelope.has_budget_request())
        m_peers.sendReply(from, replyTo(from, envelope.budget_request(), now));
    else if (envelope.has_budget_grant())
        applyGrants(envelope.budget_grant(), now);
}

} // namespace wisteriayard
