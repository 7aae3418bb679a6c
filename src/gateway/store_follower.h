#pragma once

#include "event_log.h"
#include "store_client.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace wisteriayard {

/// Reads all keys with a prefix, then follows their changes; starts over when the watch ends.
class StoreFollower {
public:
    struct Handlers {
        std::function<void(const StoreRange&, TimePoint now)> snapshot;
        std::function<void(const WatchBatch&, TimePoint now)> changes;
    };

    StoreFollower(boost::asio::io_context& io, std::unique_ptr<StoreClient> store, std::string prefix,
        Handlers handlers, std::shared_ptr<EventLog> log);

    /// Runs until the loop ends.
    boost::asio::awaitable<void> run();

private:
    void noteError(const Error& error);
    void noteHeard();

    boost::asio::io_context& m_io;
    std::unique_ptr<StoreClient> m_store;
    std::string m_prefix;
    Handlers m_handlers;
    std::shared_ptr<EventLog> m_log;
    bool m_lost = false;
};

} // namespace wisteriayard
