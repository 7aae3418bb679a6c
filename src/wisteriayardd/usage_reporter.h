#pragma once

#include "event_log.h"
#include "lease_keeper.h"
#include "store_client.h"
#include "usage_closer.h"
#include "wisteriayard/usage.h"

#include <map>
#include <memory>
#include <set>

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
        std::function<void(WindowId window, const IncarnationId& entry, const PartialUsageRecord& part)> passOn;
        /// Takes a part for an entry that writes those of many; empty, or false if there is none. partWritten() tells
        /// that the part is in the store; until then it is written here after all.
        std::function<bool(WindowId window, const IncarnationId& entry, const PartialUsageRecord& part)> viaWriter;
        /// Takes the record of each window that this entry closed; may be empty.
        std::function<void(const FinalUsageRecord&)> closed;
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
    /// Writes a part of another entry, together with those of others that come at about the same time.
    /// @param written called once the part is in the store
    void writeFor(WindowId window, const IncarnationId& entry, PartialUsageRecord part, std::function<void()> written);
    /// A writer has written a part of this entry.
    void partWritten(WindowId window, const IncarnationId& entry, std::uint64_t sequence);
    /// A window is closed.
    /// @param counted number of the part of this entry that its record counts
    void windowClosed(WindowId window, const IncarnationId& entry, std::optional<std::uint64_t> counted);
    /// State as JSON. Control thread only.
    nlohmann::json status() const;

private:
    boost::asio::awaitable<void> writeForever();
    /// Writes what was counted since the last time, or has it written.
    /// @return whether the store has everything
    boost::asio::awaitable<bool> writeParts(bool viaWriter);
    /// Writes the parts that no writer has confirmed.
    boost::asio::awaitable<void> writeUnconfirmed();
    /// @return whether the store has the part
    boost::asio::awaitable<bool> writePart(WindowId window, const PartialUsageRecord& part);
    boost::asio::awaitable<void> writeForOthers();
    boost::asio::awaitable<void> writeForOthers(WindowId window);
    boost::asio::awaitable<bool> settle(WindowId window);
    bool settleBy(WindowId window, std::optional<std::uint64_t> counted);
    WindowId windowNow() const;
    bool mayBeClosed(WindowId window) const;

    boost::asio::io_context& m_io;
    UsageTimes m_times;
    bool m_reports;
    WallClock m_clock;
    std::function<void(WindowId, const IncarnationId&, const PartialUsageRecord&)> m_passOn;
    std::function<bool(WindowId, const IncarnationId&, const PartialUsageRecord&)> m_viaWriter;
    std::shared_ptr<EventLog> m_log;
    IncarnationId m_self;
    std::unique_ptr<StoreClient> m_store;
    LeaseKeeper m_keeper;
    UsageCloser m_closer;
    UsageLedger m_ledger;
    /// Windows with a part that a writer was given and has not confirmed.
    std::set<WindowId> m_unconfirmed;
    /// Parts of other entries that are to be written.
    struct ForeignPart {
        PartialUsageRecord part;
        std::function<void()> written;
    };
    std::map<WindowId, std::map<IncarnationId, ForeignPart>> m_foreign;
};

} // namespace wisteriayard
