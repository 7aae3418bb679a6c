#pragma once

#include "wisteriayard/units.h"

#include <array>
#include <cstdint>

namespace wisteriayard {

/// How many retries a budget allows in ten seconds.
struct RetryPolicy {
    /// Retries as a share of the requests.
    double ratio = 0.1;
    /// Retries that are allowed however few the requests are.
    double least = 3;
};

/// Allows retries up to a share of the requests of the last ten seconds.
class RetryBudget {
public:
    RetryBudget() = default;
    explicit RetryBudget(RetryPolicy policy)
        : m_policy(policy)
    {
    }

    void setPolicy(RetryPolicy policy) { m_policy = policy; }
    void request(TimePoint now);
    /// Takes one retry.
    /// @return false if the budget is used up
    bool takeRetry(TimePoint now);

private:
    static constexpr std::size_t seconds = 10;
    struct Second {
        std::int64_t second = -1;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };

    Second& at(TimePoint now);

    RetryPolicy m_policy;
    std::array<Second, seconds> m_seconds {};
};

} // namespace wisteriayard
