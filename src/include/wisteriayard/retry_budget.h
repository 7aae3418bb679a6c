#pragma once

#include "wisteriayard/units.h"

#include <array>
#include <cstdint>

namespace wisteriayard {

/// Allows retries up to a share of the requests of the last ten seconds.
class RetryBudget {
public:
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

    std::array<Second, seconds> m_seconds {};
};

} // namespace wisteriayard
