#include "wisteriayard/prefill_pool.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    /// Below this much engine time a second, a kind of prompts gets no engines of its own.
    constexpr double leastWork = 0.02;
    constexpr std::size_t leastEngines = 3;

} // namespace

WorkRates& WorkRates::operator+=(const WorkRates& other)
{
    longPrompts += other.longPrompts;
    shortPrompts += other.shortPrompts;
    longRanks += other.longRanks;
    shortRanks += other.shortRanks;
    return *this;
}

void PrefillPool::decay(TimePoint now)
{
    double passed = std::max(0.0, toSeconds(now - m_last));
    double kept = std::exp(-passed / toSeconds(m_policy.averaging));
    m_own.longPrompts *= kept;
    m_own.shortPrompts *= kept;
    m_own.longRanks *= kept;
    m_own.shortRanks *= kept;
    m_last = now;
}

void PrefillPool::note(Tokens prompt, Duration work, Priority rank, TimePoint now)
{
    decay(now);
    double rate = toSeconds(work) / toSeconds(m_policy.averaging);
    (isLong(prompt) ? m_own.longPrompts : m_own.shortPrompts) += rate;
    (isLong(prompt) ? m_own.longRanks : m_own.shortRanks) += rate * rank.value();
}

WorkRates PrefillPool::own(TimePoint now)
{
    decay(now);
    return m_own;
}

void PrefillPool::peer(const InstanceId& peer, const WorkRates& rates, std::size_t entries, TimePoint now)
{
    m_peers[peer] = { rates, entries, now };
}

void PrefillPool::forgetSilentPeers(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto& each) { return now - each.second.toldAt > m_policy.peerLifetime; });
}

std::size_t PrefillPool::peers(TimePoint now)
{
    forgetSilentPeers(now);
    std::size_t entries = 0;
    for (const auto& [peer, told] : m_peers)
        entries += told.entries;
    return entries;
}

std::size_t PrefillPool::wholeEngines(double share, const WorkRates& work) const
{
    double rankDifference = work.longRanks / work.longPrompts - work.shortRanks / work.shortPrompts;
    if (std::abs(rankDifference) < m_policy.equalRanks)
        return static_cast<std::size_t>(std::lround(share));
    return static_cast<std::size_t>(rankDifference > 0 ? std::floor(share) : std::ceil(share));
}

std::size_t PrefillPool::size(std::size_t engines, TimePoint now)
{
    decay(now);
    WorkRates sum = m_own;
    forgetSilentPeers(now);
    for (const auto& [peer, told] : m_peers)
        sum += told.rates;
    if (engines < leastEngines || sum.longPrompts < leastWork || sum.shortPrompts < leastWork) {
        m_size = 0;
        return m_size;
    }
    double longNeed = sum.longPrompts / m_policy.longUtilization;
    double shortNeed = sum.shortPrompts / m_policy.shortUtilization;
    double share = static_cast<double>(engines) * longNeed / (longNeed + shortNeed);
    bool settled
        = m_size > 0 && m_engines == engines && std::abs(share - static_cast<double>(m_size)) <= m_policy.hysteresis;
    if (!settled)
        m_size = std::clamp<std::size_t>(wholeEngines(share, sum), 1, engines - 1);
    m_engines = engines;
    return m_size;
}

} // namespace wisteriayard
