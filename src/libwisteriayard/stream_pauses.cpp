#include "wisteriayard/stream_pauses.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    constexpr Duration objectiveLifetime = std::chrono::seconds(30);
    constexpr double lateShareWeight = 0.02;
    /// Share of late events beside long queues from which on the rules have their whole effect. A stream has dozens of
    /// events, and one late event makes it late.
    constexpr double fullLateShare = 0.2;
    /// Least part of the objective that prompts may take where events are slow even without them.
    constexpr double minRoom = 0.2;

} // namespace

void StreamPauses::recordObjective(Duration gap, TimePoint now)
{
    if (gap <= Duration(0))
        return;
    bool isShortest = m_objective == Duration(0) || gap <= m_objective;
    if (!isShortest && now - m_objectiveAt < objectiveLifetime)
        return;
    m_objective = gap;
    m_objectiveAt = now;
}

void StreamPauses::recordBacklog(Engine& engine, std::int64_t tokens, Duration elapsed) const
{
    if (m_objective == Duration(0))
        return;
    double kept = std::max(0.0, 1 - toSeconds(elapsed) / toSeconds(m_objective));
    engine.recentTokens = std::max(static_cast<double>(tokens), engine.recentTokens * kept);
}

void StreamPauses::recordEvents(
    const Engine& engine, std::size_t count, Duration sincePrevious, double tokenTime, double eventTime)
{
    auto objective = static_cast<double>(m_objective.count());
    if (count == 0 || objective == 0)
        return;
    double room = std::max(objective - eventTime, minRoom * objective);
    if (engine.recentTokens * tokenTime < room)
        return;
    bool isLate = sincePrevious > static_cast<Duration::rep>(count) * m_objective;
    m_lateShare += lateShareWeight * ((isLate ? 1.0 : 0.0) - m_lateShare);
}

double StreamPauses::latePart() const { return std::min(1.0, m_lateShare / fullLateShare); }

} // namespace wisteriayard
