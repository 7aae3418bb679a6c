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

/// Accounts for the usage of an entry: counts it, writes partial usage records to the store, and closes and reports
/// windows while the entry holds the lease (protocol P2). Runs on the control thread.
class UsageReporter : public std::enable_shared_from_this<UsageReporter> {
public:
    struct Options {
        InstanceId instance;
        UsageTimes times;
        LeaseTimes lease;
        /// Competes for the lease to close and report windows.
        bool closesWindows = true;
        std::unique_ptr<StoreClient> store;
        UsageReportSender sender;
        WallClock clock;
        /// Passes a record that could not be written to another entry, which may be able to write it; may be empty.
        std::function<void(WindowId window, const IncarnationId& entry, const PartialUsageRecord& record)>
            forwardUnstored;
        /// Submits a record to an entry that writes those of many entries in one transaction. Returns false if there is
        /// no such entry; may be empty. partialRecordStored() confirms it; without confirmation this entry writes the
        /// record itself.
        std::function<bool(WindowId window, const IncarnationId& entry, const PartialUsageRecord& record)>
            submitToWriter;
        /// Called with the final usage record of each window that this entry closed; may be empty.
        std::function<void(const FinalUsageRecord&)> closed;
    };

    UsageReporter(boost::asio::io_context& io, Options options, std::shared_ptr<EventLog> log);

    /// @param isCandidate whether this entry tries to acquire a free lease
    void start(std::function<bool()> isCandidate = [] { return true; });
    /// Counts usage; may be called from any thread.
    void count(const AccountId& account, const ClassId& requestClass, const UsageFigures& figures);
    /// Default limit for the time that a shutdown waits for the store.
    static constexpr Duration flushTimeout = std::chrono::seconds(30);
    /// Releases the lease, for shutdown. Usage is still counted and written.
    boost::asio::awaitable<void> releaseLease() { return m_keeper.release(); }
    /// Writes all counted usage and releases the lease, for shutdown.
    boost::asio::awaitable<void> flush(Duration timeout = flushTimeout);
    /// Queues a record of another entry, to be written in one transaction with others that arrive at about the same
    /// time.
    /// @param written called once the record is in the store
    void queueForeignRecord(
        WindowId window, const IncarnationId& entry, PartialUsageRecord record, std::function<void()> written);
    /// Confirms that another entry has written a record of this entry.
    void partialRecordStored(WindowId window, const IncarnationId& entry, std::uint64_t sequence);
    /// Last usage window that this entry knows to be closed.
    std::optional<WindowId> lastClosedWindow() const { return m_closer.lastClosed(); }
    /// Records that another entry knows a window to be closed.
    void windowClosedElsewhere(WindowId window) { m_closer.windowClosed(window); }
    /// Settles a window that another entry has closed.
    /// @param counted sequence number of this entry's record that the final usage record counts
    void windowClosed(WindowId window, const IncarnationId& entry, std::optional<std::uint64_t> counted);
    /// The store came back from an older copy.
    void storeRestored(TimePoint now);
    /// State as JSON. Control thread only.
    nlohmann::json status() const;

private:
    boost::asio::awaitable<void> runWriteLoop();
    /// Writes usage counted since the last call, or submits it to the writer.
    /// @return whether all of it is in the store
    boost::asio::awaitable<bool> writePartialRecords(bool submitToWriter);
    /// Writes submitted records that have not been confirmed.
    boost::asio::awaitable<void> writeUnconfirmedRecords();
    /// @return whether the record is in the store
    boost::asio::awaitable<bool> writePartialRecord(WindowId window, const PartialUsageRecord& record);
    boost::asio::awaitable<void> runForeignWriteLoop();
    boost::asio::awaitable<void> writeForeignRecords(WindowId window);
    boost::asio::awaitable<bool> settle(WindowId window);
    bool applyFinalRecord(WindowId window, std::optional<std::uint64_t> counted);
    WindowId windowNow() const;
    bool mayBeClosed(WindowId window) const;

    boost::asio::io_context& m_io;
    UsageTimes m_times;
    bool m_closesWindows;
    WallClock m_clock;
    std::function<void(WindowId, const IncarnationId&, const PartialUsageRecord&)> m_forwardUnstored;
    std::function<bool(WindowId, const IncarnationId&, const PartialUsageRecord&)> m_submitToWriter;
    std::shared_ptr<EventLog> m_log;
    IncarnationId m_self;
    std::unique_ptr<StoreClient> m_store;
    LeaseKeeper m_keeper;
    UsageCloser m_closer;
    UsageLedger m_ledger;
    /// Windows with a submitted record that has not been confirmed.
    std::set<WindowId> m_unconfirmed;
    /// A queued record of another entry.
    struct ForeignRecord {
        PartialUsageRecord record;
        std::function<void()> written;
    };
    std::map<WindowId, std::map<IncarnationId, ForeignRecord>> m_foreign;
};

} // namespace wisteriayard
