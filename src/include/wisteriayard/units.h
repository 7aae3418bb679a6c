#pragma once

#include "wisteriayard/strong.h"

#include <chrono>
#include <cstdint>

namespace wisteriayard {

/// Tokens of prompt or output.
using Tokens = StrongNumber<struct TokensTag, std::int64_t>;
using Bytes = StrongNumber<struct BytesTag, std::int64_t>;
/// Modification revision of the key-value store; increases with each write, also over eras (store_numbers.h).
using Revision = StrongNumber<struct RevisionTag, std::int64_t>;
/// Number of a store's history. Rises each time the store comes back from an older copy of itself; 0 for a store that
/// names none.
using StoreEra = StrongNumber<struct StoreEraTag, std::int64_t>;
/// Fencing token of a lease holder.
using Epoch = StrongNumber<struct EpochTag, std::int64_t>;
/// Engine priority; a lower number is served first.
using Priority = StrongNumber<struct PriorityTag, std::int32_t>;
/// Start time of an endpoint in milliseconds since 1970; distinguishes restarts under the same id.
using Incarnation = StrongNumber<struct IncarnationTag, std::int64_t>;

/// Requests per second, in the precision of the entries' reports to each other, so that all entries have the same
/// value.
using RequestRate = StrongNumber<struct RequestRateTag, float>;

using Duration = std::chrono::microseconds;

/// A duration as a number of seconds.
inline double toSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }

/// Multiplies a duration by a factor, truncated to microseconds.
inline Duration scaled(Duration time, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

/// Clock of the control core. It has no now(): the current time is always passed as an argument.
struct ControlClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<ControlClock, duration>;
    static constexpr bool is_steady = true;
};

using TimePoint = ControlClock::time_point;

} // namespace wisteriayard
