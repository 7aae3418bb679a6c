#include "budget_messages.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wisteriayard {

namespace {

    using Amounts = google::protobuf::RepeatedField<float>;

    constexpr std::int64_t microsecondsPerMillisecond = 1000;

    void packAmounts(const Credits& credits, Amounts* amounts)
    {
        for (double credit : credits) {
            auto amount = static_cast<float>(credit);
            // Rounds down: an amount rounded up would let an entry spend more than the budget owner has accounted for.
            if (static_cast<double>(amount) > credit)
                amount = std::nextafter(amount, -std::numeric_limits<float>::infinity());
            amounts->Add(amount);
        }
    }

    Credits unpackAmounts(const Amounts& amounts)
    {
        Credits credits {};
        for (std::size_t kind = 0; kind < creditKinds && kind < static_cast<std::size_t>(amounts.size()); ++kind) {
            double amount = static_cast<double>(amounts[static_cast<int>(kind)]);
            credits[kind] = std::isfinite(amount) ? amount : 0.0;
        }
        return credits;
    }

    std::uint32_t packCount(std::int64_t count)
    {
        constexpr std::int64_t maxCount = std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, maxCount));
    }

} // namespace

void packBudgetRequest(const BudgetRequest& request, wire::AccountAsk& message)
{
    message.set_account(request.account.value());
    message.set_sequence(request.sequence);
    packAmounts(request.balance, message.mutable_balance());
    packAmounts(request.wanted, message.mutable_wanted());
    if (request.returned != Credits {})
        packAmounts(request.returned, message.mutable_returned());
    message.set_running(packCount(request.running));
    message.set_slots(packCount(request.slots));
    message.set_wanted_slots(packCount(request.wantedSlots));
}

BudgetRequest unpackBudgetRequest(const wire::AccountAsk& message)
{
    BudgetRequest request;
    request.account = AccountId(message.account());
    request.sequence = message.sequence();
    request.balance = unpackAmounts(message.balance());
    request.wanted = unpackAmounts(message.wanted());
    request.returned = unpackAmounts(message.returned());
    request.running = message.running();
    request.slots = message.slots();
    request.wantedSlots = message.wanted_slots();
    return request;
}

void packBudgetGrant(const BudgetGrant& grant, wire::AccountGrant& message)
{
    message.set_account(grant.account.value());
    message.set_sequence(grant.sequence);
    packAmounts(grant.credits, message.mutable_credits());
    message.set_slots(packCount(grant.slots));
    message.set_contended(grant.contended);
    message.set_retry_after_ms(packCount(grant.retryAfter.count() / microsecondsPerMillisecond));
}

BudgetGrant unpackBudgetGrant(const wire::AccountGrant& message)
{
    BudgetGrant grant;
    grant.account = AccountId(message.account());
    grant.sequence = message.sequence();
    grant.credits = unpackAmounts(message.credits());
    for (double& amount : grant.credits)
        amount = std::max(amount, 0.0);
    grant.slots = message.slots();
    grant.contended = message.contended();
    grant.retryAfter = Duration(message.retry_after_ms() * microsecondsPerMillisecond);
    return grant;
}

} // namespace wisteriayard
