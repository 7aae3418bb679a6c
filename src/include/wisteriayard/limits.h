#pragma once

#include "wisteriayard/contract.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace wisteriayard {

/// Kinds of credit that a request consumes.
enum class CreditKind {
    Requests,
    Tokens,
    /// Endpoint time in seconds.
    Spend,
};

inline constexpr std::size_t creditKinds = 3;
/// An amount of each kind of credit, indexed by CreditKind.
using Credits = std::array<double, creditKinds>;

/// Duration of a lease. The holder counts it from sending its request, the budget owner from granting it, so the lease
/// ends at the holder first.
inline constexpr Duration leasePeriod = std::chrono::seconds(2);
/// Time from one budget request to the next while credit suffices. It leaves time to repeat a lost message before the
/// lease ends.
inline constexpr Duration leaseRenewalInterval = std::chrono::milliseconds(1500);
/// Minimum time between two budget requests for one account when its credit is used up before the renewal.
inline constexpr Duration minRenewalInterval = std::chrono::milliseconds(250);
/// The same if the last grant held all that was requested of the kinds that are used up. Without a minimum, a request
/// that is granted in full but still does not suffice would be repeated in an endless loop.
inline constexpr Duration minRenewalIntervalAfterFullGrant = std::chrono::milliseconds(10);
/// Time after which a budget request without a grant is abandoned.
inline constexpr Duration budgetRequestTimeout = std::chrono::milliseconds(500);
/// Unused credit for requests and tokens accumulates for this time at most.
inline constexpr Duration creditBurst = std::chrono::seconds(1);
/// Credit that accrues in this time may be outstanding at once: the duration of a lease plus the time until its use is
/// reported. With 2 s, an account with few requests at each of 30 entries got 0.73 of its rate.
inline constexpr Duration outstandingCreditPeriod = std::chrono::seconds(3);
/// Unused spend credit accumulates for this time at most; the spend limit itself is a mean over a day.
inline constexpr Duration spendBurst = std::chrono::hours(1);

/// Returns the rate of each kind of credit in units per second; a kind without a rate is not limited.
std::array<std::optional<double>, creditKinds> creditRates(const AccountLimits& limits);
/// Returns the entry that owns the budget of an account: the one with the highest rendezvous weight.
/// @param entries live entries, at least one
InstanceId budgetOwner(const AccountId& account, const std::vector<InstanceId>& entries);
/// Returns the maximum credit of a kind that accumulates at the budget owner, which bounds a burst.
double creditCapacity(CreditKind kind, double rate);
/// Returns the credit of a kind that a new budget owner starts with. Without it, accounts within their limits were
/// refused for up to a second after each change of the owner.
double initialCredit(CreditKind kind, double rate);
/// Returns the maximum credit of a kind that is granted to all entries together and not yet reported as used.
double maxOutstandingCredit(CreditKind kind, double rate);

/// Request of an entry to the budget owner for credit and slots of one account for the next lease period.
struct BudgetRequest {
    AccountId account;
    /// Number of the request among those of one entry for one account; the grant repeats it.
    std::uint64_t sequence = 0;
    /// Credit that the entry still holds; negative if it used more than was granted.
    Credits balance {};
    /// Unused credit of earlier grants that the entry returns.
    Credits returned {};
    /// Credit that the entry expects to use in a lease period.
    Credits wanted {};
    /// Requests that run at the entry.
    std::int64_t running = 0;
    /// Requests that the entry may run at once until the grant arrives.
    std::int64_t slots = 0;
    /// Requests that the entry expects to run at once in a lease period.
    std::int64_t wantedSlots = 0;
};

/// Reply of the budget owner to a BudgetRequest.
struct BudgetGrant {
    AccountId account;
    std::uint64_t sequence = 0;
    /// Credit in addition to the balance stated in the request.
    Credits credits {};
    /// Requests that the entry may run at once.
    std::int64_t slots = 0;
    /// Time until more credit is available, if less than requested was granted.
    Duration retryAfter { 0 };
    /// The entries want at least as many slots as the limit allows, so a free slot is to be returned at once.
    bool contended = false;
};

/// Owns the budgets of accounts and grants credit and slots from them to the entries. Performs no I/O.
class BudgetOwner {
public:
    /// @param now start of the process: a previous owner may have granted credit until now
    BudgetOwner(InstanceId self, TimePoint now)
        : m_self(std::move(self))
        , m_members { m_self }
        , m_membersSince(now)
    {
    }

    /// Sets the live entries. Accounts that this entry owns from now on may have been granted by a previous owner until
    /// now.
    void membersChanged(std::vector<InstanceId> members, TimePoint now);
    /// Grants credit and slots for a request.
    BudgetGrant grant(
        const InstanceId& entry, const BudgetRequest& request, const AccountLimits& limits, TimePoint now);
    /// Removes accounts that have no lease and whose credit is full again.
    void tick(TimePoint now);

    std::size_t accounts() const { return m_accounts.size(); }

private:
    struct Lease {
        Credits granted {};
        Credits wanted {};
        std::int64_t slots = 0;
        std::int64_t wantedSlots = 0;
        TimePoint expires {};
    };
    struct Account {
        Credits available {};
        TimePoint refilledAt {};
        TimePoint ownedSince {};
        /// The initial credit has been added.
        bool initialized = false;
        std::map<InstanceId, Lease> leases;
    };

    Account& account(const AccountId& id, TimePoint now);
    static void refill(Account& account, const AccountLimits& limits, TimePoint now);
    static void grantCredits(
        Account& account, Lease& lease, const BudgetRequest& request, const AccountLimits& limits, BudgetGrant& grant);
    void grantSlots(Account& account, Lease& lease, const BudgetRequest& request, std::int64_t limit, TimePoint now,
        BudgetGrant& grant) const;

    InstanceId m_self;
    std::vector<InstanceId> m_members;
    std::map<AccountId, Account> m_accounts;
    TimePoint m_membersSince;
};

/// The request may run; it counts as running until it is released.
struct BudgetAdmitted { };
/// A limit of the account is exhausted.
struct BudgetRefused {
    Duration retryAfter { 0 };
};
/// The entry lacks credit or a slot, but the budget owner may have more: the caller sends the requests that are due and
/// decides again when the grant arrives, or after maxGrantWait.
struct BudgetPending { };

/// Stage at which a request is decided.
enum class BudgetAttempt {
    First,
    /// The decision was pending and a grant has arrived.
    AfterGrant,
    /// The decision was pending for maxGrantWait; it must not stay pending.
    Last,
};

using BudgetDecision = std::variant<BudgetAdmitted, BudgetRefused, BudgetPending>;

/// Maximum time that a request waits for a grant; longer than a round trip between regions.
inline constexpr Duration maxGrantWait = std::chrono::milliseconds(100);

/// Tokens and endpoint time of a request, estimated at its admission or measured at its end.
struct BudgetUse {
    Tokens tokens { 0 };
    double endpointSeconds = 0;
};

/// Admits requests at one entry against the credit and slots that the budget owners granted to it. Performs no I/O.
class BudgetLease {
public:
    /// A budget request and the entry that it is sent to.
    struct AddressedRequest {
        InstanceId owner;
        BudgetRequest request;
    };

    explicit BudgetLease(InstanceId self)
        : m_self(std::move(self))
        , m_members { m_self }
    {
    }

    /// Sets the live entries: at least one, without those that are shutting down.
    void membersChanged(std::vector<InstanceId> members);
    /// Decides whether a request may run; if so, reserves its estimated use.
    BudgetDecision admit(const AccountId& account, const AccountLimits& limits, const BudgetUse& estimate,
        BudgetAttempt attempt, TimePoint now);
    /// Ends an admitted request and corrects its reservation to the actual use.
    void release(const AccountId& account, const BudgetUse& estimate, const BudgetUse& used);
    /// Applies a grant; ignores one that does not belong to the pending request.
    void applyGrant(const BudgetGrant& grant, TimePoint now);
    /// Returns the budget requests that are due and marks them as sent at `now`.
    std::vector<AddressedRequest> dueRequests(TimePoint now);

    /// Number of accounts with state at this entry.
    std::size_t accounts() const { return m_accounts.size(); }

private:
    struct Account {
        AccountLimits limits;
        InstanceId owner;
        /// Rank of this entry among the live entries by rendezvous weight for the account, from 0.
        std::size_t rank = 0;
        Credits balance {};
        /// Use since the last budget request, and the use expected in a lease period.
        Credits used {};
        Credits expected {};
        std::int64_t running = 0;
        std::int64_t peakRunning = 0;
        std::int64_t slots = 0;
        std::uint64_t sequence = 0;
        bool requestPending = false;
        bool requestNeeded = false;
        bool ownerUnresponsive = false;
        /// Without a lease and with an unresponsive owner, the entry uses an equal share of the limits.
        bool fallback = false;
        bool contended = false;
        /// Credit beyond the balance, and slots, of the last budget request, and whether the last grant held all of a
        /// kind: if so, the budget owner may have more of it.
        Credits requestedCredits {};
        std::array<bool, creditKinds> fullyGranted {};
        bool slotsFullyGranted = false;
        std::int64_t requestedSlots = 0;
        /// The next budget request waits for minRenewalIntervalAfterFullGrant instead of minRenewalInterval.
        bool renewalUrgent = false;
        TimePoint requestedAt {};
        TimePoint grantedAt {};
        TimePoint leaseEnd {};
        TimePoint refilledAt {};
        TimePoint lastDemand {};
        TimePoint retryAt {};
    };

    void updateOwner(const AccountId& id, Account& account) const;
    /// Expires the pending request and the lease, and accrues the fallback share.
    void advanceTo(Account& account, TimePoint now) const;
    std::int64_t slots(const Account& account) const;
    BudgetRequest makeRequest(const AccountId& id, Account& account, TimePoint now) const;
    void setWantedAmounts(BudgetRequest& request, Account& account, double elapsed) const;
    static void recordDemand(Account& account, const Credits& use);
    /// Returns whether the balance of one kind suffices for a use.
    static bool hasCredit(const Account& account, const Credits& use, std::size_t kind);
    /// Returns whether credit and slots suffice for a use.
    bool canAdmit(const Account& account, const Credits& use) const;
    /// Returns whether the budget owner may have more of every kind that does not suffice here.
    bool ownerMayHaveMore(const Account& account, const Credits& use) const;
    bool slotFree(const Account& account) const;
    static bool needsRenewal(const Account& account);
    Duration retryAfter(const Account& account, TimePoint now) const;

    InstanceId m_self;
    std::vector<InstanceId> m_members;
    std::map<AccountId, Account> m_accounts;
};

} // namespace wisteriayard
