#pragma once

#include "crash_guard.h"
#include "store_client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>

namespace wisteriayard {

/// Keeps the suspects in quarantine and on probation in the store, so that they are still known if all entries are
/// restarted at once.
class QuarantineStore {
public:
    QuarantineStore(boost::asio::io_context& io, std::unique_ptr<StoreClient> store, CrashGuard& guard,
        std::shared_ptr<EventLog> log);

    /// Reads the segments in quarantine, then writes changes, until the event loop ends.
    boost::asio::awaitable<void> run();
    /// Queues a change. One entry writes the changes of a segment for all.
    void changed(const QuarantineChange& change);

private:
    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<bool> write(SuspectTag tag, SuspectState state);
    void logFailure(const Error& error);

    boost::asio::io_context& m_io;
    std::unique_ptr<StoreClient> m_store;
    CrashGuard& m_guard;
    std::shared_ptr<EventLog> m_log;
    /// Suspects whose state has to be written.
    std::map<SuspectTag, SuspectState> m_pending;
    bool m_failing = false;
};

} // namespace wisteriayard
