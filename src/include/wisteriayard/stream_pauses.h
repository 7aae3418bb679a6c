#pragma once

#include "wisteriayard/units.h"

#include <cstdint>

namespace wisteriayard {

/// Learns whether long prompts make the streams beside them late.
///
/// Load pattern: engines compute prompts in chunks between the tokens of their streams, and an event holds several
/// tokens. Where chunks are large, the prompts of a few hundred milliseconds delay an event beyond the objective for
/// pauses; where they are small, no queue does. This depends on the engine's settings, so it is learned from the events
/// of streams at engines that got more prompt tokens than they can compute within one pause of the objective.
class StreamPauses {
public:
    /// What is known of one engine.
    struct Engine {
        /// Largest number of prompt tokens that waited lately; decreases to 0 within one objective.
        double recentTokens = 0;
    };

    /// Records the objective for pauses of a stream. The shortest of the last 30 s counts.
    void recordObjective(Duration gap, TimePoint now);
    /// Shortest recent objective; 0 if there is none.
    Duration objective() const { return m_objective; }

    /// Records the prompt tokens that wait at an engine.
    /// @param elapsed time since the previous call for this engine
    void recordBacklog(Engine& engine, std::int64_t tokens, Duration elapsed) const;
    /// Records events of a stream.
    /// @param count number of events that arrived since the previous ones
    /// @param tokenTime time per prompt token of this engine, in microseconds
    /// @param eventTime mean time between two events, in microseconds
    void recordEvents(
        const Engine& engine, std::size_t count, Duration sincePrevious, double tokenTime, double eventTime);

    /// Degree, from 0 to 1, to which queues of long prompts make streams late; 0 until events have shown it.
    double latePart() const;

private:
    Duration m_objective {};
    TimePoint m_objectiveAt {};
    /// Moving average over the events at engines with long queues.
    double m_lateShare = 0;
};

} // namespace wisteriayard
