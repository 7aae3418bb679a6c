#pragma once

#include "store_types.h"
#include "wisteriayard/error.h"

#include <string>
#include <string_view>

namespace wisteriayard {

/// First key after all keys with a prefix.
std::string prefixEnd(std::string prefix);

/// @name Requests of the etcd v3 JSON gateway
/// @{
std::string rangeRequestJson(
    std::string_view key, std::string_view rangeEnd, ReadConsistency consistency = ReadConsistency::Linearizable);
std::string transactionJson(const Transaction& transaction);
std::string leaseGrantJson(Duration timeToLive);
std::string leaseJson(LeaseId lease);
std::string watchRequestJson(std::string_view key, std::string_view rangeEnd, Revision start);
/// @}

/// @name Responses; each is Protocol if the text does not have the expected form
/// @{
Result<StoreRange> parseRange(std::string_view json);
Result<TransactionResult> parseTransaction(std::string_view json);
Result<LeaseId> parseLeaseGrant(std::string_view json);
/// Remaining time to live; 0 if the lease is gone.
Result<Duration> parseKeepAlive(std::string_view json);
Result<WatchBatch> parseWatch(std::string_view json);
/// @}

} // namespace wisteriayard
