#pragma once

#include "event_log.h"
#include "peer_messages.h"
#include "store_client.h"
#include "wisteriayard/relayed_view.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace wisteriayard {

/// Hash of the keys of a copy.
std::uint64_t hashOfKeys(const std::set<std::string>& keys);

/// Computes the changes between a copy of a part of the store and a newer complete read of it.
/// @param keys keys of the copy
/// @param from revision up to which the copy is complete
WatchBatch changesSince(const std::set<std::string>& keys, Revision from, const StoreRange& range);

/// How changes reached a copy.
enum class ChangeSource {
    /// A read of all keys.
    Read,
    /// A watch of the store.
    Watch,
    /// An observer relayed them.
    Observer,
};
std::string_view changeSourceName(ChangeSource source);

/// Origin of changes, for logs and metrics.
struct ChangeOrigin {
    ChangeSource source = ChangeSource::Read;
    /// Upper bound of the time since the store accepted the changes: the copy was last known to be complete this long
    /// ago. Absent for the first copy.
    std::optional<Duration> unconfirmedFor;
};

/// How a copy makes up for changes that it may have missed.
enum class CatchUp {
    /// Reads the changes one after another: for many small keys, of which few have changed.
    History,
    /// Reads the present values: for few large keys, whose history consists of values that later ones replace.
    CurrentState,
};

/// Number of changes of a batch that a later change of the same key in it replaces.
std::size_t supersededItems(const WatchBatch& batch);

/// Removes the changes of a batch that a later change of the same key in it replaces.
void dropSupersededItems(WatchBatch& batch);

/// Keeps a copy of all keys with a prefix. After an initial read, an observer and an entry without contact to an
/// observer follow the changes by a watch of the store; other entries apply the changes that observers relay.
class StoreFollower {
public:
    struct Handlers {
        std::function<void(const StoreRange&, const ChangeOrigin&, TimePoint now)> snapshot;
        /// @param confirmedAt time at which the store confirmed the changes
        std::function<void(const WatchBatch&, const ChangeOrigin&, TimePoint confirmedAt)> changes;
        std::function<ViewRole()> role;
        /// Relays the changes after a revision to other entries.
        /// @param formerValues values before the changes, if they are kept
        std::function<void(Revision from, const WatchBatch&, const StoreValues& formerValues)> relayChanges;
        /// Called when the store is read, with the cause.
        std::function<void(ReadCause)> readStarted;
        /// Called when changes arrive that later ones in the same batch replace, with their number.
        std::function<void(std::size_t)> supersededReceived;
    };

    StoreFollower(boost::asio::io_context& io, std::unique_ptr<StoreClient> store, std::string prefix, CatchUp catchUp,
        Handlers handlers, std::shared_ptr<EventLog> log);

    /// Reads and follows the store until the event loop ends.
    boost::asio::awaitable<void> run();

    /// @name Apply changes that an observer relayed
    /// @{
    void applyRelayed(const ViewChanges& changes, TimePoint now);
    void applyRelayed(const ViewDelta& delta, TimePoint now);
    /// @}
    /// Applies an observer's progress report.
    void applyProgress(const ViewProgress& reported, TimePoint now);
    ViewProgress progress(TimePoint now) const { return m_view.progress(now); }

private:
    boost::asio::awaitable<void> readAll();
    boost::asio::awaitable<void> watch();
    /// Reads all keys and applies them as changes.
    boost::asio::awaitable<void> readCurrentState();
    bool needsStore() const;
    /// Whether the history after the copy's revision may hold values that later ones replace.
    bool needsCurrentState() const;
    Duration nextRetryDelay();
    void applyBatch(WatchBatch batch, ChangeSource source, TimePoint confirmedAt);
    void updateKeys(const std::vector<StoreItem>& items);
    void updateValues(const StoreItem& item);
    /// Whether the copy has the keys that the sender of changes found by a comparison has, once they are applied.
    bool hasKeysAfter(const ViewChanges& changes) const;
    /// @return the value that a difference makes; none if its former value is not known
    std::optional<std::string> resolve(const ViewDelta& delta) const;
    /// Drops changes that the copy already contains: an older version of a key must not replace a newer one.
    static void dropKnownChanges(WatchBatch& batch, Revision known);
    static std::optional<Revision> lastChange(const WatchBatch& batch);
    ChangeOrigin origin(ChangeSource source, TimePoint now) const;
    /// Logs changes that reach the copy late or replace each other.
    void reportChanges(const WatchBatch& batch, const ChangeOrigin& origin);
    void logRoleChange(ViewRole role);
    /// Passes the cause of a call to the store to the handler, and logs it if it has changed.
    void reportRead(ReadCause cause);
    /// Records a failed call to the store, and logs the first after a contact.
    void recordFailure(const Error& error);
    /// Records a contact with the store, directly or through an observer, and logs it after a failure.
    void recordContact();

    boost::asio::io_context& m_io;
    std::unique_ptr<StoreClient> m_store;
    std::string m_prefix;
    CatchUp m_catchUp;
    Handlers m_handlers;
    std::shared_ptr<EventLog> m_log;
    RelayedView m_view;
    /// Keys of the copy.
    std::set<std::string> m_keys;
    /// Values of the copy and those before them, to which relayed differences refer: two observers may group changes
    /// differently. Empty with CatchUp::History.
    StoreValues m_values;
    StoreValues m_formerValues;
    /// Revision of the copy when the store no longer had the history after it.
    std::optional<Revision> m_historyLostAfter;
    /// A call to the store failed, and there has been no contact since, neither directly nor through an observer.
    bool m_contactLost = false;
    TimePoint m_contactLostAt {};
    /// Calls that failed since then.
    int m_failedCalls = 0;
    /// A call failed or a response had only a part of the changes, so that several versions of a key may be missing.
    bool m_mayHaveMissedChanges = false;
    /// Delay after the last failed call.
    Duration m_retryDelay {};
    std::optional<ViewRole> m_role;
    ReadCause m_readCause = ReadCause::None;
};

} // namespace wisteriayard
