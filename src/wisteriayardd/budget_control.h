#pragma once

#include "peer_links.h"
#include "wisteriayard/limits.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace wisteriayard {

/// Holds the limits of accounts over all entries: keeps requests until their account's home has lent enough, and
/// lends the budgets of the accounts that this entry is home of. Control thread only.
class BudgetControl {
public:
    struct Handlers {
        /// Finds the limits of an account's contract; absent without a contract.
        std::function<std::optional<AccountLimits>(const AccountId&)> limitsOf;
        /// The request may run; it holds its reservation until ended().
        std::function<void(const RequestId&)> admitted;
        /// A limit is used up; the time tells when to come back.
        std::function<void(const RequestId&, Duration)> refused;
    };

    BudgetControl(InstanceId self, PeerLinks& peers, Handlers handlers, TimePoint now);

    /// The live entries changed; not empty.
    void membersChanged(const std::vector<InstanceId>& members, TimePoint now);
    /// Decides about a request, at once or within maxGrantWait; one of the handlers is called then.
    void request(const RequestId& id, const AccountId& account, const AccountLimits& limits, const BudgetUse& estimate,
        TimePoint now);
    /// The request ended, decided or not.
    /// @param used what it used
    void ended(const RequestId& id, const BudgetUse& used);
    /// A message of another entry; others than asks and grants are left alone.
    void received(const InstanceId& from, const wire::Envelope& envelope, TimePoint now);
    /// Time passes: renews leases and decides what has waited long enough.
    void tick(TimePoint now);

    /// Number of accounts that this entry is home of and has asks for.
    std::size_t homedAccounts() const { return m_home.accounts(); }

private:
    struct Waiter {
        RequestId id;
        AccountLimits limits;
        BudgetUse estimate;
        TimePoint deadline;
    };
    struct Reservation {
        AccountId account;
        BudgetUse estimate;
    };

    void decide(const AccountId& account, Waiter waiter, BudgetAttempt attempt, TimePoint now);
    void decideWaiting(const AccountId& account, BudgetAttempt attempt, TimePoint now);
    void sendAsks(TimePoint now);
    wire::Envelope answer(const InstanceId& from, const wire::BudgetRequest& request, TimePoint now);
    void take(const wire::BudgetGrant& message, TimePoint now);

    InstanceId m_self;
    PeerLinks& m_peers;
    Handlers m_handlers;
    BudgetLease m_lease;
    BudgetOwner m_home;
    std::vector<InstanceId> m_members;
    std::map<AccountId, std::vector<Waiter>> m_waiting;
    std::map<RequestId, Reservation> m_reservations;
};

} // namespace wisteriayard
