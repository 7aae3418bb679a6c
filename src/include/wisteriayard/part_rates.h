#pragma once

#include "wisteriayard/units.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace wisteriayard {

/// Engine time that requests with the same shared prompt part ask for, by part.
///
/// Load pattern: one part gets a large share of the requests, so that its home can't serve them all.
class PartRates {
public:
    /// Time constant of the averages: a part of ordinary popularity is seen once in this time by one entry.
    static constexpr Duration averaging = std::chrono::seconds(5);

    /// A request with this part was placed.
    /// @param work engine time that it will take
    void note(std::uint64_t part, Duration work, TimePoint now);
    /// @return engine time asked for in each second, in seconds
    double rate(std::uint64_t part, TimePoint now) const;
    std::size_t size() const { return m_parts.size(); }

private:
    struct Rate {
        double value = 0;
        TimePoint at {};
    };

    static double decayed(const Rate& rate, TimePoint now);
    void forgetOld(TimePoint now);

    std::unordered_map<std::uint64_t, Rate> m_parts;
};

} // namespace wisteriayard
