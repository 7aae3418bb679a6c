#pragma once

#include "wisteriayard/units.h"

#include <algorithm>

namespace wisteriayard {

/// Tokens that accrue at a constant rate up to a capacity.
class TokenBucket {
public:
    TokenBucket() = default;
    /// @param perSecond rate at which tokens accrue
    /// @param capacity maximum number of tokens
    /// @param tokens number of tokens at the start
    TokenBucket(double perSecond, double capacity, double tokens, TimePoint now)
        : m_rate(perSecond)
        , m_capacity(capacity)
        , m_tokens(tokens)
        , m_at(now)
    {
    }

    double available(TimePoint now) const
    {
        return std::min(m_capacity, m_tokens + std::max(0.0, toSeconds(now - m_at)) * m_rate);
    }
    /// Takes one token if there is one.
    bool tryTake(TimePoint now)
    {
        if (available(now) < 1)
            return false;
        add(-1, now);
        return true;
    }
    /// Returns a token that was not used.
    void giveBack(TimePoint now) { add(1, now); }
    /// Changes the rate and the capacity; tokens beyond the new capacity are dropped.
    void reconfigure(double perSecond, double capacity, TimePoint now)
    {
        m_tokens = std::min(capacity, available(now));
        m_at = now;
        m_rate = perSecond;
        m_capacity = capacity;
    }
    double rate() const { return m_rate; }

private:
    void add(double tokens, TimePoint now)
    {
        m_tokens = std::min(m_capacity, available(now) + tokens);
        m_at = now;
    }

    double m_rate = 0;
    double m_capacity = 0;
    double m_tokens = 0;
    TimePoint m_at {};
};

} // namespace wisteriayard
