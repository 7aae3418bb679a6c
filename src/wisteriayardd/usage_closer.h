#pragma once

#include "event_log.h"
#include "lease_keeper.h"
#include "store_client.h"
#include "usage_store.h"

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
/// continues where the former one stopped.
class UsageCloser {
public:
    UsageCloser(boost::asio::io_context& io, UsageTimes times, StoreClient& store, LeaseKeeper& keeper,
        UsageReportSender sender, WallClock clock, std::shared_ptr<EventLog> log);

    /// Sets a callback for the final usage record of each window that this entry closes.
    void setClosedHandler(std::function<void(const FinalUsageRecord&)> closed) { m_closedHandler = std::move(closed); }
    /// Runs until the event loop stops.
    boost::asio::awaitable<void> run();

private:
    /// Closes or reports at most one window.
    /// @return whether another step may be due at once
    boost::asio::awaitable<Result<bool>> step();
    boost::asio::awaitable<Result<bool>> closeWindow(const WindowMark& closed, WindowId next);
    boost::asio::awaitable<Result<bool>> reportWindow(const WindowMark& sent, WindowId next);
    boost::asio::awaitable<Status> deletePartialRecords(WindowId last);
    Transaction finalTransaction(const WindowMark& closed, const FinalUsageRecord& final) const;
    Transaction sentTransaction(const WindowMark& sent, WindowId window) const;
    bool isDue(WindowId window) const;
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
};

} // namespace wisteriayard
