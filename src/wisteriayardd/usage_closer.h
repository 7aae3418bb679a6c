#pragma once

#include "event_log.h"
#include "lease_keeper.h"
#include "settings.h"
#include "store_client.h"
#include "usage_store.h"

namespace wisteriayard {

/// Closes usage windows in order and reports them to the platform, while the process holds `lease/usage`.
///
/// Each step starts from what the store holds, so a lost answer or a new holder goes on where the store says.
class UsageCloser {
public:
    UsageCloser(boost::asio::io_context& io, const EntrySettings& settings, StoreClient& store, LeaseKeeper& keeper,
        std::shared_ptr<EventLog> log);

    /// Runs until the loop ends.
    boost::asio::awaitable<void> run();

private:
    /// One step: closes or reports one window at most.
    /// @return whether there may be more to do at once
    boost::asio::awaitable<Result<bool>> step();
    boost::asio::awaitable<Result<bool>> close(const WindowMark& closed, WindowId next);
    boost::asio::awaitable<Result<bool>> report(const WindowMark& sent, WindowId next);
    boost::asio::awaitable<Status> deleteParts(WindowId last);
    Transaction finalTransaction(const WindowMark& closed, const UsageFinal& final) const;
    Transaction sentTransaction(const WindowMark& sent, WindowId window) const;
    bool isDue(WindowId window) const;

    boost::asio::io_context& m_io;
    EntrySettings m_settings;
    StoreClient& m_store;
    LeaseKeeper& m_keeper;
    std::shared_ptr<EventLog> m_log;
};

} // namespace wisteriayard
