#include "wisteriayard/segment_rates.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    /// Number of segments from which on idle ones are removed. Without any, further segments are not recorded: a caller
    /// may name a new one in each request.
    constexpr std::size_t maxSegments = 4096;
    /// A segment is idle after this many time constants without a request.
    constexpr int idleTimeConstants = 3;

} // namespace

double SegmentRates::decayed(const Rate& rate, TimePoint now)
{
    double passed = std::max(0.0, toSeconds(now - rate.at));
    return rate.value * std::exp(-passed / toSeconds(timeConstant));
}

void SegmentRates::recordRequest(std::uint64_t segment, Duration work, TimePoint now)
{
    auto known = m_rates.find(segment);
    if (known == m_rates.end() && m_rates.size() >= maxSegments) {
        removeIdle(now);
        if (m_rates.size() >= maxSegments)
            return;
    }
    Rate& rate = m_rates[segment];
    rate.value = decayed(rate, now) + toSeconds(work) / toSeconds(timeConstant);
    rate.at = now;
}

double SegmentRates::rate(std::uint64_t segment, TimePoint now) const
{
    auto known = m_rates.find(segment);
    return known == m_rates.end() ? 0 : decayed(known->second, now);
}

void SegmentRates::removeIdle(TimePoint now)
{
    std::erase_if(m_rates, [now](const auto& each) { return now - each.second.at > idleTimeConstants * timeConstant; });
}

} // namespace wisteriayard
