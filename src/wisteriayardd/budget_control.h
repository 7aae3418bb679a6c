#pragma once

#include "peer_links.h"
#include "wisteriayard/limits.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace wisteriayard {

/// Enforces the limits of accounts over all entries: holds requests until the account's budget owner has granted
/// enough, and grants the budgets of the accounts that this entry owns. Control thread only.
class BudgetControl {
public:
    struct Handlers {
        /// Returns the limits of an account's contract; nothing if it has no contract.
        std::function<std::optional<AccountLimits>(const AccountId&)> limitsOf;
        /// Called when a request may run; its reservation is held until requestEnded().
        std::function<void(const RequestId&)> admitted;
        /// Called when a limit is used up, with the time after which to retry.
        std::function<void(const RequestId&, Duration)> refused;
    };

    BudgetControl(InstanceId self, PeerLinks& peers, Handlers handlers, TimePoint now);

    /// Sets the live entries after a change.
    /// @param members not empty
    void membersChanged(const std::vector<InstanceId>& members, TimePoint now);
    /// Admits or refuses a request at once or within maxGrantWait, by calling one of the handlers.
    void admit(const RequestId& id, const AccountId& account, const AccountLimits& limits, const BudgetUse& estimate,
        TimePoint now);
    /// Releases the reservation of a request that ended, or stops waiting for a decision about it.
    /// @param used actual usage
    void requestEnded(const RequestId& id, const BudgetUse& used);
    /// Handles budget requests and grants of other entries; ignores other messages.
    void handleMessage(const InstanceId& from, const wire::Envelope& envelope, TimePoint now);
    /// Renews budget leases and decides about requests that have waited for maxGrantWait.
    void tick(TimePoint now);

    /// Number of accounts that this entry owns and has received budget requests for.
    std::size_t ownedAccounts() const { return m_owner.accounts(); }

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
    void sendRequests(TimePoint now);
    wire::Envelope replyTo(const InstanceId& from, const wire::BudgetRequest& request, TimePoint now);
    void applyGrants(const wire::BudgetGrant& message, TimePoint now);

    InstanceId m_self;
    PeerLinks& m_peers;
    Handlers m_handlers;
    BudgetLease m_lease;
    BudgetOwner m_owner;
    std::vector<InstanceId> m_members;
    std::map<AccountId, std::vector<Waiter>> m_waiting;
    std::map<RequestId, Reservation> m_reservations;
};

} // namespace wisteriayard
