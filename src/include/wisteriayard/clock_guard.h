#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <map>
#include <optional>

namespace wisteriayard {

/// Wall-clock time that jumps of the machine's own clock don't change.
///
/// The offset between the wall clock and the monotonic clock is kept from the start. A process that started while its
/// wall clock was off takes over the time of the other entries once most of them agree.
class ClockGuard {
public:
    /// @param wallMilliseconds the machine's wall clock, in milliseconds since 1970
    /// @return the guarded time in milliseconds since 1970
    std::int64_t milliseconds(std::int64_t wallMilliseconds, TimePoint now);
    /// Another entry told its guarded time.
    /// @return the correction that was made, in milliseconds; 0 if none
    std::int64_t peerTime(const InstanceId& peer, std::int64_t peerMilliseconds, TimePoint now);
    /// A jump of the machine's clock that was not yet reported, in milliseconds.
    std::optional<std::int64_t> takeJump();

private:
    struct PeerOffset {
        std::int64_t milliseconds = 0;
        TimePoint toldAt {};
    };

    std::optional<std::int64_t> m_offset;
    std::int64_t m_lastSeenOffset = 0;
    std::optional<std::int64_t> m_jump;
    std::map<InstanceId, PeerOffset> m_peers;
    /// Since when most entries have disagreed with this one.
    std::optional<TimePoint> m_disagreedSince;
};

} // namespace wisteriayard
