#include "wisteriayard/clock_guard.h"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace wisteriayard {

namespace {

    /// Changes of the offset up to this are drift that time synchronisation corrects.
    constexpr std::int64_t driftMilliseconds = 250;
    /// Differences between entries below this are delays of messages.
    constexpr std::int64_t agreementMilliseconds = 300;
    /// A process that stood still reads messages that waited for it; their times disagree until the newest is read.
    constexpr Duration lastingDisagreement = std::chrono::milliseconds(1500);
    constexpr Duration peerTimeLifetime = std::chrono::seconds(3);

    std::int64_t monotonicMilliseconds(TimePoint now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    }

} // namespace

std::int64_t ClockGuard::milliseconds(std::int64_t wallMilliseconds, TimePoint now)
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

std::int64_t ClockGuard::peerTime(const InstanceId& peer, std::int64_t peerMilliseconds, TimePoint now)
{
    if (!m_offset)
        return 0;
    m_peers[peer] = { peerMilliseconds - monotonicMilliseconds(now) - *m_offset, now };
    std::erase_if(m_peers, [&](const auto& each) { return now - each.second.toldAt > peerTimeLifetime; });
    std::vector<std::int64_t> differences { 0 };
    for (const auto& [id, told] : m_peers)
        differences.push_back(told.milliseconds);
    // The lower median: with two entries neither can know which one is right, and both keep their time.
    std::sort(differences.begin(), differences.end(),
        [](std::int64_t a, std::int64_t b) { return std::abs(a) < std::abs(b); });
    std::int64_t middle = differences[(differences.size() - 1) / 2];
    if (std::abs(middle) <= agreementMilliseconds) {
        m_disagreedSince.reset();
        return 0;
    }
    if (!m_disagreedSince)
        m_disagreedSince = now;
    if (now - *m_disagreedSince < lastingDisagreement)
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
