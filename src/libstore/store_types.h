#pragma once

#include "wisteriayard/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wisteriayard {

/// A key of the store with its value and revisions.
struct StoreItem {
    std::string key;
    std::string value;
    /// Revision of the last write of the key.
    Revision modRevision;
    /// Revision at which the key was created.
    Revision createRevision;
};

/// Items by key.
using StoreValues = std::map<std::string, StoreItem>;

/// Consistency of a read.
enum class ReadConsistency {
    /// The current state, including all writes completed before the read.
    Linearizable,
    /// A state that may be some seconds old; cheaper for the store.
    Serializable,
};

/// Result of a range read: the items and the store revision at which they were read.
struct StoreRange {
    std::vector<StoreItem> items;
    Revision revision;
};

/// Id of a lease. A restored store gives the same values out again, so ids of different eras differ.
class LeaseId {
public:
    /// No lease.
    LeaseId() = default;
    explicit LeaseId(std::int64_t value, StoreEra era = StoreEra(0))
        : m_value(value)
        , m_era(era)
    {
    }

    /// The id as the store names it; 0 means no lease.
    std::int64_t value() const { return m_value; }
    StoreEra era() const { return m_era; }
    friend bool operator==(const LeaseId&, const LeaseId&) = default;

private:
    std::int64_t m_value = 0;
    StoreEra m_era { 0 };
};

/// Condition that the last write of a key has this revision; 0 requires that the key does not exist.
struct CompareModRevision {
    std::string key;
    Revision revision;
};

/// Condition that a key was created at this revision; a key that holds a lock then still has the same holder.
struct CompareCreateRevision {
    std::string key;
    Revision revision;
};

using Compare = std::variant<CompareModRevision, CompareCreateRevision>;

/// Writes a key and attaches it to the lease, if one is given.
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

/// An atomic transaction: either all operations of a branch take effect or none do.
struct Transaction {
    /// Conditions that must all hold for onSuccess to be executed; otherwise onFailure is executed.
    std::vector<Compare> compares;
    std::vector<StoreOperation> onSuccess;
    std::vector<StoreOperation> onFailure;
};

/// Outcome of a transaction.
struct TransactionResult {
    /// All compares held, and the operations of onSuccess were executed.
    bool succeeded = false;
    Revision revision;
    /// Items found by the read operations of the executed branch.
    std::vector<StoreItem> items;
};

/// Changes delivered by a watch; a batch without items only reports progress.
struct WatchBatch {
    /// Revision up to which the watch has delivered all changes.
    Revision revision;
    /// Changed items; an empty value marks a deleted key.
    std::vector<StoreItem> items;
    /// The response may have reached its size limit, so that there may be further changes already.
    bool mayBePartial = false;
    /// Hash of all keys at this revision, if the changes were found by comparing a copy with a read. Keys that were
    /// created and removed in between are not among them, and other copies may have them.
    std::optional<std::uint64_t> keysHash {};
};

} // namespace wisteriayard
