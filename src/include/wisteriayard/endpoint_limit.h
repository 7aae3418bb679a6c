#pragma once

#include "wisteriayard/units.h"

#include <optional>

namespace wisteriayard {

/// What an endpoint stated about its rate limit in one response.
struct LimitObservation {
    /// Rate of requests that it accepts from all entries together; absent if it has no limit.
    std::optional<RequestRate> rate;
    TimePoint at {};
};

/// Rate limit that an endpoint names for the requests of all entries together.
class EndpointLimit {
public:
    /// Records a response of the endpoint.
    /// @param rate limit that the response names, if any
    /// @param sentAt time at which the request of that response was sent
    /// @return whether the limit changed
    bool recordResponse(std::optional<RequestRate> rate, TimePoint sentAt, TimePoint now);

    /// The limit in force, if any.
    std::optional<RequestRate> rate() const { return m_latest.rate; }

private:
    LimitObservation m_latest;
};

} // namespace wisteriayard
