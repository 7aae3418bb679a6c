#pragma once

#include "wisteriayard/contract.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace wisteriayard {

/// Kinds of credit that a request uses up.
enum class CreditKind {
    Requests,
    Tokens,
    /// Endpoint seconds.
    Spend,
};

inline constexpr std::size_t creditKinds = 3;
/// An amount of each kind of credit, by CreditKind.
using Credits = std::array<double, creditKinds>;

/// How long a lease lasts, counted by its holder from when it asked and by the home from when it answered.
inline constexpr Duration leasePeriod = std::chrono::seconds(2);
/// A lease is renewed this long after it was asked for, so that one lost message does not end it.
inline constexpr Duration leaseRenewal = std::chrono::milliseconds(1500);
/// Shortest time between two asks for one account when its credit is used up early.
inline constexpr Duration earlyRenewal = std::chrono::milliseconds(250);
/// The same if the home had all that was asked for of what is used up. Without any such time, an ask that the home
/// meets and that still does not suffice would be repeated at once without end.
inline constexpr Duration nextRenewal = std::chrono::milliseconds(10);
/// An ask without an answer for so long is given up.
inline constexpr Duration askTimeout = std::chrono::milliseconds(500);
/// Unused requests and tokens are kept for this long at most.
inline constexpr Duration creditBurst = std::chrono::seconds(1);
/// What this long brings may be lent at once: a lease and the time until its use is reported. With 2 s, an account
/// that 30 entries use seldom got 0.73 of its rate.
inline constexpr Duration lentTime = std::chrono::seconds(3);
/// The spend limit is a mean over a day; unused spend is kept for this long at most.
inline constexpr Duration spendBurst = std::chrono::hours(1);

/// Rate of each kind of credit in units per second; an absent one does not limit.
std::array<std::optional<double>, creditKinds> creditRates(const AccountLimits& limits);
/// The entry that lends the budget of an account: the first by rendezvous weight.
/// @param entries live entries, at least one
InstanceId budgetHome(const AccountId& account, const std::vector<InstanceId>& entries);
/// Most credit of a kind that the home keeps for a burst.
double creditCapacity(CreditKind kind, double rate);
/// Credit of a kind that a home begins with when it takes an account over. Without any, accounts within their limits
/// were refused for up to a second after each change of the home.
double startingCredit(CreditKind kind, double rate);
/// Most credit of a kind that is lent to all entries at once.
double lentCapacity(CreditKind kind, double rate);

/// An entry asks the home for the next period of an account.
struct BudgetAsk {
    AccountId account;
    /// Numbers the asks of one entry for one account; the grant repeats it.
    std::uint64_t sequence = 0;
    /// Credit that the entry still holds; below 0 if it used more than it had.
    Credits balance {};
    /// Credit of earlier grants that it gives back.
    Credits returned {};
    /// Credit that it expects to use in a period.
    Credits wanted {};
    std::int64_t running = 0;
    /// Requests that it may run until the answer.
    std::int64_t slots = 0;
    std::int64_t wantedSlots = 0;
};

/// The home's answer.
struct BudgetGrant {
    AccountId account;
    std::uint64_t sequence = 0;
    /// Credit in addition to the balance that the ask stated.
    Credits credits {};
    /// Requests that the entry may run at once.
    std::int64_t slots = 0;
    /// When more can be had, if less than wanted was granted.
    Duration retryAfter { 0 };
    /// The entries want more slots than there are, so a free one should be given back soon.
    bool contended = false;
};

/// Home entry of accounts: owns the budget of each account and lends it to entries. No input or output.
class BudgetHome {
public:
    /// @param now start of the process: an earlier home may have lent until now
    BudgetHome(InstanceId self, TimePoint now)
        : m_self(std::move(self))
        , m_members { m_self }
        , m_membersSince(now)
    {
    }

    /// The set of live entries changed. Accounts that are new here may have been lent by another home until now.
    void membersChanged(std::vector<InstanceId> members, TimePoint now);
    /// Answers an ask.
    BudgetGrant ask(const InstanceId& entry, const BudgetAsk& ask, const AccountLimits& limits, TimePoint now);
    /// Drops accounts without a lease whose credit is full again.
    void tick(TimePoint now);

    std::size_t accounts() const { return m_accounts.size(); }

private:
    struct Lease {
        Credits lent {};
        Credits wanted {};
        std::int64_t slots = 0;
        std::int64_t wantedSlots = 0;
        TimePoint expires {};
    };
    struct Account {
        Credits available {};
        TimePoint filledAt {};
        TimePoint since {};
        /// It has got its starting credit.
        bool started = false;
        std::map<InstanceId, Lease> leases;
    };

    Account& account(const AccountId& id, TimePoint now);
    static void refill(Account& account, const AccountLimits& limits, TimePoint now);
    static void lendCredits(
        Account& account, Lease& lease, const BudgetAsk& ask, const AccountLimits& limits, BudgetGrant& grant);
    void lendSlots(Account& account, Lease& lease, const BudgetAsk& ask, std::int64_t limit, TimePoint now,
        BudgetGrant& grant) const;

    InstanceId m_self;
    std::vector<InstanceId> m_members;
    std::map<AccountId, Account> m_accounts;
    TimePoint m_membersSince;
};

/// The request may run; it counts as running until it is released.
struct BudgetAdmitted { };
/// A limit of the account is used up.
struct BudgetRefused {
    Duration retryAfter { 0 };
};
/// No credit is here, but the home was not asked recently: send the asks that are due and decide again when the
/// grant is in, or after firstGrantWait.
struct BudgetPending { };

/// Which try of a request this is.
enum class BudgetAttempt {
    First,
    /// It was pending and a grant came in.
    AfterGrant,
    /// It was pending for firstGrantWait and is decided now.
    Last,
};

using BudgetDecision = std::variant<BudgetAdmitted, BudgetRefused, BudgetPending>;

/// Longest wait of a request for a grant; above a round trip between regions.
inline constexpr Duration firstGrantWait = std::chrono::milliseconds(100);

/// What a request will use as far as is known at its admission.
struct BudgetUse {
    Tokens tokens { 0 };
    double endpointSeconds = 0;
};

/// Spends leased shares of the accounts' budgets at one entry. No input or output.
class BudgetLease {
public:
    /// An ask and the entry that it goes to.
    struct AddressedAsk {
        InstanceId home;
        BudgetAsk ask;
    };

    explicit BudgetLease(InstanceId self)
        : m_self(std::move(self))
        , m_members { m_self }
    {
    }

    /// The set of live entries changed. It is not empty; an entry that leaves is not one of them.
    void membersChanged(std::vector<InstanceId> members);
    /// Decides about a request and reserves what it is estimated to use.
    BudgetDecision admit(const AccountId& account, const AccountLimits& limits, const BudgetUse& estimate,
        BudgetAttempt attempt, TimePoint now);
    /// A request ended: corrects the reservation to what was used.
    void release(const AccountId& account, const BudgetUse& estimate, const BudgetUse& used);
    /// Takes in a grant; one that answers no open ask is dropped.
    void granted(const BudgetGrant& grant, TimePoint now);
    /// Asks that are due. Each counts as sent now.
    std::vector<AddressedAsk> dueAsks(TimePoint now);

    /// Number of accounts in use here.
    std::size_t accounts() const { return m_accounts.size(); }

private:
    struct Account {
        AccountLimits limits;
        InstanceId home;
        /// Place of this entry among all by rendezvous weight for the account, from 0.
        std::size_t rank = 0;
        Credits balance {};
        Credits used {};
        Credits expected {};
        std::int64_t running = 0;
        std::int64_t peakRunning = 0;
        std::int64_t slots = 0;
        std::uint64_t sequence = 0;
        bool askOpen = false;
        bool askWanted = false;
        bool homeSilent = false;
        bool fallback = false;
        bool contended = false;
        /// What the open ask wants in addition to the balance, and whether the last grant held all of it: then the
        /// home may have more of that kind.
        Credits missing {};
        std::array<bool, creditKinds> met {};
        bool slotsMet = false;
        std::int64_t missingSlots = 0;
        /// The next ask need not wait for earlyRenewal.
        bool askSoon = false;
        TimePoint askedAt {};
        TimePoint leaseEnd {};
        TimePoint filledAt {};
        TimePoint lastDemand {};
        TimePoint retryAt {};
    };

    void locate(const AccountId& id, Account& account) const;
    void passTime(Account& account, TimePoint now) const;
    std::int64_t slots(const Account& account) const;
    BudgetAsk makeAsk(const AccountId& id, Account& account, TimePoint now) const;
    void stateWants(BudgetAsk& ask, Account& account, double elapsed) const;
    static void noteDemand(Account& account, const Credits& use);
    /// Whether there is credit of a kind for a use.
    static bool hasCredit(const Account& account, const Credits& use, std::size_t kind);
    /// Whether there is credit and a slot for a use.
    bool suffices(const Account& account, const Credits& use) const;
    /// Whether the home may have more of everything that is used up here.
    bool mayHaveMore(const Account& account, const Credits& use) const;
    bool slotFree(const Account& account) const;
    static bool needsRenewal(const Account& account);
    Duration retryAfter(const Account& account, TimePoint now) const;

    InstanceId m_self;
    std::vector<InstanceId> m_members;
    std::map<AccountId, Account> m_accounts;
};

} // namespace wisteriayard
