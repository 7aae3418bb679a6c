#include "wisteriayard/endpoint_limit.h"

namespace wisteriayard {

bool EndpointLimit::recordResponse(std::optional<RequestRate> rate, TimePoint sentAt, TimePoint now)
{
    // The response to an earlier request may have been written before the endpoint named its limit.
    if (!rate && m_latest.rate && sentAt <= m_latest.at)
        return false;
    bool changed = rate != m_latest.rate;
    m_latest = { rate, now };
    return changed;
}

} // namespace wisteriayard
