#pragma once

#include "wisteriayard/units.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <limits>
#include <unordered_set>

namespace wisteriayard {

class Watchdog;

/// A point in time at which a function is called once; one timer serves all of them.
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

/// Calls the functions of deadlines that have passed. Belongs to one loop's thread.
class Watchdog {
public:
    /// Time between two looks; deadlines are met late by this at most.
    static constexpr Duration interval = std::chrono::milliseconds(20);

    explicit Watchdog(boost::asio::io_context& io)
        : m_io(io)
    {
    }

    /// Runs until the loop ends.
    /// @param paused called with the length of a gap in which the process did not run
    boost::asio::awaitable<void> run(std::function<void(Duration)> paused);

private:
    friend class Deadline;
    void expire(TimePoint now);

    boost::asio::io_context& m_io;
    std::unordered_set<Deadline*> m_deadlines;
};

} // namespace wisteriayard
