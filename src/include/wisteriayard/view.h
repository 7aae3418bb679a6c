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

/// What is known of a caller's key.
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

/// The update changed nothing: an older or equal revision, or a key of another kind.
struct NoChange { };

/// What an update of the view changed.
using ViewChange = std::variant<NoChange, ContractChanged, KeyWithdrawn>;

/// One process's view of contracts and keys. For each key of the store the highest revision wins, so that an
/// update that arrives late or twice never takes a change back.
class ConfigView {
public:
    /// Takes in one key of the store.
    /// @param key key in the store
    /// @param value its value; empty means deleted
    /// @param revision the store's modification revision of the key
    /// @return what changed, or InvalidArgument if the value can't be used; the view keeps the former value then
    Result<ViewChange> apply(std::string_view key, std::string_view value, Revision revision);

    /// The source confirmed that the view holds everything up to a revision.
    /// @param now when the confirmation was requested
    void confirmed(Revision revision, TimePoint now);

    /// Finds a key's record, withdrawn or not.
    std::optional<KeyRecord> key(const KeyHash& hash) const;
    /// Finds an account's contract, or nullptr.
    std::shared_ptr<const Contract> contract(const AccountId& account) const;
    /// Revision of an account's contract, 0 if there is none.
    Revision contractRevision(const AccountId& account) const;

    /// Revision of a key's record, 0 if there is none.
    Revision keyRevision(const KeyHash& hash) const;

    /// Revision of the newest contract or key that was taken in.
    Revision newestChange() const { return m_newestChange; }
    /// Highest revision that the view is known to hold completely.
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
};

} // namespace wisteriayard
