#include "wisteriayard/prefill_pool.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    /// Engine time in seconds per second below which a kind of prompts gets no engines of its own.
    constexpr double minWork = 0.02;
    constexpr std::size_t minEnginesToSplit = 3;

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
    double elapsed = std::max(0.0, toSeconds(now - m_decayedAt));
    double kept = std::exp(-elapsed / toSeconds(averagingTime()));
    m_own.longPrompts *= kept;
    m_own.shortPrompts *= kept;
    m_own.longRanks *= kept;
    m_own.shortRanks *= kept;
    m_decayedAt = now;
}

void PrefillPool::recordWork(Tokens prompt, Duration work, Priority rank, TimePoint now)
{
    decay(now);
    double rate = toSeconds(work) / toSeconds(averagingTime());
    (isLong(prompt) ? m_own.longPrompts : m_own.shortPrompts) += rate;
    (isLong(prompt) ? m_own.longRanks : m_own.shortRanks) += rate * rank.value();
}

WorkRates PrefillPool::ownRates(TimePoint now)
{
    decay(now);
    return m_own;
}

void PrefillPool::updatePeer(const InstanceId& peer, const WorkRates& rates, std::size_t entries, TimePoint now)
{
    m_peers[peer] = { rates, entries, now };
}

void PrefillPool::removeExpiredPeers(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto& each) { return now - each.second.receivedAt > m_policy.peerLifetime; });
}

std::size_t PrefillPool::peerEntries(TimePoint now)
{
    removeExpiredPeers(now);
    std::size_t entries = 0;
    for (const auto& [peer, reported] : m_peers)
        entries += reported.entries;
    return entries;
}

std::size_t PrefillPool::roundToEngines(double share, const WorkRates& work) const
{
    double rankDifference = work.longRanks / work.longPrompts - work.shortRanks / work.shortPrompts;
    if (std::abs(rankDifference) < m_policy.rankTolerance)
        return static_cast<std::size_t>(std::lround(share));
    return static_cast<std::size_t>(rankDifference > 0 ? std::floor(share) : std::ceil(share));
}

std::size_t PrefillPool::size(std::size_t engines, TimePoint now)
{
    decay(now);
    WorkRates sum = m_own;
    removeExpiredPeers(now);
    for (const auto& [peer, reported] : m_peers)
        sum += reported.rates;
    if (engines < minEnginesToSplit || sum.longPrompts < minWork || sum.shortPrompts < minWork) {
        m_size = 0;
        return m_size;
    }
    double longNeed = sum.longPrompts / m_policy.longUtilization;
    double shortNeed = sum.shortPrompts / m_policy.shortUtilization;
    double share = static_cast<double>(engines) * longNeed / (longNeed + shortNeed);
    bool keepSize = m_size > 0 && m_sizedForEngines == engines
        && std::abs(share - static_cast<double>(m_size)) <= m_policy.hysteresis;
    if (!keepSize)
        m_size = std::clamp<std::size_t>(roundToEngines(share, sum), 1, engines - 1);
    m_sizedForEngines = engines;
    return m_size;
}

} // namespace wisteriayard
