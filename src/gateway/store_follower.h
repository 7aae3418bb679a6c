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

/// Changes that lead from a copy of a part of the store to a newer complete reading of it.
/// @param keys the keys of the copy
/// @param from revision that the copy is complete up to
WatchBatch changesSince(const std::set<std::string>& keys, Revision from, const StoreRange& range);

/// Keeps a copy of all keys with a prefix. Reads them once, and then follows their changes: by a watch of the store if
/// this entry is an observer or hears none, otherwise by what observers pass on.
class StoreFollower {
public:
    struct Handlers {
        std::function<void(const StoreRange&, TimePoint now)> snapshot;
        /// @param heardAt when the store confirmed the changes
        std::function<void(const WatchBatch&, TimePoint heardAt)> changes;
        std::function<ViewRole()> role;
        /// Tells other entries of changes after a revision.
        std::function<void(Revision from, const WatchBatch&)> passOn;
        /// The store is read.
        std::function<void(ReadCause)> reading;
    };

    StoreFollower(boost::asio::io_context& io, std::unique_ptr<StoreClient> store, std::string prefix,
        Handlers handlers, std::shared_ptr<EventLog> log);

    /// Runs until the loop ends.
    boost::asio::awaitable<void> run();

    /// An observer passed changes on.
    void takeChanges(const ViewChanges& changes, TimePoint now);
    /// An observer told how far its copy reaches.
    void takeMark(const ViewProgress& mark, TimePoint now);
    ViewProgress mark(TimePoint now) const { return m_view.progress(now); }

private:
    boost::asio::awaitable<void> readAll();
    boost::asio::awaitable<void> watch();
    bool mustWatch() const;
    Duration pauseAfterFailure();
    void takeBatch(WatchBatch batch, TimePoint now);
    void noteKeys(const std::vector<StoreItem>& items);
    /// Drops changes that the copy has already: an older version of a key must not replace a newer one.
    static void dropKnown(WatchBatch& batch, Revision known);
    static std::optional<Revision> lastChange(const WatchBatch& batch);
    void noteRole(ViewRole role);
    /// Logs why the store is watched, or that it no longer is.
    void noteReading(ReadCause cause);
    void noteError(const Error& error);
    void noteHeard();

    boost::asio::io_context& m_io;
    std::unique_ptr<StoreClient> m_store;
    std::string m_prefix;
    Handlers m_handlers;
    std::shared_ptr<EventLog> m_log;
    RelayedView m_view;
    /// Keys of the copy.
    std::set<std::string> m_keys;
    /// Where the copy ended when the store's history was gone.
    std::optional<Revision> m_lostAt;
    bool m_lost = false;
    /// Last pause after a failed call.
    Duration m_pause {};
    std::optional<ViewRole> m_role;
    ReadCause m_cause = ReadCause::None;
};

} // namespace wisteriayard
