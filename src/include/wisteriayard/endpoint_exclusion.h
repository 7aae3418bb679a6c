#pragma once

#include <string_view>

namespace wisteriayard {

/// Why an endpoint is no candidate for a request.
enum class EndpointExclusion {
    /// An earlier attempt of the request went there.
    AlreadyTried,
    /// It is in a region in which the request may not be served.
    OtherRegion,
    /// Its zone is being evacuated.
    Evacuated,
    /// It asked for a pause.
    Paused,
    /// This entry has no credit for the few requests that it takes while it is cold.
    ColdStart,
    /// This entry has no credit for the rate limit that it names.
    RateLimit,
    /// It has no memory for the request.
    Memory,
    /// It was ejected because its requests failed.
    Ejected,
};
std::string_view endpointExclusionName(EndpointExclusion exclusion);

} // namespace wisteriayard
