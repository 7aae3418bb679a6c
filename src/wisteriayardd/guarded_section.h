#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/units.h"

#include <ctime>
#include <memory>

namespace wisteriayard {

/// Scope in which the process may send orders. If the process is still inside it at the deadline, for instance because
/// it was paused, the kernel kills the process, even a stopped one, so that it can't send late (protocol P1).
class GuardedSection {
public:
    /// Arms the kernel timer.
    /// @param deadline end of the process's authority
    /// @param minimumTime time that must be left until the deadline, so that ordinary delays do not kill the process
    /// @return the section, Timeout if less time is left, or Unavailable if no kernel timer can be created
    static Result<std::unique_ptr<GuardedSection>> enter(TimePoint deadline, Duration minimumTime);

    /// Disarms the timer.
    ~GuardedSection();
    GuardedSection(const GuardedSection&) = delete;
    GuardedSection& operator=(const GuardedSection&) = delete;

    /// Time limit for the work inside: half of the time until the deadline, so that with a slow receiver the call times
    /// out before the kernel kills the process.
    Duration workTime() const { return m_workTime; }

private:
    GuardedSection(timer_t timer, Duration workTime);

    timer_t m_timer;
    Duration m_workTime;
};

} // namespace wisteriayard
