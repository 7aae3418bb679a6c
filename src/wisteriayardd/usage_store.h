#pragma once

#include "store_client.h"
#include "wisteriayard/usage.h"

#include <optional>
#include <string>

namespace wisteriayard {

/// @name Keys of usage records in the store
/// @{
constexpr std::string_view partialUsageRecordsPrefix = "usage/part/";
/// Holds the number of the last closed window.
constexpr std::string_view usageClosedKey = "usage/closed";
/// Holds the number of the last window whose report the platform accepted.
constexpr std::string_view usageSentKey = "usage/sent";
/// Holds the era of the store in which the two marks above were last checked against what processes know. If the store
/// is in another era, it was restored, and the marks may be older than the reports.
constexpr std::string_view usageEraKey = "usage/era";
/// Prefix of the partial usage records of a window.
std::string partialUsageWindowPrefix(WindowId window);
std::string partialUsageRecordKey(WindowId window, const IncarnationId& entry);
std::string finalUsageRecordKey(WindowId window);
/// @}

/// Value of a key that holds a window number.
struct WindowMark {
    std::optional<WindowId> window;
    /// 0 if the key does not exist.
    Revision revision;
};

/// Value of a key that holds an era of the store.
struct EraMark {
    std::optional<StoreEra> era;
    /// 0 if the key does not exist.
    Revision revision;
};

/// State of a window that an entry needs to settle it.
struct WindowState {
    std::optional<FinalUsageRecord> final;
    /// Whether the window is closed; its final record may have been deleted since.
    bool closed = false;
};

/// Reads a key that holds a window number.
/// @return a mark without a window if the key does not exist
boost::asio::awaitable<Result<WindowMark>> readWindowMark(StoreClient& store, std::string_view key);
boost::asio::awaitable<Result<EraMark>> readEraMark(StoreClient& store, std::string_view key);
/// Reads the final usage record of a window and whether it is closed, at one revision.
boost::asio::awaitable<Result<WindowState>> readWindowState(StoreClient& store, WindowId window);
/// Reads the partial usage records of a window.
boost::asio::awaitable<Result<std::map<IncarnationId, PartialUsageRecord>>> readPartialUsageRecords(
    StoreClient& store, WindowId window);
/// Finds the oldest window with a partial usage record; nothing if there are none.
boost::asio::awaitable<Result<std::optional<WindowId>>> oldestPartialRecordWindow(StoreClient& store);

/// Keys changed per transaction: together with the condition, fewer than the 32 entries that the users' platform
/// allows.
constexpr std::size_t keysPerTransaction = 30;
/// Builds a transaction that writes partial usage records of a window unless it is closed.
/// @param records at most keysPerTransaction
Transaction partialRecordsTransaction(WindowId window, const std::map<IncarnationId, PartialUsageRecord>& records);
/// Builds transactions that delete items under a condition, each with at most keysPerTransaction keys.
std::vector<Transaction> deleteTransactions(const std::vector<StoreItem>& items, const Compare& condition);

} // namespace wisteriayard
