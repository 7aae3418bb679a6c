#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <array>
#include <cstdint>
#include <limits>
#include <map>

namespace wisteriayard {

/// Measures the engine time that the accounts of one service request and get at this entry, and which of them get more
/// than their equal share while requests are being refused.
///
/// Load pattern: one account sends ten times its usual load. Without shares, every account is refused in proportion to
/// its requests.
class AccountShares {
public:
    /// Number of accounts that are tracked; the least recently used one is evicted first.
    static constexpr std::size_t maxAccounts = 256;
    /// Time over which engine time is summed up.
    static constexpr Duration window = std::chrono::seconds(3);

    /// Records a request that was placed.
    /// @param work engine time that it needs
    void recordPlaced(const AccountId& account, Duration work, TimePoint now);
    /// Records a request that was refused.
    /// @param isOverload the request would have been refused whatever its account
    void recordRefused(const AccountId& account, Duration work, bool isOverload, TimePoint now);
    /// Whether requests are being refused and the account gets more than its equal share. The share of accounts that
    /// request less is divided among the others.
    bool isAboveShare(const AccountId& account, TimePoint now);
    std::size_t size() const { return m_accounts.size(); }

private:
    static constexpr std::size_t parts = 6;
    static constexpr Duration partTime = window / parts;

    struct Part {
        std::int64_t number = 0;
        Duration requested {};
        Duration used {};
        int placed = 0;
    };
    struct Account {
        std::array<Part, parts> recent;
        TimePoint usedAt {};

        Part& part(TimePoint now);
        Part sum(TimePoint now) const;
    };

    Account& touch(const AccountId& account, TimePoint now);
    /// Engine time, in microseconds, up to which an account is within its share.
    double shareLevel(TimePoint now) const;

    std::map<AccountId, Account> m_accounts;
    TimePoint m_refusedAt {};
    double m_level = std::numeric_limits<double>::infinity();
    TimePoint m_levelAt {};
};

} // namespace wisteriayard
