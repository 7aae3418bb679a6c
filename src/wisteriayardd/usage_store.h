#pragma once

#include "store_client.h"
#include "wisteriayard/usage.h"

#include <optional>
#include <string>

namespace wisteriayard {

/// @name Keys of usage records in the store
/// @{
constexpr std::string_view usagePartsPrefix = "usage/part/";
/// The last closed window, as text.
constexpr std::string_view usageClosedKey = "usage/closed";
/// The last window whose report the platform accepted, as text.
constexpr std::string_view usageSentKey = "usage/sent";
/// Prefix of the parts of one window.
std::string usagePartPrefix(WindowId window);
std::string usagePartKey(WindowId window, const IncarnationId& entry);
std::string usageFinalKey(WindowId window);
/// @}

/// A key that holds the number of a window.
struct WindowMark {
    std::optional<WindowId> window;
    /// 0 if the key does not exist.
    Revision revision;
};

/// What an entry needs to settle a window.
struct WindowRecord {
    std::optional<FinalUsageRecord> final;
    /// The window is closed; its record may have been deleted since.
    bool closed = false;
};

/// Reads a key that holds the number of a window; a missing key is an empty mark.
boost::asio::awaitable<Result<WindowMark>> readWindowMark(StoreClient& store, std::string_view key);
/// Reads the final record of a window and whether it is closed, at one revision.
boost::asio::awaitable<Result<WindowRecord>> readWindowRecord(StoreClient& store, WindowId window);
/// Reads the parts of a window.
boost::asio::awaitable<Result<std::map<IncarnationId, PartialUsageRecord>>> readUsageParts(
    StoreClient& store, WindowId window);
/// The oldest window that has a part; none if there are no parts.
boost::asio::awaitable<Result<std::optional<WindowId>>> oldestPartWindow(StoreClient& store);

/// Keys that one transaction changes: with a condition below the 32 entries that the users' platform allows.
constexpr std::size_t keysPerTransaction = 30;
/// Writes parts of a window unless it is closed.
/// @param parts at most keysPerTransaction
Transaction partsTransaction(WindowId window, const std::map<IncarnationId, PartialUsageRecord>& parts);
/// Transactions that delete items under a condition.
std::vector<Transaction> deletions(const std::vector<StoreItem>& items, const Compare& condition);

} // namespace wisteriayard
