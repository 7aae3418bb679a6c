#pragma once

#include "wisteriayard.pb.h"
#include "wisteriayard/once.h"

#include <cstdint>

namespace wisteriayard {

/// Key of an at-most-once call: hash of the account and the idempotency key, or of the request id if the call has no
/// idempotency key.
OnceKey onceKey(const AccountId& account, const std::string& idempotencyKey, const RequestId& request);

/// Hash of a call's method, path, content type and body. Detects a key that is reused for a different request.
OnceFingerprint onceFingerprint(const wire::Submit& submit);

/// Number of the partition that a key belongs to.
/// @param partitions number of partitions, at least 1
std::uint32_t oncePartitionOf(const OnceKey& key, std::uint32_t partitions);

} // namespace wisteriayard
