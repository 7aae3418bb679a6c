#pragma once

#include "event_log.h"
#include "lease_keeper.h"
#include "store_client.h"
#include "usage_closer.h"
#include "wisteriayard/usage.h"

#include <memory>

namespace wisteriayard {

/// Usage of an entry: counts it, writes parts to the store, and closes and reports windows while it holds the lease
/// (protocol P2). Runs on the control thread.
class UsageReporter : public std::enable_shared_from_this<UsageReporter> {
public:
    /// What a reporter works with.
    struct Parts {
        InstanceId instance;
        UsageTimes times;
        LeaseTimes lease;
        /// Takes part in the lease for closing and reporting windows.
        bool reports = true;
        std::unique_ptr<StoreClient> store;
        UsageReportSender sender;
        WallClock clock;
        /// Takes a part that could not be written, so that another entry may write it; may be empty.
        std::function<void(WindowId window, const IncarnationId& entry, const UsagePart& part)> passOn;
    };

    UsageReporter(boost::asio::io_context& io, Parts parts, std::shared_ptr<EventLog> log);

    /// @param isCandidate whether this entry asks for a free lease
    void start(std::function<bool()> isCandidate = [] { return true; });
    /// Counts usage. Any thread.
    void count(const AccountId& account, const ClassId& requestClass, const UsageFigures& figures);
    /// Longest time that a shutdown waits for the store.
    static constexpr Duration flushTimeout = std::chrono::seconds(30);
    /// Writes everything that is counted and gives the lease up, for shutdown.
    boost::asio::awaitable<void> flush(Duration timeout = flushTimeout);
    /// Writes a part of another entry that can't reach the store.
    boost::asio::awaitable<void> writeFor(WindowId window, IncarnationId entry, UsagePart part);
    /// State as JSON. Control thread only.
    nlohmann::json status() const;

private:
    boost::asio::awaitable<void> writeForever();
    /// @return whether the store has everything
    boost::asio::awaitable<bool> writeParts();
    boost::asio::awaitable<bool> settle(WindowId window);
    WindowId windowNow() const;
    bool mayBeClosed(WindowId window) const;

    boost::asio::io_context& m_io;
    UsageTimes m_times;
    bool m_reports;
    WallClock m_clock;
    std::function<void(WindowId, const IncarnationId&, const UsagePart&)> m_passOn;
    std::shared_ptr<EventLog> m_log;
    IncarnationId m_self;
    std::unique_ptr<StoreClient> m_store;
    LeaseKeeper m_keeper;
    UsageCloser m_closer;
    UsageLedger m_ledger;
};

} // namespace wisteriayard
