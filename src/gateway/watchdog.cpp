#include "watchdog.h"

#include "clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <vector>

namespace wisteriayard {

namespace {

    /// A polling interval longer than this indicates that the process was stopped or its machine suspended.
    constexpr Duration pauseThreshold = std::chrono::milliseconds(700);

} // namespace

Deadline::Deadline(Watchdog& watchdog, std::function<void()> expired)
    : m_watchdog(watchdog)
    , m_expired(std::move(expired))
{
    m_watchdog.m_deadlines.insert(this);
}

Deadline::~Deadline() { m_watchdog.m_deadlines.erase(this); }

boost::asio::awaitable<void> Watchdog::run(std::function<void(Duration)> paused)
{
    boost::asio::steady_timer timer(m_io);
    TimePoint last = bootTimeNow();
    while (true) {
        timer.expires_after(interval);
        co_await timer.async_wait(boost::asio::use_awaitable);
        TimePoint now = bootTimeNow();
        if (now - last > pauseThreshold)
            paused(now - last);
        last = now;
        expire(now);
    }
}

void Watchdog::expire(TimePoint now)
{
    // The functions may add and remove deadlines, so collect the passed ones before calling any.
    std::vector<Deadline*> passed;
    for (Deadline* deadline : m_deadlines) {
        if (deadline->m_at <= now)
            passed.push_back(deadline);
    }
    for (Deadline* deadline : passed) {
        if (m_deadlines.count(deadline) == 0 || deadline->m_at > now)
            continue;
        deadline->clear();
        deadline->m_expired();
    }
}

} // namespace wisteriayard
