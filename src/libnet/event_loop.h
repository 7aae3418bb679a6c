#pragma once

#include <boost/asio/io_context.hpp>

namespace wisteriayard {

/// Event loop that can drop its pending work before its own destruction.
///
/// Suspended coroutines and handlers refer to the objects that started them. An owner of both calls discardPending()
/// first in its destructor, so that they are destroyed while all of its members exist, whatever the members' order.
class EventLoop : public boost::asio::io_context {
public:
    using io_context::io_context;

    /// Destroys all suspended coroutines and pending handlers without resuming them. The loop must not run any more;
    /// its sockets and timers can still be closed and destroyed.
    void discardPending() { shutdown(); }
};

} // namespace wisteriayard
