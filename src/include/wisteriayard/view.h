#pragma once

#include "wisteriayard/contract.h"
#include "wisteriayard/error.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace wisteriayard {

/// Prefix of the store's keys for contracts.
inline constexpr std::string_view contractPrefix = "contract/";
/// Prefix of the store's keys for callers' keys.
inline constexpr std::string_view keyPrefix = "key/";

/// Record of a caller's key.
struct KeyRecord {
    AccountId account;
    bool withdrawn = false;
};

/// A contract came into force.
struct ContractChanged {
    AccountId account;
    Revision revision;
};

/// A key was withdrawn; its open streams have to end.
struct KeyWithdrawn {
    KeyHash key;
};

/// Nothing to act on: an older or equal revision, a key of another kind, or a change that ends no stream.
struct NoChange { };

/// Effect of an update of the view.
using ViewChange = std::variant<NoChange, ContractChanged, KeyWithdrawn>;

/// One process's view of contracts and keys. The highest revision of each key of the store wins, so an update that
/// arrives late or twice never reverts a change.
class ConfigView {
public:
    /// Applies one key of the store.
    /// @param key key in the store
    /// @param value its value; empty means deleted
    /// @param revision the store's modification revision of the key
    /// @return the effect, or InvalidArgument if the value is invalid; the view then keeps the former value
    Result<ViewChange> apply(std::string_view key, std::string_view value, Revision revision);

    /// Records that the source has delivered everything up to a revision. The delivery may have been delayed, so this
    /// alone does not make the view fresh.
    void markCompleteTo(Revision revision);

    /// Records the source's current revision, returned to a request. Once the view is complete up to that revision, it
    /// counts as fresh as of the time the request was sent.
    /// @param requestedAt when the request was sent
    void recordSourceRevision(Revision revision, TimePoint requestedAt);

    /// Records that the source confirmed that the view is complete up to a revision.
    /// @param now when the confirmation was requested
    void confirmCompleteTo(Revision revision, TimePoint now);

    /// Finds a key's record, withdrawn or not.
    std::optional<KeyRecord> key(const KeyHash& hash) const;
    /// Finds an account's contract, or nullptr.
    std::shared_ptr<const Contract> contract(const AccountId& account) const;
    /// Revision of an account's contract, 0 if there is none.
    Revision contractRevision(const AccountId& account) const;

    /// Revision of a key's record, 0 if there is none.
    Revision keyRevision(const KeyHash& hash) const;

    /// Revision of the newest contract or key that was applied.
    Revision newestChange() const { return m_newestChange; }
    /// Highest revision up to which the view is known to be complete.
    Revision revision() const { return m_revision; }
    /// Time since the view was last confirmed.
    Duration age(TimePoint now) const { return now - m_confirmedAt; }

private:
    struct VersionedContract {
        std::shared_ptr<const Contract> contract;
        Revision revision;
    };
    struct VersionedKey {
        KeyRecord record;
        Revision revision;
    };

    Result<ViewChange> applyContract(const AccountId& account, std::string_view value, Revision revision);
    Result<ViewChange> applyKey(const KeyHash& hash, std::string_view value, Revision revision);

    std::map<AccountId, VersionedContract> m_contracts;
    std::map<KeyHash, VersionedKey> m_keys;
    Revision m_revision {};
    Revision m_newestChange {};
    TimePoint m_confirmedAt {};
    /// Revision of the source that the view has not reached yet.
    struct PendingRevision {
        Revision revision;
        TimePoint requestedAt;
    };
    std::optional<PendingRevision> m_pendingRevision;
};

} // namespace wisteriayard
