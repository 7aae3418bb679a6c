// EndpointDirectory: memory of engines as a bound.
#include "endpoint_directory.h"

#include <numeric>
#include <utility>

namespace wisteriayard {

void EndpointDirectory::updateFullEngines(TimePoint now)
{
    if (!m_settings.enginesEnforceMemory)
        return;
    for (const auto& [target, placement] : m_placements) {
        std::size_t full = placement->fullEngines(now);
        bool wasFull = std::exchange(m_fullEngines[target], full) > 0;
        if (wasFull != (full > 0))
            m_log->write(Event::EnginesFullChanged,
                { { "target", target.value() }, { "full", full }, { "of", placement->size() } });
    }
}

std::size_t EndpointDirectory::fullEngineCount() const
{
    return std::accumulate(m_fullEngines.begin(), m_fullEngines.end(), std::size_t(0),
        [](std::size_t sum, const auto& each) { return sum + each.second; });
}

} // namespace wisteriayard
