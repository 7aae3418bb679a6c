#pragma once

#include "wisteriayard.pb.h"
#include "wisteriayard/once.h"

#include <cstdint>

namespace wisteriayard {

/// Identity of an at-most-once call: hash of the account and its idempotency key, or of the request id if it has none.
OnceKey onceKey(const AccountId& account, const std::string& idempotencyKey, const RequestId& request);

/// Hash of what a call asks for: method, path, content type and body.
OnceFingerprint onceFingerprint(const wire::Submit& submit);

/// Partition of a key.
/// @param partitions number of partitions, at least 1
std::uint32_t oncePartitionOf(const OnceKey& key, std::uint32_t partitions);

} // namespace wisteriayard
