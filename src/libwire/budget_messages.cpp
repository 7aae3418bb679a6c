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
        for (double each : credits) {
            auto amount = static_cast<float>(each);
            // A rounded-up amount would let an entry spend more than the home counts.
            if (static_cast<double>(amount) > each)
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
        constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, most));
    }

} // namespace

void packAsk(const BudgetRequest& ask, wire::AccountAsk& message)
{
    message.set_account(ask.account.value());
    message.set_sequence(ask.sequence);
    packAmounts(ask.balance, message.mutable_balance());
    packAmounts(ask.wanted, message.mutable_wanted());
    if (ask.returned != Credits {})
        packAmounts(ask.returned, message.mutable_returned());
    message.set_running(packCount(ask.running));
    message.set_slots(packCount(ask.slots));
    message.set_wanted_slots(packCount(ask.wantedSlots));
}

BudgetRequest unpackAsk(const wire::AccountAsk& message)
{
    BudgetRequest ask;
    ask.account = AccountId(message.account());
    ask.sequence = message.sequence();
    ask.balance = unpackAmounts(message.balance());
    ask.wanted = unpackAmounts(message.wanted());
    ask.returned = unpackAmounts(message.returned());
    ask.running = message.running();
    ask.slots = message.slots();
    ask.wantedSlots = message.wanted_slots();
    return ask;
}

void packGrant(const BudgetGrant& grant, wire::AccountGrant& message)
{
    message.set_account(grant.account.value());
    message.set_sequence(grant.sequence);
    packAmounts(grant.credits, message.mutable_credits());
    message.set_slots(packCount(grant.slots));
    message.set_contended(grant.contended);
    message.set_retry_after_ms(packCount(grant.retryAfter.count() / microsecondsPerMillisecond));
}

BudgetGrant unpackGrant(const wire::AccountGrant& message)
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
