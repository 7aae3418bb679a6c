#include "wisteriayard/limits.h"

#include "wisteriayard/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    constexpr double secondsPerDay = 86400;
    /// Factor on the use of the last period in a budget request, so that rising demand is not refused at once.
    constexpr double headroom = 1.25;
    /// Use measured over less than this fraction of a lease period is scaled up as if it covered that fraction.
    constexpr double minPeriodFraction = 0.5;
    /// A grant of at least this fraction counts as full, because amounts are rounded when they are serialized.
    constexpr double fullGrantFraction = 0.999;
    /// Number of requests in a period, or at once, up to which an entry requests no headroom. Headroom at so few
    /// requests would leave credit unused at many entries: at 300 entries it took up a tenth of a limit.
    constexpr std::int64_t maxRequestsWithoutHeadroom = 3;
    /// Fraction of the free budget that one request may take whatever the other entries want. With proportional shares
    /// only, an account with few requests at each of many entries could never use its whole budget.
    constexpr double minShareOfFree = 0.25;
    /// Time without requests after which an entry removes an account.
    constexpr Duration idleAccountTimeout = std::chrono::seconds(10);
    constexpr std::size_t requests = static_cast<std::size_t>(CreditKind::Requests);
    constexpr std::size_t tokens = static_cast<std::size_t>(CreditKind::Tokens);
    constexpr std::size_t spend = static_cast<std::size_t>(CreditKind::Spend);

    Duration fromSeconds(double time)
    {
        // A rate near 0 must not overflow the duration.
        return Duration(static_cast<std::int64_t>(std::min(time, secondsPerDay) * 1e6));
    }

    double capacity(std::size_t kind, double rate) { return creditCapacity(static_cast<CreditKind>(kind), rate); }

    Credits asCredits(const BudgetUse& use)
    {
        return { 1.0, static_cast<double>(use.tokens.value()), use.endpointSeconds };
    }

    /// Slots that an entry may use without a budget owner; those of all entries add up to the limit.
    std::int64_t equalSlotShare(std::int64_t limit, std::size_t entries, std::size_t rank)
    {
        auto count = static_cast<std::int64_t>(std::max<std::size_t>(entries, 1));
        return limit / count + (static_cast<std::int64_t>(rank) < limit % count ? 1 : 0);
    }

} // namespace

std::array<std::optional<double>, creditKinds> creditRates(const AccountLimits& limits)
{
    std::array<std::optional<double>, creditKinds> rates { limits.requestsPerSecond, limits.tokensPerSecond, {} };
    if (limits.spendEndpointSecondsPerDay)
        rates[spend] = *limits.spendEndpointSecondsPerDay / secondsPerDay;
    return rates;
}

InstanceId budgetOwner(const AccountId& account, const std::vector<InstanceId>& entries)
{
    return rendezvousTop(account.value(), entries, 1).at(0);
}

double creditCapacity(CreditKind kind, double rate)
{
    if (kind == CreditKind::Spend)
        return rate * toSeconds(spendBurst);
    // With less than one request the limit could never be used.
    return std::max(1.0, rate * toSeconds(creditBurst));
}

double initialCredit(CreditKind kind, double rate)
{
    // An hour of spend for each change of the owner would add up over a day.
    return kind == CreditKind::Spend ? std::max(1.0, rate * toSeconds(outstandingCreditPeriod))
                                     : creditCapacity(kind, rate);
}

double maxOutstandingCredit(CreditKind kind, double rate)
{
    if (kind == CreditKind::Spend)
        return creditCapacity(kind, rate);
    return std::max(1.0, rate * toSeconds(outstandingCreditPeriod));
}

void BudgetOwner::membersChanged(std::vector<InstanceId> members, TimePoint now)
{
    m_members = std::move(members);
    m_membersSince = now;
    // Other entries own the budgets of these accounts now; this state would be stale if ownership returned.
    std::erase_if(m_accounts, [this](const auto& each) { return budgetOwner(each.first, m_members) != m_self; });
}

BudgetOwner::Account& BudgetOwner::account(const AccountId& id, TimePoint now)
{
    auto [it, inserted] = m_accounts.try_emplace(id);
    if (inserted) {
        // A previous owner may have granted credit until the last change of members, so credit accrues from then on.
        // If this entry is not the owner by its own member list, the requester has a newer list: credit accrues from
        // now on.
        TimePoint start = budgetOwner(id, m_members) == m_self ? m_membersSince : now;
        it->second.refilledAt = start;
        it->second.ownedSince = start;
    }
    std::erase_if(it->second.leases, [&](const auto& each) { return each.second.expires <= now; });
    return it->second;
}

void BudgetOwner::refill(Account& account, const AccountLimits& limits, TimePoint now)
{
    auto rates = creditRates(limits);
    double passed = toSeconds(now - account.refilledAt);
    account.refilledAt = now;
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        if (!rates[kind])
            continue;
        double most = capacity(kind, *rates[kind]);
        if (!account.initialized)
            account.available[kind] = initialCredit(static_cast<CreditKind>(kind), *rates[kind]);
        // Spend accumulates for an hour, so outstanding credit counts towards the maximum: this bounds the excess of a
        // day to the spend of one hour.
        if (kind == spend) {
            for (const auto& [id, lease] : account.leases)
                most -= lease.granted[kind];
        }
        account.available[kind] = std::clamp(account.available[kind] + *rates[kind] * passed, 0.0, std::max(0.0, most));
    }
    account.initialized = true;
}

BudgetGrant BudgetOwner::grant(
    const InstanceId& entry, const BudgetRequest& request, const AccountLimits& limits, TimePoint now)
{
    Account& state = account(request.account, now);
    refill(state, limits, now);
    Lease& lease = state.leases[entry];
    lease.wanted = request.wanted;
    lease.wantedSlots = request.wantedSlots;
    lease.expires = now + leasePeriod;
    BudgetGrant grant;
    grant.account = request.account;
    grant.sequence = request.sequence;
    grantCredits(state, lease, request, limits, grant);
    if (limits.concurrent)
        grantSlots(state, lease, request, *limits.concurrent, now, grant);
    return grant;
}

void BudgetOwner::grantCredits(
    Account& account, Lease& lease, const BudgetRequest& request, const AccountLimits& limits, BudgetGrant& grant)
{
    auto rates = creditRates(limits);
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        if (!rates[kind])
            continue;
        // The request states what is left of earlier grants, which also discounts a grant that was lost.
        lease.granted[kind] = std::max(0.0, request.balance[kind]);
        account.available[kind]
            = std::min(capacity(kind, *rates[kind]), account.available[kind] + std::max(0.0, request.returned[kind]));
        double wantedByAll = 0;
        double outstanding = 0;
        for (const auto& [id, each] : account.leases) {
            wantedByAll += each.wanted[kind];
            outstanding += each.granted[kind];
        }
        double missing = std::max(0.0, request.wanted[kind] - request.balance[kind]);
        // Fractions of a request can't be spent, and fractions left at many entries would use up the budget.
        if (kind == requests)
            missing = std::floor(missing);
        double free = std::min(
            account.available[kind], maxOutstandingCredit(static_cast<CreditKind>(kind), *rates[kind]) - outstanding);
        double proportional = wantedByAll > 0 ? free * request.wanted[kind] / wantedByAll : free;
        double fair = std::max({ 1.0, proportional, free * minShareOfFree });
        double granted = std::max(0.0, std::min({ missing, fair, free }));
        if (kind == requests)
            granted = std::floor(granted);
        account.available[kind] -= granted;
        lease.granted[kind] += granted;
        grant.credits[kind] = granted;
        if (granted < missing)
            grant.retryAfter = std::max(grant.retryAfter, fromSeconds(std::max(0.0, missing - granted) / *rates[kind]));
    }
}

void BudgetOwner::grantSlots(Account& account, Lease& lease, const BudgetRequest& request, std::int64_t limit,
    TimePoint now, BudgetGrant& grant) const
{
    std::int64_t outstanding = 0;
    std::int64_t wantedByAll = 0;
    for (const auto& [id, each] : account.leases) {
        outstanding += &each == &lease ? 0 : each.slots;
        wantedByAll += each.wantedSlots;
    }
    std::int64_t fair
        = wantedByAll > limit ? std::max<std::int64_t>(1, limit * request.wantedSlots / wantedByAll) : limit;
    std::int64_t slots = std::min({ request.wantedSlots, fair, std::max<std::int64_t>(0, limit - outstanding) });
    // Some entries may not have reported yet what they run under grants of the previous owner.
    if (now - account.ownedSince < leasePeriod)
        slots = std::min(slots, std::max(request.running, equalSlotShare(limit, m_members.size(), m_members.size())));
    // Running requests hold their slots whatever is granted, and the entry may start more until the grant arrives.
    lease.slots = std::max({ slots, request.running, std::min(request.slots, request.wantedSlots) });
    grant.slots = slots;
    grant.contended = wantedByAll >= limit;
    if (slots < request.wantedSlots)
        grant.retryAfter = std::max(grant.retryAfter, leasePeriod);
}

void BudgetOwner::tick(TimePoint now)
{
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        std::erase_if(it->second.leases, [&](const auto& each) { return each.second.expires <= now; });
        // An account that is added again accrues credit from m_membersSince, so it may be removed once it would be
        // full.
        bool full = now - it->second.refilledAt > spendBurst;
        it = it->second.leases.empty() && full ? m_accounts.erase(it) : std::next(it);
    }
}

void BudgetLease::membersChanged(std::vector<InstanceId> members)
{
    m_members = std::move(members);
    for (auto& [id, account] : m_accounts) {
        InstanceId former = account.owner;
        updateOwner(id, account);
        if (account.owner == former)
            continue;
        // The lease stays valid until it expires; a grant of the previous owner is ignored. Requests that wait for it
        // are decided within maxGrantWait, so the new owner is asked at once.
        account.renewalUrgent = account.requestPending || account.renewalUrgent;
        account.requestPending = false;
        account.requestNeeded = true;
    }
}

void BudgetLease::updateOwner(const AccountId& id, Account& account) const
{
    account.owner = budgetOwner(id, m_members);
    std::uint64_t own = rendezvousWeight(id.value(), m_self);
    account.rank = static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(),
        [&](const InstanceId& each) { return rendezvousWeight(id.value(), each) > own; }));
}

void BudgetLease::advanceTo(Account& account, TimePoint now) const
{
    if (account.requestPending && now - account.requestedAt >= budgetRequestTimeout) {
        account.requestPending = false;
        account.requestNeeded = true;
        account.ownerUnresponsive = true;
    }
    auto rates = creditRates(account.limits);
    auto entries = static_cast<double>(m_members.size());
    bool leased = now < account.leaseEnd;
    if (leased || !account.ownerUnresponsive) {
        // The rest of an expired lease can't be spent; a negative balance remains.
        for (double& balance : account.balance)
            balance = leased ? balance : std::min(balance, 0.0);
        account.fallback = false;
        account.refilledAt = now;
        return;
    }
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        if (!rates[kind])
            continue;
        double share = *rates[kind] / entries;
        double& balance = account.balance[kind];
        if (!account.fallback)
            balance = std::min(balance, 0.0) + share * toSeconds(leasePeriod);
        else
            balance = std::min(
                std::max(1.0, share * toSeconds(leasePeriod)), balance + share * toSeconds(now - account.refilledAt));
    }
    account.fallback = true;
    account.refilledAt = now;
}

std::int64_t BudgetLease::slots(const Account& account) const
{
    if (!account.fallback)
        return account.slots;
    return equalSlotShare(*account.limits.concurrent, m_members.size(), account.rank);
}

Duration BudgetLease::retryAfter(const Account& account, TimePoint now) const
{
    Duration wait = std::max(account.retryAt - now, Duration(minRenewalInterval));
    auto rates = creditRates(account.limits);
    double entries = account.fallback ? static_cast<double>(m_members.size()) : 1.0;
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        double needed = kind == requests ? 1.0 : 0.0;
        if (rates[kind] && account.balance[kind] < needed)
            wait = std::max(wait, fromSeconds((needed - account.balance[kind]) * entries / *rates[kind]));
    }
    return wait;
}

void BudgetLease::recordDemand(Account& account, const Credits& use)
{
    for (std::size_t kind = 0; kind < creditKinds; ++kind)
        account.used[kind] += use[kind];
    account.peakRunning = std::max(account.peakRunning, account.running + 1);
}

BudgetDecision BudgetLease::admit(
    const AccountId& id, const AccountLimits& limits, const BudgetUse& estimate, BudgetAttempt attempt, TimePoint now)
{
    auto [it, inserted] = m_accounts.try_emplace(id);
    Account& account = it->second;
    if (inserted) {
        account.refilledAt = now;
        updateOwner(id, account);
    }
    account.limits = limits;
    account.lastDemand = now;
    advanceTo(account, now);
    Credits use = asCredits(estimate);
    if (attempt == BudgetAttempt::First)
        recordDemand(account, use);
    // No grant has arrived while the request waited. The time of the last budget request doesn't show this, because a
    // change of the owner repeats it.
    bool grantOverdue = (account.requestPending || account.requestNeeded) && now - account.grantedAt >= maxGrantWait;
    bool ended = now >= account.leaseEnd;
    if (attempt == BudgetAttempt::Last && !account.fallback && (ended || (grantOverdue && !canAdmit(account, use)))) {
        // A lease renewed while idle holds no slots. If the owner does not respond, it must not refuse what the limits
        // allow.
        account.ownerUnresponsive = true;
        account.leaseEnd = std::min(account.leaseEnd, now);
        advanceTo(account, now);
    }
    bool leased = now < account.leaseEnd;
    if (!(leased || account.fallback) || !canAdmit(account, use)) {
        bool more = ownerMayHaveMore(account, use);
        // An older grant says nothing about the credit that the owner has now.
        bool mayRequest = account.requestPending || more || now - account.requestedAt >= minRenewalInterval;
        bool worthWaiting = attempt == BudgetAttempt::First || more || !leased;
        if (attempt != BudgetAttempt::Last && !account.fallback && mayRequest && worthWaiting) {
            account.requestNeeded = true;
            account.renewalUrgent = account.renewalUrgent || more;
            // The demand of a request that continues to wait was part of the last budget request only.
            if (attempt == BudgetAttempt::AfterGrant)
                recordDemand(account, use);
            return BudgetPending {};
        }
        return BudgetRefused { retryAfter(account, now) };
    }
    auto rates = creditRates(limits);
    for (std::size_t kind = 0; kind < creditKinds; ++kind)
        account.balance[kind] -= rates[kind] ? use[kind] : 0.0;
    ++account.running;
    return BudgetAdmitted {};
}

bool BudgetLease::hasCredit(const Account& account, const Credits& use, std::size_t kind)
{
    if (!creditRates(account.limits)[kind])
        return true;
    // Tokens and spend are estimates: any positive balance admits a request, and a negative one has to be made up
    // first.
    bool has = kind == requests ? account.balance[kind] >= 1.0 : account.balance[kind] > 0.0;
    // Calls of plain services use no tokens.
    return has || (kind == tokens && use[kind] == 0.0);
}

bool BudgetLease::canAdmit(const Account& account, const Credits& use) const
{
    bool enough = slotFree(account);
    for (std::size_t kind = 0; kind < creditKinds; ++kind)
        enough = enough && hasCredit(account, use, kind);
    return enough;
}

bool BudgetLease::slotFree(const Account& account) const
{
    return !account.limits.concurrent || account.running < slots(account);
}

bool BudgetLease::ownerMayHaveMore(const Account& account, const Credits& use) const
{
    bool more = slotFree(account) || account.slotsFullyGranted;
    for (std::size_t kind = 0; kind < creditKinds; ++kind)
        more = more && (account.fullyGranted[kind] || hasCredit(account, use, kind));
    return more;
}

void BudgetLease::release(const AccountId& id, const BudgetUse& estimate, const BudgetUse& used)
{
    auto it = m_accounts.find(id);
    if (it == m_accounts.end())
        return;
    Account& account = it->second;
    --account.running;
    if (account.contended) {
        // The next budget request returns the slot now instead of one period later.
        account.requestNeeded = true;
        account.peakRunning = account.running;
    }
    Credits reserved = asCredits(estimate);
    Credits real = asCredits(used);
    // The actual spend is known only now; the next budget request counts it as demand.
    account.used[spend] += std::max(0.0, real[spend] - reserved[spend]);
    auto rates = creditRates(account.limits);
    for (std::size_t kind : { tokens, spend }) {
        if (!rates[kind])
            continue;
        double limit
            = std::max(maxOutstandingCredit(static_cast<CreditKind>(kind), *rates[kind]), account.balance[kind]);
        account.balance[kind] = std::min(limit, account.balance[kind] + reserved[kind] - real[kind]);
    }
}

void BudgetLease::applyGrant(const BudgetGrant& grant, TimePoint now)
{
    auto it = m_accounts.find(grant.account);
    if (it == m_accounts.end() || !it->second.requestPending || it->second.sequence != grant.sequence)
        return;
    Account& account = it->second;
    if (now >= account.requestedAt + leasePeriod)
        return;
    // Credit of the fallback share is not added to that of a lease.
    if (account.fallback) {
        for (double& balance : account.balance)
            balance = std::min(balance, 0.0);
    }
    account.requestPending = false;
    account.ownerUnresponsive = false;
    account.fallback = false;
    account.grantedAt = now;
    for (std::size_t kind = 0; kind < creditKinds; ++kind)
        account.balance[kind] += grant.credits[kind];
    account.slots = grant.slots;
    account.contended = grant.contended;
    for (std::size_t kind = 0; kind < creditKinds; ++kind)
        account.fullyGranted[kind] = grant.credits[kind] >= account.requestedCredits[kind] * fullGrantFraction;
    account.slotsFullyGranted = grant.slots >= account.requestedSlots;
    account.leaseEnd = account.requestedAt + leasePeriod;
    account.retryAt = now + grant.retryAfter;
}

void BudgetLease::setWantedAmounts(BudgetRequest& request, Account& account, double elapsed) const
{
    bool exact = account.used[requests] <= maxRequestsWithoutHeadroom;
    double scale = exact ? 1.0 : std::clamp(elapsed / toSeconds(leasePeriod), minPeriodFraction, 1.0);
    double margin = exact ? 1.0 : headroom;
    auto rates = creditRates(account.limits);
    auto entries = static_cast<double>(m_members.size());
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        account.expected[kind] = std::max(account.used[kind] / scale, account.expected[kind] / 2);
        account.used[kind] = 0;
        // At least an equal share of what a new owner starts with, so that a first burst is admitted. With a share of
        // the capacity, an hour of spend, the first entry that asked a new owner left none to the others.
        double least = rates[kind] ? initialCredit(static_cast<CreditKind>(kind), *rates[kind]) / entries : 0.0;
        bool used = account.expected[kind] > 0;
        request.wanted[kind] = std::max(account.expected[kind] * margin, used ? least : 0.0);
        // Spend is known only after a request has ended; without credit the first request could not start.
        if (kind == spend && account.expected[requests] > 0)
            request.wanted[kind] = std::max(request.wanted[kind], std::min(1.0, least));
    }
    double least = static_cast<double>(account.limits.concurrent.value_or(0)) / entries;
    std::int64_t peak = account.peakRunning;
    if (peak > maxRequestsWithoutHeadroom)
        peak = static_cast<std::int64_t>(std::ceil(static_cast<double>(peak) * headroom));
    request.wantedSlots = peak > 0 ? std::max(peak, static_cast<std::int64_t>(least)) : 0;
    account.peakRunning = account.running;
}

BudgetRequest BudgetLease::makeRequest(const AccountId& id, Account& account, TimePoint now) const
{
    BudgetRequest request;
    request.account = id;
    request.sequence = ++account.sequence;
    setWantedAmounts(request, account, std::max(toSeconds(now - account.requestedAt), toSeconds(minRenewalInterval)));
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        double& balance = account.balance[kind];
        // Credit of the fallback share was not granted by the owner.
        double unspent = account.fallback ? 0.0 : std::max(0.0, balance);
        request.returned[kind] = std::max(0.0, unspent - request.wanted[kind]);
        balance -= request.returned[kind];
        request.balance[kind] = std::min(balance, std::max(0.0, unspent));
    }
    for (std::size_t kind = 0; kind < creditKinds; ++kind)
        account.requestedCredits[kind] = std::max(0.0, request.wanted[kind] - request.balance[kind]);
    // The owner grants whole requests only.
    account.requestedCredits[requests] = std::floor(account.requestedCredits[requests]);
    account.requestedSlots = request.wantedSlots;
    account.renewalUrgent = false;
    request.running = account.running;
    // Until the grant arrives the entry starts no more than it requested, so that the owner can grant the rest.
    account.slots = std::min(account.slots, request.wantedSlots);
    request.slots = account.limits.concurrent ? slots(account) : 0;
    account.requestPending = true;
    account.requestNeeded = false;
    account.requestedAt = now;
    return request;
}

bool BudgetLease::needsRenewal(const Account& account)
{
    // Without use, the rest is returned once; after that the lease may expire.
    bool holds = std::any_of(account.balance.begin(), account.balance.end(), [](double each) { return each != 0.0; });
    return holds || account.used[requests] > 0
        || (account.limits.concurrent && (account.slots > 0 || account.running > 0));
}

std::vector<BudgetLease::AddressedRequest> BudgetLease::dueRequests(TimePoint now)
{
    std::vector<AddressedRequest> dueNow;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        Account& account = it->second;
        advanceTo(account, now);
        bool idle = now - account.lastDemand > idleAccountTimeout && account.running == 0;
        // A negative balance is kept until it is made up.
        bool overdrawn
            = std::any_of(account.balance.begin(), account.balance.end(), [](double each) { return each < 0; });
        if (idle && !overdrawn) {
            it = m_accounts.erase(it);
            continue;
        }
        Duration sinceRequest = now - account.requestedAt;
        bool due = account.requestNeeded
            ? sinceRequest >= (account.renewalUrgent ? minRenewalIntervalAfterFullGrant : minRenewalInterval)
            : sinceRequest >= leaseRenewalInterval && needsRenewal(account);
        if (!account.requestPending && due)
            dueNow.push_back({ account.owner, makeRequest(it->first, account, now) });
        ++it;
    }
    return dueNow;
}

} // namespace wisteriayard
