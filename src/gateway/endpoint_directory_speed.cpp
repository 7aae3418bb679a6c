// EndpointDirectory: speeds of engines.
#include "endpoint_directory.h"

namespace wisteriayard {

std::map<EndpointTag, SpeedReport> EndpointDirectory::speedReports(TimePoint now)
{
    std::map<EndpointTag, SpeedReport> reported;
    for (auto& [target, placement] : m_placements) {
        for (const auto& [id, report] : placement->speedReports(now))
            reported[endpointTag(id)] = report;
    }
    return reported;
}

void EndpointDirectory::applySpeedReports(
    const InstanceId& peer, const std::map<EndpointTag, SpeedReport>& reported, TimePoint now)
{
    for (const auto& [id, report] : resolveTags(reported))
        placement(record(id)->target).addSpeedReport(peer, id, report, now);
    for (auto& [target, placement] : m_placements)
        placement->speedReportsAdded(now);
}

} // namespace wisteriayard
