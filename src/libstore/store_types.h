#pragma once

#include "wisteriayard/units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wisteriayard {

/// One key of the store.
struct StoreItem {
    std::string key;
    std::string value;
    /// Revision of the last write of the key.
    Revision modRevision;
    /// Revision at which the key was created.
    Revision createRevision;
};

/// What a read may return.
enum class ReadConsistency {
    Linearizable,
    /// State of some moment of the last seconds; costs the store less.
    Serializable,
};

/// Items of a range and the store's revision at which they were read.
struct StoreRange {
    std::vector<StoreItem> items;
    Revision revision;
};

/// A lease of the store; 0 means none.
using LeaseId = StrongNumber<struct LeaseIdTag, std::int64_t>;

/// The key must have this revision; 0 means that it must not exist.
struct CompareModRevision {
    std::string key;
    Revision revision;
};

/// The key must have been created at this revision, so it is still held by the same holder.
struct CompareCreateRevision {
    std::string key;
    Revision revision;
};

using Compare = std::variant<CompareModRevision, CompareCreateRevision>;

/// Writes a key, attached to a lease if there is one.
struct PutOperation {
    std::string key;
    std::string value;
    LeaseId lease {};
};

/// Deletes a key.
struct DeleteOperation {
    std::string key;
};

/// Reads a key.
struct ReadOperation {
    std::string key;
};

using StoreOperation = std::variant<PutOperation, DeleteOperation, ReadOperation>;

/// A transaction: all operations of one branch take effect at once, or none.
struct Transaction {
    std::vector<Compare> compares;
    std::vector<StoreOperation> onSuccess;
    std::vector<StoreOperation> onFailure;
};

/// Outcome of a transaction.
struct TransactionResult {
    /// The compares held and the operations of onSuccess took effect.
    bool succeeded = false;
    Revision revision;
    /// Items that the read operations of the branch found.
    std::vector<StoreItem> items;
};

/// Changes that a watch delivered.
struct WatchBatch {
    /// Store revision up to which the watch is complete.
    Revision revision;
    /// Changed items; one with an empty value was deleted.
    std::vector<StoreItem> items;
};

} // namespace wisteriayard
