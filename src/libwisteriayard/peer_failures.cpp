#include "wisteriayard/peer_failures.h"

#include <utility>

namespace wisteriayard {

namespace {

    /// Age up to which a report counts; several rounds of reports, so that a few lost ones don't matter.
    constexpr Duration reportLifetime = std::chrono::milliseconds(1500);

} // namespace

void PeerFailures::update(const InstanceId& peer, std::map<EndpointId, std::uint32_t> failing, TimePoint now)
{
    std::erase_if(m_reports, [now](const auto& each) { return now - each.second.receivedAt >= reportLifetime; });
    if (failing.empty())
        m_reports.erase(peer);
    else
        m_reports[peer] = { std::move(failing), now };
}

std::uint32_t PeerFailures::entries(const EndpointId& endpoint, TimePoint now) const
{
    std::uint32_t sum = 0;
    for (const auto& [peer, report] : m_reports) {
        auto found = report.failing.find(endpoint);
        if (found != report.failing.end() && now - report.receivedAt < reportLifetime)
            sum += found->second;
    }
    return sum;
}

} // namespace wisteriayard
