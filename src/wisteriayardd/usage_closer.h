#pragma once

#include "event_log.h"
#include "lease_keeper.h"
#include "store_client.h"
#include "usage_store.h"

namespace wisteriayard {

/// Times of usage windows.
struct UsageTimes {
    Duration window = std::chrono::seconds(60);
    /// Time between two writes of an entry's parts.
    Duration partInterval = std::chrono::seconds(5);
    /// Time from a window's end to its final record.
    Duration grace = std::chrono::seconds(30);
    /// Time after the grace until an entry looks for the final record.
    Duration settleDelay { 0 };
    /// Time between two looks of the lease holder at what is due.
    Duration stepInterval = std::chrono::milliseconds(200);
    /// Final records that are kept.
    std::int64_t retainedWindows = 1440;
};

/// Sends the report of a closed window; called only while the lease is held.
/// @return success once the receiver accepted the report
using UsageReportSender
    = std::function<boost::asio::awaitable<Status>(LeaseKeeper& keeper, WindowId window, const std::string& record)>;

/// Present wall-clock time in milliseconds since 1970.
using WallClock = std::function<std::int64_t()>;

/// Closes usage windows in order and reports them to the platform, while the process holds `lease/usage`.
///
/// Each step starts from what the store holds, so a lost answer or a new holder goes on where the store says.
class UsageCloser {
public:
    UsageCloser(boost::asio::io_context& io, UsageTimes times, StoreClient& store, LeaseKeeper& keeper,
        UsageReportSender sender, WallClock clock, std::shared_ptr<EventLog> log);

    /// Sets what is called with each window's record right after it is closed.
    void setClosed(std::function<void(const FinalUsageRecord&)> closed) { m_closed = std::move(closed); }
    /// Runs until the loop ends.
    boost::asio::awaitable<void> run();

private:
    /// One step: closes or reports one window at most.
    /// @return whether there may be more to do at once
    boost::asio::awaitable<Result<bool>> step();
    boost::asio::awaitable<Result<bool>> close(const WindowMark& closed, WindowId next);
    boost::asio::awaitable<Result<bool>> report(const WindowMark& sent, WindowId next);
    boost::asio::awaitable<Status> deleteParts(WindowId last);
    Transaction finalTransaction(const WindowMark& closed, const FinalUsageRecord& final) const;
    Transaction sentTransaction(const WindowMark& sent, WindowId window) const;
    bool isDue(WindowId window) const;
    /// The next window is not due yet, as far as this holder knows without asking the store.
    bool isWaiting() const { return m_nextOpen && !isDue(*m_nextOpen); }

    boost::asio::io_context& m_io;
    UsageTimes m_times;
    StoreClient& m_store;
    LeaseKeeper& m_keeper;
    UsageReportSender m_sender;
    std::function<void(const FinalUsageRecord&)> m_closed;
    WallClock m_clock;
    std::shared_ptr<EventLog> m_log;
    /// The window to be closed next, once all before it are closed and reported; unset after a change of the holder.
    std::optional<WindowId> m_nextOpen;
};

} // namespace wisteriayard
