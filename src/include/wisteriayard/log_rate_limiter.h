#pragma once

#include "wisteriayard/units.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace wisteriayard {

/// Token bucket that limits the rate of log lines and counts the suppressed ones.
class LogRateLimiter {
public:
    /// @param perSecond sustained rate in lines per second
    /// @param burst maximum number of lines at once
    LogRateLimiter(double perSecond, double burst)
        : m_rate(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Returns whether one line may be written now; counts it as suppressed otherwise.
    bool tryAcquire(TimePoint now)
    {
        double passed = toSeconds(now - m_last);
        m_last = now;
        m_tokens = std::min(m_burst, m_tokens + std::max(0.0, passed) * m_rate);
        if (m_tokens < 1) {
            ++m_suppressed;
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    /// Returns the number of lines suppressed since the last call and resets it.
    std::uint64_t takeSuppressedCount() { return std::exchange(m_suppressed, 0); }

private:
    double m_rate;
    double m_burst;
    double m_tokens;
    TimePoint m_last {};
    std::uint64_t m_suppressed = 0;
};

} // namespace wisteriayard
