#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/units.h"

#include <ctime>
#include <memory>

namespace wisteriayard {

/// A section in which the process may send orders. If the process is still inside at the deadline, for instance
/// because it was paused, the kernel kills it, also while it is stopped, so that it can't send late (protocol P1).
class GuardedSection {
public:
    /// Arms the kernel timer.
    /// @param deadline end of the process's authority
    /// @param least shortest time that must be left, so that a slow step does not end the process
    /// @return the section, or Timeout if less time is left, Unavailable if the kernel has no timer for us
    static Result<std::unique_ptr<GuardedSection>> enter(TimePoint deadline, Duration least);

    /// Disarms the timer.
    ~GuardedSection();
    GuardedSection(const GuardedSection&) = delete;
    GuardedSection& operator=(const GuardedSection&) = delete;

    /// Time for the work inside: half of what is left, so that a slow receiver ends the call before the kernel
    /// ends the process.
    Duration workTime() const { return m_workTime; }

private:
    GuardedSection(timer_t timer, Duration workTime);

    timer_t m_timer;
    Duration m_workTime;
};

} // namespace wisteriayard
