#pragma once

#include "wisteriayard/units.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace wisteriayard {

/// Token bucket that bounds the rate of log lines and counts what it suppressed.
class LogBudget {
public:
    /// @param perSecond lines a second in the long run
    /// @param burst lines at once
    LogBudget(double perSecond, double burst)
        : m_rate(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Takes the right to write one line.
    bool take(TimePoint now)
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

    /// Lines suppressed since the last call.
    std::uint64_t takeSuppressed() { return std::exchange(m_suppressed, 0); }

private:
    double m_rate;
    double m_burst;
    double m_tokens;
    TimePoint m_last {};
    std::uint64_t m_suppressed = 0;
};

} // namespace wisteriayard
