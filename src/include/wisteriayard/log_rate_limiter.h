#pragma once

#include "wisteriayard/token_bucket.h"

#include <cstdint>
#include <utility>

namespace wisteriayard {

/// Limits the rate of log lines and counts the suppressed ones.
class LogRateLimiter {
public:
    /// @param perSecond sustained rate in lines per second
    /// @param burst maximum number of lines at once
    LogRateLimiter(double perSecond, double burst)
        : m_lines(perSecond, burst, burst, {})
    {
    }

    /// Returns whether one line may be written now; counts it as suppressed otherwise.
    bool tryAcquire(TimePoint now)
    {
        if (m_lines.tryTake(now))
            return true;
        ++m_suppressed;
        return false;
    }

    /// Returns the number of lines suppressed since the last call and resets it.
    std::uint64_t takeSuppressedCount() { return std::exchange(m_suppressed, 0); }

private:
    TokenBucket m_lines;
    std::uint64_t m_suppressed = 0;
};

} // namespace wisteriayard
