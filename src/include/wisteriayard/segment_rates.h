#pragma once

#include "wisteriayard/units.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace wisteriayard {

/// Engine time needed by the requests with the same shared segment, for each segment.
///
/// For the load pattern in which one segment gets so many of the requests that its preferred endpoint can't serve them
/// all.
class SegmentRates {
public:
    /// Time constant of the averages: one entry sees a segment of ordinary popularity once in this time.
    static constexpr Duration timeConstant = std::chrono::seconds(5);

    /// Records a request with this segment that was placed.
    /// @param work engine time that the request is expected to take
    void recordRequest(std::uint64_t segment, Duration work, TimePoint now);
    /// @return engine time needed in each second, in seconds
    double rate(std::uint64_t segment, TimePoint now) const;
    std::size_t size() const { return m_rates.size(); }

private:
    struct Rate {
        double value = 0;
        TimePoint at {};
    };

    static double decayed(const Rate& rate, TimePoint now);
    void removeIdle(TimePoint now);

    std::unordered_map<std::uint64_t, Rate> m_rates;
};

} // namespace wisteriayard
