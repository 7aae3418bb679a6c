#include "wisteriayard/account_shares.h"

#include <algorithm>
#include <vector>

namespace wisteriayard {

namespace {

    /// Time after the last refusal for which shares apply.
    constexpr Duration overloadTime = std::chrono::seconds(1);
    /// Factor to the share from which on an account is above it, and least number of its placed requests: one entry
    /// sees few requests of each account, which differ at random, and large accounts have more callers. With 1.25, one
    /// deployment of 24 accounts refused more than without shares.
    constexpr double margin = 4;
    constexpr int minPlaced = 4;
    /// Time for which the level is used again.
    constexpr Duration levelLifetime = std::chrono::milliseconds(100);

    double microseconds(Duration time) { return static_cast<double>(time.count()); }

} // namespace

AccountShares::Part& AccountShares::Account::part(TimePoint now)
{
    std::int64_t number = now.time_since_epoch() / partTime;
    Part& current = recent[static_cast<std::size_t>(number) % parts];
    if (current.number != number) {
        current = {};
        current.number = number;
    }
    return current;
}

AccountShares::Part AccountShares::Account::sum(TimePoint now) const
{
    std::int64_t oldest = now.time_since_epoch() / partTime - static_cast<std::int64_t>(parts);
    Part total;
    for (const Part& each : recent) {
        if (each.number <= oldest)
            continue;
        total.requested += each.requested;
        total.used += each.used;
        total.placed += each.placed;
    }
    return total;
}

AccountShares::Account& AccountShares::touch(const AccountId& account, TimePoint now)
{
    bool isNew = m_accounts.count(account) == 0;
    if (isNew && m_accounts.size() >= maxAccounts)
        m_accounts.erase(std::min_element(m_accounts.begin(), m_accounts.end(),
            [](const auto& a, const auto& b) { return a.second.usedAt < b.second.usedAt; }));
    Account& state = m_accounts[account];
    state.usedAt = now;
    return state;
}

void AccountShares::recordPlaced(const AccountId& account, Duration work, TimePoint now)
{
    Part& part = touch(account, now).part(now);
    part.requested += work;
    part.used += work;
    ++part.placed;
}

void AccountShares::recordRefused(const AccountId& account, Duration work, bool isOverload, TimePoint now)
{
    touch(account, now).part(now).requested += work;
    // A refusal because of the account's share must not keep the shares in force.
    if (isOverload)
        m_refusedAt = now;
}

double AccountShares::shareLevel(TimePoint now) const
{
    std::vector<double> requested;
    double available = 0;
    for (const auto& [id, account] : m_accounts) {
        Part total = account.sum(now);
        if (total.requested <= Duration(0))
            continue;
        requested.push_back(microseconds(total.requested));
        available += microseconds(total.used);
    }
    std::sort(requested.begin(), requested.end());
    for (std::size_t i = 0; i < requested.size(); ++i) {
        double level = available / static_cast<double>(requested.size() - i);
        if (requested[i] > level)
            return level;
        available -= requested[i];
    }
    return std::numeric_limits<double>::infinity();
}

bool AccountShares::isAboveShare(const AccountId& account, TimePoint now)
{
    bool isOverloaded = m_refusedAt != TimePoint() && now - m_refusedAt < overloadTime;
    auto known = m_accounts.find(account);
    if (!isOverloaded || known == m_accounts.end() || m_accounts.size() < 2)
        return false;
    if (now - m_levelAt >= levelLifetime) {
        m_level = shareLevel(now);
        m_levelAt = now;
    }
    Part total = known->second.sum(now);
    return total.placed >= minPlaced && microseconds(total.used) > margin * m_level;
}

} // namespace wisteriayard
