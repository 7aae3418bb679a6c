#include "wisteriayard/endpoint_exclusion.h"

namespace wisteriayard {

std::string_view endpointExclusionName(EndpointExclusion exclusion)
{
    switch (exclusion) {
    case EndpointExclusion::AlreadyTried:
        return "already_tried";
    case EndpointExclusion::OtherRegion:
        return "other_region";
    case EndpointExclusion::Evacuated:
        return "evacuated";
    case EndpointExclusion::Paused:
        return "paused";
    case EndpointExclusion::ColdStart:
        return "cold_start";
    case EndpointExclusion::RateLimit:
        return "rate_limit";
    case EndpointExclusion::Memory:
        return "memory";
    case EndpointExclusion::Ejected:
        return "ejected";
    }
    return "unknown";
}

} // namespace wisteriayard
