#include "guarded_section.h"

#include "clock.h"

#include <cerrno>
#include <csignal>
#include <cstring>

namespace wisteriayard {

Result<std::unique_ptr<GuardedSection>> GuardedSection::enter(TimePoint deadline, Duration minimumTime)
{
    TimePoint now = bootTimeNow();
    if (deadline - now < minimumTime)
        return fail(Errc::Timeout, "too little time is left until the lease ends");
    sigevent event {};
    event.sigev_notify = SIGEV_SIGNAL;
    event.sigev_signo = SIGKILL;
    timer_t timer {};
    if (timer_create(CLOCK_BOOTTIME, &event, &timer) != 0)
        return fail(Errc::Unavailable, std::string("timer_create: ") + std::strerror(errno));
    std::unique_ptr<GuardedSection> section(new GuardedSection(timer, (deadline - now) / 2));
    // The deadline is absolute: a pause between the check and this call can't move it.
    auto time = deadline.time_since_epoch();
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    itimerspec expiry {};
    expiry.it_value.tv_sec = seconds.count();
    expiry.it_value.tv_nsec = std::chrono::nanoseconds(time - seconds).count();
    if (timer_settime(timer, TIMER_ABSTIME, &expiry, nullptr) != 0)
        return fail(Errc::Unavailable, std::string("timer_settime: ") + std::strerror(errno));
    return section;
}

GuardedSection::GuardedSection(timer_t timer, Duration workTime)
    : m_timer(timer)
    , m_workTime(workTime)
{
}

GuardedSection::~GuardedSection() { timer_delete(m_timer); }

} // namespace wisteriayard
