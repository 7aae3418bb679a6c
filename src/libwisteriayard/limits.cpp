#include "wisteriayard/limits.h"

#include "wisteriayard/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    constexpr double secondsPerDay = 86400;
    /// Share above the last period's use that an entry asks for, so that a rising demand is not refused at once.
    constexpr double headroom = 1.25;
    /// A use seen for a shorter part of the period than this is not scaled up further.
    constexpr double leastPart = 0.5;
    /// Part of what is missing that counts as all of it: amounts are rounded on their way.
    constexpr double leastMet = 0.999;
    /// Requests in a period, or at once, above which an entry asks for headroom. Below, credit that is asked for in
    /// advance lies unused at many entries, which used a tenth of a limit at 300 entries.
    constexpr std::int64_t exactRequests = 3;
    /// Part of the free budget that one ask may take whatever the others want. With proportional parts only, the
    /// budget of an account that many entries use seldom is never used up.
    constexpr double freePart = 0.25;
    /// An account without requests for so long is forgotten at an entry.
    constexpr Duration idleTime = std::chrono::seconds(10);
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

    /// Part of a limit of slots that an entry has without a home: the parts of all entries add up to the limit.
    std::int64_t slotShare(std::int64_t limit, std::size_t entries, std::size_t rank)
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

InstanceId budgetHome(const AccountId& account, const std::vector<InstanceId>& entries)
{
    return rendezvousTop(account.value(), entries, 1).at(0);
}

double creditCapacity(CreditKind kind, double rate)
{
    if (kind == CreditKind::Spend)
        return rate * toSeconds(spendBurst);
    // Below one request the limit could never be used.
    return std::max(1.0, rate * toSeconds(creditBurst));
}

double startingCredit(CreditKind kind, double rate)
{
    // An hour of spend for each change of the home would add up over a day.
    return kind == CreditKind::Spend ? std::max(1.0, rate * toSeconds(lentTime)) : creditCapacity(kind, rate);
}

double lentCapacity(CreditKind kind, double rate)
{
    if (kind == CreditKind::Spend)
        return creditCapacity(kind, rate);
    return std::max(1.0, rate * toSeconds(lentTime));
}

void BudgetHome::membersChanged(std::vector<InstanceId> members, TimePoint now)
{
    m_members = std::move(members);
    m_membersSince = now;
    // Another entry lends the budgets of these accounts now; what is known here would be out of date on a return.
    std::erase_if(m_accounts, [this](const auto& each) { return budgetHome(each.first, m_members) != m_self; });
}

BudgetHome::Account& BudgetHome::account(const AccountId& id, TimePoint now)
{
    auto [it, inserted] = m_accounts.try_emplace(id);
    if (inserted) {
        // Another home may have lent until the last change of members, so the budget fills up from there.
        // An entry that knows of a newer change than this one asks before this one knows: the budget starts now.
        TimePoint start = budgetHome(id, m_members) == m_self ? m_membersSince : now;
        it->second.filledAt = start;
        it->second.since = start;
    }
    std::erase_if(it->second.leases, [&](const auto& each) { return each.second.expires <= now; });
    return it->second;
}

void BudgetHome::refill(Account& account, const AccountLimits& limits, TimePoint now)
{
    auto rates = creditRates(limits);
    double passed = toSeconds(now - account.filledAt);
    account.filledAt = now;
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        if (!rates[kind])
            continue;
        double most = capacity(kind, *rates[kind]);
        if (!account.started)
            account.available[kind] = startingCredit(static_cast<CreditKind>(kind), *rates[kind]);
        // Spend is kept for an hour, so what is lent counts: a day's excess stays at one hour's share.
        if (kind == spend) {
            for (const auto& [id, lease] : account.leases)
                most -= lease.lent[kind];
        }
        account.available[kind] = std::clamp(account.available[kind] + *rates[kind] * passed, 0.0, std::max(0.0, most));
    }
    account.started = true;
}

BudgetGrant BudgetHome::ask(const InstanceId& entry, const BudgetAsk& ask, const AccountLimits& limits, TimePoint now)
{
    Account& state = account(ask.account, now);
    refill(state, limits, now);
    Lease& lease = state.leases[entry];
    lease.wanted = ask.wanted;
    lease.wantedSlots = ask.wantedSlots;
    lease.expires = now + leasePeriod;
    BudgetGrant grant;
    grant.account = ask.account;
    grant.sequence = ask.sequence;
    lendCredits(state, lease, ask, limits, grant);
    if (limits.concurrent)
        lendSlots(state, lease, ask, *limits.concurrent, now, grant);
    return grant;
}

void BudgetHome::lendCredits(
    Account& account, Lease& lease, const BudgetAsk& ask, const AccountLimits& limits, BudgetGrant& grant)
{
    auto rates = creditRates(limits);
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        if (!rates[kind])
            continue;
        // The ask states what is left of earlier grants; a grant that got lost is not counted any more.
        lease.lent[kind] = std::max(0.0, ask.balance[kind]);
        account.available[kind]
            = std::min(capacity(kind, *rates[kind]), account.available[kind] + std::max(0.0, ask.returned[kind]));
        double wantedByAll = 0;
        double lent = 0;
        for (const auto& [id, each] : account.leases) {
            wantedByAll += each.wanted[kind];
            lent += each.lent[kind];
        }
        double missing = std::max(0.0, ask.wanted[kind] - ask.balance[kind]);
        // Parts of a request can't be spent, and parts at many entries would use up the budget.
        if (kind == requests)
            missing = std::floor(missing);
        double free
            = std::min(account.available[kind], lentCapacity(static_cast<CreditKind>(kind), *rates[kind]) - lent);
        double proportional = wantedByAll > 0 ? free * ask.wanted[kind] / wantedByAll : free;
        double fair = std::max({ 1.0, proportional, free * freePart });
        double granted = std::max(0.0, std::min({ missing, fair, free }));
        if (kind == requests)
            granted = std::floor(granted);
        account.available[kind] -= granted;
        lease.lent[kind] += granted;
        grant.credits[kind] = granted;
        if (granted < missing)
            grant.retryAfter = std::max(grant.retryAfter, fromSeconds(std::max(0.0, missing - granted) / *rates[kind]));
    }
}

void BudgetHome::lendSlots(
    Account& account, Lease& lease, const BudgetAsk& ask, std::int64_t limit, TimePoint now, BudgetGrant& grant) const
{
    std::int64_t lent = 0;
    std::int64_t wantedByAll = 0;
    for (const auto& [id, each] : account.leases) {
        lent += &each == &lease ? 0 : each.slots;
        wantedByAll += each.wantedSlots;
    }
    std::int64_t fair = wantedByAll > limit ? std::max<std::int64_t>(1, limit * ask.wantedSlots / wantedByAll) : limit;
    std::int64_t slots = std::min({ ask.wantedSlots, fair, std::max<std::int64_t>(0, limit - lent) });
    // Not every entry has told yet what it runs under an earlier home.
    if (now - account.since < leasePeriod)
        slots = std::min(slots, std::max(ask.running, slotShare(limit, m_members.size(), m_members.size())));
    // Requests that run hold their slots whatever is granted, and the entry may start more until it has the grant.
    lease.slots = std::max({ slots, ask.running, std::min(ask.slots, ask.wantedSlots) });
    grant.slots = slots;
    grant.contended = wantedByAll >= limit;
    if (slots < ask.wantedSlots)
        grant.retryAfter = std::max(grant.retryAfter, leasePeriod);
}

void BudgetHome::tick(TimePoint now)
{
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        std::erase_if(it->second.leases, [&](const auto& each) { return each.second.expires <= now; });
        // An account that comes back starts empty at m_membersSince, so it may be dropped when it would be full.
        bool full = now - it->second.filledAt > spendBurst;
        it = it->second.leases.empty() && full ? m_accounts.erase(it) : std::next(it);
    }
}

void BudgetLease::membersChanged(std::vector<InstanceId> members)
{
    m_members = std::move(members);
    for (auto& [id, account] : m_accounts) {
        InstanceId former = account.home;
        locate(id, account);
        if (account.home == former)
            continue;
        // The lease lasts to its end; an answer of the former home no longer counts.
        account.askOpen = false;
        account.askWanted = true;
    }
}

void BudgetLease::locate(const AccountId& id, Account& account) const
{
    account.home = budgetHome(id, m_members);
    std::uint64_t own = rendezvousWeight(id.value(), m_self);
    account.rank = static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(),
        [&](const InstanceId& each) { return rendezvousWeight(id.value(), each) > own; }));
}

void BudgetLease::passTime(Account& account, TimePoint now) const
{
    if (account.askOpen && now - account.askedAt >= askTimeout) {
        account.askOpen = false;
        account.askWanted = true;
        account.homeSilent = true;
    }
    auto rates = creditRates(account.limits);
    auto entries = static_cast<double>(m_members.size());
    bool leased = now < account.leaseEnd;
    if (leased || !account.homeSilent) {
        // What is left of a lease that ended can't be spent; what was used too much stays owed.
        for (double& balance : account.balance)
            balance = leased ? balance : std::min(balance, 0.0);
        account.fallback = false;
        account.filledAt = now;
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
                std::max(1.0, share * toSeconds(leasePeriod)), balance + share * toSeconds(now - account.filledAt));
    }
    account.fallback = true;
    account.filledAt = now;
}

std::int64_t BudgetLease::slots(const Account& account) const
{
    if (!account.fallback)
        return account.slots;
    return slotShare(*account.limits.concurrent, m_members.size(), account.rank);
}

Duration BudgetLease::retryAfter(const Account& account, TimePoint now) const
{
    Duration wait = std::max(account.retryAt - now, Duration(earlyRenewal));
    auto rates = creditRates(account.limits);
    double entries = account.fallback ? static_cast<double>(m_members.size()) : 1.0;
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        double needed = kind == requests ? 1.0 : 0.0;
        if (rates[kind] && account.balance[kind] < needed)
            wait = std::max(wait, fromSeconds((needed - account.balance[kind]) * entries / *rates[kind]));
    }
    return wait;
}

void BudgetLease::noteDemand(Account& account, const Credits& use)
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
        account.filledAt = now;
        locate(id, account);
    }
    account.limits = limits;
    account.lastDemand = now;
    passTime(account, now);
    Credits use = asCredits(estimate);
    if (attempt == BudgetAttempt::First)
        noteDemand(account, use);
    bool unanswered = account.askOpen && now - account.askedAt >= firstGrantWait;
    bool ended = now >= account.leaseEnd;
    if (attempt == BudgetAttempt::Last && !account.fallback && (ended || (unanswered && !suffices(account, use)))) {
        // A lease that was renewed while idle holds no slots. With a silent home it must not refuse what the limits
        // allow.
        account.homeSilent = true;
        account.leaseEnd = std::min(account.leaseEnd, now);
        passTime(account, now);
    }
    bool leased = now < account.leaseEnd;
    if (!(leased || account.fallback) || !suffices(account, use)) {
        bool more = mayHaveMore(account, use);
        // An answer of the home that is older says nothing on what is free now.
        bool askable = account.askOpen || more || now - account.askedAt >= earlyRenewal;
        bool hopeful = attempt == BudgetAttempt::First || more || !leased;
        if (attempt != BudgetAttempt::Last && !account.fallback && askable && hopeful) {
            account.askWanted = true;
            account.askSoon = account.askSoon || more;
            // A request that goes on waiting was part of the last ask only.
            if (attempt == BudgetAttempt::AfterGrant)
                noteDemand(account, use);
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
    // Tokens and spend are estimates: what is left over decides, and what is used too much is paid back first.
    bool has = kind == requests ? account.balance[kind] >= 1.0 : account.balance[kind] > 0.0;
    // Calls of plain services use no tokens.
    return has || (kind == tokens && use[kind] == 0.0);
}

bool BudgetLease::suffices(const Account& account, const Credits& use) const
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

bool BudgetLease::mayHaveMore(const Account& account, const Credits& use) const
{
    bool more = slotFree(account) || account.slotsMet;
    for (std::size_t kind = 0; kind < creditKinds; ++kind)
        more = more && (account.met[kind] || hasCredit(account, use, kind));
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
        // The next ask gives the slot back at once instead of after one more period.
        account.askWanted = true;
        account.peakRunning = account.running;
    }
    Credits reserved = asCredits(estimate);
    Credits real = asCredits(used);
    // What it cost is known only now; the next ask counts it as demand.
    account.used[spend] += std::max(0.0, real[spend] - reserved[spend]);
    auto rates = creditRates(account.limits);
    for (std::size_t kind : { tokens, spend }) {
        if (!rates[kind])
            continue;
        double limit = std::max(lentCapacity(static_cast<CreditKind>(kind), *rates[kind]), account.balance[kind]);
        account.balance[kind] = std::min(limit, account.balance[kind] + reserved[kind] - real[kind]);
    }
}

void BudgetLease::granted(const BudgetGrant& grant, TimePoint now)
{
    auto it = m_accounts.find(grant.account);
    if (it == m_accounts.end() || !it->second.askOpen || it->second.sequence != grant.sequence)
        return;
    Account& account = it->second;
    if (now >= account.askedAt + leasePeriod)
        return;
    // Credit from the fallback share does not count beside a lease.
    if (account.fallback) {
        for (double& balance : account.balance)
            balance = std::min(balance, 0.0);
    }
    account.askOpen = false;
    account.homeSilent = false;
    account.fallback = false;
    for (std::size_t kind = 0; kind < creditKinds; ++kind)
        account.balance[kind] += grant.credits[kind];
    account.slots = grant.slots;
    account.contended = grant.contended;
    for (std::size_t kind = 0; kind < creditKinds; ++kind)
        account.met[kind] = grant.credits[kind] >= account.missing[kind] * leastMet;
    account.slotsMet = grant.slots >= account.missingSlots;
    account.leaseEnd = account.askedAt + leasePeriod;
    account.retryAt = now + grant.retryAfter;
}

void BudgetLease::stateWants(BudgetAsk& ask, Account& account, double elapsed) const
{
    bool exact = account.used[requests] <= exactRequests;
    double scale = exact ? 1.0 : std::clamp(elapsed / toSeconds(leasePeriod), leastPart, 1.0);
    double margin = exact ? 1.0 : headroom;
    auto rates = creditRates(account.limits);
    auto entries = static_cast<double>(m_members.size());
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        account.expected[kind] = std::max(account.used[kind] / scale, account.expected[kind] / 2);
        account.used[kind] = 0;
        // An equal share at least, so that a first burst can run.
        double least = rates[kind] ? capacity(kind, *rates[kind]) / entries : 0.0;
        bool used = account.expected[kind] > 0;
        ask.wanted[kind] = std::max(account.expected[kind] * margin, used ? least : 0.0);
        // Spend is known only afterwards; without any credit the first request could not start.
        if (kind == spend && account.expected[requests] > 0)
            ask.wanted[kind] = std::max(ask.wanted[kind], std::min(1.0, least));
    }
    double least = static_cast<double>(account.limits.concurrent.value_or(0)) / entries;
    std::int64_t peak = account.peakRunning;
    if (peak > exactRequests)
        peak = static_cast<std::int64_t>(std::ceil(static_cast<double>(peak) * headroom));
    ask.wantedSlots = peak > 0 ? std::max(peak, static_cast<std::int64_t>(least)) : 0;
    account.peakRunning = account.running;
}

BudgetAsk BudgetLease::makeAsk(const AccountId& id, Account& account, TimePoint now) const
{
    BudgetAsk ask;
    ask.account = id;
    ask.sequence = ++account.sequence;
    stateWants(ask, account, std::max(toSeconds(now - account.askedAt), toSeconds(earlyRenewal)));
    for (std::size_t kind = 0; kind < creditKinds; ++kind) {
        double& balance = account.balance[kind];
        // Credit of the fallback share was not lent by the home.
        double lent = account.fallback ? 0.0 : std::max(0.0, balance);
        ask.returned[kind] = std::max(0.0, lent - ask.wanted[kind]);
        balance -= ask.returned[kind];
        ask.balance[kind] = std::min(balance, std::max(0.0, lent));
    }
    for (std::size_t kind = 0; kind < creditKinds; ++kind)
        account.missing[kind] = std::max(0.0, ask.wanted[kind] - ask.balance[kind]);
    // The home lends whole requests only.
    account.missing[requests] = std::floor(account.missing[requests]);
    account.missingSlots = ask.wantedSlots;
    account.askSoon = false;
    ask.running = account.running;
    // It starts no more than it asks for until the answer, so that the home can lend the rest.
    account.slots = std::min(account.slots, ask.wantedSlots);
    ask.slots = account.limits.concurrent ? slots(account) : 0;
    account.askOpen = true;
    account.askWanted = false;
    account.askedAt = now;
    return ask;
}

bool BudgetLease::needsRenewal(const Account& account)
{
    // Without use, what is left goes back once; after that the lease may end.
    bool holds = std::any_of(account.balance.begin(), account.balance.end(), [](double each) { return each != 0.0; });
    return holds || account.used[requests] > 0
        || (account.limits.concurrent && (account.slots > 0 || account.running > 0));
}

std::vector<BudgetLease::AddressedAsk> BudgetLease::dueAsks(TimePoint now)
{
    std::vector<AddressedAsk> asks;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        Account& account = it->second;
        passTime(account, now);
        bool idle = now - account.lastDemand > idleTime && account.running == 0;
        // What was used too much stays owed until it is paid back.
        bool owes = std::any_of(account.balance.begin(), account.balance.end(), [](double each) { return each < 0; });
        if (idle && !owes) {
            it = m_accounts.erase(it);
            continue;
        }
        Duration since = now - account.askedAt;
        bool due = account.askWanted ? since >= (account.askSoon ? nextRenewal : earlyRenewal)
                                     : since >= leaseRenewal && needsRenewal(account);
        if (!account.askOpen && due)
            asks.push_back({ account.home, makeAsk(it->first, account, now) });
        ++it;
    }
    return asks;
}

} // namespace wisteriayard
