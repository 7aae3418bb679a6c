#include "wisteriayard/clock_guard.h"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace wisteriayard {

namespace {

    /// Offset changes up to this are drift that time synchronisation corrects.
    constexpr std::int64_t driftMilliseconds = 250;
    /// Differences between entries up to this are attributed to message delays.
    constexpr std::int64_t peerToleranceMilliseconds = 300;
    /// After a pause a process reads queued messages, whose times differ from its own until the newest is read.
    constexpr Duration correctionDelay = std::chrono::milliseconds(1500);
    constexpr Duration peerTimeLifetime = std::chrono::seconds(3);

    std::int64_t monotonicMilliseconds(TimePoint now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    }

} // namespace

std::int64_t ClockGuard::guardedMilliseconds(std::int64_t wallMilliseconds, TimePoint now)
{
    std::int64_t monotonic = monotonicMilliseconds(now);
    std::int64_t offset = wallMilliseconds - monotonic;
    if (!m_offset) {
        m_offset = offset;
        m_lastSeenOffset = offset;
    }
    if (std::abs(offset - m_lastSeenOffset) > driftMilliseconds)
        m_jump = offset - m_lastSeenOffset;
    m_lastSeenOffset = offset;
    if (std::abs(offset - *m_offset) <= driftMilliseconds)
        m_offset = offset;
    return monotonic + *m_offset;
}

std::int64_t ClockGuard::guardedMillisecondsAt(std::int64_t wallMilliseconds, TimePoint now, TimePoint earlier)
{
    return guardedMilliseconds(wallMilliseconds, now) - (monotonicMilliseconds(now) - monotonicMilliseconds(earlier));
}

std::int64_t ClockGuard::recordPeerTime(const InstanceId& peer, std::int64_t peerMilliseconds, TimePoint now)
{
    if (!m_offset)
        return 0;
    m_peers[peer] = { peerMilliseconds - monotonicMilliseconds(now) - *m_offset, now };
    std::erase_if(m_peers, [&](const auto& each) { return now - each.second.receivedAt > peerTimeLifetime; });
    std::vector<std::int64_t> differences { 0 };
    for (const auto& [id, difference] : m_peers)
        differences.push_back(difference.milliseconds);
    // Lower median by magnitude: with two entries it is impossible to tell which one is right, so both keep their time.
    std::sort(differences.begin(), differences.end(),
        [](std::int64_t a, std::int64_t b) { return std::abs(a) < std::abs(b); });
    std::int64_t middle = differences[(differences.size() - 1) / 2];
    if (std::abs(middle) <= peerToleranceMilliseconds) {
        m_disagreedSince.reset();
        return 0;
    }
    if (!m_disagreedSince)
        m_disagreedSince = now;
    if (now - *m_disagreedSince < correctionDelay)
        return 0;
    m_disagreedSince.reset();
    *m_offset += middle;
    m_peers.clear();
    return middle;
}

std::optional<std::int64_t> ClockGuard::takeJump()
{
    std::optional<std::int64_t> jump = m_jump;
    m_jump.reset();
    return jump;
}

} // namespace wisteriayard
