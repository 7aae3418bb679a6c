#pragma once

#include "wisteriayard/units.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <limits>
#include <unordered_set>

namespace wisteriayard {

class Watchdog;

/// Calls a function once at a given time. All deadlines share the timer of one Watchdog.
class Deadline {
public:
    Deadline(Watchdog& watchdog, std::function<void()> expired);
    Deadline(const Deadline&) = delete;
    Deadline& operator=(const Deadline&) = delete;
    ~Deadline();

    void set(TimePoint at) { m_at = at; }
    void clear() { m_at = TimePoint::max(); }

private:
    friend class Watchdog;
    Watchdog& m_watchdog;
    std::function<void()> m_expired;
    TimePoint m_at = TimePoint::max();
};

/// Polls a set of deadlines and calls the functions of those that have passed. Not thread-safe; used from the event
/// loop's thread only.
class Watchdog {
public:
    /// Polling interval, which is also the greatest delay of a deadline.
    static constexpr Duration interval = std::chrono::milliseconds(20);

    explicit Watchdog(boost::asio::io_context& io)
        : m_io(io)
    {
    }

    /// Runs until the event loop ends.
    /// @param paused called with the duration of a pause in which the process did not run
    boost::asio::awaitable<void> run(std::function<void(Duration)> paused);

private:
    friend class Deadline;
    void expire(TimePoint now);

    boost::asio::io_context& m_io;
    std::unordered_set<Deadline*> m_deadlines;
};

} // namespace wisteriayard
