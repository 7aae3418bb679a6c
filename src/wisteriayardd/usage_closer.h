#pragma once

#include "event_log.h"
#include "lease_keeper.h"
#include "store_client.h"
#include "usage_store.h"

#include <algorithm>
#include <map>

namespace wisteriayard {

/// Lengths and delays of usage windows.
struct UsageTimes {
    Duration window = std::chrono::seconds(60);
    /// Interval at which an entry writes its partial usage records.
    Duration partialRecordInterval = std::chrono::seconds(5);
    /// Time from the end of a window until its final usage record is written.
    Duration grace = std::chrono::seconds(30);
    /// Additional time after the grace period until an entry reads the final usage record.
    Duration settleDelay { 0 };
    /// Interval at which the lease holder checks for windows to close or report.
    Duration stepInterval = std::chrono::milliseconds(200);
    /// Time after a restoration of the store within which entries write what it has forgotten.
    Duration restorationSettling { 0 };
    /// Number of final usage records that are retained.
    std::int64_t retainedWindows = 1440;
};

/// Sends the report of a closed window; called only while the lease is held.
/// @return success once the receiver accepted the report
using UsageReportSender
    = std::function<boost::asio::awaitable<Status>(LeaseKeeper& keeper, WindowId window, const std::string& record)>;

/// Returns the wall-clock time in milliseconds since 1970-01-01 UTC.
using WallClock = std::function<std::int64_t()>;

/// Closes usage windows in order and reports them to the platform, while the process holds `lease/usage`.
///
/// Each step starts from the state in the store, so it recovers from unanswered requests and a new lease holder
/// continues where the former one stopped. If the store comes back from an older copy, that state is completed by what
/// processes know: which windows were closed, and the final usage records of those that they closed or reported
/// themselves. A window that may have been reported and whose record is lost is not reported again, because another
/// record of it would bill usage twice.
class UsageCloser {
public:
    UsageCloser(boost::asio::io_context& io, UsageTimes times, StoreClient& store, LeaseKeeper& keeper,
        UsageReportSender sender, WallClock clock, std::shared_ptr<EventLog> log);

    /// Sets a callback for the final usage record of each window that this entry closes.
    void setClosedHandler(std::function<void(const FinalUsageRecord&)> closed) { m_closedHandler = std::move(closed); }
    /// Records that another process has closed a window.
    void windowClosed(WindowId window) { m_lastClosed = std::max(m_lastClosed.value_or(window), window); }
    /// Last window that is known to be closed.
    std::optional<WindowId> lastClosed() const { return m_lastClosed; }
    /// The store came back from an older copy. Writes the final usage records that this process knows again.
    void storeRestored(TimePoint now);
    /// Runs until the event loop stops.
    boost::asio::awaitable<void> run();

private:
    /// Closes or reports at most one window.
    /// @return whether another step may be due at once
    boost::asio::awaitable<Result<bool>> step();
    /// Corrects the marks in the store if it was restored since they were last checked.
    /// @param era present era of the store
    /// @return whether windows may be closed and reported: not before the other entries have written again what the
    /// store has forgotten, and have reported which windows were closed
    boost::asio::awaitable<Result<bool>> checkMarks(StoreEra era);
    boost::asio::awaitable<void> restoreRecords();
    void keepRecord(WindowId window, const std::string& record);
    boost::asio::awaitable<Result<bool>> closeWindow(const WindowMark& closed, WindowId next);
    boost::asio::awaitable<Result<bool>> reportWindow(const WindowMark& sent, WindowId next);
    boost::asio::awaitable<Status> deletePartialRecords(WindowId last);
    Transaction finalTransaction(const WindowMark& closed, const FinalUsageRecord& final) const;
    Transaction sentTransaction(const WindowMark& sent, WindowId window) const;
    bool isDue(WindowId window) const;
    /// Last window that is due.
    WindowId lastDue() const;
    /// Whether the next window is known not to be due yet, so that the store need not be read.
    bool isWaiting() const { return m_nextOpen && !isDue(*m_nextOpen); }

    boost::asio::io_context& m_io;
    UsageTimes m_times;
    StoreClient& m_store;
    LeaseKeeper& m_keeper;
    UsageReportSender m_sender;
    std::function<void(const FinalUsageRecord&)> m_closedHandler;
    WallClock m_clock;
    std::shared_ptr<EventLog> m_log;
    /// The next window to close, if all earlier ones are closed and reported; unset while the lease is not held.
    std::optional<WindowId> m_nextOpen;
    /// Last window that was due when the process started: of later ones it knows whether they were closed.
    WindowId m_dueAtStart;
    std::optional<WindowId> m_lastClosed;
    /// Time from which on entries have written their records again and reported the last closed window, after the last
    /// restoration or, for one before it, the start of this process.
    TimePoint m_settledAt;
    /// Era in which the marks were checked last; 0 for a store without eras.
    StoreEra m_checkedEra { 0 };
    /// Final usage records of the last windows that this process closed or reported, and those of them that have to be
    /// written again.
    std::map<WindowId, std::string> m_records;
    std::map<WindowId, std::string> m_recordsToRestore;
};

} // namespace wisteriayard
