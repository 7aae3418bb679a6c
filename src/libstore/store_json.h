#pragma once

#include "store_types.h"
#include "wisteriayard/error.h"

#include <string>
#include <string_view>

namespace wisteriayard {

/// Smallest key that is greater than all keys with the given prefix, for use as the end of a range.
std::string prefixEnd(std::string prefix);

/// @name Encoding of requests to the etcd v3 JSON gateway
/// @{
std::string rangeRequestJson(
    std::string_view key, std::string_view rangeEnd, ReadConsistency consistency = ReadConsistency::Linearizable);
std::string transactionJson(const Transaction& transaction);
std::string leaseGrantJson(Duration timeToLive);
std::string leaseJson(LeaseId lease);
std::string watchRequestJson(std::string_view key, std::string_view rangeEnd, Revision start);
/// @}

/// @name Decoding of responses; returns Protocol if the text does not have the expected format
/// @{
Result<StoreRange> parseRange(std::string_view json);
Result<TransactionResult> parseTransaction(std::string_view json);
Result<LeaseId> parseLeaseGrant(std::string_view json);
/// @return the remaining time to live; 0 if the lease no longer exists
Result<Duration> parseKeepAlive(std::string_view json);
/// @return the batch; Unavailable if the store has cancelled the watch
Result<WatchBatch> parseWatch(std::string_view json);
/// @}

} // namespace wisteriayard
