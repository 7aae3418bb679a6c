#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <map>
#include <optional>

namespace wisteriayard {

/// Wall-clock time that is not affected by jumps of the machine's clock.
///
/// Keeps the offset between the wall clock and the monotonic clock that it saw first. A process that started with a
/// wrong wall clock adopts the time of the other entries once most of them have disagreed with it for a while.
class ClockGuard {
public:
    /// @param wallMilliseconds the machine's wall clock, in milliseconds since 1970
    /// @return the guarded time in milliseconds since 1970
    std::int64_t guardedMilliseconds(std::int64_t wallMilliseconds, TimePoint now);
    /// @param now the present time, at which the wall clock was read
    /// @return the guarded time of an earlier moment
    std::int64_t guardedMillisecondsAt(std::int64_t wallMilliseconds, TimePoint now, TimePoint earlier);
    /// Records the guarded time of another entry.
    /// @return the resulting correction in milliseconds; 0 if none
    std::int64_t recordPeerTime(const InstanceId& peer, std::int64_t peerMilliseconds, TimePoint now);
    /// Returns and clears the last jump of the machine's clock, in milliseconds.
    std::optional<std::int64_t> takeJump();

private:
    struct PeerOffset {
        std::int64_t milliseconds = 0;
        TimePoint receivedAt {};
    };

    std::optional<std::int64_t> m_offset;
    std::int64_t m_lastSeenOffset = 0;
    std::optional<std::int64_t> m_jump;
    std::map<InstanceId, PeerOffset> m_peers;
    /// Time since which most entries have disagreed with this one.
    std::optional<TimePoint> m_disagreedSince;
};

} // namespace wisteriayard
