#include "wisteriayard/part_rates.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    /// Parts above which idle ones are dropped.
    constexpr std::size_t mostParts = 4096;
    /// A part is idle after this many time constants.
    constexpr int idleAfter = 3;

} // namespace

double PartRates::decayed(const Rate& rate, TimePoint now)
{
    double passed = std::max(0.0, toSeconds(now - rate.at));
    return rate.value * std::exp(-passed / toSeconds(averaging));
}

void PartRates::note(std::uint64_t part, Duration work, TimePoint now)
{
    if (m_parts.size() >= mostParts)
        forgetOld(now);
    Rate& rate = m_parts[part];
    rate.value = decayed(rate, now) + toSeconds(work) / toSeconds(averaging);
    rate.at = now;
}

double PartRates::rate(std::uint64_t part, TimePoint now) const
{
    auto known = m_parts.find(part);
    return known == m_parts.end() ? 0 : decayed(known->second, now);
}

void PartRates::forgetOld(TimePoint now)
{
    std::erase_if(m_parts, [now](const auto& each) { return now - each.second.at > idleAfter * averaging; });
}

} // namespace wisteriayard
